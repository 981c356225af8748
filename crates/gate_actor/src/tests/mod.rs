//! The gate actor's limits, what it takes as evidence when its backend server ends, and how it hears of that.

mod actor;
mod evidence;
mod malformed;

use std::sync::Arc;

use attempt::{RequestIdentity, ServerRequest};
use bytes::Bytes;
use note::{
    Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State, View,
};
use types::{AttemptId, Boot, Rate, Revision, Seq, ServerId, SessionId, Slots};

use super::state::effective_service;

fn rate(value: f64) -> Rate {
    Rate::new(value).expect("a valid rate")
}

/// The backend server beside the gate, under this id.
fn listed_server(id: &ServerId) -> Server {
    let address = "127.0.0.1:9000".parse().expect("a valid address");
    Server {
        id: id.clone(),
        service: "draws".parse().expect("a valid name"),
        zone: "nadi".parse().expect("a valid name"),
        host: "host".parse().expect("a valid name"),
        node: address,
        address,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: None,
    }
}

fn state(server: &Server, limits: Limits) -> State {
    let service = Service {
        id: server.service.clone(),
        limits,
        routes: Vec::new(),
        sheds: Vec::new(),
    };
    let listing = Listing {
        servers: vec![ListedServer {
            server: server.clone(),
            seq: 1,
        }],
        ..Listing::default()
    };
    let config = OperatorConfig {
        services: vec![service],
        ..OperatorConfig::default()
    };
    State::assemble(&listing, &config, Revision(1))
}

/// A view in which the server has one slot.
fn view(revision: u64, server: &ServerId) -> Arc<View> {
    let limits = Limits {
        slots: Slots(1),
        ..Limits::default()
    };
    Arc::new(View {
        revision: Revision(revision),
        state: state(&listed_server(server), limits),
        ..View::default()
    })
}

#[test]
fn the_cold_rate_is_multiplied_by_the_cold_factor() {
    let server = listed_server(&server());
    let state = state(&server, Limits::with_cold_rate(rate(25.0)));
    let effective = effective_service(&state, &server, 1.5).expect("the service exists");
    assert_eq!(effective.limits.cold_rate, rate(37.5));
}

fn server() -> ServerId {
    "server".parse().expect("a valid id")
}

fn request(path: &str) -> RequestIdentity {
    RequestIdentity::new(&server_request(path, None))
}

fn server_request(path: &str, caller: Option<&str>) -> ServerRequest {
    ServerRequest {
        call: "call".parse().expect("a valid call id"),
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body: Bytes::new(),
        depth: 0,
        is_retry: false,
        caller_service: caller.map(|id| id.parse().expect("a valid id")),
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        boot: Boot(1),
        session: SessionId(1),
        seq: Seq(seq),
    }
}
