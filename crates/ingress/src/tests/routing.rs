//! Which configuration a request is judged by.

use std::sync::Arc;

use board::Phase;
use dialect::Rejection;
use note::{CallerLimits, HostRoute};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
};
use tonic::Request;
use types::{Size, Span};
use wire::peer::{View, peer_server::Peer};

use super::{
    super::{Ingress, serve},
    fixtures::{
        SoundBackend, ingress, limited_view, now, publish, publish_route, route, routed,
        start_node, view,
    },
};

/// Requests of withdrawn routes ran, by the first segment of their path, once operators had withdrawn all routes.
#[tokio::test]
async fn a_registry_without_routes_names_no_service_by_path() {
    let ingress = ingress();
    publish(&ingress.board, view(2, "rinks", Vec::new()));
    let judged = routed(&ingress, "PUT", "/rinks/1");
    assert_eq!(judged.map(|call| call.service), Err(Rejection::NoRoute));
}

#[tokio::test]
async fn a_registry_with_routes_serves_them_alone() {
    let ingress = ingress();
    let routes = vec![route("r-draws", "/draws/", "draws")];
    publish(&ingress.board, view(2, "draws", routes));
    let judged = |target| routed(&ingress, "PUT", target).map(|call| call.idempotent);
    assert_eq!(
        judged("/draws/1"),
        Ok(false),
        "as the route says, not the method"
    );
    assert_eq!(judged("/rinks/1"), Err(Rejection::NoRoute));
}

#[tokio::test]
async fn a_node_that_has_just_become_ready_knows_its_routes() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    let judged = routed(&ingress, "PUT", "/m/1").map(|call| call.service.to_string());
    assert_eq!(judged, Ok("rinks".to_owned()));
}

#[tokio::test]
async fn a_request_between_a_view_and_its_watchers_is_routed_by_the_view_alone() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    tokio::spawn(Arc::clone(&ingress).watch_board());
    yield_now().await;
    publish_route(&ingress, 3, "/m/", "draws");
    let judged = routed(&ingress, "PUT", "/m/1").map(|call| call.service.to_string());
    assert_eq!(judged, Ok("draws".to_owned()));
}

#[tokio::test]
async fn a_new_service_has_its_servers_with_its_first_request() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    let _ = routed(&ingress, "PUT", "/m/1");
    let known = ingress.services.dump(now(&ingress));
    let servers: Vec<usize> = known.values().map(Vec::len).collect();
    assert_eq!(servers, [1]);
}

#[tokio::test]
async fn a_call_whose_service_is_dropped_before_it_runs_goes_to_the_new_one() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    tokio::spawn(Arc::clone(&ingress).watch_board());
    yield_now().await;
    let judged = routed(&ingress, "PUT", "/m/1");
    assert!(judged.is_ok());
    publish_route(&ingress, 3, "/m/", "draws");
    let call = "call".parse().expect("a valid call id");
    let response = ingress.process(&call, judged, now(&ingress)).await;
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn a_call_whose_route_is_dropped_before_it_runs_is_not_found() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    let judged = routed(&ingress, "PUT", "/m/1");
    assert!(judged.is_ok());
    publish_route(&ingress, 3, "/k/", "draws");
    let call = "call".parse().expect("a valid call id");
    let response = ingress.process(&call, judged, now(&ingress)).await;
    assert_eq!(response.status(), 404);
}

#[tokio::test]
async fn a_body_is_limited_by_the_view_that_its_request_was_routed_by() {
    let ingress = ingress();
    let routes = || vec![route("r", "/m/", "rinks")];
    let callers = |body| CallerLimits {
        body: Size(body),
        ..CallerLimits::default()
    };
    publish(
        &ingress.board,
        limited_view(2, "rinks", routes(), callers(900)),
    );
    let judged = routed(&ingress, "PUT", "/m/1");
    publish(
        &ingress.board,
        limited_view(3, "rinks", routes(), callers(100)),
    );
    let next = routed(&ingress, "PUT", "/m/1");
    let limits = [judged, next].map(|call| call.map(|call| call.max_body));
    assert_eq!(limits, [Ok(900), Ok(100)]);
}

/// Nodes that were stopped before they knew a configuration answered 404 until they exited.
#[tokio::test]
async fn a_node_that_is_stopped_before_it_has_joined_judges_no_request() {
    let ingress = ingress();
    ingress.board.joined.send_replace(false);
    let phases = [
        Phase::Joining,
        Phase::Leaving,
        Phase::Stopping,
        Phase::Exiting,
    ];
    for phase in phases {
        ingress.board.phase.send_replace(phase);
        let judged = routed(&ingress, "PUT", "/m/1").map(|_| ());
        assert_eq!(judged, Err(Rejection::Joining), "{phase:?}");
    }
    ingress.board.phase.send_replace(Phase::Leaving);
    publish_route(&ingress, 2, "/m/", "rinks");
    assert!(!ingress.board.join(), "a node that stops isn't ready");
    assert_eq!(ingress.board.phase(), Phase::Leaving);
    let judged = |target| routed(&ingress, "PUT", target).map(|call| call.service.to_string());
    assert_eq!(judged("/m/1"), Ok("rinks".to_owned()));
    assert_eq!(judged("/other/1"), Err(Rejection::NoRoute));
}

/// Status of the answer to a request with this target and host, and so many bytes of another header.
async fn status_of(ingress: &Arc<Ingress>, target: &str, host: &str, bytes: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (closing, is_closing) = watch::channel(false);
    let serving = tokio::spawn(serve(Arc::clone(ingress), listener, is_closing));
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let padding = "x".repeat(bytes);
    let head = format!(
        "GET {target} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\nx: {padding}\r\n\r\n"
    );
    let mut answer = Vec::new();
    let _ = caller.write_all(head.as_bytes()).await;
    let _ = caller.read_to_end(&mut answer).await;
    drop((closing, caller));
    serving.abort();
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Without a configuration, the limits on requests aren't known either.
#[tokio::test]
async fn a_node_that_has_not_joined_finds_no_head_too_large() {
    let ingress = ingress();
    let bytes = CallerLimits::default().head.0 as usize + 1;
    ingress.board.joined.send_replace(false);
    for bytes in [1, bytes] {
        let status = status_of(&ingress, "/m/1", "bowls.example", bytes).await;
        assert_eq!(status, "503");
    }
    ingress.board.joined.send_replace(true);
    let status = status_of(&ingress, "/m/1", "bowls.example", bytes).await;
    assert_eq!(status, "431");
}

/// Requests for a host with other characters than those of ASCII got 404.
#[tokio::test]
async fn a_host_and_a_path_beyond_ascii_or_with_a_port_are_routed() {
    let ingress = ingress();
    for (host, path) in [
        ("\u{e9}.example", "/m/"),
        ("bowls.example", "/\u{e9}/"),
        ("bowls.example:8080", "/m/"),
    ] {
        let revision = ingress.board.view().revision.next();
        let route = HostRoute {
            host: host.into(),
            ..route("r", path, "rinks")
        };
        publish(&ingress.board, view(revision.0, "rinks", vec![route]));
        let status = status_of(&ingress, &format!("{path}1"), host, 1).await;
        assert_eq!(status, "200", "{host} {path}");
    }
}

/// Peers took a node that was stopped before it had joined for one whose view is current.
#[tokio::test]
async fn a_node_that_has_not_joined_tells_its_peers_so_in_each_phase() {
    let (ingress, peer_service) = start_node(Arc::new(SoundBackend));
    let asked = || View {
        node: "127.0.0.1:9".to_owned(),
        ..View::default()
    };
    for has_joined in [false, true] {
        ingress.board.joined.send_replace(has_joined);
        for phase in [Phase::Leaving, Phase::Stopping, Phase::Exiting] {
            ingress.board.phase.send_replace(phase);
            let told = peer_service.compare(Request::new(asked())).await;
            let told = told.expect("a reply").into_inner();
            assert_eq!(told.ready, has_joined, "{phase:?}");
        }
    }
}

/// Calls taken after SIGTERM kept deadlines beyond the exit, and were cut there.
#[tokio::test]
async fn a_call_that_a_leaving_node_takes_ends_before_the_node_exits() {
    let ingress = ingress();
    publish_route(&ingress, 2, "/m/", "rinks");
    let taken_before = routed(&ingress, "PUT", "/m/1").map(|call| call.deadline);
    let stop_at = now(&ingress) + Span::from_millis(600);
    ingress.board.stop_at.send_replace(stop_at);
    ingress.board.phase.send_replace(Phase::Leaving);
    let taken_after = routed(&ingress, "PUT", "/m/1").map(|call| call.deadline);
    assert!(
        taken_before.is_ok_and(|deadline| deadline > stop_at),
        "its deadline stays"
    );
    assert!(taken_after.is_ok_and(|deadline| deadline < stop_at));
}
