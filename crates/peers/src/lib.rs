//! The gates that an ingress sends attempts to, in its own and in other nodes.
//!
//! A [`Peer`] combines the client of one gate with this process's session at that gate. The node's
//! own gate is a peer as well, which is reached without a connection.

#[cfg(test)]
mod tests;

mod bodies;
mod convert;
mod fault;
mod local;
mod remote;
pub mod server;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use attempt::{KnownLimit, OpenedSession, Reply, ServerRequest};
use board::Board;
use call::{GateSession, SessionAttempt};
use futures::future::BoxFuture;
use gate::Rank;
use gate_actor::GateActor;
use kameo::actor::ActorRef;
use smol_str::SmolStr;
use tokio::time::timeout;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Revision, ServerId};

use bodies::Uplink;

pub use bodies::Handover;
pub use fault::TransportError;
pub(crate) use local::LocalGate;
pub(crate) use remote::RemoteGate;

/// Time for a gate to reply to a cancellation, many times the usual one.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(150);

/// An attempt to be sent to a gate.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id and session floor of the attempt, and its deadline on the gate's clock.
    pub registered: SessionAttempt,
    /// Backend server that the attempt is meant for.
    pub server: ServerId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the gate refuses the attempt instead of queueing it or running it slowly.
    pub fail_fast: bool,
    /// Queueing rank, with the objective on the gate's clock.
    pub rank: Rank,
    /// Name of the route, or of the service if there is no route. Empty if unknown.
    pub route: SmolStr,
    /// Limit that the sender knows of the backend server.
    pub known_limit: Option<KnownLimit>,
    /// Whether the request may end its backend server, see [`fleet::Quarantine`].
    pub trial: bool,
    /// Set if a gate in another process is to admit the attempt before it gets the body.
    pub handover: Option<Handover>,
    /// Request for the backend server.
    pub request: ServerRequest,
    /// Revision of the sender's view.
    pub revision: Revision,
    /// Address of the node that sends the attempt.
    pub node: SocketAddr,
}

/// A client of one gate.
pub trait GateClient: Send + Sync {
    /// Opens a session for an ingress.
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<OpenedSession, TransportError>>;

    /// Sends an attempt at most once and waits for its outcome.
    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, TransportError>>;

    /// Queries the outcome of an attempt over a new connection, and waits for it.
    fn query(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>>;

    /// Cancels an attempt that is queued or running, over the existing connection.
    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>>;

    /// Has the gate refuse an attempt that is queued, over the existing connection. The reply to one that runs
    /// comes at its end.
    fn withdraw(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>>;
}

/// A gate and the session of this process with it.
pub struct Peer {
    /// Address of the node.
    pub address: SocketAddr,
    /// Sends it the requests of this process.
    pub client: Arc<dyn GateClient>,
    session: Mutex<Option<GateSession>>,
    /// Held while a session is opened, so that concurrent attempts open a single one.
    opening: tokio::sync::Mutex<()>,
}

impl Peer {
    fn new(address: SocketAddr, client: Arc<dyn GateClient>) -> Self {
        Self {
            address,
            client,
            session: Mutex::default(),
            opening: tokio::sync::Mutex::default(),
        }
    }

    fn session(&self) -> MutexGuard<'_, Option<GateSession>> {
        self.session
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn try_register(&self, deadline: Moment) -> Option<SessionAttempt> {
        self.session()
            .as_mut()
            .map(|session| session.start_attempt(deadline))
    }

    /// Assigns an id to a new attempt, and opens a session first if there is none.
    pub async fn register_attempt(
        &self,
        board: &Board,
        deadline: Moment,
    ) -> Result<SessionAttempt, TransportError> {
        if let Some(registered) = self.try_register(deadline) {
            return Ok(registered);
        }
        let _guard = self.opening.lock().await;
        if let Some(registered) = self.try_register(deadline) {
            return Ok(registered);
        }
        let sent_at = board.clock.now();
        let opened = self.client.open(board.identity.boot).await?;
        let received_at = board.clock.now();
        let mut session = GateSession::new(
            opened.boot,
            opened.session,
            opened.gate_time,
            sent_at,
            received_at,
        );
        let registered = session.start_attempt(deadline);
        *self.session() = Some(session);
        Ok(registered)
    }

    /// Processes the reply to a request about attempt `id`, which was sent at `sent_at`.
    ///
    /// If the gate refuses the session or doesn't know the outcome, it may have lost the session.
    /// The next attempt then opens a new one.
    pub fn record_reply(&self, id: AttemptId, reply: &Reply, sent_at: Moment, received_at: Moment) {
        let session_lost = matches!(
            reply.outcome,
            Outcome::NotRun {
                refusal: Refusal::Session,
                ..
            } | Outcome::Unknown
        );
        let mut lock = self.session();
        let Some(session) = lock.as_mut() else { return };
        let same_session = session.boot() == id.boot && session.session() == id.session;
        match () {
            () if same_session && session_lost => *lock = None,
            () if reply.boot == session.boot() => {
                session.sync_clock(reply.gate_time, sent_at, received_at)
            }
            () => {}
        }
    }

    /// Cancels an attempt that is queued or running, and settles it. Calls `on_silent` if the gate
    /// doesn't reply in time, but goes on waiting, as the message must still arrive.
    pub async fn cancel(&self, id: AttemptId, on_silent: impl FnOnce()) {
        let mut cancelling = self.client.cancel(id);
        match timeout(CANCEL_TIMEOUT, &mut cancelling).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => on_silent(),
            Err(_) => {
                on_silent();
                let _ = cancelling.await;
            }
        }
        self.settle(id);
    }

    /// Marks an attempt as settled: its outcome won't be queried any more.
    pub fn settle(&self, id: AttemptId) {
        if let Some(session) = self.session().as_mut() {
            session.settle(id);
        }
    }

    /// Returns the number of attempts that aren't settled, `None` without a session.
    pub fn open_attempts(&self) -> Option<usize> {
        self.session().as_ref().map(GateSession::open_attempts)
    }
}

/// The peers that this process has a client for, by address.
pub struct Peers {
    board: Arc<Board>,
    gate_actor: ActorRef<GateActor>,
    uplink: Arc<Uplink>,
    by_address: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    /// Creates the table without peers. `gate_actor` is the gate in this process.
    pub fn new(board: Arc<Board>, gate_actor: ActorRef<GateActor>) -> Self {
        Self {
            uplink: Arc::new(Uplink::new(board.clock)),
            board,
            gate_actor,
            by_address: Mutex::default(),
        }
    }

    /// Returns the peer at an address, creating its client if there is none.
    pub fn get(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self
            .by_address
            .lock()
            .expect("no thread panics while holding this lock");
        let peer = peers.entry(address).or_insert_with(|| {
            let client: Arc<dyn GateClient> = match address == self.board.identity.node {
                true => Arc::new(LocalGate::new(self.gate_actor.clone())),
                false => Arc::new(RemoteGate::new(address, Arc::clone(&self.uplink))),
            };
            Arc::new(Peer::new(address, client))
        });
        Arc::clone(peer)
    }

    /// Drops the peers that aren't among `members`.
    pub fn retain(&self, members: &HashSet<SocketAddr>) {
        let mut peers = self
            .by_address
            .lock()
            .expect("no thread panics while holding this lock");
        peers.retain(|address, _| members.contains(address));
    }

    /// Returns all peers.
    pub fn all(&self) -> Vec<Arc<Peer>> {
        self.by_address
            .lock()
            .expect("no thread panics while holding this lock")
            .values()
            .cloned()
            .collect()
    }
}
