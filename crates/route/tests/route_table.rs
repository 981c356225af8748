//! Route lookup by host and path, and the weighted choice among a route's services.

use std::collections::BTreeMap;

use note::{Entry, HostRoute, State, WeightedService};
use route::{RouteTable, service_for_trial};
use types::{Fingerprint, Revision, ServiceId};

fn route(id: &str, host: &str, path: &str, parts: &[(&str, u32)]) -> HostRoute {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: service.parse().expect("a valid name"),
        weight: *weight,
    };
    HostRoute {
        id: id.parse().expect("a valid name"),
        host: host.into(),
        path: path.into(),
        parts: parts.iter().map(part).collect(),
        idempotent: true,
        attempts: 2,
        timeout_ms: 800,
        objective_ms: 200,
        priority: 0,
        open: false,
        bulk: false,
    }
}

fn route_table(routes: Vec<HostRoute>) -> RouteTable {
    let mut table = RouteTable::default();
    table.set_routes(&state(routes));
    table
}

fn state(routes: Vec<HostRoute>) -> State {
    let entry = |item: HostRoute| {
        let changed = Revision(1);
        (item.id.clone(), Entry { item, changed })
    };
    State {
        routes: routes.into_iter().map(entry).collect(),
        ..State::default()
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.id.to_string())
}

#[test]
fn the_longest_path_prefix_of_the_host_wins() {
    let table = route_table(vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/", &[("s", 1)]),
    ]);
    assert_eq!(found(&table, "a.example", "/x/y/z"), Some("long".into()));
    assert_eq!(
        found(&table, "A.Example:8080", "/x/z"),
        Some("short".into())
    );
    assert_eq!(found(&table, "b.example", "/x/y/z"), Some("other".into()));
    assert_eq!(found(&table, "a.example", "/x"), None);
    assert_eq!(found(&table, "c.example", "/x/"), None);
}

#[test]
fn services_get_their_weights_at_any_time_and_across_view_changes() {
    let routes = vec![route(
        "r",
        "a.example",
        "/",
        &[("big", 90), ("small", 10), ("none", 0)],
    )];
    let mut table = route_table(routes.clone());
    let mut counts: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for request in 1..=1_000_u32 {
        if request % 7 == 0 {
            table.set_routes(&state(routes.clone()));
        }
        let route = table.find("a.example", "/x").expect("a route matches");
        *counts
            .entry(table.pick_service(&route).expect("a service has a weight"))
            .or_default() += 1;
        let small = counts
            .get(&"small".parse().expect("a valid name"))
            .copied()
            .unwrap_or_default();
        assert!(
            small.abs_diff(request / 10) <= 1,
            "{small} of {request} requests went to `small`"
        );
    }
    assert_eq!(
        counts.len(),
        2,
        "a service with weight 0 got requests: {counts:?}"
    );
}

#[test]
fn a_suspect_goes_to_one_service_of_its_route() {
    let parts = [("s", 3), ("t", 1), ("unused", 0)];
    let reversed: Vec<_> = parts.iter().rev().copied().collect();
    for request in 0..20 {
        let request = Fingerprint(request);
        let chosen = |parts: &[(&str, u32)]| {
            let route = route("r", "a.example", "/x/", parts);
            service_for_trial(&route, request).map(ServiceId::to_string)
        };
        assert_eq!(chosen(&parts), chosen(&reversed));
        assert_ne!(chosen(&parts), Some("unused".into()));
    }
}

/// Requests for such a host got 404, as their port was dropped before the look-up.
#[test]
fn a_host_with_a_port_is_that_of_requests_with_this_port() {
    let table = route_table(vec![
        route("plain", "a.example", "/", &[("s", 1)]),
        route("port", "a.example:8080", "/", &[("s", 1)]),
        route("only", "B.example:80", "/", &[("s", 1)]),
        route("address", "[::1]:80", "/", &[("s", 1)]),
        route("accent", "\u{e9}.example", "/\u{e9}/", &[("s", 1)]),
    ]);
    for (host, path, id) in [
        ("a.example", "/", Some("plain")),
        ("a.example:80", "/", Some("plain")),
        ("A.example:8080", "/", Some("port")),
        ("b.Example:80", "/", Some("only")),
        ("b.example:81", "/", None),
        ("b.example", "/", None),
        ("[::1]:80", "/", Some("address")),
        ("\u{e9}.example:80", "/\u{e9}/x", Some("accent")),
    ] {
        assert_eq!(found(&table, host, path).as_deref(), id, "{host}");
    }
}
