//! A simulation of calls and gates over a network that loses, delays, reorders and duplicates
//! messages.
//!
//! Each step is one event that the test selects. Nothing else happens, and time only advances by
//! steps.

mod gates;
mod model;

use std::collections::{BTreeMap, BTreeSet};

use call::{
    Action, AttemptIndex, Call, CallOutcome, CallRequest, GateSession, Timeouts, TokenBucket,
};
use gate::{Gate, Offer, Query, RetentionLimits};
use note::Limits;
use types::{Boot, Moment, Outcome, Refusal, Slots, Span};

use model::{Caller, GateProcess, Ingress, Message, RoundRobin, gate_clock, gate_index};
pub(crate) use model::{Disabled, Step};

/// Number of gates.
pub(crate) const GATES: usize = 3;
/// Number of ingresses.
pub(crate) const INGRESSES: usize = 2;
/// Maximum attempts of a call that may reach a backend server.
const MAX_ATTEMPTS: u32 = 3;
/// Time from the start of a call to its deadline.
const CALL_TIMEOUT: Span = Span::from_millis(400);
/// The first of the numbers of [`Step::StartCall`] that start a call with a large body, which follows its
/// attempts.
const FIRST_LARGE: u8 = 160;
/// One in this number of bodies breaks off.
const CUT_BODIES: usize = 3;
/// Time that is left to a process that is about to exit.
const EXIT_TIME: Span = Span::from_millis(40);

/// The state of all processes, messages and calls.
pub(crate) struct Simulation {
    disabled: Disabled,
    now: Moment,
    last_boot: u64,
    gates: Vec<GateProcess>,
    ingresses: Vec<Ingress>,
    callers: Vec<Caller>,
    in_flight: Vec<Message>,
    budget: TokenBucket,
    /// Number of times that the request of each call ran at a backend server.
    runs: BTreeMap<usize, u32>,
    /// Number of requests that started after their deadline.
    late_runs: u32,
    /// Number of calls started, from which the first backend server of a call is derived.
    started: usize,
    /// Number of bodies sent.
    bodies: usize,
}

impl Simulation {
    pub(crate) fn new(disabled: Disabled) -> Self {
        let mut simulation = Self {
            disabled,
            now: Moment(1_000_000),
            last_boot: 0,
            gates: Vec::new(),
            ingresses: Vec::new(),
            callers: Vec::new(),
            in_flight: Vec::new(),
            budget: TokenBucket::default(),
            runs: BTreeMap::new(),
            late_runs: 0,
            started: 0,
            bodies: 0,
        };
        for _ in 0..GATES {
            let gate = simulation.new_gate();
            simulation.gates.push(gate);
        }
        for _ in 0..INGRESSES {
            let ingress = simulation.new_ingress();
            simulation.ingresses.push(ingress);
        }
        simulation
    }

    fn next_boot(&mut self) -> Boot {
        self.last_boot += 1;
        Boot(self.last_boot)
    }

    fn new_gate(&mut self) -> GateProcess {
        let limits = Limits {
            slots: Slots(2),
            cold: Slots(2),
            queue: Slots(2),
            ..Limits::default()
        };
        let retention = RetentionLimits {
            sessions: 3,
            attempts: 6,
            answer_bytes: 8,
        };
        let mut gate = Gate::new(self.next_boot(), limits, retention);
        gate.set_open(true);
        gate.extend_lease(Moment::MAX);
        GateProcess {
            gate,
            waiting: Vec::new(),
            running: Vec::new(),
            calls: BTreeMap::new(),
        }
    }

    fn new_ingress(&mut self) -> Ingress {
        Ingress {
            boot: self.next_boot(),
            sessions: vec![None; GATES],
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::StartCall(which) => {
                self.start_call(which as usize % INGRESSES, which >= FIRST_LARGE);
            }
            Step::Deliver(index) => {
                if let Some(message) = self.take(index) {
                    self.deliver(message);
                }
            }
            Step::Duplicate(index) if !self.in_flight.is_empty() => {
                let message = self.in_flight[index as usize % self.in_flight.len()].clone();
                self.deliver(message);
            }
            Step::Duplicate(_) => {}
            Step::Lose(index) => {
                if let Some(message) = self.take(index) {
                    self.lose(message);
                }
            }
            Step::EndRun(index, how) => self.end_run(index as usize, how),
            Step::Wait(ms) => self.wait(Span::from_millis(u64::from(ms))),
            Step::RestartGate(gate) => self.restart_gate(gate as usize % GATES),
            Step::RestartIngress(ingress) => self.restart_ingress(ingress as usize % INGRESSES),
            Step::Abandon(call) => self.abandon(call as usize),
            Step::WindDown(call) => self.wind_down(call as usize),
            Step::DrainGate(gate) => self.drain_gate(gate as usize % GATES),
        }
    }

    /// Delivers all remaining messages and lets all calls finish.
    pub(crate) fn finish_all(&mut self) {
        for round in 0..200 {
            while let Some(message) = self.take(0) {
                self.deliver(message);
            }
            for gate in 0..GATES {
                if !self.gates[gate].running.is_empty() {
                    self.end_run(gate, round);
                }
            }
            self.wait(Span::from_millis(20));
        }
    }

    /// The guarantees that were violated.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (call, caller) in self.callers.iter().enumerate() {
            let runs = self.runs.get(&call).copied().unwrap_or_default();
            if runs > 1 {
                violations.push(format!("call {call} ran {runs} times"));
            }
            match caller.outcomes.as_slice() {
                [] if caller.connected => violations.push(format!("call {call} never finished")),
                [CallOutcome::NotRun { .. }] if runs > 0 => {
                    violations.push(format!("call {call} ran and was reported as not run"));
                }
                [CallOutcome::Unknown { .. }] if !caller.is_sent => {
                    violations.push(format!("call {call} is unknown without its body"));
                }
                [CallOutcome::Answer(answer)] if answer.status as usize != call => {
                    violations.push(format!(
                        "call {call} got the answer of call {}",
                        answer.status
                    ));
                }
                [] | [_] => {}
                _ => violations.push(format!("call {call} finished more than once")),
            }
        }
        if self.late_runs > 0 {
            violations.push(format!(
                "{} requests started after their deadline",
                self.late_runs
            ));
        }
        violations
    }

    /// The names of the outcomes that callers received.
    pub(crate) fn outcomes(&self) -> impl Iterator<Item = &'static str> {
        self.callers
            .iter()
            .flat_map(|c| &c.outcomes)
            .map(|outcome| match outcome {
                CallOutcome::Answer(_) => "answer",
                CallOutcome::NotRun { refusal, .. } => refusal.name(),
                CallOutcome::Unknown { late: true } => "unknown_late",
                CallOutcome::Unknown { late: false } => "unknown",
            })
    }

    /// Number of calls that finished with an answer.
    pub(crate) fn answered(&self) -> usize {
        let answered = |c: &&Caller| matches!(c.outcomes.as_slice(), [CallOutcome::Answer(_)]);
        self.callers.iter().filter(answered).count()
    }

    fn take(&mut self, index: u16) -> Option<Message> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(index as usize % count))
    }

    fn start_call(&mut self, ingress: usize, is_large: bool) {
        let request = CallRequest {
            idempotent: self.disabled == Disabled::SettledRetries,
            is_retry: false,
            deadline: self.now + CALL_TIMEOUT,
            max_attempts: MAX_ATTEMPTS,
        };
        let timeouts = Timeouts {
            reply_timeout: Span::from_millis(60),
            hedge_delay: Span::from_millis(40),
            query_interval: Span::from_millis(10),
        };
        self.started += 1;
        self.callers.push(Caller {
            call: Call::new(request, timeouts),
            boot: self.ingresses[ingress].boot,
            ingress,
            deadline: request.deadline,
            sent: BTreeMap::new(),
            is_large,
            bodies: BTreeSet::new(),
            is_sent: !is_large,
            outcomes: Vec::new(),
            connected: true,
        });
        let call = self.callers.len() - 1;
        let mut selector = RoundRobin {
            first: self.started,
        };
        let actions = self.callers[call].call.start(self.now, &mut selector);
        self.carry_out(call, actions);
    }

    fn carry_out(&mut self, call: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    attempt, server, ..
                } => self.send(call, attempt, gate_index(&server)),
                Action::Query(attempt) => self.query(call, attempt, Query::Outcome),
                Action::Cancel(attempt) => {
                    self.callers[call].bodies.insert(attempt);
                    self.query(call, attempt, Query::Cancel);
                }
                Action::Withdraw(attempt) => self.query(call, attempt, Query::Withdraw),
                Action::Settle(attempt) => {
                    self.callers[call].bodies.insert(attempt);
                    self.settle_attempt(call, attempt);
                }
                Action::Finish(outcome) => self.callers[call].outcomes.push(outcome),
            }
        }
    }

    fn send(&mut self, index: usize, attempt: AttemptIndex, to: usize) {
        let caller = &mut self.callers[index];
        let ingress = &mut self.ingresses[caller.ingress];
        let process = &mut self.gates[to];
        let gate_time = gate_clock(to, self.now);
        let session = ingress.sessions[to].get_or_insert_with(|| {
            let session = process.gate.open_session(ingress.boot, gate_time);
            GateSession::new(process.gate.boot(), session, gate_time, self.now, self.now)
        });
        let sent = session.start_attempt(caller.deadline);
        caller.sent.insert(attempt, (to, sent));
        let offer = Offer {
            id: sent.id,
            floor: sent.floor,
            deadline: sent.deadline,
            fail_fast: false,
            refusal: None,
            rank: gate::Rank::default(),
        };
        let boot = process.gate.boot();
        let call = index;
        if caller.is_large {
            caller.call.mark_unsent(attempt);
        }
        self.in_flight.push(match caller.is_large {
            true => Message::Offer {
                boot,
                offer,
                to,
                call,
                attempt,
            },
            false => Message::Run {
                boot,
                offer,
                to,
                call,
                attempt,
            },
        });
    }

    /// Sends the body of an attempt to the gate that has admitted it.
    fn send_body(&mut self, call: usize, attempt: AttemptIndex) {
        let caller = &mut self.callers[call];
        if !caller.bodies.insert(attempt) {
            return;
        }
        let (to, sent) = caller.sent[&attempt];
        self.bodies += 1;
        let is_cut = self.bodies.is_multiple_of(CUT_BODIES);
        if !is_cut {
            caller.call.on_sent(attempt);
            caller.is_sent = true;
        }
        self.in_flight.push(Message::Body {
            boot: sent.id.boot,
            id: sent.id,
            to,
            call,
            attempt,
            is_cut,
        });
    }

    fn query(&mut self, index: usize, attempt: AttemptIndex, query: Query) {
        let (to, sent) = self.callers[index].sent[&attempt];
        let boot = self.gates[to].gate.boot();
        let id = sent.id;
        self.in_flight.push(Message::Query {
            boot,
            id,
            to,
            call: index,
            attempt,
            query,
        });
    }

    fn settle_attempt(&mut self, call: usize, attempt: AttemptIndex) {
        let caller = &self.callers[call];
        let (to, sent) = caller.sent[&attempt];
        if let Some(session) = self.ingresses[caller.ingress].sessions[to].as_mut() {
            session.settle(sent.id);
        }
    }

    fn reply(&mut self, call: usize, attempt: AttemptIndex, outcome: Outcome) {
        if !self.callers[call].connected {
            return;
        }
        let (ingress, (to, sent)) = (
            self.callers[call].ingress,
            self.callers[call].sent[&attempt],
        );
        let forgotten = matches!(
            outcome,
            Outcome::Unknown
                | Outcome::NotRun {
                    refusal: Refusal::Session,
                    ..
                }
        );
        let session = &mut self.ingresses[ingress].sessions[to];
        let current = session
            .as_ref()
            .is_some_and(|s| s.session() == sent.id.session);
        if forgotten && current {
            *session = None;
        }
        let mut selector = RoundRobin {
            first: self.started,
        };
        let state = &mut self.callers[call].call;
        let actions = state.on_outcome(attempt, outcome, self.now, &mut selector, &mut self.budget);
        self.carry_out(call, actions);
    }

    fn wait(&mut self, span: Span) {
        self.now = self.now + span;
        for call in 0..self.callers.len() {
            if self.callers[call].connected && self.callers[call].call.next_tick() <= self.now {
                let mut selector = RoundRobin {
                    first: self.started,
                };
                let state = &mut self.callers[call].call;
                let actions = state.tick(self.now, &mut selector, &mut self.budget);
                self.carry_out(call, actions);
            }
        }
        for gate in 0..GATES {
            let now = gate_clock(gate, self.now);
            let actions = self.gates[gate].gate.tick(now);
            self.carry_out_gate(gate, actions);
        }
    }

    fn restart_ingress(&mut self, ingress: usize) {
        let boot = self.ingresses[ingress].boot;
        for caller in self.callers.iter_mut().filter(|c| c.boot == boot) {
            caller.connected = false;
        }
        self.ingresses[ingress] = self.new_ingress();
    }

    fn abandon(&mut self, index: usize) {
        if self.callers.is_empty() {
            return;
        }
        let call = index % self.callers.len();
        if !self.callers[call].connected || self.callers[call].call.is_finished() {
            return;
        }
        let actions = self.callers[call].call.abandon();
        self.callers[call].connected = false;
        self.carry_out(call, actions);
    }

    fn wind_down(&mut self, index: usize) {
        if self.callers.is_empty() {
            return;
        }
        let call = index % self.callers.len();
        if self.callers[call].call.is_finished() {
            return;
        }
        let actions = self.callers[call].call.wind_down(self.now + EXIT_TIME);
        self.carry_out(call, actions);
    }

    fn drain_gate(&mut self, gate: usize) {
        let now = gate_clock(gate, self.now);
        let process = &mut self.gates[gate].gate;
        let mut actions = process.stop(now + EXIT_TIME, now);
        actions.extend(process.drain_queue());
        self.carry_out_gate(gate, actions);
    }
}
