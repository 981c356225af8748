//! Calls that are refused by gates with another view.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use futures::stream::BoxStream;
use tokio::{net::TcpListener, sync::Notify};
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Server, server::TcpIncoming},
};
use types::Span;
use wire::peer::{
    Answer, AskRequest, BodyChunk, DeliverReply, DrawReply, DrawRequest, NotRun, OfferReply,
    OfferRequest, OpenReply, OpenRequest, Outcome, PullReply, PullRequest, Refusal, RunRequest,
    View,
    outcome::Result as Outcomes,
    peer_server::{Peer, PeerServer},
};

use super::{
    super::Ingress,
    fixtures::{ingress, now, publish, remote_view, route, routed},
};

/// A gate that refuses its first attempts as misplaced, by its view, and then answers.
struct OtherView {
    revision: u64,
    refusals: AtomicU32,
    refused: Arc<Notify>,
}

#[tonic::async_trait]
impl Peer for OtherView {
    async fn open(&self, _: Request<OpenRequest>) -> Result<Response<OpenReply>, Status> {
        Ok(Response::new(OpenReply {
            boot: 1,
            session: 1,
            clock: 0,
        }))
    }

    async fn run(&self, _: Request<RunRequest>) -> Result<Response<Outcome>, Status> {
        let left = self.refusals.load(Ordering::Relaxed);
        self.refusals
            .store(left.saturating_sub(1), Ordering::Relaxed);
        self.refused.notify_one();
        let result = match left {
            0 => Outcomes::Answer(Answer {
                status: 200,
                ..Answer::default()
            }),
            _ => Outcomes::NotRun(NotRun {
                refusal: Refusal::Misplaced.into(),
                ..NotRun::default()
            }),
        };
        Ok(Response::new(Outcome {
            result: Some(result),
            revision: self.revision,
            boot: 1,
            ..Outcome::default()
        }))
    }

    async fn offer(&self, _: Request<OfferRequest>) -> Result<Response<OfferReply>, Status> {
        Err(Status::unimplemented("not known yet"))
    }

    type DeliverStream = BoxStream<'static, Result<DeliverReply, Status>>;

    async fn deliver(
        &self,
        _: Request<Streaming<BodyChunk>>,
    ) -> Result<Response<Self::DeliverStream>, Status> {
        Err(Status::unimplemented("not known yet"))
    }

    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<Outcome>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn compare(&self, _: Request<View>) -> Result<Response<View>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn draw(&self, _: Request<DrawRequest>) -> Result<Response<DrawReply>, Status> {
        Err(Status::unimplemented("no allowances"))
    }

    async fn pull(&self, _: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        Err(Status::unimplemented("not used"))
    }
}

/// Starts a gate. Returns its address, and what it notifies of each refusal.
pub(super) async fn start_gate(revision: u64, refusals: u32) -> (SocketAddr, Arc<Notify>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let refused = Arc::new(Notify::new());
    let gate = OtherView {
        revision,
        refusals: AtomicU32::new(refusals),
        refused: Arc::clone(&refused),
    };
    let server = Server::builder().add_service(PeerServer::new(gate));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    (address, refused)
}

/// Puts a view in force whose only server is at the gate, and returns the status of a call.
async fn status(ingress: &Arc<Ingress>, revision: u64, gate: SocketAddr) -> u16 {
    let routes = vec![route("r", "/m/", "rinks")];
    publish(&ingress.board, remote_view(revision, "rinks", routes, gate));
    let judged = routed(ingress, "PUT", "/m/1").map(|mut call| {
        call.objective = now(ingress) + Span::from_millis(900);
        call
    });
    let call = "call".parse().expect("a valid call id");
    let response = ingress.process(&call, judged, now(ingress)).await;
    response.status().as_u16()
}

#[tokio::test]
async fn a_gate_that_is_behind_gets_the_call_again_once_it_has_caught_up() {
    let ingress = ingress();
    let (gate, _) = start_gate(4, 1).await;
    assert_eq!(status(&ingress, 5, gate).await, 200);
}

#[tokio::test]
async fn a_call_that_a_gate_ahead_refuses_waits_for_its_view() {
    let ingress = ingress();
    let (gate, refused) = start_gate(6, 1).await;
    let board = Arc::clone(&ingress.board);
    tokio::spawn(async move {
        refused.notified().await;
        let routes = vec![route("r", "/m/", "rinks")];
        publish(&board, remote_view(6, "rinks", routes, gate));
    });
    assert_eq!(status(&ingress, 5, gate).await, 200);
}

#[tokio::test]
async fn a_gate_with_the_same_view_is_not_asked_again() {
    let ingress = ingress();
    let (gate, _) = start_gate(5, 1).await;
    assert_eq!(status(&ingress, 5, gate).await, 503);
}
