//! An overload of a whole service that lasts: a third more comes than its backend servers get done, and
//! each request tries several gates at which it would rather not wait before it waits at one.
//!
//! What callers get is counted: answers within their objective, late ones, and how long those waited
//! who got none.

mod support;

use std::collections::BTreeMap;

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::Open;
use types::{Answer, AttemptId, Moment, Outcome, Slots, Span};

const GATES: usize = 12;
const SLOTS: u32 = 4;
/// Shortest and longest time of the work, all equally likely.
const WORK_MS: (u64, u64) = (50, 150);
const OBJECTIVE: Span = Span::from_millis(200);
const DEADLINE: Span = Span::from_millis(800);
/// Time that a refused try takes.
const TRY_MS: u64 = 5;
const TRIES: usize = 6;
const TIME_MS: u64 = 8_000;
/// Answers that the backend servers can give in that time.
const CAPACITY: u64 = GATES as u64 * SLOTS as u64 * TIME_MS / ((WORK_MS.0 + WORK_MS.1) / 2);
/// Requests that come, a third more than that.
const ASKED: u64 = CAPACITY * 4 / 3;

/// A request and where it is.
#[derive(Debug)]
struct Call {
    came: Moment,
    tried: usize,
}

#[derive(Debug, Default)]
struct Counts {
    in_time: u64,
    late: u64,
    refused: u64,
    /// Requests that waited for more than half of their deadline and were then refused.
    held: u64,
}

struct World {
    gates: Vec<Open>,
    calls: Vec<Call>,
    /// What comes next, by time: a try of a call, or the end of its work at a gate.
    tries: BTreeMap<(Moment, usize), ()>,
    ends: BTreeMap<(Moment, usize, AttemptId), usize>,
    attempts: BTreeMap<(usize, AttemptId), usize>,
    counts: Counts,
    rng: SmallRng,
}

impl World {
    fn new() -> Self {
        let limits = Limits {
            slots: Slots(SLOTS),
            cold: Slots(SLOTS),
            warm_ms: 0,
            queue: Slots(256),
            ..Limits::default()
        };
        Self {
            gates: (0..GATES).map(|_| Open::new(limits.clone())).collect(),
            calls: Vec::new(),
            tries: BTreeMap::new(),
            ends: BTreeMap::new(),
            attempts: BTreeMap::new(),
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn attempt(&mut self, call: usize, now: Moment) {
        let at = self.rng.random_range(0..GATES);
        let Call { came, tried } = &mut self.calls[call];
        *tried += 1;
        let offer = Offer {
            fail_fast: *tried < TRIES,
            rank: Rank {
                objective: *came + OBJECTIVE,
                service_time: Span::from_millis((WORK_MS.0 + WORK_MS.1) / 2),
                priority: 0,
                nested: false,
            },
            ..self.gates[at].offer(*came + DEADLINE)
        };
        self.attempts.insert((at, offer.id), call);
        let actions = self.gates[at].gate.offer(offer, now);
        self.take(at, actions, now);
    }

    fn take(&mut self, at: usize, actions: Vec<Action>, now: Moment) {
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    let work = Span::from_millis(self.rng.random_range(WORK_MS.0..=WORK_MS.1));
                    self.ends.insert((now + work, at, id), at);
                }
                Action::Reply(id, outcome) => self.reply(self.attempts[&(at, id)], &outcome, now),
                Action::Abort(_) | Action::Probe => {}
            }
        }
    }

    fn reply(&mut self, call: usize, outcome: &Outcome, now: Moment) {
        let Call { came, tried } = self.calls[call];
        let took = now.since(came);
        match outcome {
            Outcome::Answer(_) if took <= OBJECTIVE => self.counts.in_time += 1,
            Outcome::Answer(_) => self.counts.late += 1,
            _ if tried < TRIES => {
                let next = now + Span::from_millis(TRY_MS);
                self.tries.insert((next, call), ());
            }
            _ => {
                self.counts.refused += 1;
                self.counts.held += u64::from(took > Span(DEADLINE.0 / 2));
            }
        }
    }

    fn step(&mut self, now: Moment) {
        while let Some((&(at, gate, id), _)) = self.ends.first_key_value()
            && at <= now
        {
            self.ends.remove(&(at, gate, id));
            let finish = Completion::Answered(Answer::default().into());
            let actions = self.gates[gate].gate.complete(id, finish, now);
            self.take(gate, actions, now);
        }
        while let Some((&(at, call), ())) = self.tries.first_key_value()
            && at <= now
        {
            self.tries.remove(&(at, call));
            self.attempt(call, now);
        }
        for at in 0..GATES {
            let actions = self.gates[at].gate.tick(now);
            self.take(at, actions, now);
        }
    }
}

fn play() -> Counts {
    let mut world = World::new();
    let start = Moment(10_000_000);
    for ms in 0..TIME_MS {
        let now = start + Span::from_millis(ms);
        let due = ASKED * (ms + 1) / TIME_MS;
        while (world.calls.len() as u64) < due {
            let call = world.calls.len();
            world.calls.push(Call {
                came: now,
                tried: 0,
            });
            world.tries.insert((now, call), ());
        }
        world.step(now);
    }
    println!("{:?} of {CAPACITY} that can be done", world.counts);
    world.counts
}

#[test]
fn most_of_what_can_be_done_is_answered_in_time() {
    let counts = play();
    assert!(
        counts.in_time * 10 >= CAPACITY * 7,
        "{counts:?} of {CAPACITY}"
    );
}

#[test]
fn slots_are_not_left_empty() {
    let counts = play();
    let done = counts.in_time + counts.late;
    assert!(done * 10 >= CAPACITY * 9, "{counts:?} of {CAPACITY}");
}

#[test]
fn few_are_held_for_long_and_then_refused() {
    let counts = play();
    assert!(counts.held * 20 <= ASKED, "{counts:?} of {ASKED}");
}
