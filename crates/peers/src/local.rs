//! Client of the gate in the same process.

use attempt::{OpenedSession, Reply};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use gate::Query;
use gate_actor::{
    BodyLost, BodyPart, DeliverBody, GateActor, OfferBody, OpenSession, QueryAttempt, RunAttempt,
    WaiterDropped,
};
use kameo::{actor::ActorRef, message::Message};
use tokio::sync::oneshot;
use types::{AttemptId, Boot, Size};

use super::{Attempt, GateClient, TransportError};

/// Client of the gate in the same process.
#[derive(Clone)]
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
        if let Some(handover) = &attempt.handover {
            handover.complete();
        }
        let (reply, outcome) = oneshot::channel();
        let id = attempt.registered.id;
        self.tell(to_message(attempt, reply)).await?;
        self.wait(id, outcome).await
    }

    /// Offers an attempt whose body of this size follows. Returns its outcome, `None` if it is admitted.
    pub(crate) async fn offer_attempt(
        &self,
        attempt: Attempt,
        body: Size,
    ) -> Result<Option<Reply>, TransportError> {
        let (reply, outcome) = oneshot::channel();
        let (admitted, admission) = oneshot::channel();
        let offer = OfferBody {
            attempt: to_message(attempt, reply),
            body,
            admitted,
        };
        self.tell(offer).await?;
        match admission.await {
            Ok(()) => Ok(None),
            Err(_) => outcome
                .await
                .map(Some)
                .map_err(|_| TransportError::ConnectionLost),
        }
    }

    /// Notifies the gate that a part of a body has arrived. Returns whether the rest is still wanted.
    pub(crate) async fn extend(&self, id: AttemptId) -> Result<bool, TransportError> {
        let asked = self.gate_actor.ask(BodyPart { id }).await;
        asked.map_err(|_| TransportError::ConnectionLost)
    }

    /// Notifies the gate that no more of a body arrives.
    pub(crate) async fn drop_body(&self, id: AttemptId) -> Result<(), TransportError> {
        self.tell(BodyLost { id }).await
    }

    /// Passes the whole body of an admitted attempt to the gate, and waits for the outcome as
    /// [`run_attempt`](Self::run_attempt) does.
    pub(crate) async fn deliver_body(
        &self,
        id: AttemptId,
        body: Bytes,
    ) -> Result<Reply, TransportError> {
        let (reply, outcome) = oneshot::channel();
        self.tell(DeliverBody { id, body, reply }).await?;
        self.wait(id, outcome).await
    }

    async fn tell<M>(&self, message: M) -> Result<(), TransportError>
    where
        GateActor: Message<M, Reply = ()>,
        M: Send + 'static,
    {
        let told = self.gate_actor.tell(message).await;
        told.map_err(|_| TransportError::ConnectionLost)
    }

    async fn wait(
        &self,
        id: AttemptId,
        outcome: oneshot::Receiver<Reply>,
    ) -> Result<Reply, TransportError> {
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
        self.tell(message).await?;
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

fn to_message(attempt: Attempt, reply: oneshot::Sender<Reply>) -> RunAttempt {
    RunAttempt {
        offer: gate::Offer {
            id: attempt.registered.id,
            floor: attempt.registered.floor,
            deadline: attempt.registered.deadline,
            fail_fast: attempt.fail_fast,
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
