//! Admission of requests at an open gate: which ones start, wait or are refused.
//!
//! [`crate::queue`] describes the overload that this is made for, and the order of the queue.

use types::{AttemptId, Moment, Refusal, Span};

use super::{AttemptState, Gate, NO_SLOWDOWN_PERCENT, Run};
use crate::{
    event::{Action, Offer},
    queue::{Queued, Rank},
};

/// Time for which a gate counts as overloaded after a request that can still be answered within its
/// objective has found no slot: half of the users' shortest objective of 150 ms.
const OVERLOAD_PERIOD: Span = Span::from_millis(75);
/// Time after which a slow period of the backend server has likely ended.
const SLOW_PERIOD: Span = Span::from_millis(150);
/// Longest service time in a slow period, as a multiple of the usual one.
const MAX_SLOWDOWN: f64 = 4.0;
/// Late requests that may wait at an overloaded gate, as a share of the slots.
const LATE_SHARE: f64 = 0.25;
/// Longest time that a fail-fast nested request waits for a slot, as a share of its service time. After longer waits
/// another gate would have had a free slot.
const WAIT_SHARE: f64 = 0.5;
/// Time until a request is expected to end that has no end in sight, as a multiple of its service time: it may wait
/// for others itself.
const MAX_OVERDUE: f64 = 1.3;

impl Gate {
    /// Whether a new request may start at once. It overtakes only late requests, which may be
    /// waiting because the free slot is reserved.
    pub(super) fn starts_now(&self, offer: &Offer, now: Moment) -> bool {
        let slowdown = self.slowdown_factor(now);
        let late = self.queued(offer).is_late(now, slowdown);
        let passes = match late {
            true => self.queue.len() == 0 && !self.reserves_slot(now),
            false => self.queue.late_count(now, slowdown) == self.queue.len(),
        };
        passes && self.has_capacity(now)
    }

    /// Whether the last free slot is reserved for requests that can still be answered within their
    /// objective, since one of those has recently found no slot.
    fn reserves_slot(&self, now: Moment) -> bool {
        let allowed = self.allowed(now);
        now < self.overloaded_until && allowed > 1 && self.used_slots() + 1 >= allowed
    }

    /// Whether one more request may start at `now`.
    fn has_capacity(&self, now: Moment) -> bool {
        let used = self.used_slots();
        let has_room = self.room.as_ref().is_none_or(|room| room.allows(used));
        used < self.concurrency.current(now) && has_room && self.next_send(now) <= now
    }

    /// Requests that may run at `now`, apart from a trial beyond the learned room.
    pub(super) fn allowed(&self, now: Moment) -> usize {
        self.concurrency.current(now).min(self.room_limit())
    }

    /// Earliest time at which the rate limits allow another request.
    pub(super) fn next_send(&self, now: Moment) -> Moment {
        self.cold.next_send(now).max(self.rate.next_send(now))
    }

    /// Why a request can't be served now that finds no capacity.
    fn capacity_refusal(&self, now: Moment) -> Refusal {
        match self.rate.wait(self.queue.len(), now) > Span::default() {
            true => Refusal::Limited,
            false => Refusal::Busy,
        }
    }

    /// Refuses a request for lack of capacity. Callers that can't go elsewhere are told to return one
    /// after the other if a rate limit is the reason.
    pub(super) fn refuse_for_capacity(
        &mut self,
        id: AttemptId,
        fail_fast: bool,
        now: Moment,
    ) -> Vec<Action> {
        let refusal = self.capacity_refusal(now);
        let wait = self.queue_wait(now);
        let retry_after = match refusal {
            Refusal::Limited if !fail_fast => {
                wait.max(self.rate.schedule_return(self.queue.len(), now))
            }
            _ => wait,
        };
        self.refuse(id, refusal, retry_after)
    }

    pub(super) fn queued(&self, offer: &Offer) -> Queued {
        let service_time = match offer.rank.service_time {
            Span(0) => self.concurrency.mean_latency(),
            known => known,
        };
        Queued {
            id: offer.id,
            deadline: offer.deadline,
            rank: Rank {
                service_time,
                ..offer.rank
            },
            wait_until: None,
        }
    }

    pub(super) fn enqueue(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        let queued = self.queued(&offer);
        let queued = Queued {
            wait_until: self.wait_until(&offer, queued.rank.service_time, now),
            ..queued
        };
        let (ahead, work) = self.queue.ahead(&queued, now, self.slowdown_factor(now));
        let wait = self.expected_wait(ahead, work, now);
        let reserved = self.reservations.len().min(self.places_for_bodies());
        let full = self.queue.len() + reserved >= self.places();
        if !self.may_wait(&offer, &queued, wait, now) || full {
            return self.refuse_for_capacity(offer.id, offer.fail_fast, now);
        }
        self.sessions.record(offer.id, AttemptState::Pending);
        self.queue.push(queued);
        self.refuse_displaced(now)
    }

    /// Places in the queue.
    pub(super) fn places(&self) -> usize {
        self.limits.queue.0 as usize
    }

    /// Places that requests whose bodies are on their way may take without a free slot. The others stay for
    /// requests that can start at once.
    pub(super) fn places_for_bodies(&self) -> usize {
        self.places().div_ceil(2)
    }

    /// Whether a request that has found no slot, and would start after `wait`, may take a free place in the queue.
    pub(super) fn may_wait(
        &mut self,
        offer: &Offer,
        queued: &Queued,
        wait: Span,
        now: Moment,
    ) -> bool {
        let too_late = now + wait + queued.rank.service_time > offer.deadline;
        if !queued.is_late(now, self.slowdown_factor(now)) {
            self.overloaded_until = now + OVERLOAD_PERIOD;
        }
        let late_full = self.will_be_late(queued, wait, now)
            && now < self.overloaded_until
            && self.expected_late(now).len() >= self.max_late(now);
        let declined = offer.fail_fast && !self.gets_next_slot(queued, now);
        !(declined || too_late || late_full)
    }

    /// Until when a fail-fast request of this service time waits for a slot, `None` if it doesn't. It must still meet
    /// its objective then.
    fn wait_until(&self, offer: &Offer, usual: Span, now: Moment) -> Option<Moment> {
        if !(self.nested_waits && offer.fail_fast && offer.rank.nested) {
            return None;
        }
        let latest = offer.rank.objective - usual.scale(self.slowdown_factor(now));
        Some(latest.min(now + usual.scale(WAIT_SHARE))).filter(|until| *until > now)
    }

    /// Whether a fail-fast request may wait: so many slots are expected to come free until it gives up that one
    /// is left for it by its rank, and for each fail-fast request that waits already.
    fn gets_next_slot(&self, queued: &Queued, now: Moment) -> bool {
        let Some(until) = queued.wait_until else {
            return false;
        };
        let slowdown = self.slowdown_factor(now);
        let ends = |run: &&Run| {
            let usual = run.service_time.scale(slowdown);
            let is_overdue = run.began + usual.scale(MAX_OVERDUE) < now;
            run.began + usual < until && !is_overdue
        };
        let ending = self.running.values().filter(ends).count();
        let released = self.cancelling.iter().filter(|end| **end < until).count();
        let (ahead, _) = self.queue.ahead(queued, now, slowdown);
        let taken = ahead.max(self.queue.fail_fast_count());
        let excess = self.used_slots().saturating_sub(self.allowed(now));
        let is_limited = self.next_send(now) >= until;
        taken + excess < ending + released && !is_limited
    }

    /// Number of late requests that may wait at an overloaded gate.
    fn max_late(&self, now: Moment) -> usize {
        (self.allowed(now) as f64 * LATE_SHARE).ceil() as usize
    }

    /// Whether a request that starts after `wait` misses its objective.
    fn will_be_late(&self, queued: &Queued, wait: Span, now: Moment) -> bool {
        let slowdown = match wait < SLOW_PERIOD {
            true => self.slowdown_factor(now),
            false => 1.0,
        };
        queued.is_late(now + wait, slowdown)
    }

    /// The queued requests that will miss their objective, in the order in which they would start.
    fn expected_late(&self, now: Moment) -> Vec<AttemptId> {
        let (mut ahead, mut work) = (0, Span::default());
        let mut late = Vec::new();
        for queued in self.queue.sorted(now, self.slowdown_factor(now)) {
            let wait = self.expected_wait(ahead, work, now);
            if self.will_be_late(&queued, wait, now) {
                late.push(queued.id);
            }
            (ahead, work) = (ahead + 1, work + queued.rank.service_time);
        }
        late
    }

    /// Refuses the late requests that an overloaded gate is unlikely to start, so that their
    /// callers can go elsewhere or retry.
    fn refuse_excess_late(&mut self, now: Moment) -> Vec<Action> {
        if now >= self.overloaded_until || self.queue.len() <= self.max_late(now) {
            return Vec::new();
        }
        let late = self.expected_late(now);
        let mut actions = Vec::new();
        for id in late.into_iter().skip(self.max_late(now)) {
            self.queue.remove(id);
            actions.extend(self.refuse_for_capacity(id, false, now));
        }
        actions
    }

    /// Whether a request that starts at `start` may still run when the process exits: the backend server
    /// may turn slow meanwhile.
    pub(super) fn may_be_cut(&self, queued: &Queued, start: Moment) -> bool {
        let end = start + queued.rank.service_time.scale(MAX_SLOWDOWN);
        let is_cut = |exit_at| queued.deadline > exit_at && end > exit_at;
        self.exit_at.is_some_and(is_cut)
    }

    /// Refuses the requests that can no longer meet their deadline since others start before them, or that the
    /// exit of the process may cut.
    pub(super) fn refuse_displaced(&mut self, now: Moment) -> Vec<Action> {
        let (mut ahead, mut work) = (0, Span::default());
        let mut actions = Vec::new();
        for queued in self.queue.sorted(now, self.slowdown_factor(now)) {
            let start = now + self.expected_wait(ahead, work, now);
            let end = start + queued.rank.service_time;
            if end > queued.deadline {
                self.queue.remove(queued.id);
                actions.extend(self.refuse_for_capacity(queued.id, false, now));
            } else if self.may_be_cut(&queued, start) {
                self.queue.remove(queued.id);
                actions.extend(self.refuse(queued.id, Refusal::Stopping, Span::default()));
            } else {
                (ahead, work) = (ahead + 1, work + queued.rank.service_time);
            }
        }
        actions
    }

    /// Present service time as a multiple of the usual one.
    pub(super) fn slowdown_factor(&self, now: Moment) -> f64 {
        f64::from(self.slowdown_percent(now)) / f64::from(NO_SLOWDOWN_PERCENT)
    }

    /// Expected wait behind `ahead` requests with a total service time of `work`.
    pub(super) fn expected_wait(&self, ahead: usize, work: Span, now: Moment) -> Span {
        let remaining = |run: &Run| (run.began + run.service_time).since(now);
        let running = self.running.values().map(remaining);
        let total = running.fold(work, |sum, time| sum + time);
        let slots = self.allowed(now) as f64;
        total
            .scale(1.0 / slots)
            .max(self.cold.wait(ahead, now))
            .max(self.rate.wait(ahead, now))
    }

    pub(super) fn queue_wait(&self, now: Moment) -> Span {
        let queued = self.queue.sorted(now, 1.0);
        let work = queued
            .iter()
            .fold(Span::default(), |sum, q| sum + q.rank.service_time);
        self.expected_wait(queued.len(), work, now)
    }

    pub(super) fn start_queued(&mut self, now: Moment) -> Vec<Action> {
        self.cancelling.retain(|until| *until > now);
        let mut actions = Vec::new();
        for queued in self.queue.expire(now) {
            actions.extend(match queued.wait_until {
                Some(_) => self.refuse_for_capacity(queued.id, true, now),
                None => self.refuse(queued.id, Refusal::Late, Span::default()),
            });
        }
        for id in self.reservations.expire(now) {
            actions.extend(self.refuse(id, Refusal::Cancelled, Span::default()));
        }
        actions.extend(self.refuse_excess_late(now));
        // The queued requests were admitted under a view that is no longer valid.
        if now > self.lease_end {
            actions.extend(self.refuse_queued(Refusal::Stale));
        }
        while self.has_capacity(now) {
            let slowdown = self.slowdown_factor(now);
            if self.reserves_slot(now) && self.queue.late_count(now, slowdown) == self.queue.len() {
                break;
            }
            let Some(queued) = self.queue.pop(now, slowdown) else {
                break;
            };
            actions.extend(self.start(&queued, now));
        }
        actions
    }

    pub(super) fn refuse_queued(&mut self, refusal: Refusal) -> Vec<Action> {
        let queued = self.queue.drain().into_iter();
        queued
            .chain(self.reservations.drain())
            .flat_map(|id| self.refuse(id, refusal, Span::default()))
            .collect()
    }
}
