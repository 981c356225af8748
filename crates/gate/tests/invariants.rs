//! Randomised runs of one gate: whatever comes, its backend server gets no more than it bears, what
//! is refused isn't run, and everybody gets one reply.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gate::{Action, Completion, Gate, Offer, RetentionLimits};
use note::Limits;
use proptest::{collection::vec, prelude::*};
use types::{Answer, AttemptId, Boot, Moment, Outcome, Refusal, Seq, SessionId, Slots, Span};

const SLOTS: usize = 6;
const COLD: usize = 2;
const WARM_MS: u64 = 1_000;
const QUEUE: usize = 4;
/// Time that a view may be acted on, short enough to run out while requests wait.
const LEASE: Span = Span::from_millis(100);

#[derive(Debug, Clone)]
enum Step {
    Offer { time_ms: u64 },
    Finish { pick: usize, how: u8 },
    Cancel { pick: usize },
    Wait { ms: u64 },
    Restart,
    Open(bool),
    Renew,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..500_u64).prop_map(|time_ms| Step::Offer { time_ms }),
        8 => any::<(usize, u8)>().prop_map(|(pick, how)| Step::Finish { pick, how }),
        2 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        4 => (0..40_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Open),
        2 => Just(Step::Renew),
    ]
}

/// A backend server that knows how much it bears, and the gate in front of it.
struct World {
    gate: Gate,
    session: SessionId,
    now: Moment,
    next: u64,
    server: Boot,
    /// When the backend server began to answer after it last turned cold.
    answering: Option<Moment>,
    running: BTreeSet<AttemptId>,
    started: BTreeSet<AttemptId>,
    replies: BTreeMap<AttemptId, Outcome>,
    open: bool,
    fresh: Moment,
}

impl World {
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
            next: 0,
            server: Boot(7),
            answering: None,
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            replies: BTreeMap::new(),
            open: true,
            fresh: now + LEASE,
        }
    }

    /// What the backend server bears: little until it has worked for a while, then everything.
    fn bears(&self) -> usize {
        let warm = Span::from_millis(WARM_MS);
        let is_warm = self
            .answering
            .is_some_and(|began| self.now.since(began) >= warm);
        if is_warm { SLOTS } else { COLD }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let actions = match step {
            Step::Offer { time_ms } => {
                self.next += 1;
                let id = AttemptId {
                    boot: Boot(1),
                    session: self.session,
                    seq: Seq(self.next),
                };
                let deadline = self.now + Span::from_millis(*time_ms);
                self.gate.offer(
                    Offer {
                        id,
                        floor: Seq(0),
                        deadline,
                        fail_fast: false,
                        wrong_server: false,
                        rank: gate::Rank::default(),
                    },
                    self.now,
                )
            }
            Step::Finish { pick, how } => self.finish(*pick, *how),
            Step::Cancel { pick } => {
                let id = AttemptId {
                    boot: Boot(1),
                    session: self.session,
                    seq: Seq(self.next.saturating_sub(*pick as u64 % 12)),
                };
                self.gate.ask(id, true, self.now)
            }
            Step::Wait { ms } => {
                self.now = self.now + Span::from_millis(*ms);
                self.gate.tick(self.now)
            }
            // What runs is cut, which the gate learns one by one.
            Step::Restart => {
                self.server = Boot(self.server.0 + 1);
                self.answering = None;
                let cut: Vec<AttemptId> = self.running.iter().copied().collect();
                cut.into_iter()
                    .flat_map(|id| self.done(id, Completion::Incomplete))
                    .collect()
            }
            Step::Open(open) => {
                self.open = *open;
                self.gate.set_open(*open)
            }
            Step::Renew => {
                self.fresh = self.now + LEASE;
                self.gate.extend_lease(self.fresh);
                Vec::new()
            }
        };
        self.carry_out(actions)
    }

    fn finish(&mut self, pick: usize, how: u8) -> Vec<Action> {
        let Some(id) = self
            .running
            .iter()
            .nth(pick % self.running.len().max(1))
            .copied()
        else {
            return Vec::new();
        };
        match how % 10 {
            0 => self.done(id, Completion::Shed),
            1 => self.done(id, Completion::Expired),
            _ => {
                self.answering.get_or_insert(self.now);
                self.gate.observe_boot(self.server, self.now);
                self.done(id, Completion::Answered(Arc::new(Answer::default())))
            }
        }
    }

    fn done(&mut self, id: AttemptId, finish: Completion) -> Vec<Action> {
        self.running.remove(&id);
        self.gate.complete(id, finish, self.now)
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
                    prop_assert!(self.open, "{id} started while the server takes no new work");
                    prop_assert!(self.now <= self.fresh, "{id} started on a stale view");
                    self.running.insert(id);
                    let (running, bears) = (self.running.len(), self.bears());
                    prop_assert!(running <= bears, "{running} run, {bears} are borne");
                }
                Action::Probe => {}
                Action::Abort(id) => {
                    let actions = self.done(id, Completion::Aborted);
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
            let true_refusal = matches!(refusal, None | Some(Refusal::Shed | Refusal::Barred));
            prop_assert!(true_refusal, "{id} ran and was refused as {refusal:?}");
        }
        self.replies.entry(id).or_insert(outcome);
        Ok(())
    }

    fn settle(&mut self) -> Result<(), TestCaseError> {
        while let Some(id) = self.running.first().copied() {
            let actions = self.done(id, Completion::Aborted);
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
    fn a_backend_server_gets_no_more_than_it_bears(steps in vec(step(), 1..300)) {
        let mut world = World::new();
        for step in &steps {
            let open = world.open && world.now <= world.fresh;
            let before = world.started.len();
            world.step(step)?;
            if let Step::Offer { .. } = step {
                prop_assert!(open || world.started.len() == before, "a closed gate started work");
            }
        }
        world.settle()?;
        for number in 1..=world.next {
            let id = AttemptId { boot: Boot(1), session: world.session, seq: Seq(number) };
            prop_assert!(world.replies.contains_key(&id), "{id} got no reply");
        }
    }
}

#[test]
fn cancelled_requests_that_may_still_run_leave_no_room_for_more() {
    let mut world = World::new();
    for _ in 0..2 {
        world
            .step(&Step::Offer { time_ms: 400 })
            .expect("room for what a cold server bears");
    }
    for pick in [0, 1] {
        world
            .step(&Step::Cancel { pick })
            .expect("a request that runs is cancelled");
    }
    world
        .step(&Step::Offer { time_ms: 400 })
        .expect("no more than is borne");
    assert_eq!(
        world.started.len(),
        2,
        "the backend server may not have noticed yet"
    );
    world.step(&Step::Wait { ms: 40 }).expect("time passes");
    assert_eq!(world.started.len(), 3);
}

#[test]
fn a_gate_with_no_cold_limit_overruns_a_cold_backend_server() {
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
        wrong_server: false,
        rank: gate::Rank::default(),
    };
    let actions = (1..=6).flat_map(|seq| gate.offer(offer(seq), now));
    let started = actions.filter(|a| matches!(a, Action::Start(..))).count();
    assert!(
        started > COLD,
        "the check of what is borne would notice: {started}"
    );
}

/// The case that brought nodes down in an experiment: all that runs is cancelled while warm.
#[test]
fn an_idle_server_with_cancelled_requests_is_given_what_a_cold_one_bears() {
    let mut world = World::new();
    let mut step = |step: &Step| world.step(step).expect("a promise kept");
    for _ in 0..400 {
        step(&Step::Offer { time_ms: 400 });
        step(&Step::Finish { pick: 0, how: 5 });
        step(&Step::Wait { ms: 4 });
        step(&Step::Renew);
    }
    for _ in 0..6 {
        step(&Step::Offer { time_ms: 400 });
    }
    step(&Step::Finish { pick: 0, how: 5 });
    for pick in 0..6 {
        step(&Step::Cancel { pick });
    }
    step(&Step::Offer { time_ms: 400 });
}

#[test]
fn a_request_for_another_backend_server_is_barred_and_what_ran_is_never_called_not_run() {
    let mut world = World::new();
    let id = |seq| AttemptId {
        boot: Boot(1),
        session: world.session,
        seq: Seq(seq),
    };
    let (first, second) = (id(1), id(2));
    let deadline = world.now + Span::from_millis(100);
    let offer = |id, wrong_server| Offer {
        id,
        floor: Seq(0),
        deadline,
        fail_fast: false,
        wrong_server,
        rank: gate::Rank::default(),
    };

    let refused = world.gate.offer(offer(first, true), world.now);
    assert!(matches!(
        refused[0],
        Action::Reply(_, Outcome::NotRun { .. })
    ));
    let again = world.gate.offer(offer(first, false), world.now);
    assert!(
        matches!(again[0], Action::Reply(_, Outcome::NotRun { .. })),
        "it stays barred"
    );

    let started = world.gate.offer(offer(second, false), world.now);
    assert!(matches!(started[0], Action::Start(..)));
    let repeated = world.gate.offer(offer(second, true), world.now);
    assert_eq!(repeated, vec![], "it runs, and its reply follows");
}
