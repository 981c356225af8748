//! Overload of two services that depend on each other, as callers see it.

use std::collections::BTreeMap;

use rig::emulator::{Counts, Kind, Options, play};
use types::Span;

fn play_load(orders: u64, learns: bool) -> BTreeMap<Kind, Counts> {
    play(&Options {
        seed: 1,
        duration: Span::from_millis(6_000),
        orders,
        lookups: 260,
        learns,
    })
}

fn orders(learns: bool) -> Counts {
    play_load(260, learns)[&Kind::Order]
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

#[test]
fn urgent_callers_lose_little_to_nested_requests_of_patient_ones() {
    let alone = play_load(0, true)[&Kind::Lookup];
    let beside = play_load(260, true)[&Kind::Lookup];
    assert!(
        beside.in_time * 20 >= alone.in_time * 19,
        "{beside:?}, without orders {alone:?}"
    );
}
