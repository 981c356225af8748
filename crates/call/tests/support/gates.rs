//! The gates' side of the simulation: arriving messages, ending runs and restarting processes.

use std::sync::Arc;

use call::AttemptIndex;
use gate::{Action as GateAction, Completion, Gate, Offer, Query, RetentionLimits};
use note::Limits;
use types::{Answer, AttemptId, Boot, Moment, Outcome, Refusal, Size, Slots};

use super::{
    CALL_TIMEOUT, GATES, Simulation,
    model::{Disabled, Message, RoundRobin, Running, gate_clock},
};

/// Size of the bodies that are sent after their attempt.
const BODY: Size = Size(100_000);

/// What an ingress knows of a message that was lost.
enum Loss {
    /// The gate may have got the whole request.
    Request,
    /// The gate can't have got the whole body.
    BeforeBody,
    Query,
}

impl Simulation {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Run { boot, to, .. }
            | Message::Offer { boot, to, .. }
            | Message::Body { boot, to, .. }
            | Message::Query { boot, to, .. }
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
                process.calls.insert(offer.id, call);
                process.waiting.push((offer.id, call, attempt));
                let now = gate_clock(to, self.now);
                let offer = match self.disabled {
                    Disabled::AbsoluteDeadlines => Offer {
                        deadline: now + CALL_TIMEOUT,
                        ..offer
                    },
                    _ => offer,
                };
                let actions = process.gate.offer(offer, now);
                self.carry_out_gate(to, actions);
            }
            Message::Offer {
                offer,
                to,
                call,
                attempt,
                ..
            } => self.deliver_offer(offer, to, call, attempt),
            Message::Admitted { call, attempt } => self.send_body(call, attempt),
            Message::Body {
                id,
                to,
                call,
                attempt,
                is_cut,
                ..
            } => {
                self.gates[to].waiting.push((id, call, attempt));
                self.deliver_body(id, to, is_cut);
            }
            Message::Query {
                id,
                to,
                call,
                attempt,
                query,
                ..
            } => {
                self.deliver_query(id, to, call, attempt, query);
            }
            Message::Reply {
                call,
                attempt,
                outcome,
            } => self.reply(call, attempt, outcome),
        }
    }

    fn deliver_offer(&mut self, offer: Offer, to: usize, call: usize, attempt: AttemptIndex) {
        let process = &mut self.gates[to];
        process.calls.insert(offer.id, call);
        process.waiting.push((offer.id, call, attempt));
        let now = gate_clock(to, self.now);
        let actions = process.gate.offer_body(offer, BODY, now);
        self.carry_out_gate(to, actions);
        let process = &mut self.gates[to];
        if process.gate.awaits_body(offer.id) {
            process.waiting.retain(|(id, ..)| *id != offer.id);
            self.in_flight.push(Message::Admitted { call, attempt });
        }
    }

    fn deliver_body(&mut self, id: AttemptId, to: usize, is_cut: bool) {
        let size = match is_cut && self.disabled != Disabled::WholeBodies {
            true => Size(BODY.0 - 1),
            false => BODY,
        };
        let now = gate_clock(to, self.now);
        let actions = self.gates[to].gate.deliver(id, size, None, now);
        self.carry_out_gate(to, actions);
    }

    fn deliver_query(
        &mut self,
        id: AttemptId,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
        query: Query,
    ) {
        let process = &mut self.gates[to];
        let arrived = process.calls.contains_key(&id);
        if self.disabled == Disabled::Barring && !arrived {
            let outcome = Outcome::refused(Refusal::Barred);
            self.in_flight.push(Message::Reply {
                call,
                attempt,
                outcome,
            });
            return;
        }
        process.waiting.push((id, call, attempt));
        let actions = process.gate.query(id, query, gate_clock(to, self.now));
        self.carry_out_gate(to, actions);
    }

    pub(super) fn carry_out_gate(&mut self, gate: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start(id, deadline) => {
                    let call = self.gates[gate].calls[&id];
                    self.gates[gate].running.push(Running { call, id });
                    self.late_runs += u32::from(self.now >= self.callers[call].deadline);
                    assert!(gate_clock(gate, self.now) < deadline);
                    *self.runs.entry(call).or_default() += 1;
                }
                GateAction::Probe => {}
                GateAction::Cancel(id) => self.finish(gate, id, Completion::Cancelled),
                GateAction::Reply(id, outcome) => {
                    let waiting = std::mem::take(&mut self.gates[gate].waiting);
                    let (ready, rest) = waiting.into_iter().partition(|(w, ..)| *w == id);
                    self.gates[gate].waiting = rest;
                    let ready: Vec<(AttemptId, usize, AttemptIndex)> = ready;
                    self.in_flight
                        .extend(ready.into_iter().map(|(_, call, attempt)| Message::Reply {
                            call,
                            attempt,
                            outcome: outcome.clone(),
                        }));
                }
            }
        }
    }

    fn finish(&mut self, gate: usize, id: AttemptId, completion: Completion) {
        let running = &mut self.gates[gate].running;
        let Some(position) = running.iter().position(|r| r.id == id) else {
            return;
        };
        let run = running.remove(position);
        if matches!(completion, Completion::Unsent | Completion::Shed) {
            // The backend server did not run the request.
            *self
                .runs
                .get_mut(&run.call)
                .expect("the run was counted when it started") -= 1;
        }
        let now = gate_clock(gate, self.now);
        let actions = self.gates[gate].gate.complete(id, completion, now);
        self.carry_out_gate(gate, actions);
    }

    pub(super) fn end_run(&mut self, index: usize, how: u8) {
        let gate = index % GATES;
        let running = &self.gates[gate].running;
        if running.is_empty() {
            return;
        }
        let run = &running[(index / GATES) % running.len()];
        let answer = Answer {
            status: run.call as u16,
            ..Answer::default()
        };
        let completion = match how % 8 {
            0 => Completion::Incomplete,
            1 => Completion::Unsent,
            2 => Completion::Shed,
            3 => Completion::Expired,
            _ => Completion::Answered(Arc::new(answer)),
        };
        let id = run.id;
        self.finish(gate, id, completion);
    }

    pub(super) fn lose(&mut self, message: Message) {
        let (call, attempt, loss) = match message {
            Message::Run { call, attempt, .. } => (call, attempt, Loss::Request),
            // The ingress sends no body, unless it had the reply to the offer before.
            Message::Offer { call, attempt, .. } => match self.callers[call].bodies.insert(attempt)
            {
                true => (call, attempt, Loss::BeforeBody),
                false => return,
            },
            Message::Body {
                boot,
                id,
                to,
                call,
                attempt,
                is_cut: true,
            } => {
                // What was sent of it may still arrive.
                if self.gates[to].gate.boot() == boot {
                    self.deliver_body(id, to, true);
                }
                (call, attempt, Loss::BeforeBody)
            }
            Message::Body { call, attempt, .. } => (call, attempt, Loss::Request),
            Message::Query { call, attempt, .. } => (call, attempt, Loss::Query),
            // The ingress can't detect a lost reply.
            Message::Reply { .. } | Message::Admitted { .. } => return,
        };
        if !self.callers[call].connected {
            return;
        }
        let mut selector = RoundRobin {
            first: self.started,
        };
        let caller = &mut self.callers[call];
        let (to, sent) = caller.sent[&attempt];
        let restarted = self.gates[to].gate.boot() != sent.id.boot;
        let budget = &mut self.budget;
        let actions = match loss {
            Loss::Query if restarted => {
                caller
                    .call
                    .on_outcome(attempt, Outcome::Unknown, self.now, &mut selector, budget)
            }
            Loss::Query => caller.call.on_query_failed(attempt, self.now),
            Loss::BeforeBody => caller.call.on_outcome(
                attempt,
                Outcome::refused(Refusal::Down),
                self.now,
                &mut selector,
                budget,
            ),
            Loss::Request => caller
                .call
                .on_disconnect(attempt, self.now, &mut selector, budget),
        };
        self.carry_out(call, actions);
    }

    pub(super) fn restart_gate(&mut self, gate: usize) {
        let boot = self.gates[gate].gate.boot();
        let new = self.new_gate();
        let old = std::mem::replace(&mut self.gates[gate], new);
        if self.disabled == Disabled::Records {
            // The new gate keeps the incarnation, without any records.
            self.gates[gate].gate = Gate::new(
                boot,
                Limits {
                    slots: Slots(2),
                    cold: Slots(2),
                    ..Limits::default()
                },
                RetentionLimits::default(),
            );
            self.gates[gate].gate.set_open(true);
            self.gates[gate].gate.extend_lease(Moment::MAX);
            // The ingresses' sessions stay known to the gate, so that their attempts may start.
            for _ in 0..9 {
                self.gates[gate].gate.open_session(Boot(0), self.now);
            }
            self.gates[gate].calls = old.calls;
        }
    }
}
