//! Calls and gates joined by a fake network that loses, delays, reorders and repeats messages.
//!
//! Each step is one event, picked by the test: nothing happens by itself and no clock runs.

mod gates;
mod parts;

use std::collections::BTreeMap;

use call::{Action, Bucket, Call, Ending, Link, Request, Timing, Try};
use gate::{Gate, Offer, RetentionLimits};
use note::Limits;
use types::{Boot, Moment, Outcome, Refusal, Slots, Span};

use parts::{Any, Caller, Ingress, Message, Process, clock, place};
pub(crate) use parts::{Step, Without};

/// Number of gates.
pub(crate) const GATES: usize = 3;
/// Number of ingresses.
pub(crate) const INGRESSES: usize = 2;
/// Backend servers that a call may be sent to at most.
const MOST_ATTEMPTS: u32 = 3;
/// Time that each call gets.
const CALL_TIME: Span = Span::from_millis(400);

/// Everything.
pub(crate) struct World {
    without: Without,
    now: Moment,
    boots: u64,
    gates: Vec<Process>,
    ingresses: Vec<Ingress>,
    callers: Vec<Caller>,
    flying: Vec<Message>,
    budget: Bucket,
    /// Times that the request of each call was run at a backend server.
    runs: BTreeMap<usize, u32>,
    /// Requests that began after their deadline had passed.
    late: u32,
    turn: usize,
}

impl World {
    pub(crate) fn new(without: Without) -> Self {
        let mut world = Self {
            without,
            now: Moment(1_000_000),
            boots: 0,
            gates: Vec::new(),
            ingresses: Vec::new(),
            callers: Vec::new(),
            flying: Vec::new(),
            budget: Bucket::default(),
            runs: BTreeMap::new(),
            late: 0,
            turn: 0,
        };
        for _ in 0..GATES {
            let process = world.process();
            world.gates.push(process);
        }
        for _ in 0..INGRESSES {
            let ingress = world.ingress();
            world.ingresses.push(ingress);
        }
        world
    }

    fn boot(&mut self) -> Boot {
        self.boots += 1;
        Boot(self.boots)
    }

    fn process(&mut self) -> Process {
        let limits = Limits {
            slots: Slots(2),
            cold: Slots(2),
            queue: Slots(2),
            ..Limits::default()
        };
        let bounds = RetentionLimits {
            sessions: 3,
            attempts: 6,
            answer_bytes: 8,
        };
        let mut gate = Gate::new(self.boot(), limits, bounds);
        gate.set_open(true);
        gate.extend_lease(Moment::MAX);
        Process {
            gate,
            waiting: Vec::new(),
            running: Vec::new(),
            owners: BTreeMap::new(),
        }
    }

    fn ingress(&mut self) -> Ingress {
        Ingress {
            boot: self.boot(),
            links: vec![None; GATES],
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Begin(at) => self.begin(at as usize % INGRESSES),
            Step::Deliver(at) => {
                if let Some(message) = self.take(at) {
                    self.deliver(message);
                }
            }
            Step::Repeat(at) if !self.flying.is_empty() => {
                let message = self.flying[at as usize % self.flying.len()].clone();
                self.deliver(message);
            }
            Step::Repeat(_) => {}
            Step::Lose(at) => {
                if let Some(message) = self.take(at) {
                    self.lose(message);
                }
            }
            Step::End(at, how) => self.end(at as usize, how),
            Step::Wait(ms) => self.wait(Span::from_millis(u64::from(ms))),
            Step::RestartGate(at) => self.restart_gate(at as usize % GATES),
            Step::RestartIngress(at) => self.restart_ingress(at as usize % INGRESSES),
            Step::Abandon(at) => self.abandon(at as usize),
        }
    }

    /// Delivers everything that is left and lets all calls end.
    pub(crate) fn settle(&mut self) {
        for round in 0..200 {
            while let Some(message) = self.take(0) {
                self.deliver(message);
            }
            for gate in 0..GATES {
                if !self.gates[gate].running.is_empty() {
                    self.end(gate, round);
                }
            }
            self.wait(Span::from_millis(20));
        }
    }

    /// What was broken, if anything.
    pub(crate) fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (number, caller) in self.callers.iter().enumerate() {
            let runs = self.runs.get(&number).copied().unwrap_or_default();
            if runs > 1 {
                faults.push(format!("call {number} ran {runs} times"));
            }
            match caller.told.as_slice() {
                [] if caller.alive => faults.push(format!("call {number} was never told")),
                [Ending::NotRun { .. }] if runs > 0 => {
                    faults.push(format!("call {number} ran and was told that it wasn't"));
                }
                [Ending::Answer(answer)] if answer.status as usize != number => {
                    faults.push(format!("call {number} got the answer of {}", answer.status));
                }
                [] | [_] => {}
                _ => faults.push(format!("call {number} was told more than once")),
            }
        }
        if self.late > 0 {
            faults.push(format!("{} requests began after their deadline", self.late));
        }
        faults
    }

    /// What callers were told, by name.
    pub(crate) fn endings(&self) -> impl Iterator<Item = &'static str> {
        self.callers
            .iter()
            .flat_map(|c| &c.told)
            .map(|ending| match ending {
                Ending::Answer(_) => "answer",
                Ending::NotRun { refusal, .. } => refusal.name(),
                Ending::Unknown { late: true } => "unknown_late",
                Ending::Unknown { late: false } => "unknown",
            })
    }

    /// Number of calls that ended with an answer.
    pub(crate) fn answered(&self) -> usize {
        let answered = |c: &&Caller| matches!(c.told.as_slice(), [Ending::Answer(_)]);
        self.callers.iter().filter(answered).count()
    }

    fn take(&mut self, at: u16) -> Option<Message> {
        let count = self.flying.len();
        (count > 0).then(|| self.flying.remove(at as usize % count))
    }

    fn begin(&mut self, at: usize) {
        let request = Request {
            idempotent: self.without == Without::Care,
            repeat: false,
            deadline: self.now + CALL_TIME,
            attempts: MOST_ATTEMPTS,
        };
        let timing = Timing {
            patience: Span::from_millis(60),
            hedge: Span::from_millis(40),
            pause: Span::from_millis(10),
        };
        self.turn += 1;
        self.callers.push(Caller {
            call: Call::new(request, timing),
            ingress: self.ingresses[at].boot,
            at,
            deadline: request.deadline,
            sent: BTreeMap::new(),
            told: Vec::new(),
            alive: true,
        });
        let number = self.callers.len() - 1;
        let mut any = Any { turn: self.turn };
        let actions = self.callers[number].call.begin(self.now, &mut any);
        self.carry_out(number, actions);
    }

    fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    attempt, server, ..
                } => self.send(number, attempt, place(&server)),
                Action::Ask(attempt) => self.ask(number, attempt, false),
                Action::Cancel(attempt) => self.ask(number, attempt, true),
                Action::Settle(attempt) => self.settle_attempt(number, attempt),
                Action::Finish(ending) => self.callers[number].told.push(ending),
            }
        }
    }

    fn send(&mut self, number: usize, attempt: Try, to: usize) {
        let caller = &mut self.callers[number];
        let ingress = &mut self.ingresses[caller.at];
        let process = &mut self.gates[to];
        let there = clock(to, self.now);
        let link = ingress.links[to].get_or_insert_with(|| {
            let session = process.gate.open_session(ingress.boot, there);
            Link::new(process.gate.boot(), session, there, self.now, self.now)
        });
        let sent = link.send(caller.deadline);
        caller.sent.insert(attempt, (to, sent));
        let offer = Offer {
            id: sent.id,
            floor: sent.floor,
            deadline: sent.deadline,
            fail_fast: false,
            wrong_server: false,
            rank: gate::Rank::default(),
        };
        let boot = process.gate.boot();
        self.flying.push(Message::Run {
            boot,
            offer,
            to,
            call: number,
            attempt,
        });
    }

    fn ask(&mut self, number: usize, attempt: Try, cancel: bool) {
        let (to, sent) = self.callers[number].sent[&attempt];
        let boot = self.gates[to].gate.boot();
        let id = sent.id;
        self.flying.push(Message::Ask {
            boot,
            id,
            to,
            call: number,
            attempt,
            cancel,
        });
    }

    fn settle_attempt(&mut self, number: usize, attempt: Try) {
        let caller = &self.callers[number];
        let (to, sent) = caller.sent[&attempt];
        if let Some(link) = self.ingresses[caller.at].links[to].as_mut() {
            link.settle(sent.id);
        }
    }

    fn reply(&mut self, number: usize, attempt: Try, outcome: Outcome) {
        if !self.callers[number].alive {
            return;
        }
        let (at, (to, sent)) = (self.callers[number].at, self.callers[number].sent[&attempt]);
        let forgotten = matches!(
            outcome,
            Outcome::Unknown
                | Outcome::NotRun {
                    refusal: Refusal::Session,
                    ..
                }
        );
        let link = &mut self.ingresses[at].links[to];
        let current = link
            .as_ref()
            .is_some_and(|l| l.session() == sent.id.session);
        if forgotten && current {
            *link = None;
        }
        let mut any = Any { turn: self.turn };
        let call = &mut self.callers[number].call;
        let actions = call.heard(attempt, outcome, self.now, &mut any, &mut self.budget);
        self.carry_out(number, actions);
    }

    fn wait(&mut self, span: Span) {
        self.now = self.now + span;
        for number in 0..self.callers.len() {
            if self.callers[number].alive && self.callers[number].call.next_tick() <= self.now {
                let mut any = Any { turn: self.turn };
                let call = &mut self.callers[number].call;
                let actions = call.tick(self.now, &mut any, &mut self.budget);
                self.carry_out(number, actions);
            }
        }
        for at in 0..GATES {
            let now = clock(at, self.now);
            let actions = self.gates[at].gate.tick(now);
            self.carry_out_gate(at, actions);
        }
    }

    fn restart_ingress(&mut self, at: usize) {
        let boot = self.ingresses[at].boot;
        for caller in self.callers.iter_mut().filter(|c| c.ingress == boot) {
            caller.alive = false;
        }
        self.ingresses[at] = self.ingress();
    }

    fn abandon(&mut self, pick: usize) {
        if self.callers.is_empty() {
            return;
        }
        let number = pick % self.callers.len();
        if !self.callers[number].alive || self.callers[number].call.is_finished() {
            return;
        }
        let actions = self.callers[number].call.abandon();
        self.callers[number].alive = false;
        self.carry_out(number, actions);
    }
}
