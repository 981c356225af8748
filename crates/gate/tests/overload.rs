//! Sustained overload of one gate: for five seconds, requests arrive at twice the rate that the
//! backend server can complete.
//!
//! The tests count the responses within their objective, the late ones, and how long refused
//! requests waited.

mod support;

use std::collections::BTreeMap;

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Outcome, Slots, Span};

const SLOTS: u32 = 4;
const SERVICE_TIME: Span = Span::from_millis(100);
const DURATION_MS: u64 = 5_000;
/// Requests that the backend server can complete in `DURATION_MS`.
const CAPACITY: usize = (SLOTS as u64 * DURATION_MS / 100) as usize;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
struct Class {
    every_ms: u64,
    objective: Span,
    deadline: Span,
    priority: u32,
}

const URGENT: Class = Class {
    every_ms: 50,
    objective: Span::from_millis(250),
    deadline: Span::from_millis(600),
    priority: 0,
};
const COMMON: Class = Class {
    every_ms: 17,
    objective: Span::from_millis(400),
    deadline: Span::from_millis(1_000),
    priority: 2,
};

#[derive(Debug, Default)]
struct Counts {
    offered: usize,
    in_time: usize,
    late: usize,
    /// Longest wait of a refused request.
    refused_wait: Span,
}

struct Simulation {
    open_gate: OpenGate,
    arrived: BTreeMap<AttemptId, (Class, Moment)>,
    running: BTreeMap<AttemptId, Moment>,
    counts: BTreeMap<u32, Counts>,
}

impl Simulation {
    fn new() -> Self {
        let limits = Limits {
            slots: Slots(SLOTS),
            cold: Slots(SLOTS),
            warm_ms: 0,
            queue: Slots(256),
            ..Limits::default()
        };
        Self {
            open_gate: OpenGate::new(limits),
            arrived: BTreeMap::new(),
            running: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn offer(&mut self, class: Class, now: Moment) {
        let offer = Offer {
            rank: Rank {
                objective: now + class.objective,
                service_time: SERVICE_TIME,
                priority: class.priority,
                nested: false,
                parent: None,
            },
            ..self.open_gate.offer(now + class.deadline)
        };
        self.arrived.insert(offer.id, (class, now));
        self.counts.entry(class.priority).or_default().offered += 1;
        let actions = self.open_gate.gate.offer(offer, now);
        self.carry_out(actions, now);
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Moment) {
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    self.running.insert(id, now + SERVICE_TIME);
                }
                Action::Reply(id, outcome) => {
                    let (class, arrived) = self.arrived[&id];
                    let counts = self.counts.entry(class.priority).or_default();
                    let latency = now.since(arrived);
                    match outcome {
                        Outcome::Answer(_) if latency <= class.objective => counts.in_time += 1,
                        Outcome::Answer(_) => counts.late += 1,
                        _ => counts.refused_wait = counts.refused_wait.max(latency),
                    }
                }
                Action::Cancel(_) | Action::Probe => {}
            }
        }
    }

    fn step(&mut self, now: Moment) {
        let done: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.running.remove(&id);
            let completion = Completion::Answered(Answer::default().into());
            let actions = self.open_gate.gate.complete(id, completion, now);
            self.carry_out(actions, now);
        }
        let actions = self.open_gate.gate.tick(now);
        self.carry_out(actions, now);
    }
}

fn simulate() -> BTreeMap<u32, Counts> {
    let mut simulation = Simulation::new();
    let start = Moment(10_000_000);
    for ms in 0..DURATION_MS {
        let now = start + Span::from_millis(ms);
        simulation.step(now);
        for class in [URGENT, COMMON] {
            if ms % class.every_ms == 0 {
                simulation.offer(class, now);
            }
        }
    }
    simulation.counts
}

#[test]
fn most_of_the_capacity_goes_to_responses_within_their_objective() {
    let counts = simulate();
    let offered: usize = counts.values().map(|c| c.offered).sum();
    assert!(offered > 3 * CAPACITY / 2, "{offered} of {CAPACITY}");
    let in_time: usize = counts.values().map(|c| c.in_time).sum();
    assert!(in_time * 10 >= CAPACITY * 8, "{counts:?}");
}

#[test]
fn urgent_requests_meet_their_objective_under_overload() {
    let counts = simulate();
    let urgent = &counts[&URGENT.priority];
    assert!(urgent.in_time * 10 >= urgent.offered * 9, "{counts:?}");
}

#[test]
fn requests_do_not_wait_until_the_deadline_only_to_be_refused() {
    let counts = simulate();
    let common = &counts[&COMMON.priority];
    let latest = Span(COMMON.deadline.0 - SERVICE_TIME.0);
    assert!(common.refused_wait < latest, "{counts:?}");
}
