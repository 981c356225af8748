//! What a call's driver does with attempts: sends them, asks about them, and ends them.

use std::{
    collections::VecDeque,
    sync::{Arc, OnceLock},
};

use call::{Action, AttemptIndex, CallOutcome};
use futures::{
    FutureExt,
    future::{BoxFuture, abortable},
};
use gate::Rank;
use peers::{Handover, Peer};
use types::{AttemptId, Moment, Refusal, ServerId};

use super::{AttemptState, CallDriver, Event};
use crate::outgoing::OutgoingAttempt;

impl CallDriver {
    /// Executes the call's actions. Returns the call's outcome if it has finished.
    pub(super) fn execute(&mut self, actions: Vec<Action>) -> Option<CallOutcome> {
        let mut outcome = None;
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Send {
                    attempt,
                    server,
                    is_retry,
                    fail_fast,
                } => {
                    queue.extend(self.send(attempt, server, is_retry, fail_fast));
                }
                Action::Query(attempt) => queue.extend(self.query(attempt)),
                Action::Withdraw(attempt) => queue.extend(self.withdraw(attempt)),
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::Settle(attempt) => self.settle(attempt),
                Action::Finish(call_outcome) => outcome = Some(call_outcome),
            }
        }
        outcome
    }

    fn send(
        &mut self,
        attempt: AttemptIndex,
        server: ServerId,
        is_retry: bool,
        fail_fast: bool,
    ) -> Vec<Action> {
        let Some(peer) = self.ingress.peer(&server) else {
            // The backend server left the view after it was chosen.
            self.attempts.push(self.unsent_attempt(server));
            let now = self.now();
            return self.apply_refusal(attempt, Refusal::Misplaced, now);
        };
        let server_state = self
            .ingress
            .services
            .record_sent(&self.routed.service, &server);
        self.log_sent(attempt, &server, fail_fast, server_state.as_ref());
        let registered = Arc::new(OnceLock::new());
        let mut request = self.routed.request.clone();
        request.is_retry |= is_retry;
        let is_offered = self.routed.offers_body(self.ingress.offer_bytes);
        let handover = is_offered.then(Handover::default);
        self.call.mark_unsent(attempt);
        let outgoing = OutgoingAttempt {
            ingress: Arc::clone(&self.ingress),
            peer: Arc::clone(&peer),
            server: server.clone(),
            idempotent: self.routed.idempotent,
            fail_fast,
            deadline: self.routed.deadline,
            rank: Rank {
                objective: self.routed.objective,
                service_time: self.service_time,
                priority: self.routed.priority,
                nested: self.routed.nested,
            },
            route: self.routed.latency_key.clone(),
            known_limit: self
                .ingress
                .services
                .known_limit(&self.routed.service, &server),
            trial: self.trial.is_some() || self.broken,
            handover: handover.clone(),
            request,
            registered: Arc::clone(&registered),
        };
        let (running, abort_handle) = abortable(outgoing.run());
        let event = running.map(move |done| match done {
            Ok((result, sent_at)) => Event::RunEnded {
                attempt,
                result,
                sent_at,
            },
            Err(_) => Event::Aborted,
        });
        self.events.push(event.boxed());
        self.attempts.push(AttemptState {
            server,
            peer,
            registered,
            handover,
            abort_handle,
            closed: false,
        });
        Vec::new()
    }

    fn unsent_attempt(&self, server: ServerId) -> AttemptState {
        let peer = self.ingress.peers.get(self.ingress.board.identity.node);
        let (_, abort_handle) = abortable(std::future::ready(()));
        AttemptState {
            server,
            peer,
            registered: Arc::default(),
            handover: None,
            abort_handle,
            closed: true,
        }
    }

    /// Has the gate of an attempt asked about it. Without an id nothing was sent, and nothing will be: the attempt
    /// counts as refused.
    fn ask(
        &mut self,
        attempt: AttemptIndex,
        ask: impl FnOnce(Arc<Peer>, AttemptId, Moment) -> BoxFuture<'static, Event>,
    ) -> Vec<Action> {
        let (state, now) = (&self.attempts[attempt], self.now());
        let Some(registered) = state.registered.get().copied() else {
            state.abort_handle.abort();
            return self.apply_refusal(attempt, Refusal::Down, now);
        };
        self.events
            .push(ask(Arc::clone(&state.peer), registered.id, now));
        Vec::new()
    }

    fn query(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        self.ask(attempt, |peer, id, sent_at| {
            let query = async move {
                let result = peer.client.query(id).await;
                Event::QueryEnded {
                    attempt,
                    result,
                    sent_at,
                }
            };
            query.boxed()
        })
    }

    /// Has the gate refuse an attempt if it is queued. The attempt itself goes on waiting for its outcome.
    fn withdraw(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        self.ask(attempt, |peer, id, sent_at| {
            let withdrawal = async move {
                match peer.client.withdraw(id).await {
                    Ok(reply) => Event::QueryEnded {
                        attempt,
                        result: Ok(reply),
                        sent_at,
                    },
                    Err(_) => Event::Aborted,
                }
            };
            withdrawal.boxed()
        })
    }

    /// Cancels an open attempt without waiting for the result. A gate that doesn't reply to that is
    /// avoided: its host may be down, and nothing else shows it until the connection times out.
    fn cancel(&mut self, attempt: AttemptIndex) {
        self.attempts[attempt].abort_handle.abort();
        if !self.close(attempt) {
            return;
        }
        let state = &self.attempts[attempt];
        let Some(registered) = state.registered.get().copied() else {
            return;
        };
        let peer = Arc::clone(&state.peer);
        let ingress = Arc::clone(&self.ingress);
        let (service, server) = (self.routed.service.clone(), state.server.clone());
        tokio::spawn(async move {
            let on_silent = || {
                let now = ingress.board.clock.now();
                log::warn!(server:% = server; "gate_silent");
                ingress.services.record_no_reply(&service, &server, now);
            };
            peer.cancel(registered.id, on_silent).await;
        });
    }

    fn settle(&mut self, attempt: AttemptIndex) {
        let state = &self.attempts[attempt];
        if state.handover.is_some() {
            state.abort_handle.abort();
        }
        if !self.close(attempt) {
            return;
        }
        let state = &self.attempts[attempt];
        if let Some(registered) = state.registered.get() {
            state.peer.settle(registered.id);
        }
    }

    /// Counts an attempt as closed. Returns whether it was open.
    fn close(&mut self, attempt: AttemptIndex) -> bool {
        let state = &mut self.attempts[attempt];
        if std::mem::replace(&mut state.closed, true) {
            return false;
        }
        self.ingress
            .services
            .record_closed(&self.routed.service, &state.server);
        true
    }
}
