//! Server selection from load reports, refusals, failures and availability zones.

use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport, Member, PolicyKind};
use types::{Boot, Fingerprint, Moment, Refusal, ServerId, Span, ZoneId};

fn id(index: usize) -> ServerId {
    format!("server-{index}").parse().expect("a valid name")
}

fn zone(local: bool) -> ZoneId {
    let name = if local { "home" } else { "away" };
    name.parse().expect("a valid name")
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(ms)
}

/// A balancer over `servers` backend servers, of which the first `local` are in the ingress's
/// availability zone.
fn balancer(servers: usize, local: usize) -> Balancer {
    let mut balancer = Balancer::new(PolicyKind::TwoChoices.build(), SmallRng::seed_from_u64(1));
    let member = |index| Member {
        id: id(index),
        zone: zone(index < local),
        local: index < local,
        slots: 10,
    };
    balancer.set_members((0..servers).map(member).collect(), Boot(1));
    balancer
}

fn report(load: u32, mean_ms: u64) -> LoadReport {
    LoadReport {
        load,
        allowed: 10,
        mean_latency: Span::from_millis(mean_ms),
        slowdown_percent: 100,
        room_after: Span::default(),
    }
}

/// Number of times that a backend server is selected in 100 selections.
fn share(balancer: &mut Balancer, server: usize, now: Moment) -> usize {
    (0..100)
        .filter(|_| balancer.select(&[], &[], now).map(|s| s.server) == Some(id(server)))
        .count()
}

#[test]
fn a_failing_server_is_avoided_for_longer_with_each_failure() {
    let mut balancer = balancer(2, 2);
    balancer.on_failure(&id(0), at(0));
    assert_eq!(share(&mut balancer, 0, at(10)), 0);
    assert!(
        share(&mut balancer, 0, at(30)) > 0,
        "a single failure is avoided only briefly"
    );
    (0..5).for_each(|_| balancer.on_failure(&id(0), at(30)));
    assert_eq!(
        share(&mut balancer, 0, at(600)),
        0,
        "consecutive failures extend the avoidance"
    );
    balancer.on_success(&id(0));
    assert!(share(&mut balancer, 0, at(2_000)) > 0);
}

#[test]
fn an_avoided_server_is_used_if_no_other_is_available() {
    let mut balancer = balancer(2, 2);
    balancer.on_refused(&id(0), Refusal::Down, Span::default(), at(0));
    let selected = balancer.select(&[id(1)], &[], at(1));
    assert_eq!(selected.map(|s| s.server), Some(id(0)));
    assert_eq!(balancer.select(&[id(0), id(1)], &[], at(1)), None);
}

#[test]
fn a_slow_server_is_avoided_until_its_report_is_outdated() {
    let mut balancer = balancer(2, 2);
    (0..100).for_each(|_| balancer.on_report(&id(1), report(0, 10), at(0)));
    balancer.on_report(&id(0), report(0, 40), at(0));
    assert_eq!(share(&mut balancer, 0, at(1)), 0);
    balancer.on_report(&id(1), report(3, 10), at(3_000));
    assert!(share(&mut balancer, 0, at(3_000)) > 0);
}

#[test]
fn local_servers_are_preferred_until_they_are_overloaded() {
    let mut balancer = balancer(3, 1);
    for server in 0..3 {
        (0..100).for_each(|_| balancer.on_report(&id(server), report(0, 10), at(0)));
    }
    assert_eq!(share(&mut balancer, 0, at(1)), 100);
    (0..20).for_each(|_| balancer.on_sent(&id(0)));
    assert_eq!(share(&mut balancer, 0, at(1)), 0);
}

#[test]
fn a_bounded_subset_of_members_is_used_and_their_state_is_kept() {
    let mut balancer = balancer(200, 4);
    assert!(balancer.servers().len() <= 12);
    assert_eq!(
        balancer.servers().iter().filter(|s| s.member.local).count(),
        4
    );
    balancer.on_sent(&id(0));
    let member = |index| Member {
        id: id(index),
        zone: zone(index < 4),
        local: index < 4,
        slots: 10,
    };
    balancer.set_members((0..100).map(member).collect(), Boot(1));
    let first = balancer
        .servers()
        .iter()
        .find(|s| s.member.id == id(0))
        .expect("local servers are in use");
    assert_eq!(first.open_attempts, 1);
}

#[test]
fn a_server_that_refuses_a_request_on_trial_elsewhere_is_not_avoided() {
    let mut balancer = balancer(2, 2);
    balancer.on_refused(&id(0), Refusal::Quarantined, Span::default(), at(0));
    assert!(share(&mut balancer, 0, at(10)) > 0);
}

#[test]
fn a_server_without_room_under_its_limit_is_selected_last() {
    let mut balancer = balancer(2, 2);
    let limited = LoadReport {
        room_after: Span::from_millis(800),
        ..report(0, 10)
    };
    balancer.on_report(&id(0), limited, at(0));
    balancer.on_report(&id(1), report(5, 10), at(0));
    assert_eq!(share(&mut balancer, 0, at(10)), 0);
    assert!(share(&mut balancer, 0, at(900)) > 0, "there is room again");
}

#[test]
fn all_ingresses_send_a_suspect_request_to_the_same_server() {
    let request = Fingerprint(27);
    let chosen = |balancer: &Balancer, tried: &[ServerId], ended: &[ServerId]| {
        let selection = balancer.select_for_trial(request, tried, ended);
        selection.map(|selection| selection.server)
    };
    let (first, second) = (balancer(5, 2), balancer(5, 4));
    let server = chosen(&first, &[], &[]).expect("a server");
    assert_eq!(chosen(&second, &[], &[]), Some(server.clone()));
    let ended = [server.clone()];
    let next = chosen(&first, &[], &ended);
    assert_ne!(next, Some(server.clone()), "it has ended");
    assert_eq!(chosen(&second, &ended, &[]), next, "it was tried");
    let all: Vec<ServerId> = (0..5).map(id).collect();
    assert_eq!(chosen(&first, &[], &all), Some(server), "no other is left");
}

#[test]
fn ingresses_that_use_or_avoid_different_servers_choose_the_same_one_for_a_trial() {
    let member = |local: fn(usize) -> bool| {
        move |index| Member {
            id: id(index),
            zone: zone(local(index)),
            local: local(index),
            slots: 10,
        }
    };
    for request in 0..20 {
        let request = Fingerprint(request);
        let (mut first, mut second) = (balancer(1, 2), balancer(1, 4));
        first.set_members((0..30).map(member(|i| i < 12)).collect(), Boot(1));
        second.set_members((0..30).map(member(|i| i >= 12)).collect(), Boot(2));
        for index in 0..10 {
            first.on_refused(&id(index), Refusal::Down, Span::default(), at(0));
        }
        let chosen = |balancer: &Balancer| {
            let selection = balancer.select_for_trial(request, &[], &[]);
            selection.map(|selection| selection.server)
        };
        assert_eq!(chosen(&first), chosen(&second));
    }
}
