//! Requests that wait at a gate, the one with the earliest deadline first.

use std::collections::BTreeSet;

use types::{AttemptId, Moment};

/// Waiting attempts, ordered by deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeSet<(Moment, AttemptId)>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn push(&mut self, deadline: Moment, id: AttemptId) {
        self.waiting.insert((deadline, id));
    }

    /// Takes the attempt with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<(Moment, AttemptId)> {
        self.waiting.pop_first()
    }

    /// The earliest deadline.
    pub(crate) fn earliest(&self) -> Option<Moment> {
        self.waiting.first().map(|(deadline, _)| *deadline)
    }

    /// Number of attempts that would start before one with this deadline.
    pub(crate) fn ahead(&self, deadline: Moment) -> usize {
        self.waiting
            .iter()
            .take_while(|(at, _)| *at <= deadline)
            .count()
    }

    /// Takes an attempt out, and tells whether it was there.
    pub(crate) fn remove(&mut self, id: AttemptId) -> bool {
        let found = self
            .waiting
            .iter()
            .find(|(_, waiting)| *waiting == id)
            .copied();
        found.is_some_and(|entry| self.waiting.remove(&entry))
    }

    /// Takes everything out.
    pub(crate) fn drain(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|(_, id)| id)
            .collect()
    }
}
