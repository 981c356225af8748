//! Attempts with values that no correct ingress sends must not end the process.

mod support;

use gate::{Action, Completion, Offer, Query, Rank, RouteProfiles};
use note::Limits;
use proptest::prelude::*;
use smol_str::SmolStr;
use support::OpenGate;
use types::{Answer, Moment, Seq, Slots, Span};

const QUERIES: [Query; 3] = [Query::Outcome, Query::Withdraw, Query::Cancel];

/// Values near the ends of the range, and some in between.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        (u64::MAX - 3)..=u64::MAX,
        10_000_000..11_000_000_u64,
        any::<u64>()
    ]
}

fn offer() -> impl Strategy<Value = (u64, u64, u64, u64, u32, bool, bool)> {
    let flags = (any::<bool>(), any::<bool>());
    (number(), number(), number(), number(), any::<u32>(), flags)
        .prop_map(|(a, b, c, d, e, (f, g))| (a, b, c, d, e, f, g))
}

proptest! {
    #[test]
    fn a_gate_survives_any_offer_and_serves_the_next_one(
        offers in prop::collection::vec(offer(), 1..30),
    ) {
        let limits = Limits {
            slots: Slots(2),
            cold: Slots(2),
            warm_ms: 0,
            queue: Slots(8),
            ..Limits::default()
        };
        let mut open_gate = OpenGate::new(limits);
        let mut profiles = RouteProfiles::default();
        let mut now = Moment(10_000_000);
        let mut running = Vec::new();
        let route = SmolStr::new_static("r");
        let carry_out = |actions: Vec<Action>, running: &mut Vec<_>| {
            running.extend(actions.into_iter().filter_map(|action| match action {
                Action::Start(id, _) => Some(id),
                _ => None,
            }));
        };
        for (deadline, objective, service_time, seq, priority, nested, fail_fast) in offers {
            now = now + Span::from_millis(20);
            let mut offer = open_gate.offer(Moment(deadline));
            offer.id.seq = Seq(seq);
            let rank = Rank {
                objective: Moment(objective),
                service_time: Span(service_time),
                priority,
                nested,
                parent: (seq % 2 == 0).then_some(priority),
            };
            profiles.record_service_time(&route, Span(service_time));
            let rank = profiles.refine(&route, rank);
            carry_out(open_gate.gate.offer(Offer { fail_fast, rank, ..offer }, now), &mut running);
            carry_out(open_gate.gate.tick(now), &mut running);
            open_gate.gate.next_tick(now);
            open_gate.gate.query(offer.id, QUERIES[seq as usize % QUERIES.len()], now);
        }
        while let Some(id) = running.pop() {
            now = now + Span::from_millis(20);
            let completion = Completion::Answered(Answer::default().into());
            carry_out(open_gate.gate.complete(id, completion, now), &mut running);
        }
        prop_assert!(open_gate.gate.is_idle());
    }
}
