//! What an ingress makes of the round trips that its messages took.

use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, ByteCost, Member, PolicyKind, Spill};
use types::{Boot, ServerId, Span, ZoneId};

use super::super::zones::ZoneShares;

/// Messages to each server by which every decision is made.
const MESSAGES: usize = 40;
const SERVED: Span = Span::from_millis(50);

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().expect("a valid name")
}

fn server(index: usize) -> ServerId {
    format!("server-{index}").parse().expect("a valid name")
}

/// A balancer over one server in each of three zones, of which the first is the ingress's.
fn balancer() -> Balancer {
    let rng = SmallRng::seed_from_u64(3);
    let balancer = Balancer::new(PolicyKind::default().build(), rng);
    let mut balancer = balancer.with_spill_to_far_zones(Spill::new(ByteCost::default()));
    let member = |index: usize| Member {
        id: server(index),
        zone: zone(index),
        local: index == 0,
        slots: 4,
    };
    balancer.set_members((0..3).map(member).collect(), Boot(7));
    balancer
}

/// What is assumed of each server after messages whose round trips took so long, one phase after the other.
fn added(phases: &[[u64; 3]]) -> [Span; 3] {
    let shares = ZoneShares::new(zone(0), ByteCost::default(), true);
    let mut balancer = balancer();
    for round_trips in phases {
        for _ in 0..MESSAGES {
            for (index, round_trip) in round_trips.iter().enumerate() {
                let took = SERVED + Span(*round_trip);
                shares.record(&server(index), took, SERVED, &mut balancer);
            }
        }
    }
    [0, 1, 2].map(|index| balancer.server(&server(index)).expect("in use").added)
}

#[test]
fn the_measured_ways_count_once_a_zone_is_far() {
    assert_eq!(
        added(&[[400, 1_400, 9_400]]),
        [Span::default(), Span(1_000), Span(9_000)]
    );
}

#[test]
fn comparisons_assume_the_same_way_to_all_zones_that_are_near() {
    let assumed = Span::from_millis(3);
    let near = [400, 1_400, 2_400];
    for phases in [&[near][..], &[[400, 1_400, 9_400], near]] {
        assert_eq!(added(phases), [Span::default(), assumed, assumed]);
    }
}

/// A zone that turns far switches shares on for all: the ways to the others were measured before, but not told.
#[test]
fn the_ways_to_all_zones_count_as_soon_as_one_is_far() {
    let shares = ZoneShares::new(zone(0), ByteCost::default(), true);
    let mut balancer = balancer();
    let mut record =
        |index, way| shares.record(&server(index), SERVED + Span(way), SERVED, &mut balancer);
    assert_eq!(record(0, 400), None);
    for _ in 0..MESSAGES {
        assert_eq!(record(1, 1_400), None);
    }
    let far = (0..MESSAGES).find_map(|_| record(2, 9_400));
    assert_eq!(far, Some((zone(2), Span(9_000))));
    let added = [1, 2].map(|index| balancer.server(&server(index)).expect("in use").added);
    assert_eq!(added, [Span(1_000), Span(9_000)]);
}
