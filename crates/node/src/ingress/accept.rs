//! Checks a caller's request and finds out where it goes.

use axum::http::HeaderMap;
use board::{Board, Phase};
use bytes::Bytes;
use dialect::{Asked, Dialect, Rejection};
use note::{HostRoute, Limits, Service};
use smol_str::SmolStr;
use types::{CallId, Header, Moment, ServiceId, Span};

use super::Ingress;
use crate::backend::{ServerRequest, end_to_end};

/// Longest time that a caller may ask for.
const MOST_TIME: Span = Span::from_millis(3_600_000);
/// Levels of nested calls at most.
const MOST_DEPTH: u32 = 64;
/// Backend servers that a call is sent to at most if no route says so: the first and two repeats.
const DEFAULT_ATTEMPTS: u32 = 3;

/// The head of a caller's request.
#[derive(Debug, Clone)]
pub(super) struct Head {
    pub(super) method: SmolStr,
    /// Path and query, byte for byte.
    pub(super) target: SmolStr,
    pub(super) headers: HeaderMap,
}

impl Head {
    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn host(&self) -> &str {
        let host = self.headers.get("host").and_then(|v| v.to_str().ok());
        host.unwrap_or_default()
    }
}

/// A call that may be carried out once its body is in.
#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) service: ServiceId,
    /// What requests of the same kind share: the route's name, or the service's.
    pub(super) kind: SmolStr,
    /// Whether a backend server calls that runs another request.
    pub(super) nested: bool,
    pub(super) limits: Limits,
    pub(super) idempotent: bool,
    pub(super) attempts: u32,
    pub(super) deadline: Moment,
    /// Last moment at which the answer is worth most.
    pub(super) objective: Moment,
    /// Rank, 0 for the most urgent.
    pub(super) priority: u32,
    pub(super) request: ServerRequest,
}

impl Accepted {
    /// Puts the body in.
    pub(super) fn set_body(&mut self, body: Bytes) {
        self.request.body = body;
    }
}

/// The caller's name for its request, or a new one.
pub(super) fn call_id(dialect: &dyn Dialect, headers: &HeaderMap) -> CallId {
    dialect
        .call(headers)
        .unwrap_or_else(|| CallId::from(rand::random::<u128>()))
}

/// Largest body that any service takes.
pub(super) fn most_body(board: &Board) -> u64 {
    board.view.borrow().state.callers.body.0
}

/// Checks a request whose head was complete at `now`.
pub(super) fn accept(
    ingress: &Ingress,
    call: &CallId,
    head: &Head,
    now: Moment,
) -> Result<Accepted, Rejection> {
    let board = &ingress.board;
    if board.phase() == Phase::Joining {
        return Err(Rejection::Joining);
    }
    let asked = ingress
        .dialect
        .asked(&head.headers)
        .map_err(|bad| Rejection::BadHeader(bad.0))?;
    if asked.depth > MOST_DEPTH {
        return Err(Rejection::TooDeep);
    }
    if ingress.directory().is_empty() {
        return by_path(ingress, call, head, &asked, now);
    }
    let found = ingress.directory().find(head.host(), head.path());
    let route = found.ok_or(Rejection::NoRoute)?;
    by_route(ingress, call, head, &asked, &route, now)
}

/// The route says where the request goes.
fn by_route(
    ingress: &Ingress,
    call: &CallId,
    head: &Head,
    asked: &Asked,
    route: &HostRoute,
    now: Moment,
) -> Result<Accepted, Rejection> {
    let id = ingress
        .directory()
        .pick_service(route)
        .ok_or(Rejection::NoRoute)?;
    let service = service(&ingress.board, &id).ok_or(Rejection::NoRoute)?;
    let timeout = Span::from_millis(route.timeout_ms);
    let left = asked.left.unwrap_or(timeout).min(timeout);
    Ok(Accepted {
        idempotent: route.idempotent,
        attempts: route.attempts,
        deadline: now + left,
        objective: now + Span::from_millis(route.objective_ms),
        priority: route.priority,
        request: server_request(ingress, call, head, asked),
        kind: SmolStr::new(route.id.as_str()),
        nested: asked.depth > 0,
        limits: service.limits,
        service: id,
    })
}

/// The first segment of the path names the service.
fn by_path(
    ingress: &Ingress,
    call: &CallId,
    head: &Head,
    asked: &Asked,
    now: Moment,
) -> Result<Accepted, Rejection> {
    let segment = head.path().split('/').nth(1);
    let id: Option<ServiceId> = segment.and_then(|name| name.parse().ok());
    let service = id.and_then(|id| service(&ingress.board, &id));
    let service = service.ok_or(Rejection::NoRoute)?;
    let deadline = now
        + asked
            .left
            .unwrap_or(service.limits.timeout())
            .min(MOST_TIME);
    Ok(Accepted {
        idempotent: service.is_idempotent(&head.method, head.path()),
        attempts: DEFAULT_ATTEMPTS,
        deadline,
        objective: deadline,
        priority: 0,
        request: server_request(ingress, call, head, asked),
        kind: SmolStr::new(service.id.as_str()),
        nested: asked.depth > 0,
        limits: service.limits,
        service: service.id,
    })
}

fn service(board: &Board, id: &ServiceId) -> Option<Service> {
    board.view.borrow().state.service(id).cloned()
}

fn server_request(ingress: &Ingress, call: &CallId, head: &Head, asked: &Asked) -> ServerRequest {
    ServerRequest {
        call: call.clone(),
        method: head.method.clone(),
        path: head.target.clone(),
        headers: forwarded(ingress.dialect.as_ref(), &head.headers),
        body: Bytes::new(),
        depth: asked.depth,
        repeat: asked.repeat,
        origin: ingress.origin.clone(),
    }
}

/// Headers that go to the backend server. Those that a node writes itself are left out.
fn forwarded(dialect: &dyn Dialect, headers: &HeaderMap) -> Vec<Header> {
    let mut kept = end_to_end(headers);
    kept.retain(|header| {
        let name = header.name.as_str().parse();
        header.name != "expect" && name.is_ok_and(|name| !dialect.writes(&name))
    });
    kept
}
