//! Drives one call: executes the actions of [`Call`] and feeds the results back to it.
//!
//! The task that handles the request polls everything that the call waits for, so dropping its
//! future drops that too. The requests that cancel open attempts must complete even after the
//! caller has its answer or has disconnected, so they run in separate tasks that own their data.

mod attempts;
mod logs;
mod trip;

use std::{
    pin::{Pin, pin},
    sync::{Arc, OnceLock},
};

use attempt::Reply;
use board::Phase;
use call::{Action, AttemptIndex, Call, CallOutcome, CallRequest, SessionAttempt};
use futures::{
    FutureExt, StreamExt,
    future::{AbortHandle, BoxFuture},
    stream::FuturesUnordered,
};
use peers::{Handover, Peer, TransportError};
use tokio::time::{Sleep, sleep_until};
use types::{Moment, Outcome, Refusal, Revision, ServerId, Span};
use view_sync::PeerReport;

use super::{
    Ingress,
    routing::RoutedCall,
    services::{RetryBudget, Selector, Trial},
    trials::find_trial,
};

/// How a call has ended.
#[derive(Debug)]
pub(super) struct CallEnd {
    pub(super) outcome: CallOutcome,
    /// Revision of the gate that last refused an attempt for a reason that may be gone in another view.
    pub(super) refused_at: Option<Revision>,
    /// Whether a backend server got the request, and rejected it.
    pub(super) delivered: bool,
}

/// Sends a call's attempts until it has an outcome. For a `trial`, only one is sent.
pub(super) async fn run_attempts(
    ingress: &Arc<Ingress>,
    routed: Arc<RoutedCall>,
    trial: Option<Trial>,
) -> CallEnd {
    let retry_ratio = match routed.is_rerouted {
        true => 0.0,
        false => routed.limits.retries,
    };
    let latency = ingress
        .services
        .begin_call(&routed.service, &routed.latency_key, retry_ratio);
    let request = CallRequest {
        idempotent: routed.idempotent,
        is_retry: routed.request.is_retry || trial.is_some(),
        deadline: routed.deadline,
        max_attempts: match trial {
            Some(_) => 1,
            None => routed.max_attempts,
        },
    };
    let mut driver = CallDriver {
        ingress: Arc::clone(ingress),
        call: Call::new(request, latency.timeouts()),
        service_time: latency.service_time(),
        trial,
        broken: false,
        refused_at: None,
        delivered: false,
        routed,
        attempts: Vec::new(),
        events: FuturesUnordered::new(),
    };
    CallEnd {
        outcome: driver.run().await,
        refused_at: driver.refused_at,
        delivered: driver.delivered,
    }
}

/// State of an attempt of the call.
struct AttemptState {
    server: ServerId,
    peer: Arc<Peer>,
    /// Set when the attempt gets its id, before it is sent.
    registered: Arc<OnceLock<SessionAttempt>>,
    /// Set if the gate gets the body once it has admitted the attempt.
    handover: Option<Handover>,
    abort_handle: AbortHandle,
    /// Whether the attempt has been cancelled or settled, or was never sent.
    closed: bool,
}

impl AttemptState {
    /// Whether the gate may have all that it needs to start the attempt.
    fn is_sent(&self) -> bool {
        match &self.handover {
            Some(handover) => handover.is_complete(),
            None => self.registered.get().is_some(),
        }
    }
}

enum Event {
    RunEnded {
        attempt: AttemptIndex,
        result: Result<Reply, TransportError>,
        sent_at: Moment,
    },
    QueryEnded {
        attempt: AttemptIndex,
        result: Result<Reply, TransportError>,
        sent_at: Moment,
    },
    /// The driver stopped waiting for the attempt, or a withdrawal got no reply.
    Aborted,
}

struct CallDriver {
    ingress: Arc<Ingress>,
    call: Call,
    routed: Arc<RoutedCall>,
    /// Set if the request is a suspect, see [`fleet::Quarantine`].
    trial: Option<Trial>,
    /// Whether an attempt has ended without a known outcome: its backend server may have ended.
    broken: bool,
    /// See [`CallEnd`].
    refused_at: Option<Revision>,
    delivered: bool,
    /// Time that such a request usually spends at the backend server.
    service_time: Span,
    attempts: Vec<AttemptState>,
    events: FuturesUnordered<BoxFuture<'static, Event>>,
}

impl CallDriver {
    async fn run(&mut self) -> CallOutcome {
        let now = self.now();
        let actions = self.decide(|call, selector, _| call.start(now, selector));
        if let Some(outcome) = self.execute(actions) {
            return outcome;
        }
        let mut timer = Box::pin(sleep_until(self.wake_at()));
        let mut phase = self.ingress.board.phase.subscribe();
        let mut exiting = pin!(phase.wait_for(|phase| *phase == Phase::Exiting).fuse());
        loop {
            let actions = tokio::select! {
                Some(event) = self.events.next() => self.handle(event),
                () = &mut timer => self.tick(),
                _ = &mut exiting => self.call.wind_down(self.ingress.exit_deadline()),
            };
            if let Some(outcome) = self.execute(actions) {
                return outcome;
            }
            let wake_at = self.wake_at();
            reset_timer(timer.as_mut(), wake_at);
        }
    }

    fn now(&self) -> Moment {
        self.ingress.board.clock.now()
    }

    fn wake_at(&self) -> tokio::time::Instant {
        self.ingress.board.clock.instant(self.call.next_tick())
    }

    /// Runs a step of the call's state machine with the service's balancer and retry budget.
    fn decide(
        &mut self,
        step: impl FnOnce(&mut Call, &mut Selector<'_>, &mut RetryBudget<'_>) -> Vec<Action>,
    ) -> Vec<Action> {
        for (index, attempt) in self.attempts.iter().enumerate() {
            if attempt.is_sent() {
                self.call.on_sent(index);
            }
        }
        let services = &self.ingress.services;
        let service = &self.routed.service;
        let now = self.ingress.board.clock.now();
        let mut selector = Selector {
            services,
            service,
            trial: self.trial.as_ref(),
            trip: self.trip(now),
            metrics: &self.ingress.metrics,
            now,
        };
        let mut budget = RetryBudget { services, service };
        step(&mut self.call, &mut selector, &mut budget)
    }

    fn tick(&mut self) -> Vec<Action> {
        let now = self.now();
        self.decide(|call, selector, budget| call.tick(now, selector, budget))
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let now = self.now();
        self.record_round_trip(&event, now);
        match event {
            Event::Aborted => Vec::new(),
            Event::RunEnded {
                attempt,
                result: Ok(reply),
                sent_at,
            }
            | Event::QueryEnded {
                attempt,
                result: Ok(reply),
                sent_at,
            } => {
                self.record_reply(attempt, &reply, sent_at, now);
                self.log_reply(attempt, &reply, now.since(sent_at));
                let outcome = reply.outcome;
                if let Outcome::NotRun { refusal, .. } = &outcome {
                    self.delivered |= refusal.is_from_server();
                }
                self.refused_at = self.elsewhere(&outcome, reply.revision).or(self.refused_at);
                if outcome == Outcome::Unknown {
                    self.broken = true;
                    let found = || find_trial(&self.ingress.board, &self.routed.request);
                    self.trial = self.trial.take().or_else(found);
                }
                self.decide(|call, selector, budget| {
                    call.on_outcome(attempt, outcome, now, selector, budget)
                })
            }
            Event::RunEnded {
                attempt,
                result: Err(TransportError::ConnectionLost),
                ..
            } => {
                self.log_transport_error(attempt, TransportError::ConnectionLost);
                self.decide(|call, selector, budget| {
                    call.on_disconnect(attempt, now, selector, budget)
                })
            }
            // The attempt wasn't sent, or not to its end, so it was not run.
            Event::RunEnded {
                attempt,
                result: Err(error),
                ..
            } => {
                self.record_no_reply(attempt, error, now);
                self.apply_refusal(attempt, Refusal::Down, now)
            }
            // The node no longer listens, so the queried incarnation of its gate has ended.
            Event::QueryEnded {
                attempt,
                result: Err(TransportError::ConnectionRefused),
                ..
            } => {
                self.record_no_reply(attempt, TransportError::ConnectionRefused, now);
                let outcome = Outcome::Unknown;
                self.decide(|call, selector, budget| {
                    call.on_outcome(attempt, outcome, now, selector, budget)
                })
            }
            Event::QueryEnded {
                attempt,
                result: Err(error),
                ..
            } => {
                self.record_no_reply(attempt, error, now);
                self.call.on_query_failed(attempt, now)
            }
        }
    }

    /// Revision of a gate that refused an attempt for a reason that may be gone in another view than the gate's:
    /// its server isn't there, or takes nothing new by a view that is ahead of the call's.
    fn elsewhere(&self, outcome: &Outcome, gate: Revision) -> Option<Revision> {
        let Outcome::NotRun { refusal, .. } = outcome else {
            return None;
        };
        let is_ahead = gate > self.routed.view.revision;
        let is_elsewhere = match refusal {
            Refusal::Misplaced => true,
            Refusal::Leaving => is_ahead,
            _ => false,
        };
        is_elsewhere.then_some(gate)
    }

    fn apply_refusal(
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

    fn record_no_reply(&self, attempt: AttemptIndex, error: TransportError, now: Moment) {
        self.log_transport_error(attempt, error);
        let server = &self.attempts[attempt].server;
        self.ingress
            .services
            .record_no_reply(&self.routed.service, server, now);
    }

    fn record_reply(&self, attempt: AttemptIndex, reply: &Reply, sent_at: Moment, now: Moment) {
        let state = &self.attempts[attempt];
        if let Some(registered) = state.registered.get() {
            state.peer.record_reply(registered.id, reply, sent_at, now);
        }
        let took = now.since(sent_at);
        if matches!(reply.outcome, Outcome::Answer(_)) {
            let service = &self.routed.service;
            self.ingress
                .metrics
                .record_answer(service, took, reply.service_time);
        }
        self.ingress.services.record_reply(
            &self.routed.service,
            &self.routed.latency_key,
            &state.server,
            reply,
            took,
            now,
        );
        if reply.leaving {
            let board = &self.ingress.board;
            board.mark_leaving(&state.server, reply.incarnation);
        }
        if reply.revision > self.ingress.board.view.borrow().revision {
            let report = PeerReport::revision_only(state.peer.address, reply.revision);
            let _ = self.ingress.view_sync.tell(report).try_send();
        }
    }
}

/// Cancels the open attempts if the call hasn't finished, which means that the caller disconnected.
impl Drop for CallDriver {
    fn drop(&mut self) {
        if !self.call.is_finished() {
            log::info!(
                call:% = self.routed.request.call, attempts = self.attempts.len();
                "caller_left"
            );
            let actions = self.call.abandon();
            self.execute(actions);
        }
    }
}

fn reset_timer(timer: Pin<&mut Sleep>, wake_at: tokio::time::Instant) {
    if timer.deadline() != wake_at {
        timer.reset(wake_at);
    }
}
