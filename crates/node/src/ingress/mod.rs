//! The callers' side: takes requests over HTTP/1.1 and HTTP/2 and answers each exactly once.
//!
//! A request is read whole ([`accept`]), carried through its attempts ([`drive`]) with what is known
//! of its service ([`desk`]), and answered ([`answer`]). If the caller goes away the handler's future
//! is dropped, which cancels whatever is open.

mod accept;
mod answer;
mod desk;
mod drive;

use std::sync::Arc;

use axum::{
    Router,
    extract::{Request, State},
    response::Response,
};
use board::Board;

use crate::{
    meter::Meter,
    peers::{Peer, Peers},
};

pub(crate) use desk::{Desks, DumpedPeer};

/// What the callers' side shares.
pub(crate) struct Ingress {
    pub(crate) board: Arc<Board>,
    pub(crate) peers: Peers,
    pub(crate) desks: Desks,
    pub(crate) meter: Arc<Meter>,
    pub(crate) spreader: kameo::actor::ActorRef<crate::spreader::Spreader>,
}

impl Ingress {
    /// Follows the view in force until the board is gone.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut view = self.board.view.subscribe();
        let mut hosts = self.board.hosts.subscribe();
        loop {
            self.desks.refresh(&self.board);
            let members = self.members();
            self.peers.retain(&members);
            let changed = tokio::select! {
                changed = view.changed() => changed,
                changed = hosts.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn members(&self) -> Vec<std::net::SocketAddr> {
        self.board
            .view()
            .state
            .servers
            .values()
            .map(|e| e.item.node)
            .collect()
    }

    fn peer(&self, server: &types::ServerId) -> Option<Arc<Peer>> {
        let view = self.board.view();
        view.state.server(server).map(|s| self.peers.get(s.node))
    }
}

/// The routes for callers: everything is a call.
pub(crate) fn router(ingress: Arc<Ingress>) -> Router {
    Router::new().fallback(handle).with_state(ingress)
}

async fn handle(State(ingress): State<Arc<Ingress>>, request: Request) -> Response {
    let id = accept::call_id(request.headers());
    let began = ingress.board.clock.now();
    let ending = match accept::accept(&ingress.board, id, request).await {
        Ok(accepted) => drive::drive(&ingress, accepted).await,
        Err(rejection) => Err(rejection),
    };
    let took = ingress.board.clock.now().since(began);
    let kind = answer::kind(&ending);
    ingress.meter.call(kind, took);
    let level = answer::level(&ending);
    log::log!(level, call:% = id, ending = kind, took_us = took.0; "call_ended");
    answer::respond(&ingress.board, id, ending)
}
