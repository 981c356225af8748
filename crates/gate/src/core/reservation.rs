//! Attempts that are admitted before their body has arrived.
//!
//! A large body takes a slow link for as long as many small messages, so it is sent only to a gate that will
//! take the request. Until it is whole, the attempt has a place in the queue, but no slot: the backend server
//! would idle while the body comes. A place is given up if nothing of the body arrives for a while.

use std::collections::BTreeMap;

use types::{AttemptId, Moment, Refusal, Size, Span};

use super::{AttemptState, Gate};
use crate::{
    event::{Action, Offer, Query},
    queue::Queued,
};

/// Time without any part of a body after which its place is given up: a lost packet is sent again several
/// times within it, and callers that are refused then can still go elsewhere.
const RESERVATION_TIME: Span = Span::from_millis(1_000);
/// Bytes of the bodies that may be on their way to one gate at a time, apart from a single larger one: a tenth
/// of the memory of small hosts.
const MAX_RESERVED_BYTES: u64 = 16 << 20;

#[derive(Debug)]
struct Reservation {
    queued: Queued,
    /// Size of the whole body.
    body: Size,
    expires: Moment,
}

/// The attempts whose bodies are on their way.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    entries: BTreeMap<AttemptId, Reservation>,
}

impl Reservations {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Removes an attempt. Returns whether it had a place.
    pub(super) fn remove(&mut self, id: AttemptId) -> bool {
        self.entries.remove(&id).is_some()
    }

    /// When the next place is given up.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.entries.values().map(Reservation::end).min()
    }

    /// Removes the attempts whose place is given up.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<AttemptId> {
        let is_over = |_: &AttemptId, r: &mut Reservation| r.end() <= now;
        let expired = self.entries.extract_if(.., is_over);
        expired.map(|(id, _)| id).collect()
    }

    /// Removes all attempts.
    pub(super) fn drain(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.entries).into_keys().collect()
    }

    fn bytes(&self) -> Size {
        Size(self.entries.values().map(|r| r.body.0).sum())
    }

    fn service_time(&self) -> Span {
        let times = self.entries.values().map(|r| r.queued.rank.service_time);
        times.fold(Span::default(), |sum, time| sum + time)
    }
}

impl Reservation {
    /// When the place is given up. An attempt that can't meet its deadline any more needs none.
    fn end(&self) -> Moment {
        self.expires.min(self.queued.latest_start())
    }
}

impl Gate {
    /// Offers an attempt whose `body` of this size follows: reserves a place in the queue for it, refuses it,
    /// or repeats the reply to one that arrived before. Without a reply it is pending, and
    /// [`deliver`](Self::deliver) is expected.
    pub fn offer_body(&mut self, offer: Offer, body: Size, now: Moment) -> Vec<Action> {
        self.arrive(offer, Some(body), now)
    }

    /// Keeps the place of an attempt, since a part of its body has arrived.
    pub fn extend_reservation(&mut self, id: AttemptId, now: Moment) {
        if let Some(reservation) = self.reservations.entries.get_mut(&id) {
            reservation.expires = now + RESERVATION_TIME;
        }
    }

    /// Starts or queues an attempt whose body has arrived to its end, or repeats the reply to one that has no
    /// place any more. Refuses it for `refusal`, or if its body isn't as long as it was said to be.
    pub fn deliver(
        &mut self,
        id: AttemptId,
        body: Size,
        refusal: Option<Refusal>,
        now: Moment,
    ) -> Vec<Action> {
        let Some(reservation) = self.reservations.entries.remove(&id) else {
            return self.query(id, Query::Outcome, now);
        };
        let refusal = match reservation.body == body {
            true => refusal,
            false => Some(Refusal::Cancelled),
        };
        if let Some(refusal) = refusal {
            return self.refuse(id, refusal, Span::default());
        }
        self.queue.push(reservation.queued);
        let mut actions = self.start_queued(now);
        actions.extend(self.refuse_displaced(now));
        actions
    }

    /// Whether an attempt is admitted, and its body hasn't arrived to its end.
    pub fn awaits_body(&self, id: AttemptId) -> bool {
        self.reservations.contains(id)
    }

    /// Number of attempts whose bodies are on their way, and the size of these bodies.
    pub fn reserved(&self) -> (usize, Size) {
        (self.reservations.len(), self.reservations.bytes())
    }

    /// Reserves a place for an attempt, or refuses it.
    pub(super) fn reserve(&mut self, offer: Offer, body: Size, now: Moment) -> Vec<Action> {
        if let Some((refusal, retry_after)) = self.early_refusal(&offer, now) {
            return self.refuse(offer.id, refusal, retry_after);
        }
        let queued = self.queued(&offer);
        let reserved = self.reservations.len();
        let bytes = self.reservations.bytes().0.saturating_add(body.0);
        let fits = reserved == 0 || bytes <= MAX_RESERVED_BYTES;
        let has_slot =
            self.starts_now(&offer, now) && self.used_slots() + reserved < self.allowed(now);
        if !fits || !(has_slot || self.may_wait_for_body(&offer, &queued, now)) {
            return self.refuse_for_capacity(offer.id, offer.fail_fast, now);
        }
        self.sessions.record(offer.id, AttemptState::Pending);
        let reservation = Reservation {
            queued,
            body,
            expires: now + RESERVATION_TIME,
        };
        self.reservations.entries.insert(offer.id, reservation);
        Vec::new()
    }

    /// As [`may_wait`](Self::may_wait), behind all attempts that have a place.
    fn may_wait_for_body(&mut self, offer: &Offer, queued: &Queued, now: Moment) -> bool {
        let (ahead, work) = self.queue.ahead(queued, now, self.slowdown_factor(now));
        let ahead = ahead + self.reservations.len();
        let work = work + self.reservations.service_time();
        let reserved = self.reservations.len();
        let full =
            reserved >= self.places_for_bodies() || self.queue.len() + reserved >= self.places();
        self.may_wait(offer, queued, self.expected_wait(ahead, work, now), now) && !full
    }
}
