//! Load: callers whose backend servers reset most requests, among a few that are shed, at one retry budget.

#[path = "support/in_turn.rs"]
mod in_turn;

use call::{Action, Call, CallRequest, Timeouts, TokenBucket};
use in_turn::InTurn;
use types::{Moment, Outcome, Refusal, Span};

const CALLS: u64 = 2_000;
/// Retry ratio of a node, and what the platform allows beyond it to its 17 nodes.
const RATIO: f64 = 0.1;
const BURST: f64 = 64.0;
const NODES: usize = 17;
/// One in this number of calls is shed: less than half of what the ratio allows.
const SHED_INTERVAL: u64 = 25;

/// Whether a call is sent again after its first attempt ended with this outcome.
fn is_retried(outcome: Outcome, idempotent: bool, budget: &mut TokenBucket) -> bool {
    let (now, deadline) = (Moment(0), Moment(800_000));
    let request = CallRequest {
        idempotent,
        is_retry: false,
        deadline,
        max_attempts: 3,
    };
    let timeouts = Timeouts {
        reply_timeout: Span::from_millis(500),
        hedge_delay: Span::from_millis(500),
        query_interval: Span::from_millis(100),
    };
    let mut call = Call::new(request, timeouts);
    call.start(now, &mut InTurn);
    let actions = call.on_outcome(0, outcome, now, &mut InTurn, budget);
    actions.iter().any(|a| matches!(a, Action::Send { .. }))
}

/// Numbers of the calls that are sent again after they were shed and reset, if all others end with `others`.
fn retries(others: Option<Outcome>) -> (usize, usize) {
    let mut budget = TokenBucket::for_fleet(BURST, NODES);
    let (mut shed, mut reset) = (0, 0);
    for number in 0..CALLS {
        budget.deposit(RATIO);
        if number % SHED_INTERVAL == SHED_INTERVAL - 1 {
            let outcome = Outcome::refused(Refusal::Shed);
            shed += usize::from(is_retried(outcome, true, &mut budget));
        } else if let Some(outcome) = &others {
            reset += usize::from(is_retried(outcome.clone(), true, &mut budget));
        }
    }
    (shed, reset)
}

#[test]
fn a_storm_of_resets_does_not_take_the_budget_of_other_retries() {
    let (shed_alone, _) = retries(None);
    let (shed, reset) = retries(Some(Outcome::Unknown));
    assert_eq!(shed, shed_alone);
    assert_eq!(shed_alone as u64, CALLS / SHED_INTERVAL);
    assert!(reset > 0, "safe requests are still sent again");
    let allowed = CALLS as f64 * RATIO + BURST / NODES as f64;
    assert!(
        (shed + reset) as f64 <= allowed,
        "{shed} and {reset} of {allowed}"
    );
}

#[test]
fn a_reset_request_that_may_not_run_twice_is_not_sent_again() {
    let mut budget = TokenBucket::default();
    assert!(!is_retried(Outcome::Unknown, false, &mut budget));
}
