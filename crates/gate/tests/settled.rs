//! Attempts that their ingress has settled or whose records are evicted while they are queued or running, as
//! happens when messages are late, lost or out of order.

use std::collections::BTreeSet;

use gate::{Action, Completion, Gate, Offer, Query, Rank, RetentionLimits};
use note::Limits;
use proptest::{collection::vec, prelude::*, sample::select};
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Seq, SessionId, Slots, Span};

const START: Moment = Moment(10_000_000);
/// Time that each request may wait.
const TIMEOUT: Span = Span::from_millis(400);
const QUERIES: [Query; 3] = [Query::Outcome, Query::Withdraw, Query::Cancel];

/// An open gate with two slots and room for a few records.
fn gate() -> Gate {
    let limits = Limits {
        slots: Slots(2),
        cold: Slots(2),
        queue: Slots(6),
        ..Limits::default()
    };
    let retention = RetentionLimits {
        sessions: 2,
        attempts: 5,
        answer_bytes: 1_000,
    };
    let mut gate = Gate::new(Boot(1), limits, retention);
    gate.set_open(true);
    gate.extend_lease(Moment::MAX);
    gate
}

fn attempt(session: SessionId, seq: u64) -> AttemptId {
    AttemptId {
        boot: Boot(1),
        session,
        seq: Seq(seq),
    }
}

fn offer(id: AttemptId, floor: u64, now: Moment) -> Offer {
    Offer {
        id,
        floor: Seq(floor),
        deadline: now + TIMEOUT,
        fail_fast: false,
        is_retry: false,
        refusal: None,
        rank: Rank::default(),
    }
}

fn started(actions: &[Action]) -> Vec<Seq> {
    let start = |action: &Action| match action {
        Action::Start(id, _) => Some(id.seq),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn an_attempt_that_is_settled_while_queued_leaves_the_queue_with_a_reply() {
    let mut gate = gate();
    let session = gate.open_session(Boot(2), START);
    let mut offered = |seq, floor| gate.offer(offer(attempt(session, seq), floor, START), START);
    assert_eq!(started(&offered(1, 1)), [Seq(1)]);
    assert_eq!(started(&offered(2, 1)), [Seq(2)]);
    assert_eq!(offered(3, 1), []);
    let settled = Action::Reply(attempt(session, 3), Outcome::refused(Refusal::Cancelled));
    assert!(offered(4, 4).contains(&settled));
    let ended = gate.complete(attempt(session, 1), Completion::Incomplete, START);
    assert_eq!(started(&ended), [Seq(4)]);
}

#[test]
fn an_attempt_that_is_settled_while_running_is_cancelled() {
    let mut gate = gate();
    let session = gate.open_session(Boot(2), START);
    gate.offer(offer(attempt(session, 1), 1, START), START);
    let actions = gate.offer(offer(attempt(session, 2), 2, START), START);
    assert!(actions.contains(&Action::Cancel(attempt(session, 1))));
}

#[test]
fn a_running_attempt_of_an_evicted_session_is_pending() {
    let mut gate = gate();
    let session = gate.open_session(Boot(2), START);
    let id = attempt(session, 1);
    gate.offer(offer(id, 1, START), START);
    for ingress in 3..6 {
        gate.open_session(Boot(ingress), START + Span(ingress));
    }
    assert_eq!(
        gate.query(id, Query::Outcome, START),
        [],
        "the reply follows"
    );
    let ended = gate.complete(id, Completion::Expired, START);
    assert!(ended.contains(&Action::Reply(id, Outcome::Expired)));
    assert_eq!(
        gate.query(id, Query::Outcome, START),
        [Action::Reply(id, Outcome::Unknown)]
    );
}

/// What reaches a gate, from ingresses and from the driver.
#[derive(Debug, Clone)]
enum Step {
    Open,
    /// The next attempt of a session, after the ingress has settled `settled` more.
    Offer {
        session: usize,
        settled: u64,
    },
    /// An earlier message that arrives again.
    Repeat {
        pick: usize,
    },
    Query {
        pick: usize,
        query: Query,
    },
    /// Nobody waits for a known attempt any more, so the driver cancels it.
    DropWaiter {
        pick: usize,
    },
    Complete {
        pick: usize,
        answered: bool,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let session = 0..3_usize;
    prop_oneof![
        1 => Just(Step::Open),
        8 => (session, 0..3_u64).prop_map(|(session, settled)| Step::Offer { session, settled }),
        2 => any::<usize>().prop_map(|pick| Step::Repeat { pick }),
        2 => (any::<usize>(), select(&QUERIES)).prop_map(|(pick, query)| Step::Query { pick, query }),
        2 => any::<usize>().prop_map(|pick| Step::DropWaiter { pick }),
        4 => any::<(usize, bool)>().prop_map(|(pick, answered)| Step::Complete { pick, answered }),
        2 => (0..60_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A session as its ingress sees it.
struct Session {
    id: SessionId,
    next: u64,
    floor: u64,
}

/// A driver that forgets an attempt with the reply to it.
struct Driver {
    gate: Gate,
    now: Moment,
    sessions: Vec<Session>,
    offers: Vec<Offer>,
    known: BTreeSet<AttemptId>,
    running: BTreeSet<AttemptId>,
    started: BTreeSet<AttemptId>,
}

impl Driver {
    fn new() -> Self {
        let mut driver = Self {
            gate: gate(),
            now: START,
            sessions: Vec::new(),
            offers: Vec::new(),
            known: BTreeSet::new(),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
        };
        (0..2).for_each(|_| driver.open());
        driver
    }

    fn open(&mut self) {
        self.now = self.now + Span(1);
        let id = self.gate.open_session(Boot(2), self.now);
        self.sessions.push(Session {
            id,
            next: 1,
            floor: 1,
        });
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Open => self.open(),
            Step::Offer { session, settled } => {
                let back = self.sessions.len() - 1 - session.min(self.sessions.len() - 1);
                let session = &mut self.sessions[back];
                session.floor = (session.floor + settled).min(session.next);
                let offer = offer(attempt(session.id, session.next), session.floor, self.now);
                session.next += 1;
                self.offers.push(offer);
                self.offer(offer)?;
            }
            Step::Repeat { pick } => {
                if let Some(offer) = self.pick_offer(pick) {
                    self.offer(offer)?;
                }
            }
            Step::Query { pick, query } => {
                if let Some(offer) = self.pick_offer(pick) {
                    self.known.insert(offer.id);
                    let actions = self.gate.query(offer.id, query, self.now);
                    self.carry_out(actions)?;
                }
            }
            Step::DropWaiter { pick } => {
                let known = self.known.iter().nth(pick % self.known.len().max(1));
                if let Some(id) = known.copied() {
                    let actions = self.gate.query(id, Query::Cancel, self.now);
                    self.carry_out(actions)?;
                }
            }
            Step::Complete { pick, answered } => {
                let running = self.running.iter().nth(pick % self.running.len().max(1));
                if let Some(id) = running.copied() {
                    let completion = match answered {
                        true => Completion::Answered(Default::default()),
                        false => Completion::Incomplete,
                    };
                    self.complete(id, completion)?;
                }
            }
            Step::Wait { ms } => self.wait(Span::from_millis(ms))?,
        }
        Ok(())
    }

    fn pick_offer(&self, pick: usize) -> Option<Offer> {
        let recent = self.offers.iter().rev().take(12);
        recent.copied().nth(pick % self.offers.len().clamp(1, 12))
    }

    fn offer(&mut self, offer: Offer) -> Result<(), TestCaseError> {
        self.known.insert(offer.id);
        let actions = self.gate.offer(offer, self.now);
        self.carry_out(actions)
    }

    fn complete(&mut self, id: AttemptId, completion: Completion) -> Result<(), TestCaseError> {
        self.running.remove(&id);
        let actions = self.gate.complete(id, completion, self.now);
        self.carry_out(actions)
    }

    fn wait(&mut self, span: Span) -> Result<(), TestCaseError> {
        self.now = self.now + span;
        let actions = self.gate.tick(self.now);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start(id, _) => {
                    prop_assert!(self.known.contains(&id), "{id} is started, but unknown");
                    prop_assert!(self.started.insert(id), "{id} is started twice");
                    self.running.insert(id);
                }
                Action::Reply(id, _) => {
                    prop_assert!(!self.running.contains(&id), "{id} runs, and got its reply");
                    self.known.remove(&id);
                }
                Action::Cancel(id) => {
                    prop_assert!(
                        self.running.contains(&id),
                        "{id} is cancelled, but not running"
                    );
                    self.complete(id, Completion::Cancelled)?;
                }
                Action::Probe => {}
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_known_attempts_start_and_each_gets_a_reply(steps in vec(step(), 1..120)) {
        let mut driver = Driver::new();
        for step in &steps {
            driver.step(step)?;
        }
        while let Some(id) = driver.running.first().copied() {
            driver.complete(id, Completion::Incomplete)?;
        }
        driver.wait(TIMEOUT)?;
        prop_assert!(driver.gate.is_idle());
        prop_assert_eq!(driver.gate.load(driver.now).running, 0, "no slot is lost");
        prop_assert!(driver.known.is_empty(), "no reply to {:?}", driver.known);
    }
}
