//! Overload of two services that depend on each other, as callers see it.

use rig::emulator::{Counts, Kind, Options, play};
use types::Span;

fn load(learns: bool, nested_waits: bool) -> Options {
    Options {
        seed: 1,
        duration: Span::from_millis(6_000),
        orders: 260,
        lookups: 260,
        learns,
        nested_waits,
    }
}

fn orders(learns: bool) -> Counts {
    play(&load(learns, false))[&Kind::Order]
}

#[test]
fn the_work_on_admitted_requests_is_not_lost_to_refused_nested_calls() {
    let with_profiles = orders(true);
    assert!(
        with_profiles.failed * 20 <= with_profiles.asked,
        "{with_profiles:?}"
    );
    let without = orders(false);
    assert!(
        without.failed * 20 > without.asked,
        "without profiles: {without:?}"
    );
}

/// Orders and lookups in time, failed orders and refusals of checks, over five seeds.
fn totals(orders: u64, lookups: u64, nested_waits: bool) -> [u64; 4] {
    let mut totals = [0; 4];
    for seed in 1..=5 {
        let counts = play(&Options {
            seed,
            orders,
            lookups,
            ..load(true, nested_waits)
        });
        let of = |kind| counts[&kind];
        totals[0] += of(Kind::Order).in_time;
        totals[1] += of(Kind::Lookup).in_time;
        totals[2] += of(Kind::Order).failed;
        totals[3] += of(Kind::Check).refusals;
    }
    totals
}

#[test]
fn nested_requests_that_wait_for_a_slot_serve_more_orders_with_fewer_refusals() {
    let [orders, lookups, failed, refusals] = totals(260, 260, false);
    let [orders_on, lookups_on, failed_on, refusals_on] = totals(260, 260, true);
    assert!(orders_on > orders, "{orders_on}, without waits {orders}");
    assert!(
        refusals_on < refusals,
        "{refusals_on}, without waits {refusals}"
    );
    assert!(
        failed_on * 20 <= 5 * 1_560,
        "{failed_on}, without waits {failed}"
    );
    assert!(
        lookups_on * 100 >= lookups * 97,
        "urgent callers: {lookups_on}, without waits {lookups}"
    );
}

#[test]
fn waits_for_a_slot_cost_few_callers_at_less_load() {
    let [orders, lookups, ..] = totals(200, 150, false);
    let [orders_on, lookups_on, ..] = totals(200, 150, true);
    assert!(
        orders_on * 100 >= orders * 97,
        "{orders_on}, without waits {orders}"
    );
    assert!(
        lookups_on * 100 >= lookups * 97,
        "urgent callers: {lookups_on}, without waits {lookups}"
    );
}
