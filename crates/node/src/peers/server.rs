//! What this node does for its peers.

use std::sync::Arc;

use board::{Board, Phase};
use fleet::Digests;
use kameo::actor::ActorRef;
use note::Digest;
use tonic::{Request, Response, Status};
use types::{Boot, Moment, Revision};
use wire::peer::{
    AskRequest, OpenReply, OpenRequest, Outcome as WireOutcome, PullReply, PullRequest, RunRequest,
    View, peer_server::Peer,
};

use super::{Fault, LocalGate, convert};
use crate::{
    gate_actor::{GateActor, Reply},
    spreader::{Heard, Lacks, Spreader},
};

/// Serves the peers' requests.
pub(crate) struct PeerService {
    board: Arc<Board>,
    gate: LocalGate,
    spreader: ActorRef<Spreader>,
}

impl PeerService {
    pub(crate) fn new(
        board: Arc<Board>,
        gatekeeper: ActorRef<GateActor>,
        spreader: ActorRef<Spreader>,
    ) -> Self {
        Self {
            board,
            gate: LocalGate::new(gatekeeper),
            spreader,
        }
    }

    fn view(&self) -> View {
        let view = self.board.view();
        View {
            revision: view.revision.0,
            digest: view.digest.0.to_vec().into(),
            node: self.board.identity.node.to_string(),
            ready: self.board.phase() != Phase::Joining,
            ..View::default()
        }
    }

    fn outcome(result: Result<Reply, Fault>) -> Result<Response<WireOutcome>, Status> {
        match result {
            Ok(reply) => Ok(Response::new(convert::to_outcome(reply))),
            Err(_) => Err(Status::unavailable("the gate is gone")),
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn open(&self, request: Request<OpenRequest>) -> Result<Response<OpenReply>, Status> {
        let ingress = Boot(request.into_inner().ingress);
        let opened = self.gate.open_session(ingress).await;
        let opened = opened.map_err(|_| Status::unavailable("the gate is gone"))?;
        Ok(Response::new(OpenReply {
            boot: opened.boot.0,
            session: opened.session.0,
            clock: opened.gate_time.0,
        }))
    }

    async fn run(&self, request: Request<RunRequest>) -> Result<Response<WireOutcome>, Status> {
        let attempt = convert::attempt(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        if attempt.revision > self.board.view.borrow().revision {
            let heard = Heard::revision(attempt.node, attempt.revision);
            let _ = self.spreader.tell(heard).await;
        }
        Self::outcome(self.gate.run_attempt(attempt).await)
    }

    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<WireOutcome>, Status> {
        let request = request.into_inner();
        let Some(id) = request.attempt else {
            return Err(Status::invalid_argument("the question names no attempt"));
        };
        Self::outcome(self.gate.ask_about(id.into(), request.cancel).await)
    }

    async fn compare(&self, request: Request<View>) -> Result<Response<View>, Status> {
        let theirs = request.into_inner();
        match theirs.node.parse() {
            Ok(peer) => {
                let heard = Heard {
                    peer,
                    revision: Revision(theirs.revision),
                    digest: digest(&theirs.digest),
                    clock: Some(Moment(theirs.clock)),
                    read_hops: theirs.read_hops,
                };
                let _ = self.spreader.tell(heard).await;
            }
            Err(_) => return Err(Status::invalid_argument("the sender names no address")),
        }
        Ok(Response::new(self.view()))
    }

    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let request = request.into_inner();
        let lacks = Lacks {
            after: Revision(request.revision),
            digests: Digests {
                listing: digest(&request.listing).unwrap_or_default(),
                orders: digest(&request.orders).unwrap_or_default(),
            },
        };
        let extension = self.spreader.ask(lacks).await;
        let extension = extension.map_err(|_| Status::unavailable("the spreader is gone"))?;
        let view = match extension {
            Some(extension) => serde_json::to_vec(&extension).unwrap_or_default(),
            None => Vec::new(),
        };
        Ok(Response::new(PullReply { view: view.into() }))
    }
}

fn digest(bytes: &[u8]) -> Option<Digest> {
    bytes.try_into().ok().map(Digest)
}
