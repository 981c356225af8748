//! An ingress whose only peers are stand-ins, and views to put in force.

use std::{net::SocketAddr, sync::Arc};

use adapter::SiteDialect;
use allowances::{Allowances, TonicCourier};
use attempt::ServerRequest;
use axum::http::{HeaderMap, HeaderValue};
use backend::{Backend, ProbeError, RequestResult, Target};
use board::{Board, Identity};
use dialect::{Rejection, ResponseMetadata};
use fixtures::board;
use fleet::Lease;
use futures::{FutureExt, future::BoxFuture};
use gate::Completion;
use gate_actor::GateOptions;
use metrics::Metrics;
use note::{
    CallerLimits, HostRoute, Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus,
    Service, State, View, WeightedService,
};
use peers::{Peers, server::PeerService};
use platform::{HostList, NotePage, Platform, PlatformError};
use support::body_budget::BodyBudget;
use tokio::time::Instant;
use types::{Answer, Boot, Moment, Rate, Revision, Size, Span};
use view_sync::{Source, SyncOptions};

use super::super::{
    Ingress, RetryPolicy, Services,
    routing::{RequestHead, RoutedCall, route_call},
};

/// A backend server that answers each request with status 200.
pub(super) struct SoundBackend;

impl Backend for SoundBackend {
    fn run(&self, _: ServerRequest, _: Target, _: Instant) -> BoxFuture<'static, RequestResult> {
        async { answered() }.boxed()
    }

    fn probe(&self, _: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>> {
        futures::future::pending().boxed()
    }
}

/// A complete answer with status 200.
pub(super) fn answered() -> RequestResult {
    let answer = Answer {
        status: 200,
        ..Answer::default()
    };
    Completion::Answered(Arc::new(answer)).into()
}

/// A platform that never answers, so that only the test changes the view.
struct SilentPlatform;

impl Platform for SilentPlatform {
    fn notes(&self, _: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>> {
        futures::future::pending().boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        futures::future::pending().boxed()
    }
}

/// An ingress of a ready node with an empty view.
pub(super) fn ingress() -> Arc<Ingress> {
    start_node(Arc::new(SoundBackend)).0
}

/// A ready node with an empty view and this backend server: its ingress, and the service for its peers.
pub(super) fn start_node(backend: Arc<dyn Backend>) -> (Arc<Ingress>, PeerService) {
    let board = board();
    board.join();
    let mut lease = Lease::new(Span::from_millis(60_000));
    lease.renew(board.clock.now());
    board.lease.send_replace(lease);
    let metrics = Arc::new(Metrics::new());
    let gate_actor = gate_actor::spawn(&board, backend, &metrics, GateOptions::default());
    let options = SyncOptions {
        seeds: Vec::new(),
        reads: Rate::new(1.0).expect("a valid rate"),
        lease: Span::from_millis(60_000),
        key_lease: None,
    };
    let source = Source::notes(Arc::new(SilentPlatform));
    let view_sync = view_sync::spawn(&board, source, &metrics, options);
    let services = Services::new(Boot(2), Default::default(), RetryPolicy::default());
    let courier = Arc::new(TonicCourier::default());
    let allowances = Allowances::new(Arc::clone(&board), courier, Arc::clone(&metrics));
    let peer_service = PeerService::new(
        Arc::clone(&board),
        gate_actor.clone(),
        view_sync.clone(),
        Arc::clone(&allowances),
    );
    let ingress = Arc::new(Ingress {
        board: Arc::clone(&board),
        dialect: Arc::new(SiteDialect),
        local_service: None,
        peers: Peers::new(board, gate_actor),
        services,
        routes: Default::default(),
        metrics,
        view_sync,
        body_budget: BodyBudget::default(),
        allowances,
        offer_bytes: Size(16 << 10),
    });
    (ingress, peer_service)
}

/// A service of the operators' configuration.
fn service(id: &str) -> Service {
    Service {
        id: id.parse().expect("a valid id"),
        limits: Limits::default(),
        routes: Vec::new(),
        sheds: Vec::new(),
    }
}

/// A route of the host `bowls.example` to one service.
pub(super) fn route(id: &str, path: &str, service: &str) -> HostRoute {
    HostRoute {
        id: id.parse().expect("a valid id"),
        host: "bowls.example".into(),
        path: path.into(),
        parts: vec![WeightedService {
            service: service.parse().expect("a valid id"),
            weight: 1,
        }],
        idempotent: false,
        attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 200,
        priority: 0,
        open: false,
        bulk: false,
    }
}

/// A listed backend server of a service, under the service's name.
fn listed(service: &Service, host: &str, node: SocketAddr) -> ListedServer {
    let server = Server {
        id: service.id.as_str().parse().expect("a valid id"),
        service: service.id.clone(),
        zone: "zone".parse().expect("a valid id"),
        host: host.parse().expect("a valid id"),
        node,
        address: node,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: None,
    };
    ListedServer { server, seq: 1 }
}

/// The view of a registry with a backend server beside this node, of this service.
pub(super) fn view(revision: u64, id: &str, routes: Vec<HostRoute>) -> Arc<View> {
    limited_view(revision, id, routes, CallerLimits::default())
}

/// Publishes the view of a registry whose only route leads from this path to this service.
pub(super) fn publish_route(ingress: &Ingress, revision: u64, path: &str, id: &str) {
    let routes = vec![route("r", path, id)];
    publish(&ingress.board, view(revision, id, routes));
}

/// As [`view`], with limits on callers' requests.
pub(super) fn limited_view(
    revision: u64,
    id: &str,
    routes: Vec<HostRoute>,
    callers: CallerLimits,
) -> Arc<View> {
    let service = service(id);
    let Identity { host, node, .. } = board().identity.clone();
    let server = listed(&service, host.as_str(), node);
    assemble(revision, service, server, routes, callers)
}

/// The view of a registry with a backend server beside another node, of this service.
pub(super) fn remote_view(
    revision: u64,
    id: &str,
    routes: Vec<HostRoute>,
    node: SocketAddr,
) -> Arc<View> {
    let service = service(id);
    let server = listed(&service, "other", node);
    assemble(revision, service, server, routes, CallerLimits::default())
}

fn assemble(
    revision: u64,
    service: Service,
    server: ListedServer,
    routes: Vec<HostRoute>,
    callers: CallerLimits,
) -> Arc<View> {
    let listing = Listing {
        servers: vec![server],
        ..Listing::default()
    };
    let config = OperatorConfig {
        services: vec![service],
        routes,
        callers,
        ..OperatorConfig::default()
    };
    let revision = Revision(revision);
    Arc::new(View {
        revision,
        state: State::assemble(&listing, &config, revision),
        ..View::default()
    })
}

/// Puts a view in force. The tasks that watch the board don't run before the test next waits.
pub(super) fn publish(board: &Board, view: Arc<View>) {
    board.view.send_replace(view);
}

/// Checks and routes a request to `bowls.example`.
pub(super) fn routed(
    ingress: &Ingress,
    method: &str,
    target: &str,
) -> Result<RoutedCall, Rejection> {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("bowls.example"));
    let head = RequestHead {
        method: method.into(),
        target: target.into(),
        headers,
    };
    let call = "call".parse().expect("a valid call id");
    route_call(ingress, &call, &head, now(ingress))
}

pub(super) fn now(ingress: &Ingress) -> Moment {
    ingress.board.clock.now()
}
