//! Requests of teams: keys, the headers of backend servers, and the lease on keys.

use std::sync::Arc;

use axum::http::{HeaderMap, HeaderValue};
use dialect::Rejection;
use fleet::KeyLease;
use note::{Entry, HostRoute, KeyHash, Team, View};
use types::{Revision, Span};

use super::{
    super::{
        Ingress,
        routing::{RequestHead, RoutedCall, route_call},
    },
    fixtures::{ingress, now, publish, route, view},
};

const KEY: &str = "Bearer sunfish-9-lantern";

/// The view of [`view`] with a team that holds these keys.
fn team_view(revision: u64, routes: Vec<HostRoute>, keys: &[&str]) -> Arc<View> {
    let mut view = view(revision, "rinks", routes);
    let team = Team {
        id: "club".parse().expect("a valid id"),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        allowance: None,
        priority: Some(3),
    };
    let entry = Entry {
        item: team.clone(),
        changed: Revision(revision),
    };
    let teams = &mut Arc::make_mut(&mut view).state.teams;
    teams.insert(team.id, entry);
    view
}

/// An ingress whose view has a team, a route, and an open route.
fn team_ingress() -> Arc<Ingress> {
    let ingress = ingress();
    let open = HostRoute {
        open: true,
        ..route("r-open", "/open/", "rinks")
    };
    let routes = vec![route("r", "/m/", "rinks"), open];
    publish(&ingress.board, team_view(2, routes, &["sunfish-9-lantern"]));
    ingress
}

fn routed(
    ingress: &Ingress,
    target: &str,
    sent: &[(&'static str, &str)],
) -> Result<RoutedCall, Rejection> {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("bowls.example"));
    for (name, value) in sent {
        headers.append(*name, HeaderValue::from_str(value).expect("a header value"));
    }
    let head = RequestHead {
        method: "PUT".into(),
        target: target.into(),
        headers,
    };
    let call = "call".parse().expect("a valid call id");
    route_call(ingress, &call, &head, now(ingress))
}

/// What the backend server gets under a name.
fn values(call: &RoutedCall, name: &str) -> Vec<Vec<u8>> {
    let headers = call.request.headers.iter().filter(|h| h.name == name);
    headers.map(|h| h.value.to_vec()).collect()
}

#[tokio::test]
async fn a_key_is_replaced_by_the_name_of_its_team() {
    let ingress = team_ingress();
    let sent = [
        ("authorization", KEY),
        ("x-tenant", "other"),
        ("x-tenant", "club"),
        ("accept", "*/*"),
    ];
    let call = routed(&ingress, "/m/1", &sent).expect("a call");
    assert_eq!(call.team.as_ref().map(|team| team.as_str()), Some("club"));
    assert_eq!(call.priority, 3, "the team's, not the route's");
    assert_eq!(values(&call, "x-tenant"), [b"club"]);
    assert_eq!(values(&call, "authorization"), [] as [Vec<u8>; 0]);
    assert_eq!(values(&call, "accept"), [b"*/*"]);
    assert!(!format!("{call:?}").contains("sunfish"));
}

#[tokio::test]
async fn a_request_without_one_known_key_is_rejected() {
    let ingress = team_ingress();
    for sent in [
        &[][..],
        &[("authorization", "Bearer other")],
        &[("authorization", "sunfish-9-lantern")],
        &[("authorization", KEY), ("authorization", KEY)],
        &[("x-tenant", "club")],
        &[("x-team-key", "sunfish-9-lantern")],
    ] {
        let judged = routed(&ingress, "/m/1", sent).map(|call| call.team);
        assert_eq!(judged, Err(Rejection::NoTeam), "{sent:?}");
    }
    let judged = routed(&ingress, "/none/", &[]).map(|call| call.team);
    assert_eq!(judged, Err(Rejection::NoRoute));
}

#[tokio::test]
async fn an_open_route_needs_no_key_and_passes_none_on() {
    let ingress = team_ingress();
    for sent in [&[][..], &[("authorization", KEY), ("x-tenant", "club")]] {
        let call = routed(&ingress, "/open/1", sent).expect("a call");
        assert_eq!((call.team.clone(), call.priority), (None, 0));
        for name in ["x-tenant", "authorization"] {
            assert_eq!(values(&call, name), [] as [Vec<u8>; 0]);
        }
    }
}

#[tokio::test]
async fn without_teams_credentials_are_the_backend_servers_own() {
    let ingress = ingress();
    let routes = vec![route("r", "/m/", "rinks")];
    publish(&ingress.board, view(2, "rinks", routes));
    let sent = [("authorization", KEY), ("x-tenant", "club")];
    let call = routed(&ingress, "/m/1", &sent).expect("a call");
    assert_eq!(values(&call, "authorization"), [KEY.as_bytes()]);
    assert_eq!(values(&call, "x-tenant"), [] as [Vec<u8>; 0]);
}

#[tokio::test]
async fn a_joining_node_judges_no_key() {
    let ingress = team_ingress();
    ingress.board.joined.send_replace(false);
    let judged = routed(&ingress, "/m/1", &[]).map(|call| call.team);
    assert_eq!(judged, Err(Rejection::Joining));
}

#[tokio::test]
async fn keys_are_served_only_while_the_configuration_is_proven() {
    let ingress = team_ingress();
    let mut lease = KeyLease::new(Span::from_millis(2_000));
    let judge = |target, sent: &[_]| routed(&ingress, target, sent).map(|_| ());
    ingress.board.keys.send_replace(Some(lease));
    for key in [KEY, "Bearer other"] {
        let judged = judge("/m/1", &[("authorization", key)]);
        assert_eq!(judged, Err(Rejection::KeysUnproven), "{key}");
    }
    let metrics = ingress.metrics.prometheus_text();
    let counted = metrics
        .lines()
        .filter(|line| line.contains(r#"outcome="keys_unproven""#));
    let counted: Vec<_> = counted.collect();
    assert!(
        matches!(counted[..], [line] if line.contains(r#"team="club""#) && line.ends_with(" 1")),
        "the unknown key is of no team: {counted:?}"
    );
    assert_eq!(judge("/m/1", &[]), Err(Rejection::NoTeam));
    assert_eq!(judge("/open/1", &[]), Ok(()));
    lease.confirm(now(&ingress));
    ingress.board.keys.send_replace(Some(lease));
    assert_eq!(judge("/m/1", &[("authorization", KEY)]), Ok(()));
}

#[tokio::test]
async fn a_call_whose_key_is_withdrawn_before_it_runs_is_rejected() {
    let ingress = team_ingress();
    let call = routed(&ingress, "/m/1", &[("authorization", KEY)]).expect("a call");
    let routes = vec![route("r", "/m/", "rinks")];
    publish(&ingress.board, team_view(3, routes, &["another"]));
    let again = call.route_again(&ingress).map(|call| call.team);
    assert_eq!(again, Err(Rejection::NoTeam));
}

#[tokio::test]
async fn a_call_that_is_routed_again_once_there_are_teams_gets_its_own() {
    let ingress = ingress();
    let routes = || vec![route("r", "/m/", "rinks")];
    publish(&ingress.board, view(2, "rinks", routes()));
    let call = routed(&ingress, "/m/1", &[("authorization", KEY)]).expect("a call");
    publish(
        &ingress.board,
        team_view(3, routes(), &["sunfish-9-lantern"]),
    );
    let again = call.route_again(&ingress).expect("a call");
    assert_eq!(values(&again, "x-tenant"), [b"club"]);
    assert_eq!(values(&again, "authorization"), [] as [Vec<u8>; 0]);
}
