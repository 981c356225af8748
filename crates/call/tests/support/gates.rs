//! The gates' side of the model: messages that arrive, work that ends, and processes that start anew.

use std::sync::Arc;

use call::Try;
use gate::{Action as GateAction, Completion, Gate, Offer, RetentionLimits};
use note::Limits;
use types::{Answer, AttemptId, Boot, Moment, Outcome, Refusal, Slots};

use super::{
    CALL_TIME, GATES, World,
    parts::{Any, Message, Running, Without, clock},
};

impl World {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Run { boot, to, .. } | Message::Ask { boot, to, .. }
                if self.gates[to].gate.boot() != boot =>
            {
                self.lose(message);
            }
            Message::Run {
                offer,
                to,
                call,
                attempt,
                ..
            } => {
                let process = &mut self.gates[to];
                process.owners.insert(offer.id, call);
                process.waiting.push((offer.id, call, attempt));
                let now = clock(to, self.now);
                let offer = match self.without {
                    Without::Moments => Offer {
                        deadline: now + CALL_TIME,
                        ..offer
                    },
                    _ => offer,
                };
                let actions = process.gate.offer(offer, now);
                self.carry_out_gate(to, actions);
            }
            Message::Ask {
                id,
                to,
                call,
                attempt,
                cancel,
                ..
            } => {
                self.deliver_ask(id, to, call, attempt, cancel);
            }
            Message::Reply {
                call,
                attempt,
                outcome,
            } => self.reply(call, attempt, outcome),
        }
    }

    fn deliver_ask(&mut self, id: AttemptId, to: usize, call: usize, attempt: Try, cancel: bool) {
        let process = &mut self.gates[to];
        let came = process.owners.contains_key(&id);
        if self.without == Without::Bars && !came {
            let outcome = Outcome::refused(Refusal::Barred);
            self.flying.push(Message::Reply {
                call,
                attempt,
                outcome,
            });
            return;
        }
        process.waiting.push((id, call, attempt));
        let actions = process.gate.ask(id, cancel, clock(to, self.now));
        self.carry_out_gate(to, actions);
    }

    pub(super) fn carry_out_gate(&mut self, at: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start(id, deadline) => {
                    let call = self.gates[at].owners[&id];
                    self.gates[at].running.push(Running { call, id });
                    self.late += u32::from(self.now >= self.callers[call].deadline);
                    assert!(clock(at, self.now) < deadline);
                    *self.runs.entry(call).or_default() += 1;
                }
                GateAction::Probe => {}
                GateAction::Abort(id) => self.finish(at, id, Completion::Aborted),
                GateAction::Reply(id, outcome) => {
                    let waiting = std::mem::take(&mut self.gates[at].waiting);
                    let (told, rest) = waiting.into_iter().partition(|(w, ..)| *w == id);
                    self.gates[at].waiting = rest;
                    let told: Vec<(AttemptId, usize, Try)> = told;
                    self.flying
                        .extend(told.into_iter().map(|(_, call, attempt)| Message::Reply {
                            call,
                            attempt,
                            outcome: outcome.clone(),
                        }));
                }
            }
        }
    }

    fn finish(&mut self, at: usize, id: AttemptId, finish: Completion) {
        let running = &mut self.gates[at].running;
        let Some(place) = running.iter().position(|r| r.id == id) else {
            return;
        };
        let run = running.remove(place);
        if matches!(finish, Completion::Unsent | Completion::Shed) {
            // The backend server never ran it.
            *self.runs.get_mut(&run.call).expect("it was counted") -= 1;
        }
        let now = clock(at, self.now);
        let actions = self.gates[at].gate.complete(id, finish, now);
        self.carry_out_gate(at, actions);
    }

    pub(super) fn end(&mut self, pick: usize, how: u8) {
        let at = pick % GATES;
        let running = &self.gates[at].running;
        if running.is_empty() {
            return;
        }
        let run = &running[(pick / GATES) % running.len()];
        let answer = Answer {
            status: run.call as u16,
            ..Answer::default()
        };
        let finish = match how % 8 {
            0 => Completion::Incomplete,
            1 => Completion::Unsent,
            2 => Completion::Shed,
            3 => Completion::Expired,
            _ => Completion::Answered(Arc::new(answer)),
        };
        let id = run.id;
        self.finish(at, id, finish);
    }

    pub(super) fn lose(&mut self, message: Message) {
        let (number, attempt, asked) = match message {
            Message::Run { call, attempt, .. } => (call, attempt, false),
            Message::Ask { call, attempt, .. } => (call, attempt, true),
            // Silence: the ingress learns nothing.
            Message::Reply { .. } => return,
        };
        if !self.callers[number].alive {
            return;
        }
        let mut any = Any { turn: self.turn };
        let caller = &mut self.callers[number];
        let (to, sent) = caller.sent[&attempt];
        let ended = self.gates[to].gate.boot() != sent.id.boot;
        let budget = &mut self.budget;
        let actions = match asked {
            true if ended => {
                caller
                    .call
                    .heard(attempt, Outcome::Unknown, self.now, &mut any, budget)
            }
            true => caller.call.unasked(attempt, self.now),
            false => caller.call.broken(attempt, self.now, &mut any, budget),
        };
        self.carry_out(number, actions);
    }

    pub(super) fn restart_gate(&mut self, at: usize) {
        let boot = self.gates[at].gate.boot();
        let new = self.process();
        let old = std::mem::replace(&mut self.gates[at], new);
        if self.without == Without::Memory {
            // The same incarnation goes on with nothing remembered.
            self.gates[at].gate = Gate::new(
                boot,
                Limits {
                    slots: Slots(2),
                    cold: Slots(2),
                    ..Limits::default()
                },
                RetentionLimits::default(),
            );
            self.gates[at].gate.set_open(true);
            self.gates[at].gate.extend_lease(Moment::MAX);
            for _ in 0..9 {
                self.gates[at].gate.open_session(Boot(0), self.now);
            }
            self.gates[at].owners = old.owners;
        }
    }
}
