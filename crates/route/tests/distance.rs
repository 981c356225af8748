//! Shares only for zones that are far, by measured round trips.

use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, ByteCost, Member, PolicyKind, Spill};
use types::{Boot, Moment, Span, ZoneId};

/// Messages to each zone by which every decision is made.
const MESSAGES: usize = 40;

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().expect("a valid name")
}

/// Members of three zones, of which the first is the ingress's.
fn members(of_each: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        id: format!("server-{index}").parse().expect("a valid name"),
        zone: zone(index % 3),
        local: index.is_multiple_of(3),
        slots: 4,
    };
    (0..3 * of_each).map(member).collect()
}

fn balancer(of_each: usize) -> Balancer {
    let rng = SmallRng::seed_from_u64(3);
    let mut balancer = Balancer::new(PolicyKind::default().build(), rng);
    balancer.set_members(members(of_each), Boot(7));
    balancer
}

fn auto(of_each: usize) -> Balancer {
    let spill = Spill::new(ByteCost::default());
    let mut balancer = balancer(0).with_spill_to_far_zones(spill);
    balancer.set_members(members(of_each), Boot(7));
    balancer
}

/// Has both other zones answer messages, `added` later than the own zone would.
fn measure(balancer: &mut Balancer, added: Span) {
    for _ in 0..MESSAGES {
        balancer.record_least(&zone(0), Span::default());
        balancer.record_least(&zone(1), added);
        balancer.record_least(&zone(2), added);
    }
}

/// The servers of 300 attempts, none of which ends.
fn selected(balancer: &mut Balancer) -> Vec<String> {
    let select = |ms| {
        let now = Moment(1_000_000) + Span::from_millis(ms);
        let server = balancer.select(&[], &[], now).expect("a server").server;
        balancer.on_sent(&server);
        server.to_string()
    };
    (0..300).map(select).collect()
}

fn used_zones(balancer: &Balancer) -> usize {
    let mut zones: Vec<_> = balancer.servers().iter().map(|s| &s.member.zone).collect();
    zones.sort();
    zones.dedup();
    zones.len()
}

#[test]
fn requests_go_where_comparisons_send_them_while_zones_are_near() {
    for added in [0, 900, 1_800, 2_800, 5_900] {
        for of_each in [4, 20] {
            let mut near = auto(of_each);
            measure(&mut near, Span(added));
            assert!(!near.uses_shares(), "{added} us");
            let before = selected(&mut balancer(of_each));
            assert_eq!(selected(&mut near), before, "{added} us");
        }
    }
}

#[test]
fn shares_are_used_while_zones_are_far() {
    let mut balancer = auto(20);
    assert_eq!(used_zones(&balancer), 3, "all are measured");
    measure(&mut balancer, Span(8_800));
    assert!(balancer.uses_shares());
    assert_eq!(used_zones(&balancer), 3);
}

#[test]
fn one_far_zone_is_enough() {
    let mut balancer = auto(4);
    for _ in 0..MESSAGES {
        balancer.record_least(&zone(1), Span(500));
        balancer.record_least(&zone(2), Span(9_000));
    }
    assert!(balancer.uses_shares());
}

/// The first message to a zone contains the time in which a connection is opened.
#[test]
fn the_first_messages_decide_nothing() {
    let mut balancer = auto(4);
    for added in [30_000, 12_000, 7_000] {
        balancer.record_least(&zone(1), Span(added));
        balancer.record_least(&zone(2), Span(added));
    }
    assert!(!balancer.uses_shares());
    measure(&mut balancer, Span(1_800));
    assert!(!balancer.uses_shares());
}

#[test]
fn a_way_between_the_limits_changes_nothing() {
    for (first, is_far) in [(8_000, true), (1_000, false)] {
        let mut balancer = auto(4);
        measure(&mut balancer, Span(first));
        for step in 0..50 {
            measure(&mut balancer, Span(3_000 + step % 2 * 2_900));
            assert_eq!(balancer.uses_shares(), is_far, "{first} us");
        }
    }
}

#[test]
fn zones_that_come_near_are_compared_again() {
    let mut balancer = auto(20);
    measure(&mut balancer, Span(8_800));
    measure(&mut balancer, Span(1_000));
    assert!(!balancer.uses_shares());
    assert_eq!(used_zones(&balancer), 1, "as before");
    let added: Vec<_> = balancer.servers().iter().map(|s| s.added).collect();
    assert!(added.iter().all(|added| *added == Span::default()));
}

/// A decision must not wait for a zone that no longer has servers.
#[test]
fn a_zone_that_is_gone_is_forgotten() {
    let mut balancer = auto(4);
    for _ in 0..MESSAGES {
        balancer.record_least(&zone(1), Span(8_800));
    }
    assert!(balancer.uses_shares());
    let left = members(4).into_iter().filter(|m| m.zone != zone(1));
    balancer.set_members(left.collect(), Boot(7));
    for _ in 0..MESSAGES {
        balancer.record_least(&zone(2), Span(1_000));
    }
    assert!(!balancer.uses_shares());
}
