//! One timer that wakes an actor.

use tokio::{task::JoinHandle, time::sleep_until};
use types::Moment;

use board::Clock;

/// A timer that is moved to an earlier moment only.
///
/// An actor whose next moment moved later is woken early once and sets the timer anew, which costs
/// less than a task for each move.
#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    set: Option<(Moment, JoinHandle<()>)>,
}

impl WakeTimer {
    /// Wakes at `at` at the latest.
    pub(crate) fn set(
        &mut self,
        at: Moment,
        clock: Clock,
        wake: impl Future<Output = ()> + Send + 'static,
    ) {
        match self.set.take() {
            Some((set, task)) if set <= at => {
                self.set = Some((set, task));
                return;
            }
            Some((_, task)) => task.abort(),
            None => {}
        }
        let when = clock.instant(at);
        let task = tokio::spawn(async move {
            sleep_until(when).await;
            wake.await;
        });
        self.set = Some((at, task));
    }

    /// Forgets a timer that has run out by `now`.
    pub(crate) fn clear_expired(&mut self, now: Moment) {
        self.set.take_if(|(at, _)| *at <= now);
    }
}
