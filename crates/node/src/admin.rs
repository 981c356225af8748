//! The admin API. It only reads, but for one call that clears a request under which servers ended.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use allowances::AllowanceDump;
use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    routing::{get, post},
};
use board::{Board, Identity, Phase};
use fleet::{Evidence, ServerEnd, Verdict};
use gate_actor::GateActor;
use ingress::{Ingress, ServerDump, ZoneDump};
use kameo::actor::ActorRef;
use note::View;
use serde::Serialize;
use types::{Fingerprint, Moment, Revision, ServerId, ServiceId};
use view_sync::ViewSync;

/// Components that the admin API reads from.
pub(crate) struct Admin {
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) gate_actor: ActorRef<GateActor>,
    pub(crate) view_sync: ActorRef<ViewSync>,
}

/// State of the node, as `/state` returns it.
#[derive(Debug, Serialize)]
struct StateDump {
    identity: Identity,
    phase: Phase,
    revision: Revision,
    digest: String,
    lease_ms: u64,
    /// Number of teams.
    teams: usize,
    /// Time in milliseconds since the configuration was last known to be current, `null` if keys need no proof.
    proof_ms: Option<u64>,
    gate: Option<gate_actor::GateDump>,
    spread: Option<view_sync::SyncDump>,
    services: HashMap<ServiceId, Vec<ServerDump>>,
    /// Left out unless shares of other zones are computed.
    #[serde(skip_serializing_if = "Option::is_none")]
    zones: Option<ZoneDump>,
    peers: Vec<PeerDump>,
    suspects: Vec<SuspectDump>,
    allowances: AllowanceDump,
}

/// A request under which backend servers have ended.
#[derive(Debug, Serialize)]
struct SuspectDump {
    request: String,
    verdict: &'static str,
    /// Time in milliseconds for which it is still held back.
    held_ms: u64,
    ends: Vec<EndDump>,
}

/// The end of a backend server under such a request.
#[derive(Debug, Serialize)]
struct EndDump {
    server: ServerId,
    age_ms: u64,
    trial: bool,
    cleared: bool,
}

#[derive(Debug, Serialize)]
struct PeerDump {
    address: SocketAddr,
    open_attempts: Option<usize>,
}

/// Returns the routes of the admin API.
pub(crate) fn router(admin: Arc<Admin>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/state", get(state))
        .route("/metrics", get(metrics))
        .route("/notes", get(notes))
        .route("/suspects/{request}/clear", post(clear_suspect))
        .with_state(admin)
}

async fn ready(State(admin): State<Arc<Admin>>) -> (StatusCode, Json<Phase>) {
    let phase = admin.ingress.board.phase();
    let status = match phase {
        Phase::Ready => StatusCode::OK,
        Phase::Joining | Phase::Leaving | Phase::Stopping | Phase::Exiting => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    (status, Json(phase))
}

async fn metrics(State(admin): State<Arc<Admin>>) -> String {
    admin.ingress.metrics.prometheus_text()
}

async fn notes(State(admin): State<Arc<Admin>>) -> Json<Arc<View>> {
    let mut view = admin.ingress.board.view();
    // Hashes of keys stay between the nodes.
    if !view.state.teams.is_empty() {
        let teams = Arc::make_mut(&mut view).state.teams.values_mut();
        teams.for_each(|team| team.item.keys.clear());
    }
    Json(view)
}

async fn state(State(admin): State<Arc<Admin>>) -> Json<StateDump> {
    let board = &admin.ingress.board;
    let now = board.clock.now();
    let view = board.view();
    let gate = admin.gate_actor.ask(gate_actor::Dump).await.ok();
    let spread = admin.view_sync.ask(view_sync::Dump).await.ok();
    Json(StateDump {
        identity: board.identity.clone(),
        phase: board.phase(),
        revision: view.revision,
        digest: view.digest.to_string(),
        lease_ms: board.lease.borrow().until().since(now).as_millis(),
        teams: view.state.teams.len(),
        proof_ms: board.keys.borrow().map(|keys| keys.age(now).as_millis()),
        gate,
        spread,
        services: admin.ingress.services.dump(now),
        zones: admin.ingress.services.dump_shares(),
        peers: peer_dumps(&admin.ingress),
        suspects: suspect_dumps(board, now),
        allowances: admin.ingress.allowances.dump(),
    })
}

/// Clears a request on all nodes, which hear of it by gossip.
async fn clear_suspect(
    State(admin): State<Arc<Admin>>,
    Path(request): Path<String>,
) -> (StatusCode, Json<bool>) {
    let Ok(request) = request.parse::<Fingerprint>() else {
        return (StatusCode::BAD_REQUEST, Json(false));
    };
    let board = &admin.ingress.board;
    let now = board.clock.now();
    let is_cleared = board
        .quarantine
        .send_if_modified(|quarantine| quarantine.clear(request, now));
    log::info!(request:% = request, cleared = is_cleared, source = "operator"; "suspect_cleared");
    let status = match is_cleared {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    };
    (status, Json(is_cleared))
}

fn suspect_dumps(board: &Board, now: Moment) -> Vec<SuspectDump> {
    let quarantine = board.quarantine.borrow();
    let dump = |(request, evidence): (Fingerprint, &Evidence)| {
        let verdict = quarantine.verdict(request, now);
        SuspectDump {
            request: request.to_string(),
            verdict: verdict.name(),
            held_ms: match verdict {
                Verdict::Held(until) => until.since(now).as_millis(),
                Verdict::Clear | Verdict::Suspect | Verdict::Blocked => 0,
            },
            ends: evidence.ends.iter().map(|end| end_dump(end, now)).collect(),
        }
    };
    quarantine.latest().into_iter().map(dump).collect()
}

fn end_dump(end: &ServerEnd, now: Moment) -> EndDump {
    EndDump {
        server: end.server.clone(),
        age_ms: now.since(end.at).as_millis(),
        trial: end.trial,
        cleared: end.cleared,
    }
}

fn peer_dumps(ingress: &Ingress) -> Vec<PeerDump> {
    let peers = ingress.peers.all().into_iter();
    peers
        .map(|peer| PeerDump {
            address: peer.address,
            open_attempts: peer.open_attempts(),
        })
        .collect()
}
