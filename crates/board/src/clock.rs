//! The process's monotonic clock.

use tokio::time::Instant;
use types::{Moment, Span};

/// Distance of the clock's start from its origin, so that a moment before the start exists.
const ORIGIN_OFFSET: Span = Span::from_millis(1_000_000);
/// Farthest moment that the runtime's timers are asked for.
const FARTHEST_TIMER: Span = Span::from_millis(86_400_000);

/// The clock that all moments of a process are read from. It runs on while the process is paused.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The moment now.
    pub fn now(&self) -> Moment {
        let passed = Span(self.started.elapsed().as_micros() as u64);
        Moment(0) + ORIGIN_OFFSET + passed
    }

    /// A moment as the runtime's timers take it.
    pub fn instant(&self, moment: Moment) -> Instant {
        let soon = moment.min(self.now() + FARTHEST_TIMER);
        self.started + soon.since(Moment(0) + ORIGIN_OFFSET).duration()
    }
}
