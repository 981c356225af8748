//! The monotonic clock of the process.

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use types::{Moment, Span};

/// Value of the clock at its start. It is above zero so that moments before the start can be
/// expressed.
const ORIGIN_OFFSET: Span = Span::from_millis(1_000_000);
/// Longest duration that is passed to the runtime's timers.
const MAX_TIMER: Span = Span::from_millis(86_400_000);

/// The monotonic clock that all moments of a process are read from.
///
/// It keeps counting while the process is paused and while the host is suspended; the runtime's own
/// clock stops during a suspension. A lease granted before such a pause must not look valid after
/// it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Span,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        Self { started: uptime() }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        let elapsed = Span(uptime().0.saturating_sub(self.started.0));
        Moment(0) + ORIGIN_OFFSET + elapsed
    }

    /// Converts a moment into an instant for the runtime's timers, at most 24 hours ahead.
    pub fn instant(&self, moment: Moment) -> Instant {
        let remaining = moment.since(self.now());
        Instant::now() + remaining.min(MAX_TIMER).duration()
    }
}

/// Returns the time since the host booted, including time spent suspended.
fn uptime() -> Span {
    let time = clock_gettime(ClockId::Boottime);
    Span(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
