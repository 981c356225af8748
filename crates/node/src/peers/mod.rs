//! Other nodes, as an ingress sees them: gates to send attempts to and to ask.
//!
//! A [`Peer`] joins a client of one gate with the session that this process holds there. The own
//! gate is a peer too, reached without a connection.

#[cfg(test)]
mod tests;

mod convert;
mod local;
mod remote;
pub(crate) mod server;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use board::Board;
use call::{GateSession, SessionAttempt};
use futures::future::BoxFuture;
use gate::Rank;
use kameo::actor::ActorRef;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Revision, ServerId};

use crate::{
    backend::ServerRequest,
    gatekeeper::{Gatekeeper, Opened, Reply},
};

pub(crate) use local::LocalGate;
pub(crate) use remote::{RemoteGate, connect};

/// Why a gate gave no word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nobody listens there. Nothing was sent.
    Refused,
    /// No connection came about in time. Nothing was sent.
    Unreached,
    /// The connection broke. What was sent may have arrived.
    Broken,
}

impl Fault {
    /// The name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreached => "unreached",
            Self::Broken => "broken",
        }
    }
}

/// An attempt on its way to a gate.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) sent: SessionAttempt,
    pub(crate) server: ServerId,
    pub(crate) idempotent: bool,
    /// Whether it is refused rather than made to wait or run slowly.
    pub(crate) choosy: bool,
    /// With the objective on the gate's clock.
    pub(crate) rank: Rank,
    pub(crate) request: ServerRequest,
    pub(crate) revision: Revision,
    /// Address of the sending node.
    pub(crate) node: SocketAddr,
}

/// A gate, as far as an ingress needs it.
pub(crate) trait GateClient: Send + Sync {
    /// Opens a session.
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<Opened, Fault>>;

    /// Sends an attempt, once, and waits for its outcome.
    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, Fault>>;

    /// Asks over a fresh connection what became of an attempt, and waits for its outcome.
    fn ask(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>>;

    /// Stops an attempt if it waits or runs, over the connection that there is.
    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>>;
}

/// One gate and the session with it.
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) client: Arc<dyn GateClient>,
    link: Mutex<Option<GateSession>>,
    /// Held while a session is opened, so that only one is.
    opening: tokio::sync::Mutex<()>,
}

impl Peer {
    fn new(address: SocketAddr, client: Arc<dyn GateClient>) -> Self {
        Self {
            address,
            client,
            link: Mutex::default(),
            opening: tokio::sync::Mutex::default(),
        }
    }

    fn link(&self) -> MutexGuard<'_, Option<GateSession>> {
        self.link.lock().expect("no holder panics")
    }

    fn try_name(&self, deadline: Moment) -> Option<SessionAttempt> {
        self.link()
            .as_mut()
            .map(|link| link.start_attempt(deadline))
    }

    /// Names a new attempt, opening a session first if there is none.
    pub(crate) async fn name(
        &self,
        board: &Board,
        deadline: Moment,
    ) -> Result<SessionAttempt, Fault> {
        if let Some(sent) = self.try_name(deadline) {
            return Ok(sent);
        }
        let _only = self.opening.lock().await;
        if let Some(sent) = self.try_name(deadline) {
            return Ok(sent);
        }
        let asked = board.clock.now();
        let opened = self.client.open(board.identity.boot).await?;
        let heard = board.clock.now();
        let mut link = GateSession::new(opened.boot, opened.session, opened.clock, asked, heard);
        let sent = link.start_attempt(deadline);
        *self.link() = Some(link);
        Ok(sent)
    }

    /// Learns from a reply to the attempt `id` that was sent at `asked`.
    ///
    /// A gate that can't tell may have forgotten the session, so the next attempt opens another.
    pub(crate) fn hear(&self, id: AttemptId, reply: &Reply, asked: Moment, heard: Moment) {
        let forgotten = matches!(
            reply.outcome,
            Outcome::NotRun {
                refusal: Refusal::Session,
                ..
            } | Outcome::Unknown
        );
        let mut guard = self.link();
        let Some(link) = guard.as_mut() else { return };
        let same = link.boot() == id.boot && link.session() == id.session;
        match () {
            () if same && forgotten => *guard = None,
            () if reply.boot == link.boot() => link.sync_clock(reply.clock, asked, heard),
            () => {}
        }
    }

    /// The attempt is settled.
    pub(crate) fn settle(&self, id: AttemptId) {
        if let Some(link) = self.link().as_mut() {
            link.settle(id);
        }
    }

    /// Number of attempts that aren't settled, `None` without a session.
    pub(crate) fn open_attempts(&self) -> Option<usize> {
        self.link().as_ref().map(GateSession::open_attempts)
    }
}

/// All gates that this process has spoken to.
pub(crate) struct Peers {
    board: Arc<Board>,
    gatekeeper: ActorRef<Gatekeeper>,
    list: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    pub(crate) fn new(board: Arc<Board>, gatekeeper: ActorRef<Gatekeeper>) -> Self {
        Self {
            board,
            gatekeeper,
            list: Mutex::default(),
        }
    }

    /// The peer at an address.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<Peer> {
        let mut list = self.list.lock().expect("no holder panics");
        let peer = list.entry(address).or_insert_with(|| {
            let client: Arc<dyn GateClient> = match address == self.board.identity.node {
                true => Arc::new(LocalGate::new(self.gatekeeper.clone())),
                false => Arc::new(RemoteGate::new(address)),
            };
            Arc::new(Peer::new(address, client))
        });
        Arc::clone(peer)
    }

    /// Drops peers that are no longer among `members`.
    pub(crate) fn retain(&self, members: &HashSet<SocketAddr>) {
        let mut list = self.list.lock().expect("no holder panics");
        list.retain(|address, _| members.contains(address));
    }

    /// All peers.
    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        self.list
            .lock()
            .expect("no holder panics")
            .values()
            .cloned()
            .collect()
    }
}
