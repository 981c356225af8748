//! The gate in the own process.

use futures::{FutureExt, future::BoxFuture};
use kameo::actor::ActorRef;
use tokio::sync::oneshot;
use types::{AttemptId, Boot};

use super::{Attempt, Fault, GateClient};
use crate::gatekeeper::{Ask, Gatekeeper, Open, Opened, Reply, Run, Unwatched};

/// The gate in the own process.
pub(crate) struct LocalGate {
    gatekeeper: ActorRef<Gatekeeper>,
}

impl LocalGate {
    pub(crate) fn new(gatekeeper: ActorRef<Gatekeeper>) -> Self {
        Self { gatekeeper }
    }

    /// Gives an attempt to the gate and waits for its outcome. If the future is dropped before, the
    /// gate learns that nobody waits any more.
    pub(crate) async fn run_attempt(&self, attempt: Attempt) -> Result<Reply, Fault> {
        let (reply, outcome) = oneshot::channel();
        let id = attempt.sent.id;
        let run = Run {
            offer: gate::Offer {
                id,
                floor: attempt.sent.floor,
                deadline: attempt.sent.deadline,
                fail_fast: attempt.choosy,
                wrong_server: false,
                rank: attempt.rank,
            },
            server: attempt.server,
            idempotent: attempt.idempotent,
            request: attempt.request,
            reply,
        };
        self.gatekeeper.tell(run).await.map_err(|_| Fault::Broken)?;
        let mut watch = Watch {
            gatekeeper: &self.gatekeeper,
            id: Some(id),
            outcome,
        };
        let reply = (&mut watch.outcome).await.map_err(|_| Fault::Broken);
        watch.id = None;
        reply
    }

    pub(crate) async fn ask_about(&self, id: AttemptId, cancel: bool) -> Result<Reply, Fault> {
        let (reply, outcome) = oneshot::channel();
        let ask = Ask { id, cancel, reply };
        self.gatekeeper.tell(ask).await.map_err(|_| Fault::Broken)?;
        outcome.await.map_err(|_| Fault::Broken)
    }

    pub(crate) async fn open_session(&self, ingress: Boot) -> Result<Opened, Fault> {
        self.gatekeeper
            .ask(Open { ingress })
            .await
            .map_err(|_| Fault::Broken)
    }
}

impl GateClient for LocalGate {
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<Opened, Fault>> {
        self.open_session(ingress).boxed()
    }

    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.run_attempt(attempt).boxed()
    }

    fn ask(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.ask_about(id, false).boxed()
    }

    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.ask_about(id, true).boxed()
    }
}

/// Tells the gate when the wait for an attempt is dropped.
struct Watch<'a> {
    gatekeeper: &'a ActorRef<Gatekeeper>,
    id: Option<AttemptId>,
    outcome: oneshot::Receiver<Reply>,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        self.outcome.close();
        let gatekeeper = self.gatekeeper.clone();
        tokio::spawn(async move {
            let _ = gatekeeper.tell(Unwatched { id }).await;
        });
    }
}
