//! An overload that lasts: twice as much comes as the backend server gets done, for five seconds.
//!
//! What callers get is counted: answers within their objective, late ones, and how long those waited
//! who got none.

mod support;

use std::collections::BTreeMap;

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use support::Open;
use types::{Answer, AttemptId, Moment, Outcome, Slots, Span};

const SLOTS: u32 = 4;
const WORK: Span = Span::from_millis(100);
const TIME_MS: u64 = 5_000;
/// Answers that the backend server can give in that time.
const CAPACITY: usize = (SLOTS as u64 * TIME_MS / 100) as usize;

/// One kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    every_ms: u64,
    objective: Span,
    deadline: Span,
    priority: u32,
}

const URGENT: Kind = Kind {
    every_ms: 50,
    objective: Span::from_millis(250),
    deadline: Span::from_millis(600),
    priority: 0,
};
const COMMON: Kind = Kind {
    every_ms: 17,
    objective: Span::from_millis(400),
    deadline: Span::from_millis(1_000),
    priority: 2,
};

#[derive(Debug, Default)]
struct Counts {
    asked: usize,
    in_time: usize,
    late: usize,
    /// Longest wait of one that was refused.
    held: Span,
}

struct World {
    open: Open,
    came: BTreeMap<AttemptId, (Kind, Moment)>,
    running: BTreeMap<AttemptId, Moment>,
    counts: BTreeMap<u32, Counts>,
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
            open: Open::new(limits),
            came: BTreeMap::new(),
            running: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn offer(&mut self, kind: Kind, now: Moment) {
        let offer = Offer {
            rank: Rank {
                objective: now + kind.objective,
                service_time: WORK,
                priority: kind.priority,
                nested: false,
            },
            ..self.open.offer(now + kind.deadline)
        };
        self.came.insert(offer.id, (kind, now));
        self.counts.entry(kind.priority).or_default().asked += 1;
        let actions = self.open.gate.offer(offer, now);
        self.take(actions, now);
    }

    fn take(&mut self, actions: Vec<Action>, now: Moment) {
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    self.running.insert(id, now + WORK);
                }
                Action::Reply(id, outcome) => {
                    let (kind, came) = self.came[&id];
                    let counts = self.counts.entry(kind.priority).or_default();
                    let took = now.since(came);
                    match outcome {
                        Outcome::Answer(_) if took <= kind.objective => counts.in_time += 1,
                        Outcome::Answer(_) => counts.late += 1,
                        _ => counts.held = counts.held.max(took),
                    }
                }
                Action::Abort(_) | Action::Probe => {}
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
            let finish = Completion::Answered(Answer::default().into());
            let actions = self.open.gate.complete(id, finish, now);
            self.take(actions, now);
        }
        let actions = self.open.gate.tick(now);
        self.take(actions, now);
    }
}

fn play() -> BTreeMap<u32, Counts> {
    let mut world = World::new();
    let start = Moment(10_000_000);
    for ms in 0..TIME_MS {
        let now = start + Span::from_millis(ms);
        world.step(now);
        for kind in [URGENT, COMMON] {
            if ms % kind.every_ms == 0 {
                world.offer(kind, now);
            }
        }
    }
    world.counts
}

#[test]
fn most_of_what_the_backend_server_gets_done_is_answered_within_its_objective() {
    let counts = play();
    let asked: usize = counts.values().map(|c| c.asked).sum();
    assert!(asked > 3 * CAPACITY / 2, "{asked} of {CAPACITY}");
    let in_time: usize = counts.values().map(|c| c.in_time).sum();
    assert!(in_time * 10 >= CAPACITY * 8, "{counts:?}");
}

#[test]
fn the_more_urgent_are_answered_in_time_though_there_are_too_many_others() {
    let counts = play();
    let urgent = &counts[&URGENT.priority];
    assert!(urgent.in_time * 10 >= urgent.asked * 9, "{counts:?}");
}

#[test]
fn nobody_is_held_to_the_deadline_and_then_refused() {
    let counts = play();
    let common = &counts[&COMMON.priority];
    let latest = Span(COMMON.deadline.0 - WORK.0);
    assert!(common.held < latest, "{counts:?}");
}
