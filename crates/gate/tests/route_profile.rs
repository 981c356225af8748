//! Tests of what a gate learns about routes from the requests that arrive on them.

use std::collections::BTreeMap;

use gate::{Rank, RouteProfiles};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use smol_str::SmolStr;
use types::{ServiceId, Span};

const ROUTE: SmolStr = SmolStr::new_static("r-1");

fn service(index: usize) -> ServiceId {
    format!("s-{index}").parse().expect("a valid identifier")
}

/// Profiles in a fleet with this number of hosts of each service.
fn profiles(hosts: &[usize]) -> RouteProfiles {
    let mut profiles = RouteProfiles::default();
    let hosts: BTreeMap<ServiceId, usize> = hosts
        .iter()
        .enumerate()
        .map(|(i, n)| (service(i), *n))
        .collect();
    profiles.set_hosts(&hosts);
    profiles
}

fn is_nested(profiles: &RouteProfiles) -> bool {
    profiles.refine(&ROUTE, Rank::default()).nested
}

/// Draws the service of a host at random, of those in `origins`.
fn draw_origin(hosts: &[usize], origins: &[usize], rng: &mut SmallRng) -> ServiceId {
    let total: usize = origins.iter().map(|i| hosts[*i]).sum();
    let mut at = rng.random_range(0..total);
    for index in origins {
        if at < hosts[*index] {
            return service(*index);
        }
        at -= hosts[*index];
    }
    unreachable!("the position is below the total")
}

#[test]
fn requests_from_the_hosts_of_some_services_only_are_nested() {
    let hosts = [108, 81, 34, 72];
    for origins in [&[0][..], &[1], &[2], &[3], &[0, 1], &[0, 2]] {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut profiles = profiles(&hosts);
        for _ in 0..200 {
            profiles.observe_origin(&ROUTE, &draw_origin(&hosts, origins, &mut rng));
        }
        assert!(is_nested(&profiles), "from {origins:?}");
    }
}

#[test]
fn requests_from_all_hosts_are_not_nested() {
    for hosts in [vec![5, 4, 4, 4], vec![108, 81, 34, 72], vec![20; 51]] {
        let all: Vec<usize> = (0..hosts.len()).collect();
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut profiles = profiles(&hosts);
            for count in 0..2_000 {
                profiles.observe_origin(&ROUTE, &draw_origin(&hosts, &all, &mut rng));
                assert!(
                    !is_nested(&profiles),
                    "{hosts:?}, seed {seed}, request {count}"
                );
            }
        }
    }
}

#[test]
fn a_few_requests_do_not_make_a_route_nested() {
    let mut profiles = profiles(&[5, 4, 4, 4]);
    for _ in 0..10 {
        profiles.observe_origin(&ROUTE, &service(0));
        assert!(!is_nested(&profiles));
    }
}

#[test]
fn origins_outside_the_fleet_change_nothing() {
    let mut profiles = profiles(&[5, 4]);
    for _ in 0..1_000 {
        profiles.observe_origin(&ROUTE, &service(7));
    }
    assert!(!is_nested(&profiles));
}

#[test]
fn the_service_time_is_known_from_the_first_answer() {
    let mut profiles = profiles(&[1]);
    let offered = Rank {
        service_time: Span::from_millis(50),
        ..Rank::default()
    };
    let service_time = |p: &RouteProfiles| p.refine(&ROUTE, offered).service_time;
    assert_eq!(service_time(&profiles), Span::from_millis(50));
    profiles.record_service_time(&ROUTE, Span::from_millis(300));
    assert_eq!(service_time(&profiles), Span::from_millis(300));
    profiles.record_service_time(&ROUTE, Span::from_millis(100));
    assert_eq!(service_time(&profiles), Span::from_millis(200));
}

#[test]
fn requests_without_a_route_are_ranked_as_offered() {
    let mut profiles = profiles(&[5, 4, 4, 4]);
    let unnamed = SmolStr::default();
    profiles.record_service_time(&unnamed, Span::from_millis(300));
    for _ in 0..200 {
        profiles.observe_origin(&unnamed, &service(0));
    }
    let rank = Rank::default();
    assert_eq!(profiles.refine(&unnamed, rank), rank);
}
