//! What becomes of queued requests at a gate whose process stops.

mod support;

use gate::{Action, Gate, Query, Rank};
use note::Limits;
use support::OpenGate;
use types::{AttemptId, Moment, Outcome, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);
const SERVICE_TIME: Span = Span::from_millis(100);

/// A gate with one slot that is taken, and this many queued attempts.
fn gate_with_queue(queued: usize) -> (Gate, Vec<AttemptId>) {
    let limits = Limits {
        slots: Slots(1),
        cold: Slots(1),
        queue: Slots(8),
        ..Limits::default()
    };
    let mut open_gate = OpenGate::new(limits);
    let mut ids = Vec::new();
    for _ in 0..=queued {
        let mut offer = open_gate.offer(START + Span::from_millis(60_000));
        offer.rank = Rank {
            service_time: SERVICE_TIME,
            ..Rank::default()
        };
        ids.push(offer.id);
        open_gate.gate.offer(offer, START);
    }
    ids.remove(0);
    (open_gate.gate, ids)
}

fn refused(id: AttemptId, refusal: Refusal) -> Action {
    Action::Reply(id, Outcome::refused(refusal))
}

/// A request that had to wait beyond the exit of the gate's process was cut there, with an unknown outcome.
#[test]
fn a_stopping_gate_refuses_at_once_what_it_cannot_complete() {
    let (mut gate, ids) = gate_with_queue(3);
    // The running one and two of the queued ones can be completed, the last of them also if it takes four times
    // as long as usual.
    let exit_at = START + SERVICE_TIME.scale(6.5);
    let actions = gate.stop(exit_at, START);
    assert_eq!(actions, [refused(ids[2], Refusal::Stopping)]);
    assert_eq!(gate.stop(exit_at, START), []);
}

/// A gate took requests until its process stopped, started them later than it had expected, and cut them at
/// the exit. They ended as unknown, also those that must not be repeated.
#[test]
fn a_gate_that_is_about_to_stop_starts_nothing_that_its_exit_may_cut() {
    let (mut gate, ids) = gate_with_queue(1);
    let exit_at = START + SERVICE_TIME.scale(3.5);
    assert_eq!(
        gate.announce_exit(exit_at, START),
        [refused(ids[0], Refusal::Stopping)]
    );
    let offer = |seq, deadline| gate::Offer {
        id: AttemptId {
            seq: types::Seq(seq),
            ..ids[0]
        },
        floor: types::Seq(1),
        deadline,
        fail_fast: false,
        refusal: None,
        rank: Rank {
            service_time: SERVICE_TIME,
            ..Rank::default()
        },
    };
    let patient = offer(10, exit_at + SERVICE_TIME);
    assert_eq!(
        gate.offer(patient, START),
        [refused(patient.id, Refusal::Stopping)]
    );
    let urgent = offer(11, exit_at - SERVICE_TIME);
    assert_eq!(
        gate.offer(urgent, START),
        [],
        "ends before the exit, by its deadline"
    );
}

/// The process of the gate ended with requests in its queue, which their ingresses took for run.
#[test]
fn a_gate_about_to_exit_refuses_all_that_is_queued() {
    let (mut gate, ids) = gate_with_queue(2);
    gate.stop(START + SERVICE_TIME.scale(9.0), START);
    let actions = gate.drain_queue();
    assert_eq!(
        actions,
        ids.iter()
            .map(|id| refused(*id, Refusal::Stopping))
            .collect::<Vec<_>>()
    );
    assert!(!gate.is_idle(), "what runs goes on");
}

#[test]
fn a_withdrawal_refuses_a_queued_attempt_and_leaves_a_running_one_alone() {
    let (mut gate, ids) = gate_with_queue(1);
    let running = AttemptId {
        seq: types::Seq(1),
        ..ids[0]
    };
    assert_eq!(gate.query(running, Query::Withdraw, START), []);
    let actions = gate.query(ids[0], Query::Withdraw, START);
    assert_eq!(actions, [refused(ids[0], Refusal::Cancelled)]);
    assert!(!gate.is_idle());
}
