//! A backend server that was replaced while the registry lists the former one.

mod support;

use gate::{Action, Completion};
use note::Limits;
use support::OpenGate;
use types::{AttemptId, Moment, Outcome, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);

fn gate_with_slots(slots: u32) -> OpenGate {
    OpenGate::new(Limits {
        slots: Slots(slots),
        cold: Slots(slots),
        usable: 1.0,
        ..Limits::default()
    })
}

fn started(actions: &[Action]) -> AttemptId {
    match actions {
        [Action::Start(id, _)] => *id,
        _ => panic!("not started: {actions:?}"),
    }
}

fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let refusal = |action: &Action| match action {
        Action::Reply(_, Outcome::NotRun { refusal, .. }) => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

#[test]
fn a_gate_stops_sending_to_a_replaced_backend_server_that_rejects_requests() {
    let mut open_gate = gate_with_slots(1);
    let deadline = START + Span::from_millis(60_000);
    let offer = open_gate.offer(deadline);
    let first = started(&open_gate.gate.offer(offer, START));
    let offer = open_gate.offer(deadline);
    assert!(open_gate.gate.offer(offer, START).is_empty(), "queued");
    let actions = open_gate
        .gate
        .complete(first, Completion::Misdirected, START);
    assert_eq!(
        refusals(&actions),
        [Refusal::Misdirected, Refusal::Misplaced],
        "the queued request isn't sent to it: {actions:?}"
    );
    let offer = open_gate.offer(deadline);
    let actions = open_gate.gate.offer(offer, START + Span::from_millis(100));
    assert_eq!(refusals(&actions), [Refusal::Misplaced], "{actions:?}");
}

#[test]
fn a_gate_resumes_when_the_backend_server_names_itself_as_listed() {
    let mut open_gate = gate_with_slots(1);
    let deadline = START + Span::from_millis(60_000);
    open_gate.gate.observe_identity(false, START);
    let offer = open_gate.offer(deadline);
    let actions = open_gate.gate.offer(offer, START);
    assert_eq!(refusals(&actions), [Refusal::Misplaced], "{actions:?}");
    open_gate.gate.observe_identity(true, START);
    let offer = open_gate.offer(deadline);
    started(&open_gate.gate.offer(offer, START));
}

#[test]
fn a_rejection_by_the_former_backend_server_does_not_close_the_gate_of_its_successor() {
    let mut open_gate = gate_with_slots(2);
    let deadline = START + Span::from_millis(60_000);
    let offer = open_gate.offer(deadline);
    let first = started(&open_gate.gate.offer(offer, START));
    let later = START + Span::from_millis(10);
    open_gate.gate.replace_server(later);
    open_gate
        .gate
        .complete(first, Completion::Misdirected, later);
    let offer = open_gate.offer(deadline);
    started(&open_gate.gate.offer(offer, later));
}
