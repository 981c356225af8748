//! A request that isn't idempotent runs at most once, and "not run" is true, whatever happens to
//! messages, gates and ingresses.

mod support;

use std::{cell::RefCell, collections::BTreeSet};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use support::{Step, Without, World};

/// Cases of the proof.
const CASES: u32 = 3_000;
/// Cases within which a missing mechanism must be noticed.
const CASES_WITHOUT: u32 = 3_000;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<u8>().prop_map(Step::Begin),
        12 => any::<u16>().prop_map(Step::Deliver),
        3 => any::<u16>().prop_map(Step::Repeat),
        2 => any::<u16>().prop_map(Step::Lose),
        5 => any::<(u16, u8)>().prop_map(|(at, how)| Step::End(at, how)),
        4 => (0..60_u8).prop_map(Step::Wait),
        1 => any::<u8>().prop_map(Step::RestartGate),
        1 => any::<u8>().prop_map(Step::RestartIngress),
        1 => any::<u16>().prop_map(Step::Abandon),
    ]
}

fn run(without: Without, steps: Vec<Step>) -> World {
    let mut world = World::new(without);
    steps.into_iter().for_each(|step| world.step(step));
    world.settle();
    world
}

/// Whether a case exists in which leaving a mechanism out breaks a promise.
fn is_noticed(without: Without, fault: &str) -> bool {
    let config = Config {
        cases: CASES_WITHOUT,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&vec(step(), 1..120), |steps| {
        let faults = run(without, steps).faults();
        prop_assert!(!faults.iter().any(|f| f.contains(fault)), "{faults:?}");
        Ok(())
    });
    result.is_err()
}

proptest! {
    #![proptest_config(Config { cases: CASES, failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_request_runs_at_most_once_and_not_run_is_true(steps in vec(step(), 1..120)) {
        let faults = run(Without::Nothing, steps).faults();
        prop_assert!(faults.is_empty(), "{faults:?}");
    }
}

#[test]
fn calls_are_answered_when_nothing_fails() {
    let steps = (0..10).flat_map(|at| [Step::Begin(at), Step::Deliver(0), Step::End(0, 7)]);
    let world = run(Without::Nothing, steps.collect());
    assert_eq!(world.faults(), Vec::<String>::new());
    assert!(world.answered() >= 5, "{}", world.answered());
}

#[test]
fn the_randomised_runs_reach_every_kind_of_ending() {
    let endings = RefCell::new(BTreeSet::new());
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    let runs = TestRunner::new(config).run(&vec(step(), 1..120), |steps| {
        endings
            .borrow_mut()
            .extend(run(Without::Nothing, steps).endings());
        Ok(())
    });
    assert!(runs.is_ok());
    for ending in ["answer", "unknown", "unknown_late", "busy", "shed", "down"] {
        assert!(endings.borrow().contains(ending), "{ending} in {endings:?}");
    }
}

#[test]
fn sending_elsewhere_on_silence_runs_requests_twice() {
    assert!(is_noticed(Without::Care, "times"));
}

#[test]
fn a_not_run_without_a_bar_runs_requests_twice() {
    assert!(is_noticed(Without::Bars, "times"));
}

#[test]
fn a_gate_that_forgets_within_its_incarnation_says_not_run_of_what_ran() {
    assert!(is_noticed(Without::Memory, "told that it wasn't"));
}

#[test]
fn a_deadline_that_travels_as_a_span_lets_requests_begin_late() {
    assert!(is_noticed(Without::Moments, "after their deadline"));
}
