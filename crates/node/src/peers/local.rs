//! Client of the gate in the same process.

use futures::{FutureExt, future::BoxFuture};
use gate::Query;
use kameo::actor::ActorRef;
use tokio::sync::oneshot;
use types::{AttemptId, Boot};

use super::{Attempt, GateClient, TransportError};
use crate::gate_actor::{
    GateActor, OpenSession, OpenedSession, QueryAttempt, Reply, RunAttempt, WaiterDropped,
};

/// Client of the gate in the same process.
pub(crate) struct LocalGate {
    gate_actor: ActorRef<GateActor>,
}

impl LocalGate {
    pub(crate) fn new(gate_actor: ActorRef<GateActor>) -> Self {
        Self { gate_actor }
    }

    /// Passes an attempt to the gate and waits for its outcome. If the future is dropped earlier,
    /// the gate is notified that the outcome is no longer awaited.
    pub(crate) async fn run_attempt(&self, attempt: Attempt) -> Result<Reply, TransportError> {
        let (reply, outcome) = oneshot::channel();
        let id = attempt.registered.id;
        let run = RunAttempt {
            offer: gate::Offer {
                id,
                floor: attempt.registered.floor,
                deadline: attempt.registered.deadline,
                fail_fast: attempt.fail_fast,
                is_retry: attempt.request.is_retry,
                refusal: None,
                rank: attempt.rank,
            },
            server: attempt.server,
            route: attempt.route,
            idempotent: attempt.idempotent,
            known_limit: attempt.known_limit,
            trial: attempt.trial,
            request: attempt.request,
            reply,
        };
        self.gate_actor
            .tell(run)
            .await
            .map_err(|_| TransportError::ConnectionLost)?;
        let mut wait = WaitGuard {
            gate_actor: &self.gate_actor,
            id: Some(id),
            outcome,
        };
        let reply = (&mut wait.outcome)
            .await
            .map_err(|_| TransportError::ConnectionLost);
        wait.id = None;
        reply
    }

    /// Queries the outcome of an attempt.
    pub(crate) async fn query_attempt(
        &self,
        id: AttemptId,
        query: Query,
    ) -> Result<Reply, TransportError> {
        let (reply, outcome) = oneshot::channel();
        let message = QueryAttempt { id, query, reply };
        self.gate_actor
            .tell(message)
            .await
            .map_err(|_| TransportError::ConnectionLost)?;
        outcome.await.map_err(|_| TransportError::ConnectionLost)
    }

    /// Opens a session for an ingress.
    pub(crate) async fn open_session(
        &self,
        ingress: Boot,
    ) -> Result<OpenedSession, TransportError> {
        self.gate_actor
            .ask(OpenSession { ingress })
            .await
            .map_err(|_| TransportError::ConnectionLost)
    }
}

impl GateClient for LocalGate {
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<OpenedSession, TransportError>> {
        self.open_session(ingress).boxed()
    }

    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.run_attempt(attempt).boxed()
    }

    fn query(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_attempt(id, Query::Outcome).boxed()
    }

    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_attempt(id, Query::Cancel).boxed()
    }

    fn withdraw(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_attempt(id, Query::Withdraw).boxed()
    }
}

/// Notifies the gate if the wait for an outcome is dropped. `id` is cleared once the outcome is
/// there.
struct WaitGuard<'a> {
    gate_actor: &'a ActorRef<GateActor>,
    id: Option<AttemptId>,
    outcome: oneshot::Receiver<Reply>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        self.outcome.close();
        let gate_actor = self.gate_actor.clone();
        tokio::spawn(async move {
            let _ = gate_actor.tell(WaiterDropped { id }).await;
        });
    }
}
