//! Random sequences of events at one gate. They check that the backend server gets no more than its
//! capacity, that a refused attempt doesn't run, and that every attempt gets a reply.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gate::{Action, Completion, Gate, Offer, Query, RetentionLimits};
use note::Limits;
use proptest::{collection::vec, prelude::*};
use types::{Answer, AttemptId, Boot, Moment, Outcome, Refusal, Seq, SessionId, Slots, Span};

const SLOTS: usize = 6;
const COLD: usize = 2;
const WARM_MS: u64 = 1_000;
const QUEUE: usize = 4;
/// Lease on the node's view, short enough to end while requests wait.
const LEASE: Span = Span::from_millis(100);

#[derive(Debug, Clone)]
enum Step {
    Offer { timeout_ms: u64 },
    Complete { pick: usize, kind: u8 },
    Cancel { pick: usize },
    Wait { ms: u64 },
    Restart,
    Open(bool),
    Renew,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..500_u64).prop_map(|timeout_ms| Step::Offer { timeout_ms }),
        8 => any::<(usize, u8)>().prop_map(|(pick, kind)| Step::Complete { pick, kind }),
        2 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        4 => (0..40_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Open),
        2 => Just(Step::Renew),
    ]
}

/// A model of a backend server with its capacity, and the gate in front of it.
struct Harness {
    gate: Gate,
    session: SessionId,
    now: Moment,
    next_seq: u64,
    server_boot: Boot,
    /// First response since the backend server last turned cold.
    answering_since: Option<Moment>,
    running: BTreeSet<AttemptId>,
    started: BTreeSet<AttemptId>,
    replies: BTreeMap<AttemptId, Outcome>,
    open: bool,
    lease_end: Moment,
}

impl Harness {
    fn new() -> Self {
        let limits = Limits {
            slots: Slots(SLOTS as u32),
            cold: Slots(COLD as u32),
            warm_ms: WARM_MS,
            queue: Slots(QUEUE as u32),
            ..Limits::default()
        };
        let now = Moment(10_000_000);
        let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
        let session = gate.open_session(Boot(2), now);
        gate.set_open(true);
        gate.extend_lease(now + LEASE);
        Self {
            gate,
            session,
            now,
            next_seq: 0,
            server_boot: Boot(7),
            answering_since: None,
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            replies: BTreeMap::new(),
            open: true,
            lease_end: now + LEASE,
        }
    }

    /// Capacity of the backend server: `COLD` until it has answered for `WARM_MS`, then `SLOTS`.
    fn capacity(&self) -> usize {
        let warm = Span::from_millis(WARM_MS);
        let is_warm = self
            .answering_since
            .is_some_and(|began| self.now.since(began) >= warm);
        if is_warm { SLOTS } else { COLD }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let actions = match step {
            Step::Offer { timeout_ms } => {
                self.next_seq += 1;
                let id = AttemptId {
                    boot: Boot(1),
                    session: self.session,
                    seq: Seq(self.next_seq),
                };
                let deadline = self.now + Span::from_millis(*timeout_ms);
                self.gate.offer(
                    Offer {
                        id,
                        floor: Seq(0),
                        deadline,
                        fail_fast: false,
                        is_retry: false,
                        refusal: None,
                        rank: gate::Rank::default(),
                    },
                    self.now,
                )
            }
            Step::Complete { pick, kind } => self.complete_any(*pick, *kind),
            Step::Cancel { pick } => {
                let id = AttemptId {
                    boot: Boot(1),
                    session: self.session,
                    seq: Seq(self.next_seq.saturating_sub(*pick as u64 % 12)),
                };
                self.gate.query(id, Query::Cancel, self.now)
            }
            Step::Wait { ms } => {
                self.now = self.now + Span::from_millis(*ms);
                self.gate.tick(self.now)
            }
            // The running requests fail, and the gate learns of them one by one.
            Step::Restart => {
                self.server_boot = Boot(self.server_boot.0 + 1);
                self.answering_since = None;
                let interrupted: Vec<AttemptId> = self.running.iter().copied().collect();
                interrupted
                    .into_iter()
                    .flat_map(|id| self.complete(id, Completion::Incomplete))
                    .collect()
            }
            Step::Open(open) => {
                self.open = *open;
                self.gate.set_open(*open)
            }
            Step::Renew => {
                self.lease_end = self.now + LEASE;
                self.gate.extend_lease(self.lease_end);
                Vec::new()
            }
        };
        self.carry_out(actions)
    }

    fn complete_any(&mut self, pick: usize, kind: u8) -> Vec<Action> {
        let Some(id) = self
            .running
            .iter()
            .nth(pick % self.running.len().max(1))
            .copied()
        else {
            return Vec::new();
        };
        match kind % 10 {
            0 => self.complete(id, Completion::Shed),
            1 => self.complete(id, Completion::Expired),
            _ => {
                self.answering_since.get_or_insert(self.now);
                self.gate.observe_boot(self.server_boot, self.now);
                self.complete(id, Completion::Answered(Arc::new(Answer::default())))
            }
        }
    }

    fn complete(&mut self, id: AttemptId, completion: Completion) -> Vec<Action> {
        self.running.remove(&id);
        self.gate.complete(id, completion, self.now)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start(id, deadline) => {
                    prop_assert!(self.started.insert(id), "{id} started twice");
                    prop_assert!(
                        !self.replies.contains_key(&id),
                        "{id} started after its reply"
                    );
                    prop_assert!(self.now < deadline);
                    prop_assert!(self.open, "{id} started at a closed gate");
                    prop_assert!(
                        self.now <= self.lease_end,
                        "{id} started after the lease ended"
                    );
                    self.running.insert(id);
                    let (running, capacity) = (self.running.len(), self.capacity());
                    prop_assert!(
                        running <= capacity,
                        "{running} run with a capacity of {capacity}"
                    );
                }
                Action::Probe => {}
                Action::Cancel(id) => {
                    let actions = self.complete(id, Completion::Cancelled);
                    self.carry_out(actions)?;
                }
                Action::Reply(id, outcome) => self.reply(id, outcome)?,
            }
        }
        Ok(())
    }

    fn reply(&mut self, id: AttemptId, outcome: Outcome) -> Result<(), TestCaseError> {
        let refusal = match outcome {
            Outcome::NotRun { refusal, .. } => Some(refusal),
            _ => None,
        };
        if self.started.contains(&id) {
            let refusable = matches!(refusal, None | Some(Refusal::Shed | Refusal::Barred));
            prop_assert!(refusable, "{id} ran and was refused as {refusal:?}");
        }
        self.replies.entry(id).or_insert(outcome);
        Ok(())
    }

    fn finish_all(&mut self) -> Result<(), TestCaseError> {
        while let Some(id) = self.running.first().copied() {
            let actions = self.complete(id, Completion::Cancelled);
            self.carry_out(actions)?;
        }
        self.now = self.now + Span::from_millis(1_000);
        let actions = self.gate.tick(self.now);
        self.carry_out(actions)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn attempts_stay_within_the_capacity_and_get_a_reply(steps in vec(step(), 1..300)) {
        let mut harness = Harness::new();
        for step in &steps {
            let open = harness.open && harness.now <= harness.lease_end;
            let before = harness.started.len();
            harness.step(step)?;
            if let Step::Offer { .. } = step {
                prop_assert!(open || harness.started.len() == before, "a closed gate started work");
            }
        }
        harness.finish_all()?;
        for number in 1..=harness.next_seq {
            let id = AttemptId { boot: Boot(1), session: harness.session, seq: Seq(number) };
            prop_assert!(harness.replies.contains_key(&id), "{id} got no reply");
        }
    }
}

#[test]
fn cancelled_requests_hold_their_slots_until_they_have_stopped() {
    let mut harness = Harness::new();
    for _ in 0..2 {
        harness
            .step(&Step::Offer { timeout_ms: 400 })
            .expect("the capacity of a cold backend server suffices");
    }
    for pick in [0, 1] {
        harness
            .step(&Step::Cancel { pick })
            .expect("a running request is cancelled");
    }
    harness
        .step(&Step::Offer { timeout_ms: 400 })
        .expect("the capacity is kept");
    assert_eq!(
        harness.started.len(),
        2,
        "the backend server may not have noticed yet"
    );
    harness.step(&Step::Wait { ms: 40 }).expect("time passes");
    assert_eq!(harness.started.len(), 3);
}

#[test]
fn a_gate_without_a_cold_limit_exceeds_the_cold_capacity() {
    let limits = Limits {
        slots: Slots(6),
        cold: Slots(6),
        warm_ms: 0,
        ..Limits::default()
    };
    let now = Moment(10_000_000);
    let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
    let session = gate.open_session(Boot(2), now);
    gate.set_open(true);
    gate.extend_lease(Moment::MAX);
    let offer = |seq| Offer {
        id: AttemptId {
            boot: Boot(1),
            session,
            seq: Seq(seq),
        },
        floor: Seq(0),
        deadline: now + Span::from_millis(100),
        fail_fast: false,
        is_retry: false,
        refusal: None,
        rank: gate::Rank::default(),
    };
    let actions = (1..=6).flat_map(|seq| gate.offer(offer(seq), now));
    let started = actions.filter(|a| matches!(a, Action::Start(..))).count();
    assert!(
        started > COLD,
        "the check of the capacity would fail: {started}"
    );
}

/// Guards against a crash of the node: when all running requests of a warm backend server are
/// cancelled, the limit falls to the cold one, while the cancelled requests may still hold slots.
#[test]
fn the_cold_limit_holds_after_all_running_requests_are_cancelled() {
    let mut harness = Harness::new();
    let mut step = |step: &Step| harness.step(step).expect("the invariants hold");
    for _ in 0..400 {
        step(&Step::Offer { timeout_ms: 400 });
        step(&Step::Complete { pick: 0, kind: 5 });
        step(&Step::Wait { ms: 4 });
        step(&Step::Renew);
    }
    for _ in 0..6 {
        step(&Step::Offer { timeout_ms: 400 });
    }
    step(&Step::Complete { pick: 0, kind: 5 });
    for pick in 0..6 {
        step(&Step::Cancel { pick });
    }
    step(&Step::Offer { timeout_ms: 400 });
}

#[test]
fn a_misdirected_request_never_starts_and_a_started_one_is_not_refused() {
    let mut harness = Harness::new();
    let id = |seq| AttemptId {
        boot: Boot(1),
        session: harness.session,
        seq: Seq(seq),
    };
    let (first, second) = (id(1), id(2));
    let deadline = harness.now + Span::from_millis(100);
    let offer = |id, refusal| Offer {
        id,
        floor: Seq(0),
        deadline,
        fail_fast: false,
        is_retry: false,
        refusal,
        rank: gate::Rank::default(),
    };

    let refused = harness
        .gate
        .offer(offer(first, Some(Refusal::Misplaced)), harness.now);
    assert!(matches!(
        refused[0],
        Action::Reply(_, Outcome::NotRun { .. })
    ));
    let again = harness.gate.offer(offer(first, None), harness.now);
    assert!(
        matches!(again[0], Action::Reply(_, Outcome::NotRun { .. })),
        "it never starts"
    );

    let started = harness.gate.offer(offer(second, None), harness.now);
    assert!(matches!(started[0], Action::Start(..)));
    let repeated = harness
        .gate
        .offer(offer(second, Some(Refusal::Misplaced)), harness.now);
    assert_eq!(repeated, vec![], "it is running, and its reply follows");
}
