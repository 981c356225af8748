//! Carries one call through its attempts.
//!
//! All that a call waits for is polled by the handler's own task, so dropping the handler drops it.
//! What must go on after the caller has its answer, or has gone away, is sent by tasks that own what
//! they need: questions that stop the attempts that are still open.

use std::{
    pin::Pin,
    sync::{Arc, OnceLock},
};

use call::{Action, AttemptIndex, Call, CallOutcome, CallRequest, SessionAttempt};
use futures::{
    FutureExt, StreamExt,
    future::{AbortHandle, BoxFuture, abortable},
    stream::FuturesUnordered,
};
use gate::Rank;
use route::ServerState as Known;
use tokio::time::{Sleep, sleep_until};
use types::{Moment, Outcome, Refusal, ServerId, Span};

use super::{
    Ingress,
    accept::Accepted,
    services::{RetryBudget, Selector},
};
use crate::{
    gatekeeper::{Reply, outcome_name},
    peers::{Attempt, Peer, TransportError},
    view_sync::PeerReport,
};

/// Carries a call to its end.
pub(super) async fn drive(ingress: &Arc<Ingress>, accepted: Accepted) -> CallOutcome {
    let pace = ingress
        .services
        .begin(&accepted.service, &accepted.kind, accepted.limits.retries);
    let request = CallRequest {
        idempotent: accepted.idempotent,
        is_retry: accepted.request.repeat,
        deadline: accepted.deadline,
        max_attempts: accepted.attempts,
    };
    let mut drive = Drive {
        ingress: Arc::clone(ingress),
        call: Call::new(request, pace.timeouts()),
        expected: pace.service_time(),
        accepted,
        attempts: Vec::new(),
        pending: FuturesUnordered::new(),
    };
    drive.run().await
}

/// An attempt under way.
struct Open {
    server: ServerId,
    peer: Arc<Peer>,
    /// Set once the attempt has a name, which is before it is sent.
    sent: Arc<OnceLock<SessionAttempt>>,
    sending: AbortHandle,
    settled: bool,
}

enum Event {
    Ran {
        attempt: AttemptIndex,
        result: Result<Reply, TransportError>,
        asked: Moment,
    },
    Asked {
        attempt: AttemptIndex,
        result: Result<Reply, TransportError>,
        asked: Moment,
    },
    /// The attempt was dropped on purpose.
    Dropped,
}

struct Drive {
    ingress: Arc<Ingress>,
    call: Call,
    accepted: Accepted,
    /// Time that the request's work usually takes.
    expected: Span,
    attempts: Vec<Open>,
    pending: FuturesUnordered<BoxFuture<'static, Event>>,
}

impl Drive {
    async fn run(&mut self) -> CallOutcome {
        let now = self.now();
        let actions = self.decide(|call, selector, _| call.start(now, selector));
        if let Some(ending) = self.carry_out(actions) {
            return ending;
        }
        let mut timer = Box::pin(sleep_until(self.wake()));
        loop {
            let actions = tokio::select! {
                Some(event) = self.pending.next() => self.take(event),
                () = &mut timer => self.tick(),
            };
            if let Some(ending) = self.carry_out(actions) {
                return ending;
            }
            let wake = self.wake();
            rearm(timer.as_mut(), wake);
        }
    }

    fn now(&self) -> Moment {
        self.ingress.board.clock.now()
    }

    fn wake(&self) -> tokio::time::Instant {
        self.ingress.board.clock.instant(self.call.next_tick())
    }

    /// Lets the call decide with the service's table and budget at hand.
    fn decide(
        &mut self,
        step: impl FnOnce(&mut Call, &mut Selector<'_>, &mut RetryBudget<'_>) -> Vec<Action>,
    ) -> Vec<Action> {
        let services = &self.ingress.services;
        let service = &self.accepted.service;
        let mut selector = Selector {
            services,
            service,
            now: self.ingress.board.clock.now(),
        };
        let mut budget = RetryBudget { services, service };
        step(&mut self.call, &mut selector, &mut budget)
    }

    fn tick(&mut self) -> Vec<Action> {
        let now = self.now();
        self.decide(|call, selector, budget| call.tick(now, selector, budget))
    }

    fn take(&mut self, event: Event) -> Vec<Action> {
        let now = self.now();
        match event {
            Event::Dropped => Vec::new(),
            Event::Ran {
                attempt,
                result: Ok(reply),
                asked,
            }
            | Event::Asked {
                attempt,
                result: Ok(reply),
                asked,
            } => {
                self.learn(attempt, &reply, asked, now);
                self.log_heard(attempt, &reply, now.since(asked));
                let outcome = reply.outcome;
                self.decide(|call, selector, budget| {
                    call.on_outcome(attempt, outcome, now, selector, budget)
                })
            }
            Event::Ran {
                attempt,
                result: Err(TransportError::ConnectionLost),
                ..
            } => {
                self.log_fault(attempt, TransportError::ConnectionLost);
                self.decide(|call, selector, budget| {
                    call.on_disconnect(attempt, now, selector, budget)
                })
            }
            // Nothing was sent.
            Event::Ran {
                attempt,
                result: Err(fault),
                ..
            } => {
                self.fail(attempt, fault, now);
                self.hear_refusal(attempt, Refusal::Down, now)
            }
            // The incarnation that was asked has ended.
            Event::Asked {
                attempt,
                result: Err(TransportError::ConnectionRefused),
                ..
            } => {
                self.fail(attempt, TransportError::ConnectionRefused, now);
                let outcome = Outcome::Unknown;
                self.decide(|call, selector, budget| {
                    call.on_outcome(attempt, outcome, now, selector, budget)
                })
            }
            Event::Asked {
                attempt,
                result: Err(fault),
                ..
            } => {
                self.fail(attempt, fault, now);
                self.call.on_ask_failed(attempt, now)
            }
        }
    }

    fn hear_refusal(
        &mut self,
        attempt: AttemptIndex,
        refusal: Refusal,
        now: Moment,
    ) -> Vec<Action> {
        let outcome = Outcome::refused(refusal);
        self.decide(|call, selector, budget| {
            call.on_outcome(attempt, outcome, now, selector, budget)
        })
    }

    fn log_sent(
        &self,
        attempt: AttemptIndex,
        server: &ServerId,
        choosy: bool,
        known: Option<&Known>,
    ) {
        let board = &self.ingress.board;
        let now = board.clock.now();
        let heard = known.filter(|k| k.reported_at > Moment(0));
        log::info!(
            call:% = self.accepted.request.call, attempt, service:% = self.accepted.service,
            server:% = server, choosy,
            local = known.map(|k| k.member.local),
            open = known.map(|k| k.open_attempts),
            load = heard.map(|k| k.report.load),
            pace = heard.map(|k| k.report.slowdown_percent),
            report_ms = heard.map(|k| now.since(k.reported_at).as_millis()),
            left_ms = self.accepted.deadline.since(now).as_millis(),
            view:% = board.view.borrow().revision;
            "attempt_sent"
        );
    }

    fn log_heard(&self, attempt: AttemptIndex, reply: &Reply, took: Span) {
        let load = reply.load;
        log::info!(
            call:% = self.accepted.request.call, attempt, server:% = self.attempts[attempt].server,
            outcome = outcome_name(&reply.outcome), took_us = took.0, ran_us = reply.ran.0,
            running = load.running, waiting = load.waiting, allowed = load.allowed, pace = load.slowdown,
            view:% = reply.revision;
            "attempt_heard"
        );
    }

    fn log_fault(&self, attempt: AttemptIndex, fault: TransportError) {
        let server = &self.attempts[attempt].server;
        log::warn!(
            call:% = self.accepted.request.call, attempt, server:% = server, fault = fault.name();
            "attempt_unheard"
        );
    }

    fn fail(&self, attempt: AttemptIndex, fault: TransportError, now: Moment) {
        self.log_fault(attempt, fault);
        let server = &self.attempts[attempt].server;
        self.ingress
            .services
            .failed(&self.accepted.service, server, now);
    }

    fn learn(&self, attempt: AttemptIndex, reply: &Reply, asked: Moment, now: Moment) {
        let open = &self.attempts[attempt];
        if let Some(sent) = open.sent.get() {
            open.peer.record_reply(sent.id, reply, asked, now);
        }
        let took = now.since(asked);
        if matches!(reply.outcome, Outcome::Answer(_)) {
            let service = &self.accepted.service;
            self.ingress.meter.record_answer(service, took, reply.ran);
        }
        self.ingress.services.heard(
            &self.accepted.service,
            &self.accepted.kind,
            &open.server,
            reply,
            took,
            now,
        );
        if reply.revision > self.ingress.board.view.borrow().revision {
            let heard = PeerReport::revision_only(open.peer.address, reply.revision);
            let _ = self.ingress.spreader.tell(heard).try_send();
        }
    }

    /// Does what the call says, and returns its ending when it comes to it.
    fn carry_out(&mut self, actions: Vec<Action>) -> Option<CallOutcome> {
        let mut ending = None;
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Send {
                    attempt,
                    server,
                    retry,
                    may_decline,
                } => {
                    queue.extend(self.send(attempt, server, retry, may_decline));
                }
                Action::Ask(attempt) => queue.extend(self.ask(attempt)),
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::Settle(attempt) => self.settle(attempt),
                Action::Finish(end) => ending = Some(end),
            }
        }
        ending
    }

    fn send(
        &mut self,
        attempt: AttemptIndex,
        server: ServerId,
        repeat: bool,
        choosy: bool,
    ) -> Vec<Action> {
        let Some(peer) = self.ingress.peer(&server) else {
            // The view changed since the choice.
            self.attempts.push(self.unsendable(server));
            let now = self.now();
            return self.hear_refusal(attempt, Refusal::Misplaced, now);
        };
        let known = self.ingress.services.sent(&self.accepted.service, &server);
        self.log_sent(attempt, &server, choosy, known.as_ref());
        let sent = Arc::new(OnceLock::new());
        let mut request = self.accepted.request.clone();
        request.repeat |= repeat;
        let outgoing = Outgoing {
            ingress: Arc::clone(&self.ingress),
            peer: Arc::clone(&peer),
            server: server.clone(),
            idempotent: self.accepted.idempotent,
            choosy,
            deadline: self.accepted.deadline,
            rank: Rank {
                objective: self.accepted.objective,
                service_time: self.expected,
                priority: self.accepted.priority,
                nested: self.accepted.nested,
            },
            request,
            sent: Arc::clone(&sent),
        };
        let (running, sending) = abortable(outgoing.run(attempt));
        let event = running.map(|done| done.unwrap_or(Event::Dropped));
        self.pending.push(event.boxed());
        self.attempts.push(Open {
            server,
            peer,
            sent,
            sending,
            settled: false,
        });
        Vec::new()
    }

    fn unsendable(&self, server: ServerId) -> Open {
        let peer = self.ingress.peers.get(self.ingress.board.identity.node);
        let (_, sending) = abortable(std::future::ready(()));
        Open {
            server,
            peer,
            sent: Arc::default(),
            sending,
            settled: true,
        }
    }

    fn ask(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        let open = &self.attempts[attempt];
        let Some(sent) = open.sent.get().copied() else {
            // It has no name yet, so nothing was sent, and now nothing will be.
            open.sending.abort();
            let now = self.now();
            return self.hear_refusal(attempt, Refusal::Down, now);
        };
        let peer = Arc::clone(&open.peer);
        let asked = self.now();
        let asking = async move {
            let result = peer.client.ask(sent.id).await;
            Event::Asked {
                attempt,
                result,
                asked,
            }
        };
        self.pending.push(asking.boxed());
        Vec::new()
    }

    /// Stops an open attempt without waiting for it.
    fn cancel(&mut self, attempt: AttemptIndex) {
        let open = &mut self.attempts[attempt];
        open.sending.abort();
        if std::mem::replace(&mut open.settled, true) {
            return;
        }
        self.ingress
            .services
            .closed(&self.accepted.service, &open.server);
        let Some(sent) = open.sent.get().copied() else {
            return;
        };
        let peer = Arc::clone(&open.peer);
        tokio::spawn(async move {
            let _ = peer.client.cancel(sent.id).await;
            peer.settle(sent.id);
        });
    }

    fn settle(&mut self, attempt: AttemptIndex) {
        let open = &mut self.attempts[attempt];
        if std::mem::replace(&mut open.settled, true) {
            return;
        }
        self.ingress
            .services
            .closed(&self.accepted.service, &open.server);
        if let Some(sent) = open.sent.get() {
            open.peer.settle(sent.id);
        }
    }
}

/// The caller has gone away if the call isn't finished by now.
impl Drop for Drive {
    fn drop(&mut self) {
        if !self.call.is_finished() {
            log::info!(call:% = self.accepted.request.call, attempts = self.attempts.len(); "caller_left");
            let actions = self.call.abandon();
            self.carry_out(actions);
        }
    }
}

/// An attempt that is to be sent.
struct Outgoing {
    ingress: Arc<Ingress>,
    peer: Arc<Peer>,
    server: ServerId,
    idempotent: bool,
    choosy: bool,
    deadline: Moment,
    /// With the objective on the own clock.
    rank: Rank,
    request: crate::backend::ServerRequest,
    sent: Arc<OnceLock<SessionAttempt>>,
}

impl Outgoing {
    async fn run(self, attempt: AttemptIndex) -> Event {
        let board = &self.ingress.board;
        let sent = match self.peer.register_attempt(board, self.deadline).await {
            Ok(sent) => sent,
            Err(fault) => {
                return Event::Ran {
                    attempt,
                    result: Err(fault),
                    asked: board.clock.now(),
                };
            }
        };
        let _ = self.sent.set(sent);
        let outgoing = Attempt {
            sent,
            server: self.server,
            idempotent: self.idempotent,
            choosy: self.choosy,
            rank: Rank {
                objective: sent.deadline - self.deadline.since(self.rank.objective),
                ..self.rank
            },
            request: self.request,
            revision: board.view.borrow().revision,
            node: board.identity.node,
        };
        let asked = board.clock.now();
        let result = self.peer.client.run(outgoing).await;
        Event::Ran {
            attempt,
            result,
            asked,
        }
    }
}

fn rearm(timer: Pin<&mut Sleep>, wake: tokio::time::Instant) {
    if timer.deadline() != wake {
        timer.reset(wake);
    }
}
