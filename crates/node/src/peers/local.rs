//! Client of the gate in the same process.

use futures::{FutureExt, future::BoxFuture};
use kameo::actor::ActorRef;
use tokio::sync::oneshot;
use types::{AttemptId, Boot};

use super::{Attempt, GateClient, TransportError};
use crate::gate_actor::{
    GateActor, OpenSession, OpenedSession, QueryAttempt, Reply, RunAttempt, WaiterDropped,
};

/// Client of the gate in the same process.
pub(crate) struct LocalGate {
    gatekeeper: ActorRef<GateActor>,
}

impl LocalGate {
    pub(crate) fn new(gatekeeper: ActorRef<GateActor>) -> Self {
        Self { gatekeeper }
    }

    /// Passes an attempt to the gate and waits for its outcome. If the future is dropped earlier,
    /// the gate is notified that the outcome is no longer awaited.
    pub(crate) async fn run_attempt(&self, attempt: Attempt) -> Result<Reply, TransportError> {
        let (reply, outcome) = oneshot::channel();
        let id = attempt.sent.id;
        let run = RunAttempt {
            offer: gate::Offer {
                id,
                floor: attempt.sent.floor,
                deadline: attempt.sent.deadline,
                fail_fast: attempt.choosy,
                misdirected: false,
                rank: attempt.rank,
            },
            server: attempt.server,
            idempotent: attempt.idempotent,
            request: attempt.request,
            reply,
        };
        self.gatekeeper
            .tell(run)
            .await
            .map_err(|_| TransportError::ConnectionLost)?;
        let mut wait = WaitGuard {
            gatekeeper: &self.gatekeeper,
            id: Some(id),
            outcome,
        };
        let reply = (&mut wait.outcome)
            .await
            .map_err(|_| TransportError::ConnectionLost);
        wait.id = None;
        reply
    }

    /// Queries the outcome of an attempt, cancelling it first if `cancel` is set.
    pub(crate) async fn ask_about(
        &self,
        id: AttemptId,
        cancel: bool,
    ) -> Result<Reply, TransportError> {
        let (reply, outcome) = oneshot::channel();
        let ask = QueryAttempt { id, cancel, reply };
        self.gatekeeper
            .tell(ask)
            .await
            .map_err(|_| TransportError::ConnectionLost)?;
        outcome.await.map_err(|_| TransportError::ConnectionLost)
    }

    /// Opens a session for an ingress.
    pub(crate) async fn open_session(
        &self,
        ingress: Boot,
    ) -> Result<OpenedSession, TransportError> {
        self.gatekeeper
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

    fn ask(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.ask_about(id, false).boxed()
    }

    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.ask_about(id, true).boxed()
    }
}

/// Notifies the gate if the wait for an outcome is dropped. `id` is cleared once the outcome is
/// there.
struct WaitGuard<'a> {
    gatekeeper: &'a ActorRef<GateActor>,
    id: Option<AttemptId>,
    outcome: oneshot::Receiver<Reply>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        self.outcome.close();
        let gatekeeper = self.gatekeeper.clone();
        tokio::spawn(async move {
            let _ = gatekeeper.tell(WaiterDropped { id }).await;
        });
    }
}
