//! Backend servers that a call tries after gates decline its attempts.

use call::{Action, Budget, Call, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts};
use types::{Moment, Outcome, Refusal, ServerId, Span};

const NOW: Moment = Moment(10_000_000);

/// Selects among two backend servers. If both have declined, the second one is better.
struct TwoServers;

fn server(name: &str) -> ServerId {
    name.parse().expect("a valid name")
}

impl ServerSelector for TwoServers {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let untried = ["a", "b"]
            .map(server)
            .into_iter()
            .find(|id| !tried.contains(id));
        let has_alternatives = untried.is_some();
        let server = untried.or_else(|| declined.last().cloned())?;
        Some(Selection {
            server,
            has_alternatives,
        })
    }
}

struct EmptyBudget;

impl Budget for EmptyBudget {
    fn try_withdraw(&mut self) -> bool {
        false
    }
}

fn call() -> Call {
    let request = CallRequest {
        idempotent: false,
        is_retry: false,
        deadline: NOW + Span::from_millis(1_000),
        max_attempts: 2,
    };
    let timeouts = Timeouts {
        reply_timeout: Span::from_millis(500),
        hedge_delay: Span::from_millis(500),
        query_interval: Span::from_millis(100),
    };
    Call::new(request, timeouts)
}

/// The backend server that an attempt is sent to, and whether the attempt is fail-fast.
fn sent(actions: &[Action]) -> Option<(String, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            server, fail_fast, ..
        } => Some((server.to_string(), *fail_fast)),
        _ => None,
    })
}

fn refuse(call: &mut Call, attempt: usize, refusal: Refusal) -> Vec<Action> {
    let outcome = Outcome::refused(refusal);
    call.on_outcome(attempt, outcome, NOW, &mut TwoServers, &mut EmptyBudget)
}

#[test]
fn if_all_gates_decline_the_best_one_is_used_without_spending_budget() {
    let mut call = call();
    assert_eq!(
        sent(&call.start(NOW, &mut TwoServers)),
        Some(("a".into(), true))
    );
    let second = refuse(&mut call, 0, Refusal::Slow);
    assert_eq!(sent(&second), Some(("b".into(), true)));
    let last = refuse(&mut call, 1, Refusal::Busy);
    assert_eq!(sent(&last), Some(("b".into(), false)));
}

#[test]
fn a_gate_that_refuses_an_attempt_that_is_not_fail_fast_is_not_tried_again() {
    let mut call = call();
    call.start(NOW, &mut TwoServers);
    refuse(&mut call, 0, Refusal::Slow);
    refuse(&mut call, 1, Refusal::Busy);
    let next = refuse(&mut call, 2, Refusal::Busy);
    assert_eq!(sent(&next), Some(("a".into(), false)));
    let end = refuse(&mut call, 3, Refusal::Busy);
    let refused = |a: &Action| matches!(a, Action::Finish(CallOutcome::NotRun { .. }));
    assert!(end.iter().any(refused), "{end:?}");
}

/// Selects a new backend server for each attempt.
struct ManyServers;

impl ServerSelector for ManyServers {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let index = tried.len() + declined.len();
        Some(Selection {
            server: server(&format!("s{index}")),
            has_alternatives: true,
        })
    }
}

#[test]
fn after_two_refusals_as_failing_attempts_are_no_longer_fail_fast() {
    let mut call = call();
    call.start(NOW, &mut ManyServers);
    let mut next_is_fail_fast = |attempt| {
        let outcome = Outcome::refused(Refusal::Failing);
        let actions = call.on_outcome(attempt, outcome, NOW, &mut ManyServers, &mut EmptyBudget);
        sent(&actions).map(|(_, fail_fast)| fail_fast)
    };
    assert_eq!(next_is_fail_fast(0), Some(true));
    assert_eq!(next_is_fail_fast(1), Some(false));
}

struct FullBudget;

impl Budget for FullBudget {
    fn try_withdraw(&mut self) -> bool {
        true
    }
}

#[test]
fn a_hedge_that_is_refused_for_a_trial_elsewhere_does_not_end_its_call() {
    let request = CallRequest {
        idempotent: true,
        is_retry: false,
        deadline: NOW + Span::from_millis(1_000),
        max_attempts: 2,
    };
    let timeouts = Timeouts {
        reply_timeout: Span::from_millis(900),
        hedge_delay: Span::from_millis(500),
        query_interval: Span::from_millis(100),
    };
    let mut call = Call::new(request, timeouts);
    call.start(NOW, &mut TwoServers);
    let later = NOW + Span::from_millis(500);
    let hedge = call.tick(later, &mut TwoServers, &mut FullBudget);
    assert!(sent(&hedge).is_some(), "{hedge:?}");
    let refused = Outcome::refused(Refusal::Quarantined);
    call.on_outcome(1, refused, later, &mut TwoServers, &mut FullBudget);
    assert!(!call.is_finished());
    let answer = Outcome::Answer(Default::default());
    call.on_outcome(0, answer, later, &mut TwoServers, &mut FullBudget);
    assert!(call.is_finished());
}
