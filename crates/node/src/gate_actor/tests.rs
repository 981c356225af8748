//! Limits that the gate actor applies to its backend server.

use note::{Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State};
use types::{Boot, Rate, Revision};

use super::state::effective_service;

fn rate(value: f64) -> Rate {
    Rate::new(value).expect("a valid rate")
}

#[test]
fn the_cold_rate_is_multiplied_by_the_cold_factor() {
    let address = "127.0.0.1:9000".parse().expect("a valid address");
    let server = Server {
        id: "server".parse().expect("a valid name"),
        service: "draws".parse().expect("a valid name"),
        zone: "nadi".parse().expect("a valid name"),
        host: "host".parse().expect("a valid name"),
        node: address,
        address,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: None,
    };
    let service = Service {
        id: server.service.clone(),
        limits: Limits::with_cold_rate(rate(25.0)),
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
    let state = State::assemble(&listing, &config, Revision(1));
    let effective = effective_service(&state, &server, 1.5).expect("the service exists");
    assert_eq!(effective.limits.cold_rate, rate(37.5));
}
