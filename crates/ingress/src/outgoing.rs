//! An attempt of a call on its way to the gate of its backend server.

use std::sync::{Arc, OnceLock};

use attempt::{KnownLimit, Reply, ServerRequest};
use call::SessionAttempt;
use gate::Rank;
use peers::{Attempt, Handover, Peer, TransportError};
use smol_str::SmolStr;
use types::{Moment, ServerId};

use super::Ingress;

/// An attempt that has no id yet.
pub(super) struct OutgoingAttempt {
    pub(super) ingress: Arc<Ingress>,
    pub(super) peer: Arc<Peer>,
    pub(super) server: ServerId,
    pub(super) idempotent: bool,
    pub(super) fail_fast: bool,
    pub(super) deadline: Moment,
    /// Queueing rank, with the objective on this node's clock.
    pub(super) rank: Rank,
    pub(super) route: SmolStr,
    pub(super) known_limit: Option<KnownLimit>,
    pub(super) trial: bool,
    /// Set if a gate in another process is to admit the attempt before it gets the body.
    pub(super) handover: Option<Handover>,
    pub(super) request: ServerRequest,
    pub(super) registered: Arc<OnceLock<SessionAttempt>>,
}

impl OutgoingAttempt {
    /// Gives the attempt an id and sends it. Returns the reply, and when it was sent.
    pub(super) async fn run(self) -> (Result<Reply, TransportError>, Moment) {
        let board = &self.ingress.board;
        let registered = match self.peer.register_attempt(board, self.deadline).await {
            Ok(registered) => registered,
            Err(error) => return (Err(error), board.clock.now()),
        };
        let _ = self.registered.set(registered);
        let outgoing = Attempt {
            registered,
            server: self.server,
            idempotent: self.idempotent,
            fail_fast: self.fail_fast,
            rank: Rank {
                objective: registered.deadline - self.deadline.since(self.rank.objective),
                ..self.rank
            },
            route: self.route,
            known_limit: self.known_limit,
            trial: self.trial,
            handover: self.handover,
            request: self.request,
            revision: board.view.borrow().revision,
            node: board.identity.node,
        };
        let sent_at = board.clock.now();
        (self.peer.client.run(outgoing).await, sent_at)
    }
}
