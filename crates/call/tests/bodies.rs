//! Attempts whose bodies follow once a gate has admitted them.

#[path = "support/in_turn.rs"]
mod in_turn;

use call::{Action, Call, CallOutcome, CallRequest, Timeouts, TokenBucket};
use in_turn::InTurn;
use types::{Moment, Outcome, Refusal, Span};

const DEADLINE: Moment = Moment(6_000_000);

/// A call of a request that may run once, whose first attempt is offered without its body.
fn offered() -> Call {
    let request = CallRequest {
        idempotent: false,
        is_retry: false,
        deadline: DEADLINE,
        max_attempts: 2,
    };
    let timeouts = Timeouts {
        reply_timeout: Span::from_millis(5_500),
        hedge_delay: Span::from_millis(5_000),
        query_interval: Span::from_millis(100),
    };
    let mut call = Call::new(request, timeouts);
    call.start(Moment(0), &mut InTurn);
    call.mark_unsent(0);
    call
}

fn is_not_run(actions: &[Action]) -> bool {
    let is_not_run = |action: &Action| matches!(action, Action::Finish(CallOutcome::NotRun { .. }));
    actions.iter().any(is_not_run)
}

#[test]
fn a_deadline_before_the_end_of_the_body_is_not_run() {
    for (is_sent, is_known) in [(false, true), (true, false)] {
        let mut call = offered();
        if is_sent {
            call.on_sent(0);
        }
        let actions = call.tick(DEADLINE, &mut InTurn, &mut TokenBucket::default());
        assert_eq!(is_not_run(&actions), is_known, "{actions:?}");
        assert!(actions.contains(&Action::Cancel(0)), "no more is sent");
    }
}

#[test]
fn an_unknown_outcome_before_the_end_of_the_body_is_sent_elsewhere() {
    let mut call = offered();
    let budget = &mut TokenBucket::default();
    let actions = call.on_outcome(0, Outcome::Unknown, Moment(9), &mut InTurn, budget);
    assert_eq!(actions[0], Action::Settle(0), "no more is sent");
    let is_next = |action: &Action| matches!(action, Action::Send { attempt: 1, .. });
    assert!(actions.iter().any(is_next), "{actions:?}");
}

#[test]
fn an_unknown_outcome_after_the_end_of_the_body_is_final() {
    let mut call = offered();
    call.on_sent(0);
    let budget = &mut TokenBucket::default();
    let actions = call.on_outcome(0, Outcome::Unknown, Moment(9), &mut InTurn, budget);
    let unknown = Action::Finish(CallOutcome::Unknown { late: false });
    assert!(actions.contains(&unknown), "{actions:?}");
}

#[test]
fn a_body_that_breaks_off_costs_no_retry_of_the_budget() {
    let mut call = offered();
    let mut empty = TokenBucket::for_fleet(1.0, 1);
    let outcome = Outcome::refused(Refusal::Down);
    let actions = call.on_outcome(0, outcome, Moment(9), &mut InTurn, &mut empty);
    let is_next = |action: &Action| matches!(action, Action::Send { attempt: 1, .. });
    assert!(actions.iter().any(is_next), "{actions:?}");
}
