//! What a call's driver tells of the way to other availability zones.

use route::Trip;
use types::{Moment, Size};

use super::{CallDriver, Event};

impl CallDriver {
    /// What the call loses by leaving its zone now.
    pub(super) fn trip(&self, now: Moment) -> Trip {
        let slack = self.routed.objective.since(now + self.service_time);
        Trip {
            bytes: Size(self.routed.request.body.len() as u64),
            slack,
            spare: !self.routed.nested && slack >= self.service_time,
        }
    }

    /// Records the round trip of an attempt. Replies to queries don't tell it, as the attempt they are about was
    /// sent earlier.
    pub(super) fn record_round_trip(&self, event: &Event, now: Moment) {
        let Event::RunEnded {
            attempt,
            result: Ok(reply),
            sent_at,
        } = event
        else {
            return;
        };
        let server = &self.attempts[*attempt].server;
        let took = now.since(*sent_at);
        self.ingress.services.record_round_trip(
            &self.routed.service,
            server,
            took,
            reply.service_time,
        );
    }
}
