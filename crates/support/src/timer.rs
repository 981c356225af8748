//! A timer that wakes an actor.

use board::Clock;
use tokio::{task::JoinHandle, time::sleep_until};
use types::Moment;

/// A one-shot timer that can only be moved to an earlier moment.
///
/// If the actor's next deadline moves to a later moment, the actor is woken once too early and sets
/// the timer again. This is cheaper than a new task for each change.
#[derive(Debug, Default)]
pub struct WakeTimer {
    pending: Option<(Moment, JoinHandle<()>)>,
}

impl WakeTimer {
    /// Runs `wake` at `at`. Does nothing if the timer is already set to an earlier moment.
    pub fn set(
        &mut self,
        at: Moment,
        clock: Clock,
        wake: impl Future<Output = ()> + Send + 'static,
    ) {
        match self.pending.take() {
            Some((due, task)) if due <= at => {
                self.pending = Some((due, task));
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
        self.pending = Some((at, task));
    }

    /// Clears the timer if it is due at `now`.
    pub fn clear_expired(&mut self, now: Moment) {
        self.pending.take_if(|(at, _)| *at <= now);
    }
}
