//! Queue of the requests that wait at a gate, and the order in which they start.
//!
//! The order is made for sustained overload, when requests arrive faster than the backend server
//! completes them, so that some are answered late or not at all. Earliest deadline first would then
//! answer all of them just too late. Instead, the order is:
//!
//! 1. requests that can still be answered within their objective, before those that can't;
//! 2. nested requests, sent by a backend server in the course of another request, whose work is
//!    lost if they fail;
//! 3. the more urgent priority;
//! 4. the earlier objective, or the earlier deadline among requests that can't meet their
//!    objective.
//!
//! While requests of the first kind find no slot, one slot is reserved for them, and only few may
//! wait that are late or will be by the time at which they are expected to start: running a request
//! that is late anyway would make another one late.
//!
//! A gate may also let fail-fast nested requests wait, see [`crate::Gate::with_nested_waits`]. These are ranked like
//! requests of callers, by the priority and the objective of their own route, so they never start before more urgent
//! ones.
//!
//! A request that can't be answered by its deadline is refused as soon as that is known, so that
//! its caller can go elsewhere or retry.

use std::cmp::Ordering;

use types::{AttemptId, Moment, Span};

/// What determines the position of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Time by which the response meets the latency objective.
    pub objective: Moment,
    /// Usual service time, zero if unknown.
    pub service_time: Span,
    /// Priority, 0 for the most urgent.
    pub priority: u32,
    /// Whether a backend server sends the request in the course of another request.
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

/// A request that waits or is being admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Queued {
    pub(crate) id: AttemptId,
    /// Time by which the caller needs the response.
    pub(crate) deadline: Moment,
    /// Offered rank, with an estimated service time if that was unknown.
    pub(crate) rank: Rank,
    /// Set for a fail-fast request: time until which it waits for a slot here, and then tries other gates.
    pub(crate) wait_until: Option<Moment>,
}

/// Sort key of a queued request. The smallest key starts first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    late: bool,
    top_level: bool,
    priority: u32,
    due: Moment,
    id: AttemptId,
}

impl Queued {
    /// Sort key at `now`, if service takes `slowdown` times as long as usual.
    fn sort_key(&self, now: Moment, slowdown: f64) -> SortKey {
        let Rank {
            objective,
            service_time,
            priority,
            nested,
        } = self.rank;
        let done = now + service_time.scale(slowdown);
        let nested = nested && self.wait_until.is_none();
        // The objective of the outermost caller isn't known here, so only the deadline counts.
        let objective = if nested { self.deadline } else { objective };
        let late = done > objective;
        SortKey {
            late,
            top_level: !nested,
            priority,
            due: if late { self.deadline } else { objective },
            id: self.id,
        }
    }

    /// Whether it can no longer be answered within its objective.
    pub(crate) fn is_late(&self, now: Moment, slowdown: f64) -> bool {
        self.sort_key(now, slowdown).late
    }

    /// Latest time at which it may start and still meet its deadline, or until which it waits.
    pub(crate) fn latest_start(&self) -> Moment {
        let latest = self.deadline - self.rank.service_time;
        latest.min(self.wait_until.unwrap_or(Moment::MAX))
    }
}

/// The requests that wait at one gate.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: Vec<Queued>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn push(&mut self, queued: Queued) {
        self.entries.push(queued);
    }

    /// All entries, in the order in which they would start at `now`.
    pub(crate) fn sorted(&self, now: Moment, slowdown: f64) -> Vec<Queued> {
        let mut list = self.entries.clone();
        list.sort_by_cached_key(|q| q.sort_key(now, slowdown));
        list
    }

    /// Removes the entry that starts next.
    pub(crate) fn pop(&mut self, now: Moment, slowdown: f64) -> Option<Queued> {
        let key = |at: &usize| self.entries[*at].sort_key(now, slowdown);
        let first = (0..self.entries.len()).min_by_key(key)?;
        Some(self.entries.swap_remove(first))
    }

    /// Number of entries that can no longer be answered within their objective.
    pub(crate) fn late_count(&self, now: Moment, slowdown: f64) -> usize {
        let late = |q: &&Queued| q.is_late(now, slowdown);
        self.entries.iter().filter(late).count()
    }

    /// Number of fail-fast entries.
    pub(crate) fn fail_fast_count(&self) -> usize {
        let fail_fast = |q: &&Queued| q.wait_until.is_some();
        self.entries.iter().filter(fail_fast).count()
    }

    /// Time at which the next entry expires, see [`Queued::latest_start`].
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.entries.iter().map(Queued::latest_start).min()
    }

    /// Removes the entries that have expired.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<Queued> {
        let expired = |q: &mut Queued| q.latest_start() <= now;
        self.entries.extract_if(.., expired).collect()
    }

    /// Number and total service time of the entries that would start before `queued`.
    pub(crate) fn ahead(&self, queued: &Queued, now: Moment, slowdown: f64) -> (usize, Span) {
        let key = queued.sort_key(now, slowdown);
        let before = |q: &&Queued| q.sort_key(now, slowdown).cmp(&key) == Ordering::Less;
        let ahead = self.entries.iter().filter(before);
        ahead.fold((0, Span::default()), |(count, work), q| {
            (count + 1, work + q.rank.service_time)
        })
    }

    /// Whether an attempt is queued.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.entries.iter().any(|q| q.id == id)
    }

    /// Removes an attempt. Returns whether it was queued.
    pub(crate) fn remove(&mut self, id: AttemptId) -> bool {
        let before = self.entries.len();
        self.entries.retain(|q| q.id != id);
        self.entries.len() < before
    }

    /// Removes all entries.
    pub(crate) fn drain(&mut self) -> Vec<AttemptId> {
        let all = std::mem::take(&mut self.entries);
        all.into_iter().map(|q| q.id).collect()
    }
}
