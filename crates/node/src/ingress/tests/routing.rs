//! Which configuration a request is judged by.

use dialect::Rejection;

use super::fixtures::{ingress, publish, route, routed, view};

#[tokio::test]
async fn a_registry_without_routes_names_no_service_by_path() {
    let ingress = ingress();
    publish(&ingress.board, view(2, &["rinks"], Vec::new()));
    let judged = routed(&ingress, "PUT", "/rinks/1");
    assert_eq!(judged.map(|call| call.service), Err(Rejection::NoRoute));
}

#[tokio::test]
async fn a_registry_with_routes_serves_them_alone() {
    let ingress = ingress();
    let routes = vec![route("r-draws", "/draws/", "draws")];
    publish(&ingress.board, view(2, &["draws", "rinks"], routes));
    ingress
        .route_table()
        .set_routes(&ingress.board.view().state);
    let judged = |target| routed(&ingress, "PUT", target).map(|call| call.idempotent);
    assert_eq!(
        judged("/draws/1"),
        Ok(false),
        "as the route says, not the method"
    );
    assert_eq!(judged("/rinks/1"), Err(Rejection::NoRoute));
}
