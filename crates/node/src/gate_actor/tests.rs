//! Limits that the gate actor applies to its backend server, and what it takes as evidence when that ends.

use std::sync::Arc;

use board::{Board, Identity};
use bytes::Bytes;
use fleet::Verdict;
use note::{Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State};
use types::{AttemptId, Boot, Header, Rate, Refusal, Revision, Seq, ServerId, SessionId, Span};

use super::{evidence::Evidence, state::effective_service};
use crate::{backend::ServerRequest, fingerprint::RequestIdentity};

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

fn server() -> ServerId {
    "server".parse().expect("a valid id")
}

fn board() -> Arc<Board> {
    Board::new(Identity {
        host: "host".parse().expect("a valid id"),
        zone: "zone".parse().expect("a valid id"),
        node: "127.0.0.1:1".parse().expect("a valid address"),
        boot: Boot(2),
    })
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

#[test]
fn a_request_that_the_server_has_just_answered_is_no_suspect_when_it_ends() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/popular"), false, now);
    evidence.record_answer(attempt(1), &board, now);
    let later = now + Span::from_millis(10);
    evidence.record_start(attempt(2), request("/popular"), true, later);
    evidence.record_start(attempt(3), request("/rare"), false, later);
    let broken = later + Span::from_millis(10);
    evidence.record_broken(attempt(2), broken);
    evidence.record_broken(attempt(3), broken);
    evidence.record_ended(&server(), &board, broken);
    let popular = request("/popular").verdict(&board, broken);
    assert_eq!(popular, Verdict::Clear);
    let rare = request("/rare").verdict(&board, broken);
    assert_eq!(rare, Verdict::Suspect);
}

#[test]
fn broken_connections_are_no_evidence_if_the_server_answers_afterwards() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), false, now);
    evidence.record_broken(attempt(1), now);
    evidence.record_alive(now + Span::from_millis(1));
    evidence.record_ended(&server(), &board, now + Span::from_millis(20));
    let verdict = request("/rare").verdict(&board, now + Span::from_millis(20));
    assert_eq!(verdict, Verdict::Clear);
}

#[test]
fn requests_of_different_callers_are_not_equal() {
    let identity = |caller| RequestIdentity::new(&server_request("/p", Some(caller)));
    assert_ne!(
        identity("fees").fingerprint(),
        identity("prizes").fingerprint()
    );
}

#[test]
fn a_request_is_the_same_at_each_node_that_takes_it() {
    let identity = |host: &'static str| {
        let mut request = server_request("/p", Some("fees"));
        request.headers.push(Header {
            name: "host".into(),
            value: Bytes::from_static(host.as_bytes()),
        });
        RequestIdentity::new(&request).fingerprint()
    };
    assert_eq!(identity("127.0.0.1:80"), identity("[::1]:81"));
    assert_eq!(identity("a.example"), identity("A.example:80"));
    assert_ne!(identity("a.example"), identity("b.example"));
}

#[test]
fn a_suspect_waits_until_it_is_known_whether_the_server_ended_under_an_equal_one() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), false, now);
    evidence.record_broken(attempt(1), now);
    evidence.record_ended(&server(), &board, now);
    evidence.record_start(attempt(2), request("/rare"), true, now);
    evidence.record_broken(attempt(2), now);
    let refusal = evidence.refusal(&request("/rare"), true, &board, now);
    assert_eq!(refusal, Some(Refusal::Quarantined));
}

#[test]
fn a_server_runs_one_suspect_at_a_time() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    for (seq, path) in [(1, "/rare"), (2, "/other")] {
        evidence.record_start(attempt(seq), request(path), false, now);
        evidence.record_broken(attempt(seq), now);
    }
    evidence.record_ended(&server(), &board, now);
    evidence.record_start(attempt(3), request("/rare"), true, now);
    let refusal = evidence.refusal(&request("/other"), true, &board, now);
    assert_eq!(refusal, Some(Refusal::Quarantined));
}

#[test]
fn a_suspect_runs_only_where_its_ingress_has_its_trial() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), false, now);
    evidence.record_broken(attempt(1), now);
    evidence.record_ended(&server(), &board, now);
    let refusal = |trial| evidence.refusal(&request("/rare"), trial, &board, now);
    assert_eq!(refusal(false), Some(Refusal::Quarantined));
    assert_eq!(refusal(true), None);
}

#[test]
fn a_trial_that_broke_is_evidence_if_the_server_is_silent_afterwards() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), true, now);
    evidence.record_start(attempt(2), request("/other"), false, now);
    evidence.record_broken(attempt(1), now);
    evidence.record_broken(attempt(2), now);
    evidence.record_silent(&server(), now, &board, now);
    let verdict = |path| request(path).verdict(&board, now);
    assert!(matches!(verdict("/rare"), Verdict::Held(_)));
    assert_eq!(verdict("/other"), Verdict::Clear, "it may be overloaded");
}

#[test]
fn a_trial_that_broke_is_evidence_if_nothing_is_heard_of_the_server() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), true, now);
    evidence.record_broken(attempt(1), now);
    let later = now + Span::from_millis(2_000);
    assert_eq!(evidence.conclude_trials(&server(), &board, later), 1);
    let verdict = request("/rare").verdict(&board, later);
    assert!(matches!(verdict, Verdict::Held(_)));
}

#[test]
fn a_trial_whose_caller_left_is_evidence_unless_the_server_lives() {
    let board = board();
    let mut evidence = Evidence::default();
    let now = board.clock.now();
    evidence.record_start(attempt(1), request("/rare"), true, now);
    assert!(evidence.record_broken(attempt(1), now), "it was on trial");
    evidence.record_alive(now + Span::from_millis(1));
    let later = now + Span::from_millis(2_000);
    assert_eq!(evidence.conclude_trials(&server(), &board, later), 0);
    evidence.record_start(attempt(2), request("/rare"), true, later);
    evidence.record_broken(attempt(2), later);
    evidence.record_ended(&server(), &board, later);
    let verdict = request("/rare").verdict(&board, later);
    assert!(matches!(verdict, Verdict::Held(_)));
}
