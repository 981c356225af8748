//! Which route a request takes, and how its parts share the requests.

use std::collections::BTreeMap;

use note::{Entry, HostRoute, State, WeightedService};
use route::Directory;
use types::{Revision, ServiceId};

fn route(id: &str, host: &str, path: &str, parts: &[(&str, u32)]) -> HostRoute {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: service.parse().expect("a name"),
        weight: *weight,
    };
    HostRoute {
        id: id.parse().expect("a name"),
        host: host.into(),
        path: path.into(),
        parts: parts.iter().map(part).collect(),
        idempotent: true,
        attempts: 2,
        timeout_ms: 800,
        objective_ms: 200,
        priority: 0,
    }
}

fn directory(routes: Vec<HostRoute>) -> Directory {
    let mut directory = Directory::default();
    directory.set_routes(&state(routes));
    directory
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

fn found(directory: &Directory, host: &str, path: &str) -> Option<String> {
    directory.find(host, path).map(|route| route.id.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let directory = directory(vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/", &[("s", 1)]),
    ]);
    assert_eq!(
        found(&directory, "a.example", "/x/y/z"),
        Some("long".into())
    );
    assert_eq!(
        found(&directory, "A.Example:8080", "/x/z"),
        Some("short".into())
    );
    assert_eq!(
        found(&directory, "b.example", "/x/y/z"),
        Some("other".into())
    );
    assert_eq!(found(&directory, "a.example", "/x"), None);
    assert_eq!(found(&directory, "c.example", "/x/"), None);
}

#[test]
fn parts_get_their_weights_at_any_time_and_over_changes_of_the_view() {
    let routes = vec![route(
        "r",
        "a.example",
        "/",
        &[("big", 90), ("small", 10), ("none", 0)],
    )];
    let mut directory = directory(routes.clone());
    let mut counts: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for request in 1..=1_000_u32 {
        if request % 7 == 0 {
            directory.set_routes(&state(routes.clone()));
        }
        let route = directory.find("a.example", "/x").expect("a route");
        *counts
            .entry(directory.pick(&route).expect("a part"))
            .or_default() += 1;
        let small = counts
            .get(&"small".parse().expect("a name"))
            .copied()
            .unwrap_or_default();
        assert!(small.abs_diff(request / 10) <= 1, "{small} of {request}");
    }
    assert_eq!(
        counts.len(),
        2,
        "a part without weight gets nothing: {counts:?}"
    );
}
