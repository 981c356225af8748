//! Load: a burst at a backend server that was idle, and whose cold limit is one request.

mod support;

use gate::{Action, Completion};
use note::Limits;
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Slots, Span};

const SERVICE: Span = Span::from_millis(20);
const DEADLINE: Span = Span::from_millis(1_500);
const SLOTS: usize = 10;
/// Requests after which the backend server is warm and its limit is that of its slots.
const WARMUP: usize = 200;

fn started(actions: &[Action]) -> Vec<AttemptId> {
    let start = |action: &Action| match action {
        Action::Start(id, _) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn offer(open_gate: &mut OpenGate, now: Moment) -> Vec<AttemptId> {
    let offer = open_gate.offer(now + DEADLINE);
    started(&open_gate.gate.offer(offer, now))
}

fn answer(open_gate: &mut OpenGate, id: AttemptId, now: Moment) -> Vec<AttemptId> {
    let answered = Completion::Answered(Answer::default().into());
    started(&open_gate.gate.complete(id, answered, now))
}

/// A gate whose backend server has answered requests one after the other, and is idle.
fn idle_gate() -> (OpenGate, Moment) {
    let mut open_gate = OpenGate::new(Limits {
        slots: Slots(SLOTS as u32),
        cold: Slots(1),
        warm_ms: 1_000,
        queue: Slots(64),
        ..Limits::default()
    });
    let mut now = Moment(1_000_000);
    for _ in 0..WARMUP {
        let ids = offer(&mut open_gate, now);
        now = now + SERVICE;
        assert_eq!(answer(&mut open_gate, ids[0], now), []);
    }
    (open_gate, now + Span::from_millis(10_000))
}

#[test]
fn the_first_answer_after_idleness_opens_all_slots_to_what_waits() {
    let (mut open_gate, now) = idle_gate();
    let starts: Vec<_> = (0..3 * SLOTS).map(|_| offer(&mut open_gate, now)).collect();
    let first: Vec<AttemptId> = starts.into_iter().flatten().collect();
    assert_eq!(first.len(), 1, "the server may have restarted while idle");
    let next = answer(&mut open_gate, first[0], now + SERVICE);
    assert_eq!(next.len(), SLOTS);
}

#[test]
fn a_gate_without_requests_is_idle_again_after_an_answer() {
    let (mut open_gate, now) = idle_gate();
    let first = offer(&mut open_gate, now);
    let later = now + SERVICE;
    assert_eq!(answer(&mut open_gate, first[0], later), []);
    let starts: Vec<_> = (0..3).map(|_| offer(&mut open_gate, later)).collect();
    assert_eq!(starts.iter().flatten().count(), 1);
}
