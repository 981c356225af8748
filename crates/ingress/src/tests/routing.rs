//! Which configuration a request is judged by.

use std::sync::Arc;

use board::Phase;
use dialect::Rejection;
use note::CallerLimits;
use tokio::task::yield_now;
use types::{Size, Span};

use super::fixtures::{ingress, limited_view, now, publish, publish_route, route, routed, view};

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
