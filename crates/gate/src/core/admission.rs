//! Which requests start, wait or are refused at a gate that takes work.
//!
//! The load that this answers, and the order of what waits, are in [`crate::queue`].

use types::{AttemptId, Moment, Refusal, Span};

use super::{Fate, Gate, Run, USUAL_PACE};
use crate::{
    event::{Action, Offer},
    queue::{Rank, Waiting},
};

/// Time for which a gate counts as pressed after a request that can still be answered within its
/// objective found no slot: half of the shortest objective of the users, 150 ms.
const PRESSED: Span = Span::from_millis(75);
/// Part of the slots for each of which a request that is late anyway may wait at a pressed gate.
const LATE_SHARE: f64 = 0.25;

impl Gate {
    /// Whether a request that comes may start at once. Only late ones may wait meanwhile, for a slot
    /// that is kept from them.
    pub(super) fn has_slot(&self, offer: &Offer, now: Moment) -> bool {
        let slowness = self.slowness(now);
        let late = self.waiting(offer).is_late(now, slowness);
        let passes = match late {
            true => self.queue.len() == 0 && !self.keeps_slot(now),
            false => self.queue.late(now, slowness) == self.queue.len(),
        };
        passes && self.may_start(now)
    }

    /// Whether the last free slot is kept for requests that can still be answered within their
    /// objective. Some of those found none a moment ago.
    fn keeps_slot(&self, now: Moment) -> bool {
        let allowed = self.allowance.allowed(now);
        now < self.pressed && allowed > 1 && self.taken() + 1 >= allowed
    }

    /// Whether the backend server bears one more request now.
    fn may_start(&self, now: Moment) -> bool {
        self.taken() < self.allowance.allowed(now) && self.cold.next(now) <= now
    }

    pub(super) fn waiting(&self, offer: &Offer) -> Waiting {
        let service_time = match offer.rank.service_time {
            Span(0) => self.allowance.typical(),
            known => known,
        };
        Waiting {
            id: offer.id,
            deadline: offer.deadline,
            rank: Rank {
                service_time,
                ..offer.rank
            },
        }
    }

    pub(super) fn enqueue(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        let waiting = self.waiting(&offer);
        let full = self.queue.len() >= self.limits.queue.0 as usize;
        let slowness = self.slowness(now);
        let (ahead, work) = self.queue.ahead(&waiting, now, slowness);
        let wait = self.wait(ahead, work, now);
        let late = now + wait + waiting.rank.service_time > offer.deadline;
        let missed = waiting.is_late(now, slowness);
        let crowded =
            missed && now < self.pressed && self.queue.late(now, slowness) >= self.most_late(now);
        if !missed {
            self.pressed = now + PRESSED;
        }
        if offer.fail_fast || full || late || crowded {
            return self.refuse(offer.id, Refusal::Busy, self.wait_behind_all(now));
        }
        self.sessions.record(offer.id, Fate::Open);
        self.queue.push(waiting);
        self.refuse_displaced(now)
    }

    /// Number of late requests that may wait at a pressed gate.
    fn most_late(&self, now: Moment) -> usize {
        (self.allowance.allowed(now) as f64 * LATE_SHARE).ceil() as usize
    }

    /// Refuses the late requests that a pressed gate won't come to: their callers may still be served
    /// elsewhere, or come back.
    fn refuse_late_beyond(&mut self, now: Moment) -> Vec<Action> {
        if now >= self.pressed || self.queue.len() <= self.most_late(now) {
            return Vec::new();
        }
        let slowness = self.slowness(now);
        let ranked = self.queue.ranked(now, slowness);
        let late = ranked.iter().filter(|w| w.is_late(now, slowness));
        let beyond: Vec<AttemptId> = late.skip(self.most_late(now)).map(|w| w.id).collect();
        let mut actions = Vec::new();
        for id in beyond {
            self.queue.remove(id);
            let after = self.wait_behind_all(now);
            actions.extend(self.refuse(id, Refusal::Busy, after));
        }
        actions
    }

    /// Refuses what can no longer be answered in time, now that others start before it.
    fn refuse_displaced(&mut self, now: Moment) -> Vec<Action> {
        let (mut ahead, mut work) = (0, Span::default());
        let mut actions = Vec::new();
        for waiting in self.queue.ranked(now, self.slowness(now)) {
            let start = now + self.wait(ahead, work, now);
            if start + waiting.rank.service_time > waiting.deadline {
                self.queue.remove(waiting.id);
                let after = self.wait_behind_all(now);
                actions.extend(self.refuse(waiting.id, Refusal::Busy, after));
            } else {
                (ahead, work) = (ahead + 1, work + waiting.rank.service_time);
            }
        }
        actions
    }

    /// How many times as long as usual work takes now.
    fn slowness(&self, now: Moment) -> f64 {
        f64::from(self.pace(now)) / f64::from(USUAL_PACE)
    }

    /// Expected wait behind `ahead` requests whose work takes `work` together.
    fn wait(&self, ahead: usize, work: Span, now: Moment) -> Span {
        let left = |run: &Run| (run.began + run.expected).since(now);
        let running = self.running.values().map(left);
        let whole = running.fold(work, |sum, left| sum + left);
        let slots = self.allowance.allowed(now) as f64;
        whole.scale(1.0 / slots).max(self.cold.wait(ahead, now))
    }

    pub(super) fn wait_behind_all(&self, now: Moment) -> Span {
        let waiting = self.queue.ranked(now, 1.0);
        let work = waiting
            .iter()
            .fold(Span::default(), |sum, w| sum + w.rank.service_time);
        self.wait(waiting.len(), work, now)
    }

    pub(super) fn start_waiting(&mut self, now: Moment) -> Vec<Action> {
        self.leaving.retain(|until| *until > now);
        let mut actions = Vec::new();
        for id in self.queue.expire(now) {
            actions.extend(self.refuse_late(id));
        }
        actions.extend(self.refuse_late_beyond(now));
        // What waits was let in by a view that may no longer be acted on.
        if now > self.fresh {
            actions.extend(self.refuse_waiting(Refusal::Stale));
        }
        while self.may_start(now) {
            let slowness = self.slowness(now);
            if self.keeps_slot(now) && self.queue.late(now, slowness) == self.queue.len() {
                break;
            }
            let Some(waiting) = self.queue.pop(now, slowness) else {
                break;
            };
            actions.extend(self.start(&waiting, now));
        }
        actions
    }

    fn refuse_late(&mut self, id: AttemptId) -> Vec<Action> {
        self.refuse(id, Refusal::Late, Span::default())
    }

    pub(super) fn refuse_waiting(&mut self, refusal: Refusal) -> Vec<Action> {
        let waiting = self.queue.drain();
        waiting
            .into_iter()
            .flat_map(|id| self.refuse(id, refusal, Span::default()))
            .collect()
    }
}
