//! Fail-fast nested requests at a full gate: which of them wait, for how long, and whom they overtake.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use proptest::{collection::vec, prelude::*};
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Outcome, Refusal, Slots, Span};

const SLOTS: usize = 4;
const START: Moment = Moment(10_000_000);
const DEADLINE: Span = Span::from_millis(2_000);
/// Service time of the requests that fill the gate.
const LONG: Span = Span::from_millis(200);
/// Service time of a nested request.
const SHORT: Span = Span::from_millis(40);
/// Longest wait of a fail-fast nested request, half of its service time.
const MAX_WAIT: Span = Span::from_millis(20);
/// Time from which on all slots of a full gate are about to come free within that wait.
const NEARLY_FREE_MS: u64 = 185;

/// A gate whose backend server is warm, and the requests that it knows of.
struct Harness {
    open_gate: OpenGate,
    now: Moment,
    waiting: BTreeMap<AttemptId, Offer>,
    running: BTreeSet<AttemptId>,
    refused: BTreeMap<AttemptId, (Refusal, Moment)>,
}

impl Harness {
    /// A gate whose slots were taken at `START` by requests that take [`LONG`].
    fn full(nested_waits: bool) -> Self {
        let limits = Limits {
            slots: Slots(SLOTS as u32),
            cold: Slots(SLOTS as u32),
            warm_ms: 0,
            queue: Slots(64),
            ..Limits::default()
        };
        let mut open_gate = OpenGate::new(limits);
        if nested_waits {
            open_gate.gate = open_gate.gate.with_nested_waits();
        }
        let mut harness = Self {
            open_gate,
            now: START,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            refused: BTreeMap::new(),
        };
        for _ in 0..SLOTS {
            harness.offer(false, caller(0, Span::from_millis(1_000)));
        }
        harness
    }

    fn offer(&mut self, fail_fast: bool, rank: Rank) -> AttemptId {
        let rank = Rank {
            objective: self.now + rank.objective.since(Moment(0)),
            ..rank
        };
        let offer = Offer {
            fail_fast,
            rank,
            ..self.open_gate.offer(self.now + DEADLINE)
        };
        let id = offer.id;
        self.waiting.insert(id, offer);
        let actions = self.open_gate.gate.offer(offer, self.now);
        self.record(actions);
        id
    }

    /// Offers a fail-fast nested request with an objective of 150 ms.
    fn nested(&mut self) -> AttemptId {
        self.offer(true, nested(0))
    }

    fn record(&mut self, actions: Vec<Action>) -> Vec<AttemptId> {
        let mut started = Vec::new();
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    self.waiting.remove(&id);
                    self.running.insert(id);
                    started.push(id);
                }
                Action::Reply(id, Outcome::NotRun { refusal, .. }) => {
                    self.waiting.remove(&id);
                    self.refused.insert(id, (refusal, self.now));
                }
                _ => {}
            }
        }
        started
    }

    /// Ends the request that has been running for longest. Returns those that start.
    fn complete(&mut self) -> Vec<AttemptId> {
        let Some(id) = self.running.pop_first() else {
            return Vec::new();
        };
        let answered = Completion::Answered(Answer::default().into());
        let actions = self.open_gate.gate.complete(id, answered, self.now);
        self.record(actions)
    }

    /// Lets time pass until a millisecond count since `START`, with ticks when the gate asks for them.
    fn wait_until(&mut self, ms: u64) {
        let until = START + Span::from_millis(ms);
        while let Some(at) = self.open_gate.gate.next_tick(self.now)
            && at <= until
        {
            self.now = self.now.max(at);
            let before = self.open_gate.gate.next_tick(self.now);
            let actions = self.open_gate.gate.tick(self.now);
            self.record(actions);
            if self.open_gate.gate.next_tick(self.now) == before {
                break;
            }
        }
        self.now = self.now.max(until);
        let actions = self.open_gate.gate.tick(self.now);
        self.record(actions);
    }
}

fn caller(priority: u32, objective: Span) -> Rank {
    Rank {
        objective: Moment(0) + objective,
        service_time: LONG,
        priority,
        nested: false,
    }
}

fn nested(priority: u32) -> Rank {
    Rank {
        objective: Moment(0) + Span::from_millis(150),
        service_time: SHORT,
        priority,
        nested: true,
    }
}

#[test]
fn a_nested_request_waits_for_a_slot_that_comes_free_in_time() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let id = harness.nested();
    assert!(harness.waiting.contains_key(&id));
    harness.wait_until(200);
    assert_eq!(harness.complete(), [id]);
}

#[test]
fn without_the_option_no_fail_fast_request_waits() {
    let mut harness = Harness::full(false);
    harness.wait_until(NEARLY_FREE_MS);
    let id = harness.nested();
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[test]
fn a_nested_request_is_refused_at_once_while_no_slot_is_about_to_come_free() {
    let mut harness = Harness::full(true);
    harness.wait_until(100);
    let id = harness.nested();
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[test]
fn fail_fast_requests_of_callers_never_wait() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let id = harness.offer(true, caller(0, Span::from_millis(1_000)));
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[test]
fn no_more_nested_requests_wait_than_slots_come_free() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let ids: Vec<_> = (0..SLOTS + 2).map(|_| harness.nested()).collect();
    assert_eq!(harness.waiting.len(), SLOTS);
    assert!(
        ids[SLOTS..]
            .iter()
            .all(|id| harness.refused[id].0 == Refusal::Busy)
    );
}

#[test]
fn a_slot_that_a_more_urgent_request_takes_is_not_waited_for() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let urgent = Span::from_millis(1_000);
    for _ in 0..SLOTS {
        harness.offer(false, caller(0, urgent));
    }
    let id = harness.offer(true, nested(1));
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[test]
fn a_nested_request_whose_slot_does_not_come_is_refused_in_time() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let id = harness.nested();
    harness.wait_until(400);
    let refused_at = START + Span::from_millis(NEARLY_FREE_MS) + MAX_WAIT;
    assert_eq!(harness.refused[&id], (Refusal::Busy, refused_at));
}

#[test]
fn a_slot_whose_request_is_long_overdue_is_not_waited_for() {
    let mut harness = Harness::full(true);
    harness.wait_until(300);
    let id = harness.nested();
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[test]
fn a_nested_request_does_not_wait_beyond_its_objective() {
    let mut harness = Harness::full(true);
    harness.wait_until(NEARLY_FREE_MS);
    let rank = Rank {
        objective: Moment(0) + SHORT,
        ..nested(0)
    };
    let id = harness.offer(true, rank);
    assert_eq!(harness.refused[&id], (Refusal::Busy, harness.now));
}

#[derive(Debug, Clone)]
enum Step {
    Caller { priority: u32, objective_ms: u64 },
    Nested { priority: u32 },
    Complete,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..3_u32, 100..1_500_u64)
            .prop_map(|(priority, objective_ms)| Step::Caller { priority, objective_ms }),
        4 => (0..3_u32).prop_map(|priority| Step::Nested { priority }),
        3 => Just(Step::Complete),
        2 => (1..30_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Whether a request of a caller that waits at `now` is more urgent than a nested one.
fn is_more_urgent(waiting: &Offer, nested: &Offer, now: Moment) -> bool {
    let key = |offer: &Offer| (offer.rank.priority, offer.rank.objective);
    let in_time = now + waiting.rank.service_time <= waiting.rank.objective;
    !waiting.rank.nested && in_time && key(waiting) < key(nested)
}

proptest! {
    /// No inversion: a fail-fast nested request that has waited never starts before a more urgent request of a caller. No
    /// starvation: it starts or is refused within half of its service time.
    #[test]
    fn nested_requests_overtake_no_urgent_ones_and_wait_briefly(steps in vec(step(), 1..120)) {
        let mut harness = Harness::full(true);
        let mut nested_offers = BTreeMap::new();
        harness.wait_until(150);
        for step in steps {
            let before = harness.waiting.clone();
            let ms = harness.now.since(START).as_millis();
            let started = match step {
                Step::Caller { priority, objective_ms } => {
                    harness.offer(false, caller(priority, Span::from_millis(objective_ms)));
                    Vec::new()
                }
                Step::Nested { priority } => {
                    let id = harness.offer(true, nested(priority));
                    nested_offers.insert(id, harness.now);
                    Vec::new()
                }
                Step::Complete => harness.complete(),
                Step::Wait { ms: more } => {
                    harness.wait_until(ms + more);
                    Vec::new()
                }
            };
            for id in started {
                let Some(offer) = before.get(&id).filter(|offer| offer.fail_fast) else { continue };
                let overtaken = harness.waiting.values().find(|w| is_more_urgent(w, offer, harness.now));
                prop_assert!(overtaken.is_none(), "{:?} before {overtaken:?}", offer);
            }
            for (id, offered) in &nested_offers {
                let is_over = harness.now > *offered + MAX_WAIT;
                prop_assert!(!(is_over && harness.waiting.contains_key(id)), "{id} still waits");
            }
            for (id, (_, at)) in &harness.refused {
                if let Some(offered) = nested_offers.get(id) {
                    prop_assert!(*at <= *offered + MAX_WAIT, "{id} was refused late");
                }
            }
        }
    }
}
