//! Requests that wait at a gate, and which of them starts next.
//!
//! This answers the load of an overload that lasts: more comes than the backend server gets done, so
//! that somebody is served late or not at all. Earliest deadline first would serve everybody just too
//! late. So the order is
//!
//! 1. requests that can still be answered within their objective, before those that can't;
//! 2. calls of backend servers that already run a request, whose work is lost if they fail;
//! 3. the more urgent rank;
//! 4. the earlier objective, or the earlier deadline of those that have missed theirs.
//!
//! What can't be answered by its deadline is refused as soon as that shows, so that its caller may go
//! elsewhere or come back.

use std::cmp::Ordering;

use types::{AttemptId, Moment, Span};

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: AttemptId,
    /// Last moment at which it may be answered.
    pub(crate) deadline: Moment,
    /// Last moment at which its answer is worth most.
    pub(crate) objective: Moment,
    /// Time that its work is expected to take at the usual pace.
    pub(crate) expected: Span,
    /// Rank, 0 for the most urgent.
    pub(crate) priority: u32,
    /// Whether a backend server calls that runs another request.
    pub(crate) nested: bool,
}

/// A place in the order: the smaller comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    missed: bool,
    fresh: bool,
    priority: u32,
    by: Moment,
    id: AttemptId,
}

impl Waiting {
    /// Its place at `now`, if work takes `slowness` times as long as usual.
    fn rank(&self, now: Moment, slowness: f64) -> Rank {
        let done = now + self.expected.scale(slowness);
        // Its caller's objective isn't known, so a nested call has the deadline only.
        let objective = if self.nested {
            self.deadline
        } else {
            self.objective
        };
        let missed = done > objective;
        Rank {
            missed,
            fresh: !self.nested,
            priority: self.priority,
            by: if missed { self.deadline } else { objective },
            id: self.id,
        }
    }

    /// The last moment at which its work may begin.
    fn latest(&self) -> Moment {
        self.deadline - self.expected
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// All that wait, in the order in which they would start at `now`.
    pub(crate) fn ranked(&self, now: Moment, slowness: f64) -> Vec<Waiting> {
        let mut list = self.waiting.clone();
        list.sort_by_cached_key(|w| w.rank(now, slowness));
        list
    }

    /// Takes the one that starts next.
    pub(crate) fn pop(&mut self, now: Moment, slowness: f64) -> Option<Waiting> {
        let rank = |at: &usize| self.waiting[*at].rank(now, slowness);
        let first = (0..self.waiting.len()).min_by_key(rank)?;
        Some(self.waiting.swap_remove(first))
    }

    /// The earliest of the moments at which one that waits can no longer be answered in time.
    pub(crate) fn earliest(&self) -> Option<Moment> {
        self.waiting.iter().map(Waiting::latest).min()
    }

    /// Takes those out that can no longer be answered in time.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<AttemptId> {
        let late = |w: &Waiting| w.latest() <= now;
        let gone = self
            .waiting
            .iter()
            .filter(|w| late(w))
            .map(|w| w.id)
            .collect();
        self.waiting.retain(|w| !late(w));
        gone
    }

    /// Requests and expected work that would start before `than`.
    pub(crate) fn ahead(&self, than: &Waiting, now: Moment, slowness: f64) -> (usize, Span) {
        let rank = than.rank(now, slowness);
        let before = |w: &&Waiting| w.rank(now, slowness).cmp(&rank) == Ordering::Less;
        let ahead = self.waiting.iter().filter(before);
        ahead.fold((0, Span::default()), |(count, work), w| {
            (count + 1, work + w.expected)
        })
    }

    /// Takes an attempt out, and tells whether it was there.
    pub(crate) fn remove(&mut self, id: AttemptId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// Takes everything out.
    pub(crate) fn drain(&mut self) -> Vec<AttemptId> {
        let all = std::mem::take(&mut self.waiting);
        all.into_iter().map(|w| w.id).collect()
    }
}
