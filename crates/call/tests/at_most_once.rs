//! A request that isn't idempotent runs at most once, and a "not run" outcome is true, whatever
//! happens to messages, gates and ingresses.
//!
//! The same simulation must also detect a violation when one mechanism of the protocol is disabled.

mod support;

use std::{cell::RefCell, collections::BTreeSet};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use support::{Disabled, Simulation, Step};

/// Random cases in which no violation may occur.
const CASES: u32 = 3_000;
/// Random cases within which a disabled mechanism must cause a violation.
const DISABLED_CASES: u32 = 3_000;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<u8>().prop_map(Step::StartCall),
        12 => any::<u16>().prop_map(Step::Deliver),
        3 => any::<u16>().prop_map(Step::Duplicate),
        2 => any::<u16>().prop_map(Step::Lose),
        5 => any::<(u16, u8)>().prop_map(|(index, how)| Step::EndRun(index, how)),
        4 => (0..60_u8).prop_map(Step::Wait),
        1 => any::<u8>().prop_map(Step::RestartGate),
        1 => any::<u8>().prop_map(Step::RestartIngress),
        1 => any::<u16>().prop_map(Step::Abandon),
        1 => any::<u16>().prop_map(Step::WindDown),
        1 => any::<u8>().prop_map(Step::DrainGate),
    ]
}

fn run(disabled: Disabled, steps: Vec<Step>) -> Simulation {
    let mut simulation = Simulation::new(disabled);
    steps.into_iter().for_each(|step| simulation.step(step));
    simulation.finish_all();
    simulation
}

/// Whether a random case exists in which disabling a mechanism causes a violation that contains
/// `text`.
fn causes_violation(disabled: Disabled, text: &str) -> bool {
    let config = Config {
        cases: DISABLED_CASES,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&vec(step(), 1..120), |steps| {
        let violations = run(disabled, steps).violations();
        prop_assert!(
            !violations.iter().any(|v| v.contains(text)),
            "{violations:?}"
        );
        Ok(())
    });
    result.is_err()
}

proptest! {
    #![proptest_config(Config { cases: CASES, failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_request_runs_at_most_once_and_not_run_is_true(steps in vec(step(), 1..120)) {
        let violations = run(Disabled::Nothing, steps).violations();
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

#[test]
fn calls_are_answered_when_nothing_fails() {
    let steps =
        (0..10).flat_map(|index| [Step::StartCall(index), Step::Deliver(0), Step::EndRun(0, 7)]);
    let simulation = run(Disabled::Nothing, steps.collect());
    assert_eq!(simulation.violations(), Vec::<String>::new());
    assert!(
        simulation.answered() >= 5,
        "{} calls were answered",
        simulation.answered()
    );
}

#[test]
fn random_runs_reach_all_common_outcomes() {
    let outcomes = RefCell::new(BTreeSet::new());
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    let runs = TestRunner::new(config).run(&vec(step(), 1..120), |steps| {
        outcomes
            .borrow_mut()
            .extend(run(Disabled::Nothing, steps).outcomes());
        Ok(())
    });
    assert!(runs.is_ok());
    for outcome in [
        "answer",
        "unknown",
        "unknown_late",
        "busy",
        "shed",
        "down",
        "stopping",
    ] {
        assert!(
            outcomes.borrow().contains(outcome),
            "no run ended with {outcome}, only with {outcomes:?}"
        );
    }
}

#[test]
fn retrying_before_the_outcome_is_known_runs_requests_twice() {
    assert!(causes_violation(Disabled::SettledRetries, "times"));
}

#[test]
fn reporting_not_run_without_barring_runs_requests_twice() {
    assert!(causes_violation(Disabled::Barring, "times"));
}

#[test]
fn a_gate_that_forgets_attempts_reports_not_run_for_requests_that_ran() {
    assert!(causes_violation(Disabled::Records, "reported as not run"));
}

#[test]
fn a_gate_that_starts_without_the_whole_body_runs_requests_reported_as_not_run() {
    assert!(causes_violation(Disabled::WholeBodies, "call"));
}

#[test]
fn large_requests_are_answered_when_nothing_fails() {
    let steps = (200..210).flat_map(|index| {
        let deliveries = [0; 5].map(Step::Deliver);
        let ends = [0, 1, 2].map(|gate| Step::EndRun(gate, 7));
        [Step::StartCall(index)]
            .into_iter()
            .chain(deliveries)
            .chain(ends)
    });
    let simulation = run(Disabled::Nothing, steps.collect());
    assert_eq!(simulation.violations(), Vec::<String>::new());
    assert!(simulation.answered() >= 5, "{}", simulation.answered());
}

#[test]
fn relative_deadlines_let_requests_start_late() {
    assert!(causes_violation(
        Disabled::AbsoluteDeadlines,
        "after their deadline"
    ));
}
