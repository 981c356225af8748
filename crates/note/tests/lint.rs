//! Doubts about a configuration, and what differs between two.

use std::{collections::BTreeMap, net::SocketAddr};

use note::{
    Addressing, Allowance, Change, Doubt, Entry, HostRoute, KeyHash, Limits, Server, ServerStatus,
    Service, State, Team, WeightedService, diff, lint,
};
use types::{Boot, Rate, Revision, ServerId, ServiceId, Slots};

fn entry<T>(item: T) -> Entry<T> {
    Entry {
        item,
        changed: Revision(1),
    }
}

fn service(id: &str) -> (ServiceId, Entry<Service>) {
    let id: ServiceId = id.parse().expect("a valid name");
    let item = Service {
        id: id.clone(),
        limits: Limits {
            slots: Slots(4),
            ..Limits::default()
        },
        routes: Vec::new(),
        sheds: Vec::new(),
    };
    (id, entry(item))
}

/// A state with one route to the service `draws`, one team, and nothing doubtful.
fn sound() -> State {
    let part = |service: &str, weight| WeightedService {
        service: service.parse().expect("a valid name"),
        weight,
    };
    let route = HostRoute {
        id: "r-1".parse().expect("a valid name"),
        host: "a.example".into(),
        path: "/a/".into(),
        parts: vec![part("draws", 1)],
        idempotent: true,
        attempts: 2,
        timeout_ms: 800,
        objective_ms: 200,
        priority: 0,
        open: false,
        bulk: false,
    };
    let team = Team {
        id: "north".parse().expect("a valid name"),
        keys: [KeyHash::of(b"key")].into(),
        allowance: Some(Allowance {
            rate: Rate::new(5.0).expect("a valid rate"),
            burst: 5,
        }),
        priority: None,
    };
    State {
        services: BTreeMap::from([service("draws")]),
        routes: BTreeMap::from([(route.id.clone(), entry(route))]),
        teams: BTreeMap::from([(team.id.clone(), entry(team))]),
        addressing: Addressing::Routes,
        ..State::default()
    }
}

/// The services of [`sound`] with this many servers of `draws`.
fn fleet(servers: u8) -> State {
    let server = |number: u8| {
        let id: ServerId = format!("s-{number}").parse().expect("a valid name");
        let address = SocketAddr::from(([127, 0, 0, number], 80));
        let item = Server {
            id: id.clone(),
            service: "draws".parse().expect("a valid name"),
            zone: "a".parse().expect("a valid name"),
            host: format!("h-{number}").parse().expect("a valid name"),
            node: address,
            address,
            status: ServerStatus::In,
            boot: Boot(1),
            slots: None,
        };
        (id, entry(item))
    };
    State {
        servers: (1..=servers).map(server).collect(),
        ..sound()
    }
}

fn doubts(state: &State, fleet: Option<&State>) -> Vec<Doubt> {
    let findings = lint(state, fleet);
    findings.into_iter().map(|finding| finding.doubt).collect()
}

fn route(state: &mut State) -> &mut HostRoute {
    &mut state.routes.values_mut().next().expect("a route").item
}

fn team(state: &mut State) -> &mut Team {
    &mut state.teams.values_mut().next().expect("a team").item
}

#[test]
fn a_sound_configuration_has_no_doubts() {
    assert_eq!(doubts(&sound(), None), []);
    assert_eq!(doubts(&sound(), Some(&fleet(2))), []);
}

#[test]
fn entries_that_can_never_match_are_found() {
    let mut state = sound();
    route(&mut state).host = "a.example/80".into();
    route(&mut state).path = "/a?b/".into();
    team(&mut state).keys.clear();
    let expected = [
        Doubt::HostNeverMatches,
        Doubt::PathNeverMatches,
        Doubt::KeyWithoutTeams,
        Doubt::NoKey,
    ];
    assert_eq!(doubts(&state, None), expected);
    let mut state = sound();
    state.services.extend([service("fees")]);
    let mut unused = route(&mut state).parts[0].clone();
    unused.service = "fees".parse().expect("a valid name");
    assert_eq!(doubts(&state, None), [Doubt::NoRoute]);
    unused.weight = 0;
    route(&mut state).parts.push(unused);
    assert_eq!(doubts(&state, None), [Doubt::NoWeight]);
    assert_eq!(
        doubts(&state, Some(&fleet(2))),
        [Doubt::NoWeight, Doubt::NoServer]
    );
}

#[test]
fn only_hosts_and_paths_that_no_request_can_have_are_doubtful() {
    for host in [
        "a.example:80",
        "[::1]",
        "\u{e9}.example",
        "A.Example",
        "a_b",
    ] {
        let mut state = sound();
        route(&mut state).host = host.into();
        assert_eq!(doubts(&state, None), [], "{host}");
    }
    for host in [
        "", "a b", " a", "a\n", "a/b", "a?b", "a#b", "u@a", "a\u{a0}",
    ] {
        let mut state = sound();
        route(&mut state).host = host.into();
        assert_eq!(doubts(&state, None), [Doubt::HostNeverMatches], "{host:?}");
    }
    for path in ["/\u{e9}/", "/a_b/", "/A:b/"] {
        let mut state = sound();
        route(&mut state).path = path.into();
        assert_eq!(doubts(&state, None), [], "{path}");
    }
    for path in ["/a b/", "/a\n/", "/a#/", "/a?/"] {
        let mut state = sound();
        route(&mut state).path = path.into();
        assert_eq!(doubts(&state, None), [Doubt::PathNeverMatches], "{path:?}");
    }
}

#[test]
fn limits_that_contradict_each_other_or_the_fleet_are_found() {
    let mut state = sound();
    route(&mut state).objective_ms = 900;
    let late = Doubt::ObjectiveAfterTimeout {
        objective_ms: 900,
        timeout_ms: 800,
    };
    assert_eq!(doubts(&state, None), [late]);
    let mut state = sound();
    team(&mut state).allowance.as_mut().expect("one").burst = 9;
    let too_many = Doubt::TooManyAttempts {
        attempts: 2,
        servers: 1,
    };
    let beyond = Doubt::BurstBeyondFleet { burst: 9, slots: 4 };
    assert_eq!(doubts(&state, Some(&fleet(1))), [too_many, beyond]);
    team(&mut state).allowance.as_mut().expect("one").burst = 0;
    assert_eq!(doubts(&state, None), [Doubt::NoBurst]);
}

#[test]
fn differences_name_each_field_and_hide_keys() {
    let (before, mut after) = (sound(), sound());
    assert_eq!(diff(&before, &after), []);
    route(&mut after).timeout_ms = 900;
    after.services.extend([service("fees")]);
    let secret = KeyHash::of(b"other");
    team(&mut after).keys.insert(secret);
    after.callers.idle_ms = 1;
    let found = diff(&before, &after);
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    let expected = [
        "routes[r-1].timeout_ms: 800 -> 900",
        "services[fees]: added",
        "teams[north].keys: ... -> ...",
        "limits.idle_ms: 60000 -> 1",
    ];
    assert_eq!(lines, expected);
    let back = diff(&after, &before);
    assert!(back.iter().any(|d| d.change == Change::Removed));
}
