//! The ingress: takes callers' requests over HTTP/1.1 and HTTP/2 and answers each exactly once.
//!
//! A connection ([`http1`], [`http2`]) reads a request, and [`routing`] checks it and finds its
//! service. [`suspects`] holds it back if it
//! may end backend servers. [`driver`] sends its attempts, using the state kept for the service ([`services`]), and
//! [`response`] builds the answer. A call that isn't run since the view has changed is routed again ([`reroute`]). If the caller disconnects, the future of its request is dropped,
//! which cancels its open attempts.

#[cfg(test)]
mod tests;

mod driver;
mod framing;
mod http1;
mod http2;
mod outgoing;
mod reroute;
mod response;
mod routing;
mod services;
mod suspects;
mod trials;
mod zones;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use allowances::Allowances;
use axum::http::Response;
use board::{Board, Phase};
use bytes::Bytes;
use call::CallOutcome;
use dialect::{Dialect, Rejection};
use futures::FutureExt;
use kameo::actor::ActorRef;
use metrics::Metrics;
use note::View;
use peers::{Peer, Peers};
use route::RouteTable;
use support::{body_budget::BodyBudget, socket};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use types::{CallId, Moment, Refusal, ServerId, ServiceId, Size, Span, TeamId};
use view_sync::ViewSync;

use routing::RoutedCall;
pub use services::{RetryPolicy, ServerDump, Services, ZoneDump};
pub use zones::ZoneShares;

/// Time that a new connection gets for its first request while the node stops. Callers send the
/// request at once, so it arrives within a few round trips of 20 ms.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time to write the last response and to close its connection.
const CLOSE_TIME: Span = Span::from_millis(100);
/// Delay after a connection could not be accepted, for example for lack of file descriptors: long
/// enough for some connections to end, and short compared with the time that callers wait for a
/// connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time until the first bytes of a connection are looked at again if they are too few: below the round
/// trip of most callers.
const PEEK_INTERVAL: Duration = Duration::from_millis(10);
/// First bytes of the HTTP/2 connection preface. No HTTP/1.1 request starts with them.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// A view, and its routes.
#[derive(Default)]
pub struct ViewRoutes {
    view: Arc<View>,
    table: RouteTable,
}

/// State shared by all connections from callers.
pub struct Ingress {
    /// Blackboard of the node.
    pub board: Arc<Board>,
    /// Headers and statuses of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Service of the backend server beside the node, if settings name it.
    pub local_service: Option<ServiceId>,
    /// Gates that attempts are sent to.
    pub peers: Peers,
    /// State kept of each service.
    pub services: Services,
    /// The routes of a view. Requests lock it with [`Ingress::with_routes`].
    pub routes: Mutex<ViewRoutes>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Hears of peers with a newer view.
    pub view_sync: ActorRef<ViewSync>,
    /// Limits the memory that callers' bodies use.
    pub body_budget: BodyBudget,
    /// Teams' allowances, from which requests draw.
    pub allowances: Arc<Allowances>,
    /// Size from which the body of a request on a bulk route is only sent to a gate that has admitted it.
    pub offer_bytes: Size,
}

impl Ingress {
    /// Applies each new view and each change of the hosts' or servers' status, until the board is dropped.
    pub async fn watch_board(self: Arc<Self>) {
        let mut view = self.board.view.subscribe();
        let mut hosts = self.board.hosts.subscribe();
        let mut leaving = self.board.leaving.subscribe();
        loop {
            self.refresh_services();
            self.peers.retain(&self.node_addresses());
            let changed = tokio::select! {
                changed = view.changed() => changed,
                changed = hosts.changed() => changed,
                changed = leaving.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Calls `judge` with the view in force and its routes.
    ///
    /// The routes and the services are updated here, not by the task that watches the board, so that a request
    /// is judged by one view throughout, and by none before the newest one.
    fn with_routes<T>(&self, judge: impl FnOnce(&Arc<View>, &mut RouteTable) -> T) -> T {
        let mut routes = self
            .routes
            .lock()
            .expect("no thread panics while holding this lock");
        // Read under the lock, so that no older view replaces a newer one.
        let view = self.board.view();
        if !Arc::ptr_eq(&view, &routes.view) {
            routes.table.set_routes(&view.state);
            self.services.refresh(&self.board, &view.state);
            routes.view = view;
        }
        let ViewRoutes { view, table } = &mut *routes;
        judge(view, table)
    }

    /// Updates the services from the view and from the status of hosts and servers.
    fn refresh_services(&self) {
        self.with_routes(|view, _| self.services.refresh(&self.board, &view.state));
    }

    fn is_stopping(&self) -> bool {
        self.board.phase().is_stopping()
    }

    /// When a call that arrives now must have ended for its caller to get the response. A node that is about to
    /// stop still takes calls, and the backend server gets the time that there is.
    fn latest_answer(&self) -> Moment {
        match self.board.phase() {
            Phase::Leaving => self.exit_deadline(),
            _ => Moment::MAX,
        }
    }

    /// When all calls of a node that stops must have ended, so that their callers get the responses.
    fn exit_deadline(&self) -> Moment {
        *self.board.stop_at.borrow() - CLOSE_TIME
    }

    /// Whether the node may exit before the call ends. Its caller does better to call another node at once.
    fn may_outlast_node(&self, routed: &RoutedCall) -> bool {
        self.is_stopping() && routed.deadline >= self.exit_deadline()
    }

    fn node_addresses(&self) -> HashSet<SocketAddr> {
        let view = self.board.view();
        view.state.servers.values().map(|e| e.item.node).collect()
    }

    fn peer(&self, server: &ServerId) -> Option<Arc<Peer>> {
        let view = self.board.view();
        view.state.server(server).map(|s| self.peers.get(s.node))
    }

    /// Runs a call if its team's allowance has room for it. A call that isn't run costs its team nothing.
    async fn run_allowed(self: &Arc<Self>, routed: RoutedCall) -> Result<CallOutcome, Rejection> {
        let token = match &routed.team {
            Some(team) => {
                let call = &routed.request.call;
                let taken = self.allowances.take(team, routed.deadline).await;
                taken.inspect_err(|rejection| log_allowance(call, team, *rejection))?
            }
            None => None,
        };
        let result = reroute::run_call(self, routed).await;
        if let (Ok(CallOutcome::NotRun { .. }) | Err(_), Some(token)) = (&result, token) {
            self.allowances.give_back(token);
        }
        result
    }

    /// Runs a call, records it in metrics and logs, and builds its response.
    async fn process(
        self: &Arc<Self>,
        call: &CallId,
        routed: Result<RoutedCall, Rejection>,
        started_at: Moment,
    ) -> Response<Bytes> {
        let result = match routed {
            Ok(routed) if self.may_outlast_node(&routed) => Ok(CallOutcome::NotRun {
                refusal: Refusal::Stopping,
                retry_after: Span::default(),
            }),
            Ok(routed) => {
                if let Some(team) = &routed.team {
                    log::debug!(call:% = call, team:% = team; "call_identified");
                }
                self.run_allowed(routed).await
            }
            Err(rejection) => Err(rejection),
        };
        let took = self.board.clock.now().since(started_at);
        let name = response::result_name(&result);
        self.metrics.record_call(name, took);
        let revision = self.board.view.borrow().revision;
        log::log!(
            response::log_level(&result),
            call:% = call, ending = name, took_us = took.0, view:% = revision;
            "call_ended"
        );
        response::respond(self.dialect.as_ref(), call, result)
    }
}

/// Logs why a request of a team got no token.
fn log_allowance(call: &CallId, team: &TeamId, rejection: Rejection) {
    let room_ms = match rejection {
        Rejection::OverAllowance { retry_after } => Some(retry_after.as_millis()),
        _ => None,
    };
    log::info!(call:% = call, team:% = team, room_ms; "team_refused");
}

/// Accepts connections from callers until `closing` is set. Returns when the last connection has
/// ended.
pub async fn serve(
    ingress: Arc<Ingress>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let shared = closing.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let serving = serve_connection(Arc::clone(&ingress), stream, shared.clone());
                    connections.spawn(serving);
                }
                Err(error) => {
                    log::warn!(error:% = error; "accept_failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = wait_for_close(&mut closing) => break,
        }
    }
    // Connections left in the listener's backlog would be reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(serve_connection(
            Arc::clone(&ingress),
            stream,
            shared.clone(),
        ));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until `closing` is set, and then for the time that a new connection gets for its first
/// request.
async fn first_request_timeout(closing: &mut watch::Receiver<bool>) {
    wait_for_close(closing).await;
    sleep(FIRST_REQUEST_TIMEOUT).await;
}

/// Serves a connection with the protocol that its first bytes indicate.
async fn serve_connection(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = socket::configure(&stream) {
        log::debug!(error:% = error; "caller_connection_untuned");
    }
    let idle = Duration::from_millis(ingress.board.view.borrow().state.callers.idle_ms);
    let is_http2 = tokio::select! {
        is_http2 = starts_http2(&stream) => is_http2,
        () = first_request_timeout(&mut closing) => return,
        () = sleep(idle) => return,
    };
    if is_http2 {
        if let Err(error) = http2::serve(ingress, stream, closing).await {
            log::debug!(error:% = error; "caller_connection_ended");
        }
    } else if let Err(error) = http1::serve(ingress, stream, closing).await {
        log::debug!(error:% = error; "caller_connection_ended");
    }
}

/// Whether the first bytes, which may come in parts, are those of the HTTP/2 connection preface.
async fn starts_http2(stream: &TcpStream) -> bool {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        // An error is reported again by the next read.
        let peeked = stream.peek(&mut first).await.unwrap_or_default();
        match &first[..peeked] {
            HTTP2_PREFACE => return true,
            part if part.is_empty() || !HTTP2_PREFACE.starts_with(part) => return false,
            _ => sleep(PEEK_INTERVAL).await,
        }
    }
}

async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
