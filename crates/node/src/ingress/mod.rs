//! The callers' side: takes requests over HTTP/1.1 and HTTP/2 and answers each exactly once.
//!
//! A connection ([`http1`], [`http2`]) reads a request, [`accept`] checks it and finds its service, it
//! is carried through its attempts ([`drive`]) with what is known of the service ([`services`]), and
//! answered ([`answer`]). If the caller goes away the future of its request is dropped, which cancels
//! whatever is open.

#[cfg(test)]
mod tests;

mod accept;
mod answer;
mod drive;
mod frame;
mod http1;
mod http2;
mod room;
mod services;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::http::Response;
use board::{Board, Phase};
use bytes::Bytes;
use dialect::{Dialect, Rejection};
use futures::FutureExt;
use kameo::actor::ActorRef;
use route::RouteTable;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use types::{CallId, Moment, ServerId, ServiceId};

use crate::{
    metrics::Metrics,
    peers::{Peer, Peers},
    socket,
    view_sync::ViewSync,
};

use accept::Accepted;
pub(crate) use room::Room as BodyRoom;
pub(crate) use services::{DumpedPeer, RetryPolicy, Services};

/// Time before the next connection is taken after one could not be, as for want of descriptors: long
/// Time that a new connection gets for its first request while the node stops: callers send it at once,
/// so it comes within some round trips of 20 ms.
const FIRST_REQUEST: Duration = Duration::from_millis(250);
/// enough for some to end, short against what callers wait for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// First bytes of an HTTP/2 connection that no HTTP/1.1 request begins with.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// What the callers' side shares.
pub(crate) struct Ingress {
    pub(crate) board: Arc<Board>,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Service of the backend server beside the node, as settings name it.
    pub(crate) origin: Option<ServiceId>,
    pub(crate) peers: Peers,
    pub(crate) services: Services,
    pub(crate) directory: Mutex<RouteTable>,
    pub(crate) meter: Arc<Metrics>,
    pub(crate) spreader: ActorRef<ViewSync>,
    /// Memory for callers' bodies.
    pub(crate) room: BodyRoom,
}

impl Ingress {
    /// Follows the view in force until the board is gone.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut view = self.board.view.subscribe();
        let mut hosts = self.board.hosts.subscribe();
        loop {
            self.directory().set_routes(&self.board.view().state);
            self.services.refresh(&self.board);
            self.peers.retain(&self.members());
            let changed = tokio::select! {
                changed = view.changed() => changed,
                changed = hosts.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn directory(&self) -> MutexGuard<'_, RouteTable> {
        self.directory.lock().expect("no holder panics")
    }

    fn is_stopping(&self) -> bool {
        self.board.phase() == Phase::Stopping
    }

    fn members(&self) -> HashSet<SocketAddr> {
        let view = self.board.view();
        view.state.servers.values().map(|e| e.item.node).collect()
    }

    fn peer(&self, server: &ServerId) -> Option<Arc<Peer>> {
        let view = self.board.view();
        view.state.server(server).map(|s| self.peers.get(s.node))
    }

    /// Carries a request to its end and answers it.
    async fn carry(
        self: &Arc<Self>,
        call: &CallId,
        accepted: Result<Accepted, Rejection>,
        began: Moment,
    ) -> Response<Bytes> {
        let ended = match accepted {
            Ok(accepted) => Ok(drive::drive(self, accepted).await),
            Err(rejection) => Err(rejection),
        };
        let took = self.board.clock.now().since(began);
        let kind = answer::kind(&ended);
        self.meter.record_call(kind, took);
        let revision = self.board.view.borrow().revision;
        log::log!(
            answer::level(&ended),
            call:% = call, ending = kind, took_us = took.0, view:% = revision;
            "call_ended"
        );
        answer::respond(self.dialect.as_ref(), call, ended)
    }
}

/// Takes callers' connections until `closing`, and returns when the last of them has ended.
pub(crate) async fn listen(
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
                    let serving = connection(Arc::clone(&ingress), stream, shared.clone());
                    connections.spawn(serving);
                }
                Err(error) => {
                    log::warn!(error:% = error; "accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = closed(&mut closing) => break,
        }
    }
    // What the kernel has taken would be reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(connection(Arc::clone(&ingress), stream, shared.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until a new connection without a request is closed as the node stops.
async fn first_awaited(closing: &mut watch::Receiver<bool>) {
    closed(closing).await;
    sleep(FIRST_REQUEST).await;
}

/// Serves one connection in the protocol that its first bytes show.
async fn connection(ingress: Arc<Ingress>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if let Err(error) = socket::configure(&stream) {
        log::debug!(error:% = error; "caller_connection_untuned");
    }
    let mut first = [0; HTTP2_PREFACE.len()];
    let idle = Duration::from_millis(ingress.board.view.borrow().state.callers.idle_ms);
    let peeked = tokio::select! {
        peeked = stream.peek(&mut first) => peeked.unwrap_or_default(),
        () = first_awaited(&mut closing) => return,
        () = sleep(idle) => return,
    };
    if &first[..peeked] == HTTP2_PREFACE {
        if let Err(error) = http2::serve(ingress, stream, closing).await {
            log::debug!(error:% = error; "caller_connection_ended");
        }
    } else if let Err(error) = http1::serve(ingress, stream, closing).await {
        log::debug!(error:% = error; "caller_connection_ended");
    }
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}
