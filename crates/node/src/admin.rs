//! The admin API: read only.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use board::{Identity, Phase};
use kameo::actor::ActorRef;
use note::View;
use serde::Serialize;
use types::{Revision, ServiceId};

use crate::{
    gate_actor::{self, GateActor},
    ingress::{Ingress, ServerDump},
    spreader::{self, Spreader},
};

/// What the admin API reads.
pub(crate) struct Admin {
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) gatekeeper: ActorRef<GateActor>,
    pub(crate) spreader: ActorRef<Spreader>,
}

/// The whole state of a process.
#[derive(Debug, Serialize)]
struct Dump {
    identity: Identity,
    phase: Phase,
    revision: Revision,
    digest: String,
    lease_ms: u64,
    gate: Option<gate_actor::GateDump>,
    spread: Option<spreader::Dumped>,
    services: HashMap<ServiceId, Vec<ServerDump>>,
    peers: Vec<PeerDump>,
}

#[derive(Debug, Serialize)]
struct PeerDump {
    address: SocketAddr,
    open_attempts: Option<usize>,
}

/// The routes of the admin API.
pub(crate) fn router(admin: Arc<Admin>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/state", get(state))
        .route("/metrics", get(metrics))
        .route("/notes", get(notes))
        .with_state(admin)
}

async fn ready(State(admin): State<Arc<Admin>>) -> (StatusCode, Json<Phase>) {
    let phase = admin.ingress.board.phase();
    let status = match phase {
        Phase::Ready => StatusCode::OK,
        Phase::Joining | Phase::Leaving | Phase::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(phase))
}

async fn metrics(State(admin): State<Arc<Admin>>) -> String {
    admin.ingress.meter.text()
}

async fn notes(State(admin): State<Arc<Admin>>) -> Json<Arc<View>> {
    Json(admin.ingress.board.view())
}

async fn state(State(admin): State<Arc<Admin>>) -> Json<Dump> {
    let board = &admin.ingress.board;
    let now = board.clock.now();
    let view = board.view();
    let gate = admin.gatekeeper.ask(gate_actor::Dump).await.ok();
    let spread = admin.spreader.ask(spreader::Dump).await.ok();
    Json(Dump {
        identity: board.identity.clone(),
        phase: board.phase(),
        revision: view.revision,
        digest: view.digest.to_string(),
        lease_ms: board.lease.borrow().until().since(now).as_millis(),
        gate,
        spread,
        services: admin.ingress.services.dump(now),
        peers: dump_peers(&admin.ingress),
    })
}

fn dump_peers(ingress: &Ingress) -> Vec<PeerDump> {
    let peers = ingress.peers.all().into_iter();
    peers
        .map(|p| PeerDump {
            address: p.address,
            open_attempts: p.open_attempts(),
        })
        .collect()
}
