//! Sustained overload of a whole service: a third more requests arrive than its backend servers can
//! complete, and each request makes fail-fast attempts at several gates before it may wait at one.
//!
//! The tests count the responses within their objective, the late ones, and how long refused
//! requests waited.

mod support;

use std::collections::BTreeMap;

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Outcome, Slots, Span};

const GATES: usize = 12;
const SLOTS: u32 = 4;
/// Range of the service time, uniformly distributed.
const SERVICE_MS: (u64, u64) = (50, 150);
const OBJECTIVE: Span = Span::from_millis(200);
const DEADLINE: Span = Span::from_millis(800);
/// Time that a refused attempt takes.
const REFUSAL_MS: u64 = 5;
const MAX_ATTEMPTS: usize = 6;
const DURATION_MS: u64 = 8_000;
/// Requests that the backend servers can complete in `DURATION_MS`.
const CAPACITY: u64 =
    GATES as u64 * SLOTS as u64 * DURATION_MS / ((SERVICE_MS.0 + SERVICE_MS.1) / 2);
/// Requests that arrive, a third more than that.
const OFFERED: u64 = CAPACITY * 4 / 3;

/// Progress of one request.
#[derive(Debug)]
struct Call {
    arrived: Moment,
    attempts_made: usize,
}

#[derive(Debug, Default)]
struct Counts {
    in_time: u64,
    late: u64,
    refused: u64,
    /// Requests refused after more than half of the time to their deadline.
    refused_late: u64,
}

struct Simulation {
    gates: Vec<OpenGate>,
    calls: Vec<Call>,
    /// Scheduled attempts of calls, by time.
    scheduled: BTreeMap<(Moment, usize), ()>,
    /// Scheduled completions at gates, by time.
    completions: BTreeMap<(Moment, usize, AttemptId), usize>,
    /// The call of each attempt, by gate and attempt.
    attempts: BTreeMap<(usize, AttemptId), usize>,
    counts: Counts,
    rng: SmallRng,
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
            gates: (0..GATES).map(|_| OpenGate::new(limits.clone())).collect(),
            calls: Vec::new(),
            scheduled: BTreeMap::new(),
            completions: BTreeMap::new(),
            attempts: BTreeMap::new(),
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn attempt(&mut self, call: usize, now: Moment) {
        let gate = self.rng.random_range(0..GATES);
        let Call {
            arrived,
            attempts_made,
        } = &mut self.calls[call];
        *attempts_made += 1;
        let offer = Offer {
            fail_fast: *attempts_made < MAX_ATTEMPTS,
            rank: Rank {
                objective: *arrived + OBJECTIVE,
                service_time: Span::from_millis((SERVICE_MS.0 + SERVICE_MS.1) / 2),
                priority: 0,
                nested: false,
                parent: None,
            },
            ..self.gates[gate].offer(*arrived + DEADLINE)
        };
        self.attempts.insert((gate, offer.id), call);
        let actions = self.gates[gate].gate.offer(offer, now);
        self.carry_out(gate, actions, now);
    }

    fn carry_out(&mut self, gate: usize, actions: Vec<Action>, now: Moment) {
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    let service_time =
                        Span::from_millis(self.rng.random_range(SERVICE_MS.0..=SERVICE_MS.1));
                    self.completions
                        .insert((now + service_time, gate, id), gate);
                }
                Action::Reply(id, outcome) => self.reply(self.attempts[&(gate, id)], &outcome, now),
                Action::Cancel(_) | Action::Probe => {}
            }
        }
    }

    fn reply(&mut self, call: usize, outcome: &Outcome, now: Moment) {
        let Call {
            arrived,
            attempts_made,
        } = self.calls[call];
        let latency = now.since(arrived);
        match outcome {
            Outcome::Answer(_) if latency <= OBJECTIVE => self.counts.in_time += 1,
            Outcome::Answer(_) => self.counts.late += 1,
            _ if attempts_made < MAX_ATTEMPTS => {
                let next = now + Span::from_millis(REFUSAL_MS);
                self.scheduled.insert((next, call), ());
            }
            _ => {
                self.counts.refused += 1;
                self.counts.refused_late += u64::from(latency > Span(DEADLINE.0 / 2));
            }
        }
    }

    fn step(&mut self, now: Moment) {
        while let Some((&(at, gate, id), _)) = self.completions.first_key_value()
            && at <= now
        {
            self.completions.remove(&(at, gate, id));
            let completion = Completion::Answered(Answer::default().into());
            let actions = self.gates[gate].gate.complete(id, completion, now);
            self.carry_out(gate, actions, now);
        }
        while let Some((&(at, call), ())) = self.scheduled.first_key_value()
            && at <= now
        {
            self.scheduled.remove(&(at, call));
            self.attempt(call, now);
        }
        for gate in 0..GATES {
            let actions = self.gates[gate].gate.tick(now);
            self.carry_out(gate, actions, now);
        }
    }
}

fn simulate() -> Counts {
    let mut simulation = Simulation::new();
    let start = Moment(10_000_000);
    for ms in 0..DURATION_MS {
        let now = start + Span::from_millis(ms);
        let due = OFFERED * (ms + 1) / DURATION_MS;
        while (simulation.calls.len() as u64) < due {
            let call = simulation.calls.len();
            simulation.calls.push(Call {
                arrived: now,
                attempts_made: 0,
            });
            simulation.scheduled.insert((now, call), ());
        }
        simulation.step(now);
    }
    println!("{:?} of a capacity of {CAPACITY}", simulation.counts);
    simulation.counts
}

#[test]
fn most_of_the_capacity_goes_to_responses_within_their_objective() {
    let counts = simulate();
    assert!(
        counts.in_time * 10 >= CAPACITY * 7,
        "{counts:?} of {CAPACITY}"
    );
}

#[test]
fn slots_are_not_left_empty() {
    let counts = simulate();
    let done = counts.in_time + counts.late;
    assert!(done * 10 >= CAPACITY * 9, "{counts:?} of {CAPACITY}");
}

#[test]
fn few_requests_wait_long_only_to_be_refused() {
    let counts = simulate();
    assert!(
        counts.refused_late * 20 <= OFFERED,
        "{counts:?} of {OFFERED}"
    );
}
