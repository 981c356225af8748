//! Where a call goes when gates decline it.

use call::{Action, Budget, Call, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts};
use types::{Moment, Outcome, Refusal, ServerId, Span};

const NOW: Moment = Moment(10_000_000);

/// Two backend servers; when both have declined, the second is the better.
struct Two;

fn server(name: &str) -> ServerId {
    name.parse().expect("a name")
}

impl ServerSelector for Two {
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

struct NoBudget;

impl Budget for NoBudget {
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
    let timing = Timeouts {
        reply_timeout: Span::from_millis(500),
        hedge_delay: Span::from_millis(500),
        ask_interval: Span::from_millis(100),
    };
    Call::new(request, timing)
}

/// The backend server that an attempt goes to, and whether it may decline.
fn sent(actions: &[Action]) -> Option<(String, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            server,
            may_decline,
            ..
        } => Some((server.to_string(), *may_decline)),
        _ => None,
    })
}

fn refuse(call: &mut Call, attempt: usize, refusal: Refusal) -> Vec<Action> {
    let outcome = Outcome::refused(refusal);
    call.on_outcome(attempt, outcome, NOW, &mut Two, &mut NoBudget)
}

#[test]
fn when_all_have_declined_the_best_of_them_takes_it_and_no_budget_is_spent() {
    let mut call = call();
    assert_eq!(sent(&call.start(NOW, &mut Two)), Some(("a".into(), true)));
    let second = refuse(&mut call, 0, Refusal::Slow);
    assert_eq!(sent(&second), Some(("b".into(), true)));
    let last = refuse(&mut call, 1, Refusal::Busy);
    assert_eq!(sent(&last), Some(("b".into(), false)));
}

#[test]
fn one_that_refuses_though_the_call_would_wait_is_not_asked_again() {
    let mut call = call();
    call.start(NOW, &mut Two);
    refuse(&mut call, 0, Refusal::Slow);
    refuse(&mut call, 1, Refusal::Busy);
    let other = refuse(&mut call, 2, Refusal::Busy);
    assert_eq!(sent(&other), Some(("a".into(), false)));
    let end = refuse(&mut call, 3, Refusal::Busy);
    let refused = |a: &Action| matches!(a, Action::Finish(CallOutcome::NotRun { .. }));
    assert!(end.iter().any(refused), "{end:?}");
}

/// As many backend servers as there are tries.
struct Many;

impl ServerSelector for Many {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let number = tried.len() + declined.len();
        Some(Selection {
            server: server(&format!("s{number}")),
            has_alternatives: true,
        })
    }
}

#[test]
fn a_call_that_two_failing_servers_declined_is_taken_by_the_next() {
    let mut call = call();
    call.start(NOW, &mut Many);
    let mut declined = |attempt| {
        let outcome = Outcome::refused(Refusal::Failing);
        let actions = call.on_outcome(attempt, outcome, NOW, &mut Many, &mut NoBudget);
        sent(&actions).map(|(_, may_decline)| may_decline)
    };
    assert_eq!(declined(0), Some(true));
    assert_eq!(declined(1), Some(false));
}
