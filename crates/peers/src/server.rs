//! The gRPC service that this node provides for its peers.

use std::sync::Arc;

use allowances::Allowances;
use attempt::Reply;
use board::Board;
use fleet::Digests;
use futures::stream::BoxStream;
use gate::Query;
use gate_actor::GateActor;
use kameo::actor::ActorRef;
use note::Digest;
use tonic::{Request, Response, Status, Streaming};
use types::{Boot, Moment, Revision, Size};
use view_sync::{
    PeerReport, UpdateRequest, ViewSync, checked_stamp, leaving_servers, merge_evidence,
    suspects_for,
};
use wire::peer::{
    AskRequest, BodyChunk, ConfigProof, DeliverReply, DrawReply, DrawRequest, OfferReply,
    OfferRequest, OpenReply, OpenRequest, Outcome as WireOutcome, PullReply, PullRequest,
    RunRequest, View, peer_server::Peer,
};

use super::{Attempt, LocalGate, TransportError, bodies, convert};

/// Serves requests of peers.
pub struct PeerService {
    board: Arc<Board>,
    gate: LocalGate,
    view_sync: ActorRef<ViewSync>,
    allowances: Arc<Allowances>,
}

impl PeerService {
    /// Creates the service of a node with these components.
    pub fn new(
        board: Arc<Board>,
        gate_actor: ActorRef<GateActor>,
        view_sync: ActorRef<ViewSync>,
        allowances: Arc<Allowances>,
    ) -> Self {
        Self {
            board,
            gate: LocalGate::new(gate_actor),
            view_sync,
            allowances,
        }
    }

    fn own_view(&self, peer: &View) -> View {
        let checked = *self.board.checked.borrow();
        let proof = self.own_proof();
        let view = self.board.view();
        View {
            revision: view.revision.0,
            digest: view.digest.0.to_vec().into(),
            node: self.board.identity.node.to_string(),
            ready: self.board.has_joined(),
            checked_era: checked.era.0,
            checked_revision: checked.revision.0,
            leaving: leaving_servers(&self.board),
            suspects: suspects_for(&self.board, peer),
            suspects_digest: self.board.quarantine.borrow().digest(),
            proof,
            ..View::default()
        }
    }

    fn own_proof(&self) -> Option<ConfigProof> {
        let lease = (*self.board.keys.borrow())?;
        let proof = lease.proof(self.board.clock.now())?;
        Some(ConfigProof {
            version: proof.version,
            age: proof.age.0,
        })
    }

    /// Converts an attempt, and notes a newer view of its sender.
    async fn parse_attempt(&self, request: RunRequest) -> Result<Attempt, Status> {
        let attempt = convert::from_run_request(request)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        if attempt.revision > self.board.view.borrow().revision {
            let report = PeerReport::revision_only(attempt.node, attempt.revision);
            let _ = self.view_sync.tell(report).await;
        }
        Ok(attempt)
    }

    fn respond(result: Result<Reply, TransportError>) -> Result<Response<WireOutcome>, Status> {
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
        let attempt = self.parse_attempt(request.into_inner()).await?;
        Self::respond(self.gate.run_attempt(attempt).await)
    }

    async fn offer(&self, request: Request<OfferRequest>) -> Result<Response<OfferReply>, Status> {
        let OfferRequest { run, body_bytes } = request.into_inner();
        let run = run.ok_or_else(|| Status::invalid_argument("the offer names no attempt"))?;
        let attempt = self.parse_attempt(run).await?;
        match self.gate.offer_attempt(attempt, Size(body_bytes)).await {
            Ok(ended) => Ok(Response::new(OfferReply {
                outcome: ended.map(convert::to_outcome),
            })),
            Err(_) => Err(Status::unavailable("the gate is gone")),
        }
    }

    type DeliverStream = BoxStream<'static, Result<DeliverReply, Status>>;

    async fn deliver(
        &self,
        request: Request<Streaming<BodyChunk>>,
    ) -> Result<Response<Self::DeliverStream>, Status> {
        let replies = bodies::receive(self.gate.clone(), request.into_inner()).await?;
        Ok(Response::new(replies))
    }

    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<WireOutcome>, Status> {
        let request = request.into_inner();
        let Some(id) = request.attempt else {
            return Err(Status::invalid_argument("the question names no attempt"));
        };
        let query = match (request.cancel, request.withdraw) {
            (true, _) => Query::Cancel,
            (false, true) => Query::Withdraw,
            (false, false) => Query::Outcome,
        };
        Self::respond(self.gate.query_attempt(id.into(), query).await)
    }

    async fn compare(&self, request: Request<View>) -> Result<Response<View>, Status> {
        let peer_view = request.into_inner();
        merge_evidence(&self.board, &peer_view);
        match peer_view.node.parse() {
            Ok(peer) => {
                let report = PeerReport {
                    peer,
                    revision: Revision(peer_view.revision),
                    digest: parse_digest(&peer_view.digest),
                    clock: Some(Moment(peer_view.clock)),
                    read_hops: peer_view.read_hops,
                    checked: checked_stamp(&peer_view),
                };
                let _ = self.view_sync.tell(report).await;
            }
            Err(_) => return Err(Status::invalid_argument("the sender names no address")),
        }
        Ok(Response::new(self.own_view(&peer_view)))
    }

    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let request = request.into_inner();
        let update_request = UpdateRequest {
            after: Revision(request.revision),
            digests: Digests {
                listing: parse_digest(&request.listing).unwrap_or_default(),
                config: parse_digest(&request.orders).unwrap_or_default(),
            },
        };
        let update = self.view_sync.ask(update_request).await;
        let update = update.map_err(|_| Status::unavailable("the spreader is gone"))?;
        let view = match update {
            Some(update) => serde_json::to_vec(&update).unwrap_or_default(),
            None => Vec::new(),
        };
        Ok(Response::new(PullReply { view: view.into() }))
    }

    async fn draw(&self, request: Request<DrawRequest>) -> Result<Response<DrawReply>, Status> {
        let reply = self.allowances.serve(request.into_inner()).await;
        match reply {
            Some(reply) => Ok(Response::new(reply)),
            None => Err(Status::invalid_argument("the question is malformed")),
        }
    }
}

/// Parses a digest, `None` if its length is wrong.
fn parse_digest(bytes: &[u8]) -> Option<Digest> {
    bytes.try_into().ok().map(Digest)
}
