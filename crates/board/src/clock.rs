//! The process's clock.

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use types::{Moment, Span};

/// Distance of the clock's start from its origin, so that a moment before the start exists.
const ORIGIN_OFFSET: Span = Span::from_millis(1_000_000);
/// Farthest moment that the runtime's timers are asked for.
const FARTHEST_TIMER: Span = Span::from_millis(86_400_000);

/// The clock that all moments of a process are read from.
///
/// It runs on while the process is paused and while the host is suspended, which the runtime's own
/// clock doesn't: what was allowed before must not seem fresh afterwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Span,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: uptime() }
    }

    /// The moment now.
    pub fn now(&self) -> Moment {
        let passed = Span(uptime().0.saturating_sub(self.started.0));
        Moment(0) + ORIGIN_OFFSET + passed
    }

    /// A moment as the runtime's timers take it.
    pub fn instant(&self, moment: Moment) -> Instant {
        let left = moment.since(self.now());
        Instant::now() + left.min(FARTHEST_TIMER).duration()
    }
}

/// Time since the host started, suspended or not.
fn uptime() -> Span {
    let time = clock_gettime(ClockId::Boottime);
    Span(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
