//! Checks a caller's request and finds the service that it goes to.

use std::sync::Arc;

use axum::http::HeaderMap;
use board::{Board, Phase};
use bytes::Bytes;
use dialect::{Dialect, Rejection, RequestMetadata};
use note::{HostRoute, Limits, Service};
use route::service_for_trial;
use smol_str::SmolStr;
use types::{CallId, Fingerprint, Header, Moment, ServiceId, Span};

use super::Ingress;
use crate::backend::{ServerRequest, end_to_end_headers};

/// Longest timeout of a call without a route.
const MAX_TIMEOUT: Span = Span::from_millis(3_600_000);
/// Maximum levels of nested calls.
const MAX_DEPTH: u32 = 64;
/// Maximum number of attempts of a call without a route that may reach a backend server: the first
/// one and two retries.
const DEFAULT_ATTEMPTS: u32 = 3;

/// The request line and headers of a caller's request.
#[derive(Debug, Clone)]
pub(super) struct RequestHead {
    pub(super) method: SmolStr,
    /// Path and query, in the caller's encoding.
    pub(super) target: SmolStr,
    pub(super) headers: HeaderMap,
}

impl RequestHead {
    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn host(&self) -> &str {
        let host = self.headers.get("host").and_then(|v| v.to_str().ok());
        host.unwrap_or_default()
    }
}

/// A call that can run once its body has been read.
#[derive(Debug, Clone)]
pub(super) struct RoutedCall {
    pub(super) service: ServiceId,
    /// `None` if the path of the request names its service.
    pub(super) route: Option<Arc<HostRoute>>,
    /// Key of the latency statistics that the call belongs to: the name of its route, or of its
    /// service.
    pub(super) latency_key: SmolStr,
    /// Whether the caller is a backend server that is running another request.
    pub(super) nested: bool,
    pub(super) limits: Limits,
    pub(super) idempotent: bool,
    /// Maximum number of attempts that may reach a backend server.
    pub(super) max_attempts: u32,
    pub(super) deadline: Moment,
    /// Latency objective: the moment by which the answer should be ready. Equals the deadline if
    /// the call has no route.
    pub(super) objective: Moment,
    /// 0 is the most urgent.
    pub(super) priority: u32,
    pub(super) request: ServerRequest,
}

impl RoutedCall {
    pub(super) fn set_body(&mut self, body: Bytes) {
        self.request.body = body;
    }

    /// Sends a suspect to the service of its route that has its trial.
    pub(super) fn move_to_trial(&mut self, board: &Board, request: Fingerprint) {
        let route = self.route.as_ref();
        let service = route.and_then(|route| service_for_trial(route, request));
        if let Some(service) = service.and_then(|id| find_service(board, id)) {
            (self.service, self.limits) = (service.id, service.limits);
        }
    }
}

/// The id that the caller gave its call, or else a random one.
pub(super) fn call_id(dialect: &dyn Dialect, headers: &HeaderMap) -> CallId {
    dialect
        .call_id(headers)
        .unwrap_or_else(|| CallId::from(rand::random::<u128>()))
}

/// Checks and routes a request whose head was complete at `now`.
pub(super) fn route_call(
    ingress: &Ingress,
    call: &CallId,
    head: &RequestHead,
    now: Moment,
) -> Result<RoutedCall, Rejection> {
    let board = &ingress.board;
    if board.phase() == Phase::Joining {
        return Err(Rejection::Joining);
    }
    let metadata = ingress
        .dialect
        .read_request(&head.headers)
        .map_err(|bad| Rejection::InvalidHeader(bad.0))?;
    if metadata.depth > MAX_DEPTH {
        return Err(Rejection::TooDeep);
    }
    if board.view.borrow().state.is_addressed_by_path() {
        return call_by_path(ingress, call, head, &metadata, now);
    }
    let found = ingress.route_table().find(head.host(), head.path());
    let route = found.ok_or(Rejection::NoRoute)?;
    call_by_route(ingress, call, head, &metadata, &route, now)
}

/// Builds the call from the route of the request.
fn call_by_route(
    ingress: &Ingress,
    call: &CallId,
    head: &RequestHead,
    metadata: &RequestMetadata,
    route: &Arc<HostRoute>,
    now: Moment,
) -> Result<RoutedCall, Rejection> {
    let id = ingress
        .route_table()
        .pick_service(route)
        .ok_or(Rejection::NoRoute)?;
    let service = find_service(&ingress.board, &id).ok_or(Rejection::NoRoute)?;
    let timeout = Span::from_millis(route.timeout_ms);
    let remaining = metadata.time_left.unwrap_or(timeout).min(timeout);
    Ok(RoutedCall {
        idempotent: route.idempotent,
        max_attempts: route.attempts,
        deadline: now + remaining,
        objective: now + Span::from_millis(route.objective_ms),
        priority: route.priority,
        request: server_request(ingress, call, head, metadata),
        latency_key: SmolStr::new(route.id.as_str()),
        nested: metadata.depth > 0,
        limits: service.limits,
        service: id,
        route: Some(Arc::clone(route)),
    })
}

/// Builds the call of a request whose first path segment names the service.
fn call_by_path(
    ingress: &Ingress,
    call: &CallId,
    head: &RequestHead,
    metadata: &RequestMetadata,
    now: Moment,
) -> Result<RoutedCall, Rejection> {
    let segment = head.path().split('/').nth(1);
    let id: Option<ServiceId> = segment.and_then(|name| name.parse().ok());
    let service = id.and_then(|id| find_service(&ingress.board, &id));
    let service = service.ok_or(Rejection::NoRoute)?;
    let deadline = now
        + metadata
            .time_left
            .unwrap_or(service.limits.timeout())
            .min(MAX_TIMEOUT);
    Ok(RoutedCall {
        idempotent: service.is_idempotent(&head.method, head.path()),
        max_attempts: DEFAULT_ATTEMPTS,
        deadline,
        objective: deadline,
        priority: 0,
        request: server_request(ingress, call, head, metadata),
        latency_key: SmolStr::new(service.id.as_str()),
        nested: metadata.depth > 0,
        limits: service.limits,
        service: service.id,
        route: None,
    })
}

fn find_service(board: &Board, id: &ServiceId) -> Option<Service> {
    board.view.borrow().state.service(id).cloned()
}

fn server_request(
    ingress: &Ingress,
    call: &CallId,
    head: &RequestHead,
    metadata: &RequestMetadata,
) -> ServerRequest {
    ServerRequest {
        call: call.clone(),
        method: head.method.clone(),
        path: head.target.clone(),
        headers: forwarded_headers(ingress.dialect.as_ref(), &head.headers),
        body: Bytes::new(),
        depth: metadata.depth,
        is_retry: metadata.is_retry,
        caller_service: ingress.local_service.clone(),
    }
}

/// The end-to-end headers of the caller, without `expect` and those that a node writes itself.
fn forwarded_headers(dialect: &dyn Dialect, headers: &HeaderMap) -> Vec<Header> {
    let mut kept = end_to_end_headers(headers);
    kept.retain(|header| {
        let name = header.name.as_str().parse();
        header.name != "expect" && name.is_ok_and(|name| !dialect.overrides(&name))
    });
    kept
}
