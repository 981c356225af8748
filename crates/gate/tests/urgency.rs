//! Order of nested and top-level requests that wait at one gate.

mod support;

use gate::{Action, Completion, Offer, Rank};
use note::Limits;
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Outcome, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);
const PATIENT: u32 = 2;
const URGENT: u32 = 0;

fn top_level(priority: u32) -> Rank {
    Rank {
        priority,
        ..Rank::default()
    }
}

/// A request on a route of priority 0, sent for work of priority `parent`.
fn nested(parent: Option<u32>) -> Rank {
    Rank {
        nested: true,
        parent,
        ..Rank::default()
    }
}

/// A gate of one slot that runs a request, which is returned too.
fn full_gate() -> (OpenGate, AttemptId) {
    let limits = Limits {
        slots: Slots(1),
        cold: Slots(1),
        warm_ms: 0,
        ..Limits::default()
    };
    let mut open_gate = OpenGate::new(limits);
    let first = open_gate.offer(START + Span::from_millis(60_000));
    open_gate.gate.offer(first, START);
    (open_gate, first.id)
}

/// Positions in `ranks` in the order in which the requests start at a gate of one slot.
fn start_order(ranks: &[Rank]) -> Vec<usize> {
    let (mut open_gate, mut running) = full_gate();
    let deadline = START + Span::from_millis(60_000);
    let mut ids: Vec<AttemptId> = Vec::new();
    for rank in ranks {
        let mut offer = open_gate.offer(deadline);
        offer.rank = *rank;
        ids.push(offer.id);
        open_gate.gate.offer(offer, START);
    }
    let mut order = Vec::new();
    while order.len() < ranks.len() {
        let completion = Completion::Answered(Answer::default().into());
        let actions = open_gate.gate.complete(running, completion, START);
        let started = actions.iter().find_map(|action| match action {
            Action::Start(id, _) => Some(*id),
            _ => None,
        });
        running = started.expect("a queued request starts");
        order.extend(ids.iter().position(|id| *id == running));
    }
    order
}

#[test]
fn nested_requests_of_patient_work_start_after_urgent_top_level_requests() {
    let ranks = [nested(Some(PATIENT)), top_level(URGENT)];
    assert_eq!(start_order(&ranks), [1, 0]);
}

#[test]
fn nested_requests_start_before_top_level_requests_of_the_same_or_lower_urgency() {
    let ranks = [top_level(1), top_level(PATIENT), nested(Some(1))];
    assert_eq!(start_order(&ranks), [2, 0, 1]);
}

#[test]
fn a_nested_request_without_a_known_parent_keeps_the_priority_of_its_route() {
    let ranks = [top_level(URGENT), nested(Some(PATIENT)), nested(None)];
    assert_eq!(start_order(&ranks), [2, 0, 1]);
}

#[test]
fn top_level_requests_ignore_what_runs_beside_their_ingress() {
    let beside = Rank {
        parent: Some(URGENT),
        ..top_level(PATIENT)
    };
    assert_eq!(start_order(&[beside, top_level(1)]), [1, 0]);
}

/// Why a full gate refuses a fail-fast attempt behind another one of rank `waiting`. `None` if it is queued.
fn refusal_behind(waiting: Rank, rank: Rank, is_retry: bool) -> Option<Refusal> {
    let (mut open_gate, _) = full_gate();
    let deadline = START + Span::from_millis(60_000);
    let queued = Offer {
        rank: waiting,
        ..open_gate.offer(deadline)
    };
    open_gate.gate.offer(queued, START);
    let offer = Offer {
        fail_fast: true,
        is_retry,
        rank,
        ..open_gate.offer(deadline)
    };
    match &open_gate.gate.offer(offer, START)[..] {
        [Action::Reply(_, Outcome::NotRun { refusal, .. })] => Some(*refusal),
        actions => {
            assert_eq!(actions, []);
            None
        }
    }
}

#[test]
fn a_fail_fast_nested_request_that_starts_next_is_queued() {
    let rank = nested(Some(1));
    assert_eq!(refusal_behind(top_level(1), rank, false), None);
}

#[test]
fn a_fail_fast_nested_request_behind_urgent_work_is_refused() {
    let rank = nested(Some(PATIENT));
    let refusal = refusal_behind(top_level(URGENT), rank, false);
    assert_eq!(refusal, Some(Refusal::Busy));
}

#[test]
fn fail_fast_retries_and_top_level_requests_are_never_queued() {
    let rank = nested(Some(URGENT));
    let retry = refusal_behind(top_level(PATIENT), rank, true);
    assert_eq!(retry, Some(Refusal::Busy));
    let urgent = refusal_behind(top_level(PATIENT), top_level(URGENT), false);
    assert_eq!(urgent, Some(Refusal::Busy));
}
