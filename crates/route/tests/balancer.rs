//! What an ingress learns of backend servers, and whom it chooses then.

use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport, Member, PolicyKind};
use types::{Boot, Moment, Refusal, ServerId, Span};

fn id(at: usize) -> ServerId {
    format!("server-{at}").parse().expect("a name")
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(ms)
}

/// Servers of which the first `local` stand in the own availability zone.
fn table(servers: usize, local: usize) -> Balancer {
    let mut table = Balancer::new(PolicyKind::TwoChoices.build(), SmallRng::seed_from_u64(1));
    let member = |at| Member {
        id: id(at),
        local: at < local,
        slots: 10,
    };
    table.set_members((0..servers).map(member).collect(), Boot(1));
    table
}

fn report(load: u32, typical_ms: u64) -> LoadReport {
    LoadReport {
        load,
        allowed: 10,
        mean_latency: Span::from_millis(typical_ms),
        slowdown_percent: 100,
    }
}

/// How often a server is chosen in 100 choices.
fn share(table: &mut Balancer, server: usize, now: Moment) -> usize {
    (0..100)
        .filter(|_| table.select(&[], &[], now).map(|p| p.server) == Some(id(server)))
        .count()
}

#[test]
fn a_server_that_fails_fast_is_avoided_for_longer_with_each_failure() {
    let mut table = table(2, 2);
    table.on_failure(&id(0), at(0));
    assert_eq!(share(&mut table, 0, at(10)), 0);
    assert!(
        share(&mut table, 0, at(30)) > 0,
        "one failure is forgiven soon"
    );
    (0..5).for_each(|_| table.on_failure(&id(0), at(30)));
    assert_eq!(share(&mut table, 0, at(600)), 0, "a row of them isn't");
    table.on_success(&id(0));
    assert!(share(&mut table, 0, at(2_000)) > 0);
}

#[test]
fn a_server_that_is_avoided_is_still_used_for_want_of_others() {
    let mut table = table(2, 2);
    table.on_refused(&id(0), Refusal::Down, Span::default(), at(0));
    let picked = table.select(&[id(1)], &[], at(1));
    assert_eq!(picked.map(|p| p.server), Some(id(0)));
    assert_eq!(table.select(&[id(0), id(1)], &[], at(1)), None);
}

#[test]
fn a_slow_server_is_passed_over_until_its_report_is_old() {
    let mut table = table(2, 2);
    (0..100).for_each(|_| table.on_report(&id(1), report(0, 10), at(0)));
    table.on_report(&id(0), report(0, 40), at(0));
    assert_eq!(share(&mut table, 0, at(1)), 0);
    table.on_report(&id(1), report(3, 10), at(3_000));
    assert!(share(&mut table, 0, at(3_000)) > 0);
}

#[test]
fn local_servers_come_first_until_they_are_crowded() {
    let mut table = table(3, 1);
    for server in 0..3 {
        (0..100).for_each(|_| table.on_report(&id(server), report(0, 10), at(0)));
    }
    assert_eq!(share(&mut table, 0, at(1)), 100);
    (0..20).for_each(|_| table.on_sent(&id(0)));
    assert_eq!(share(&mut table, 0, at(1)), 0);
}

#[test]
fn of_many_members_a_bounded_part_is_used_and_what_was_learned_is_kept() {
    let mut table = table(200, 4);
    assert!(table.servers().len() <= 12);
    assert_eq!(table.servers().iter().filter(|p| p.member.local).count(), 4);
    table.on_sent(&id(0));
    let member = |at| Member {
        id: id(at),
        local: at < 4,
        slots: 10,
    };
    table.set_members((0..100).map(member).collect(), Boot(1));
    let first = table
        .servers()
        .iter()
        .find(|p| p.member.id == id(0))
        .expect("a local one");
    assert_eq!(first.open_attempts, 1);
}
