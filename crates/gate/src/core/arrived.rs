//! Attempts that have arrived before: queries, cancellations, and attempts that their ingress has settled.

use types::{AttemptId, Moment, Outcome, Refusal, Span};

use super::{AttemptState, Gate, LookupError, reply};
use crate::event::{Action, Query};

impl Gate {
    /// Replies to an ingress that queries the outcome of an attempt.
    ///
    /// An attempt that has never arrived is recorded as never to be started.
    pub fn query(&mut self, id: AttemptId, query: Query, now: Moment) -> Vec<Action> {
        match (self.state(id), query) {
            (Err(_), _) => reply(id, Outcome::Unknown),
            (Ok(None), _) => self.refuse(id, Refusal::Barred, Span::default()),
            (Ok(Some(AttemptState::Pending)), Query::Cancel) => self.cancel(id, now),
            (Ok(Some(AttemptState::Pending)), Query::Withdraw) => self.withdraw(id, now),
            (Ok(Some(state)), _) => reply_again(id, state),
        }
    }

    /// State of an attempt, `None` if it has never arrived. One that is queued or running is pending
    /// even if the record of it is gone: the session was evicted, or the ingress has settled it.
    pub(super) fn state(&mut self, id: AttemptId) -> Result<Option<AttemptState>, LookupError> {
        match self.running.contains_key(&id) || self.waits(id) {
            true => Ok(Some(AttemptState::Pending)),
            false => self.sessions.state(id),
        }
    }

    /// Cancels pending attempts that their ingress has settled: a cancellation was lost, or hasn't
    /// arrived yet.
    pub(super) fn abandon(&mut self, settled: Vec<AttemptId>, now: Moment) -> Vec<Action> {
        let cancel = |id| self.cancel(id, now);
        settled.into_iter().flat_map(cancel).collect()
    }

    fn cancel(&mut self, id: AttemptId, now: Moment) -> Vec<Action> {
        match self.waits(id) {
            true => self.withdraw(id, now),
            false => vec![Action::Cancel(id)],
        }
    }

    /// Whether an attempt has a place in the queue.
    fn waits(&self, id: AttemptId) -> bool {
        self.queue.contains(id) || self.reservations.contains(id)
    }

    /// Refuses an attempt that is queued.
    fn withdraw(&mut self, id: AttemptId, now: Moment) -> Vec<Action> {
        if !self.queue.remove(id) && !self.reservations.remove(id) {
            return Vec::new();
        }
        let mut actions = self.refuse(id, Refusal::Cancelled, Span::default());
        actions.extend(self.start_queued(now));
        actions
    }
}

/// Repeats the reply to an attempt that arrived before. A pending attempt gets it at its end.
pub(super) fn reply_again(id: AttemptId, state: AttemptState) -> Vec<Action> {
    match state {
        AttemptState::Pending => Vec::new(),
        AttemptState::NotRun => reply(id, Outcome::refused(Refusal::Barred)),
        AttemptState::Answered(answer) => reply(id, Outcome::Answer(answer)),
        AttemptState::Unknown => reply(id, Outcome::Unknown),
    }
}
