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
//! While requests of the first kind find no slot, one slot is kept free of the others, and few of those
//! wait: an answer that is late anyway would cost one in time.
//!
//! What can't be answered by its deadline is refused as soon as that shows, so that its caller may go
//! elsewhere or come back.

use std::cmp::Ordering;

use types::{AttemptId, Moment, Span};

/// What decides when a request starts that has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Last moment at which its answer is worth most.
    pub objective: Moment,
    /// Time that its work usually takes, zero if nobody knows.
    pub service_time: Span,
    /// Urgency, 0 for the most urgent.
    pub priority: u32,
    /// Whether a backend server calls that runs another request.
    pub nested: bool,
}

impl Default for Rank {
    fn default() -> Self {
        Self {
            objective: Moment::MAX,
            service_time: Span::default(),
            priority: 0,
            nested: false,
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: AttemptId,
    /// Last moment at which it may be answered.
    pub(crate) deadline: Moment,
    /// With the time that its work is expected to take, known or not.
    pub(crate) rank: Rank,
}

/// A place in the order: the smaller comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    missed: bool,
    fresh: bool,
    priority: u32,
    by: Moment,
    id: AttemptId,
}

impl Waiting {
    /// Its place at `now`, if work takes `slowness` times as long as usual.
    fn place(&self, now: Moment, slowness: f64) -> Place {
        let Rank {
            objective,
            service_time,
            priority,
            nested,
        } = self.rank;
        let done = now + service_time.scale(slowness);
        // Its caller's objective isn't known, so a nested call has the deadline only.
        let objective = if nested { self.deadline } else { objective };
        let missed = done > objective;
        Place {
            missed,
            fresh: !nested,
            priority,
            by: if missed { self.deadline } else { objective },
            id: self.id,
        }
    }

    /// Whether it can no longer be answered within its objective.
    pub(crate) fn is_late(&self, now: Moment, slowness: f64) -> bool {
        self.place(now, slowness).missed
    }

    /// The last moment at which its work may begin.
    fn latest(&self) -> Moment {
        self.deadline - self.rank.service_time
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
        list.sort_by_cached_key(|w| w.place(now, slowness));
        list
    }

    /// Takes the one that starts next.
    pub(crate) fn pop(&mut self, now: Moment, slowness: f64) -> Option<Waiting> {
        let place = |at: &usize| self.waiting[*at].place(now, slowness);
        let first = (0..self.waiting.len()).min_by_key(place)?;
        Some(self.waiting.swap_remove(first))
    }

    /// Number of those that can no longer be answered within their objective.
    pub(crate) fn late(&self, now: Moment, slowness: f64) -> usize {
        let late = |w: &&Waiting| w.is_late(now, slowness);
        self.waiting.iter().filter(late).count()
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
        let place = than.place(now, slowness);
        let before = |w: &&Waiting| w.place(now, slowness).cmp(&place) == Ordering::Less;
        let ahead = self.waiting.iter().filter(before);
        ahead.fold((0, Span::default()), |(count, work), w| {
            (count + 1, work + w.rank.service_time)
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
