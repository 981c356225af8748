//! What is in force at a gate.

use note::{Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State};
use types::{Boot, Rate, Revision};

use super::carry::in_force;

fn rate(value: f64) -> Rate {
    Rate::new(value).expect("a rate")
}

#[test]
fn a_cold_backend_server_may_be_sent_as_many_times_its_rate_as_settings_say() {
    let address = "127.0.0.1:9000".parse().expect("an address");
    let server = Server {
        id: "server".parse().expect("a name"),
        service: "draws".parse().expect("a name"),
        zone: "nadi".parse().expect("a name"),
        host: "host".parse().expect("a name"),
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
            beat: 1,
        }],
        ..Listing::default()
    };
    let orders = OperatorConfig {
        services: vec![service],
        ..OperatorConfig::default()
    };
    let state = State::assemble(&listing, &orders, Revision(1));
    let found = in_force(&state, &server, 1.5).expect("a service");
    assert_eq!(found.limits.cold_rate, rate(37.5));
}
