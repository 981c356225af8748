//! Checks a caller's request and finds the service that it goes to.

use std::sync::Arc;

use attempt::ServerRequest;
use axum::http::HeaderMap;
use backend::end_to_end_headers;
use bytes::Bytes;
use dialect::{Dialect, Rejection, RequestMetadata};
use note::{HostRoute, KeyHash, Limits, Service, View};
use route::{RouteTable, service_for_trial};
use smol_str::SmolStr;
use types::{CallId, Fingerprint, Header, Moment, ServiceId, Size, Span, TeamId};

use super::Ingress;

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
    fn host(&self) -> &str {
        let host = self.headers.get("host");
        let host = host.and_then(|value| str::from_utf8(value.as_bytes()).ok());
        host.unwrap_or_default()
    }
}

/// What a call has from its caller, whichever view it is routed by.
#[derive(Debug, Clone)]
struct Origin {
    host: SmolStr,
    /// Time that the caller gives the call, if it says so.
    time_left: Option<Span>,
    /// When the head of the request was complete.
    started_at: Moment,
    /// When the node can no longer answer.
    latest: Moment,
    /// Whether the caller is a backend server that is running another request.
    nested: bool,
    /// Hash of the key that the caller sent, `None` if it is missing or malformed.
    key: Option<KeyHash>,
}

/// Where a view sends a request.
struct Destination {
    view: Arc<View>,
    service: Service,
    /// `None` if the path of the request names its service.
    route: Option<Arc<HostRoute>>,
    /// `None` without teams, and on open routes.
    team: Option<TeamId>,
}

/// A call that can run once its body has been read.
#[derive(Debug, Clone)]
pub(super) struct RoutedCall {
    /// The view that the call was routed by. Everything below is from this view.
    pub(super) view: Arc<View>,
    pub(super) service: ServiceId,
    /// `None` if the path of the request names its service.
    pub(super) route: Option<Arc<HostRoute>>,
    /// Key of the latency statistics that the call belongs to: the name of its route, or of its
    /// service.
    pub(super) latency_key: SmolStr,
    /// Whether the caller is a backend server that is running another request.
    pub(super) nested: bool,
    pub(super) limits: Limits,
    /// Largest body of the request, in bytes.
    pub(super) max_body: u64,
    pub(super) idempotent: bool,
    /// Maximum number of attempts that may reach a backend server.
    pub(super) max_attempts: u32,
    pub(super) deadline: Moment,
    /// Latency objective: the moment by which the answer should be ready. Equals the deadline if
    /// the call has no route.
    pub(super) objective: Moment,
    /// 0 is the most urgent.
    pub(super) priority: u32,
    /// The team whose key the caller sent. `None` without teams, and on open routes.
    pub(super) team: Option<TeamId>,
    pub(super) request: ServerRequest,
    /// Whether the call was routed before, by an older view, and wasn't run.
    pub(super) is_rerouted: bool,
    origin: Origin,
}

impl RoutedCall {
    fn new(
        dialect: &dyn Dialect,
        destination: Destination,
        mut request: ServerRequest,
        origin: Origin,
    ) -> Self {
        let Destination {
            view,
            service,
            route,
            team,
        } = destination;
        set_team_headers(dialect, &view, team.as_ref(), &mut request.headers);
        let entry = team.as_ref().and_then(|id| view.state.teams.get(id));
        let priority = entry.and_then(|entry| entry.item.priority);
        let timeout = match &route {
            Some(route) => Span::from_millis(route.timeout_ms),
            None => MAX_TIMEOUT,
        };
        let default = match &route {
            Some(_) => timeout,
            None => service.limits.timeout(),
        };
        let remaining = origin.time_left.unwrap_or(default).min(timeout);
        let deadline = (origin.started_at + remaining).min(origin.latest);
        let objective =
            |route: &Arc<HostRoute>| origin.started_at + Span::from_millis(route.objective_ms);
        let key = route
            .as_ref()
            .map_or(service.id.as_str(), |r| r.id.as_str());
        Self {
            latency_key: SmolStr::new(key),
            idempotent: match &route {
                Some(route) => route.idempotent,
                None => service.is_idempotent(&request.method, path_of(&request.path)),
            },
            max_attempts: route.as_ref().map_or(DEFAULT_ATTEMPTS, |r| r.attempts),
            deadline,
            objective: route.as_ref().map_or(deadline, objective),
            priority: priority.unwrap_or(route.as_ref().map_or(0, |r| r.priority)),
            nested: origin.nested,
            max_body: service.limits.body.min(view.state.callers.body).0,
            limits: service.limits,
            service: service.id,
            is_rerouted: false,
            team,
            view,
            route,
            request,
            origin,
        }
    }

    /// When a call that no gate takes is refused, though other views might explain it: after a quarter of
    /// the time to its objective. Its caller does better to try again then.
    pub(super) fn reroute_until(&self) -> Moment {
        let started_at = self.origin.started_at;
        started_at + self.objective.since(started_at).scale(0.25)
    }

    pub(super) fn set_body(&mut self, body: Bytes) {
        self.request.body = body;
    }

    /// Whether the call is offered to a gate before its body is sent: its route is for large bodies, and its
    /// body is larger than `limit`.
    pub(super) fn offers_body(&self, limit: Size) -> bool {
        let is_bulk = self.route.as_ref().is_some_and(|route| route.bulk);
        is_bulk && self.request.body.len() as u64 > limit.0
    }

    /// Sends a suspect to the service of its route that has its trial.
    pub(super) fn move_to_trial(&mut self, request: Fingerprint) {
        let route = self.route.as_ref();
        let service = route.and_then(|route| service_for_trial(route, request));
        if let Some(service) = service.and_then(|id| self.view.state.service(id)) {
            self.service = service.id.clone();
            self.limits = service.limits.clone();
        }
    }

    /// Routes the call by the view in force. The time that it has counts from its start.
    pub(super) fn route_again(&self, ingress: &Ingress) -> Result<Self, Rejection> {
        let destination = find_destination(ingress, &self.origin, &self.request.path)?;
        let dialect = ingress.dialect.as_ref();
        let routed = Self::new(
            dialect,
            destination,
            self.request.clone(),
            self.origin.clone(),
        );
        Ok(Self {
            is_rerouted: true,
            ..routed
        })
    }

    /// Whether another routing of the call may choose this service as well.
    pub(super) fn may_use(&self, service: &ServiceId) -> bool {
        match &self.route {
            Some(route) => route.parts.iter().any(|part| part.service == *service),
            None => self.service == *service,
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
    if !ingress.board.has_joined() {
        return Err(Rejection::Joining);
    }
    let metadata = ingress
        .dialect
        .read_request(&head.headers)
        .map_err(|bad| Rejection::InvalidHeader(bad.0))?;
    if metadata.depth > MAX_DEPTH {
        return Err(Rejection::TooDeep);
    }
    let origin = Origin {
        host: SmolStr::new(head.host()),
        time_left: metadata.time_left,
        started_at: now,
        latest: ingress.latest_answer(),
        nested: metadata.depth > 0,
        key: ingress.dialect.key(&head.headers).map(KeyHash::of),
    };
    let destination = find_destination(ingress, &origin, &head.target)
        .inspect_err(|rejection| record_key(ingress, call, &origin, *rejection))?;
    let request = server_request(ingress, call, head, &metadata);
    let dialect = ingress.dialect.as_ref();
    Ok(RoutedCall::new(dialect, destination, request, origin))
}

/// Finds where the view in force sends a request, and the team that it is of.
fn find_destination(
    ingress: &Ingress,
    origin: &Origin,
    target: &str,
) -> Result<Destination, Rejection> {
    let path = path_of(target);
    // Read before the view, so that no older view is judged by a newer proof.
    let lease = *ingress.board.keys.borrow();
    let now = ingress.board.clock.now();
    let keys_valid = lease.is_none_or(|lease| lease.is_valid(now));
    ingress.with_routes(|view, routes| {
        let route = match view.state.is_addressed_by_path() {
            true => None,
            false => Some(routes.find(&origin.host, path).ok_or(Rejection::NoRoute)?),
        };
        let is_open = route.as_ref().is_some_and(|route| route.open);
        let team = match view.state.teams.is_empty() || is_open {
            true => None,
            false => Some(find_team(routes, origin.key, keys_valid)?),
        };
        let service = match &route {
            Some(route) => routes.pick_service(route),
            None => path.split('/').nth(1).and_then(|name| name.parse().ok()),
        };
        let service = service.and_then(|id| view.state.service(&id));
        Ok(Destination {
            view: Arc::clone(view),
            service: service.ok_or(Rejection::NoRoute)?.clone(),
            route,
            team,
        })
    })
}

/// The team that holds a caller's key, if keys may be served at present.
fn find_team(
    routes: &RouteTable,
    key: Option<KeyHash>,
    keys_valid: bool,
) -> Result<TeamId, Rejection> {
    let key = key.ok_or(Rejection::NoTeam)?;
    match routes.team(&key) {
        _ if !keys_valid => Err(Rejection::KeysUnproven),
        team => team.cloned().ok_or(Rejection::NoTeam),
    }
}

/// Logs why a caller's key was rejected, never the key, and counts requests whose keys aren't proven by team.
fn record_key(ingress: &Ingress, call: &CallId, origin: &Origin, rejection: Rejection) {
    let (has_key, now) = (origin.key.is_some(), ingress.board.clock.now());
    let proof_ms = (*ingress.board.keys.borrow()).map(|lease| lease.age(now).as_millis());
    if matches!(rejection, Rejection::NoTeam | Rejection::KeysUnproven) {
        log::info!(call:% = call, has_key, proof_ms; "key_rejected");
    }
    if let (Rejection::KeysUnproven, Some(key)) = (rejection, origin.key)
        && let Some(team) = ingress.with_routes(|_, routes| routes.team(&key).cloned())
    {
        ingress.allowances.record_unproven(&team);
    }
}

/// Replaces the key by the name of its team, where teams are configured.
fn set_team_headers(
    dialect: &dyn Dialect,
    view: &View,
    team: Option<&TeamId>,
    headers: &mut Vec<Header>,
) {
    headers.retain(|header| header.name != dialect.team_header());
    if !view.state.teams.is_empty() {
        headers.retain(|header| header.name != dialect.key_header());
    }
    headers.extend(team.map(|team| Header {
        name: SmolStr::new_static(dialect.team_header()),
        value: Bytes::copy_from_slice(team.as_str().as_bytes()),
    }));
}

/// The path of a target, without its query.
fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or_default()
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
