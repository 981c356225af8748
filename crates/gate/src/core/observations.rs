//! What a gate learns of its backend server from responses and from other nodes.

use types::{Boot, Moment, NamedLimit, Rate, Refusal, Span};

use super::Gate;
use crate::{
    concurrency::Feedback,
    event::Action,
    rate_limit::{LimitSource, LimitState},
    room::Room,
};

/// Time for which nothing is sent to a backend server that isn't the listed one. If its probes name no
/// backend server, a request finds out afterwards.
const REPLACED_PERIOD: Span = Span::from_millis(1_000);

impl Gate {
    /// Records whether the backend server at the address says that it is the listed one. If it isn't,
    /// nothing is sent to it, and the queued requests are refused.
    pub fn observe_identity(&mut self, is_listed: bool, now: Moment) -> Vec<Action> {
        match is_listed {
            true => {
                self.replaced_until = Moment(0);
                Vec::new()
            }
            false => {
                self.replaced_until = now + REPLACED_PERIOD;
                self.refuse_queued(Refusal::Misplaced)
            }
        }
    }

    /// Records the incarnation that the backend server named. A new incarnation is cold. Returns whether it
    /// is a new one.
    pub fn observe_boot(&mut self, server: Boot, now: Moment) -> bool {
        let before = self.server_boot.replace(server);
        let is_new = before.is_some_and(|b| b != server);
        if is_new {
            self.cold.invalidate();
            self.reset_room();
            self.concurrency.record(Feedback::Restarted, now);
        }
        is_new
    }

    /// Records the backend server's report, requested at `asked`, that it stays cold for
    /// `warmup_left`.
    pub fn observe_cold(&mut self, warmup_left: Span, asked: Moment, now: Moment) -> Vec<Action> {
        self.cold
            .observe(warmup_left, self.limits.warmup(), asked, now);
        self.start_queued(now)
    }

    /// Records the backend server's report of its service time, in percent of the usual one.
    pub fn observe_slowdown(&mut self, percent: u32, now: Moment) {
        self.slowdown_report = (percent, now);
    }

    /// Records the backend server's report of the requests that it runs and queues, and of its slots.
    pub fn observe_occupancy(&mut self, occupancy: u32, slots: u32, now: Moment) {
        if let Some(room) = &mut self.room {
            room.observe_occupancy(occupancy, slots, now);
        }
    }

    /// Requests that the backend server has room for, if its resets have shown that.
    pub fn learned_room(&self) -> Option<usize> {
        self.room.as_ref().and_then(Room::learned)
    }

    /// Requests that may be at the backend server by its learned room.
    pub(super) fn room_limit(&self) -> usize {
        self.room.as_ref().map_or(usize::MAX, Room::limit)
    }

    /// Forgets the room of a backend server that was replaced or has restarted.
    pub(super) fn reset_room(&mut self) {
        self.room.iter_mut().for_each(Room::reset);
    }

    /// Whether another backend server has been listed since `sent_at`, so that the response to a request
    /// of that time says nothing of the present one.
    pub fn was_replaced_since(&self, sent_at: Moment) -> bool {
        sent_at < self.listed_at
    }

    /// Records the limit that a response named, to a request or a probe sent at `sent_at`.
    pub fn observe_limit(
        &mut self,
        named: NamedLimit,
        source: LimitSource,
        sent_at: Moment,
        now: Moment,
    ) -> Vec<Action> {
        if self.was_replaced_since(sent_at) || !self.rate.observe(named, source, sent_at, now) {
            return Vec::new();
        }
        self.probes.set_min_interval(self.rate.probe_interval());
        self.start_queued(now)
    }

    /// Records the limit that an ingress knows. It holds until a response arrives.
    pub fn learn_limit(&mut self, rate: Rate, now: Moment) {
        self.rate.learn(rate, now);
        self.probes.set_min_interval(self.rate.probe_interval());
    }

    /// The limit that the backend server has named, if any.
    pub fn named_limit(&self, now: Moment) -> Option<LimitState> {
        self.rate.state(now)
    }
}
