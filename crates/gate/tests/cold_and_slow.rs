//! Admission for a backend server that reports that it is slow or cold, or that is replaced.

mod support;

use gate::{Action, Offer};
use note::Limits;
use support::OpenGate;
use types::{Moment, Outcome, Rate, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);
const SLOTS: u32 = 100;
const COLD_RATE: u32 = 25;

struct Harness {
    open_gate: OpenGate,
}

impl Harness {
    fn new() -> Self {
        let rate = Rate::new(f64::from(COLD_RATE)).expect("a rate");
        let limits = Limits {
            slots: Slots(SLOTS),
            usable: 1.0,
            ..Limits::with_cold_rate(rate)
        };
        let mut open_gate = OpenGate::new(Limits::default());
        open_gate.gate.set_limits(limits, START);
        Self { open_gate }
    }

    /// Reports that the backend server is warm.
    fn warm(mut self, now: Moment) -> Self {
        self.open_gate.gate.observe_cold(Span::default(), now, now);
        self
    }

    fn offer(&mut self, fail_fast: bool, now: Moment) -> Vec<Action> {
        let offer = Offer {
            fail_fast,
            ..self.open_gate.offer(now + Span::from_millis(60_000))
        };
        self.open_gate.gate.offer(offer, now)
    }
}

fn is_start(actions: &[Action]) -> bool {
    matches!(actions, [Action::Start(..)])
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    match actions {
        [Action::Reply(_, Outcome::NotRun { refusal, .. })] => Some(*refusal),
        _ => None,
    }
}

#[test]
fn the_gate_of_a_slow_backend_server_refuses_only_fail_fast_attempts() {
    let mut harness = Harness::new().warm(START);
    harness.open_gate.gate.observe_slowdown(400, START);
    let fail_fast = harness.offer(true, START);
    assert_eq!(refusal(&fail_fast), Some(Refusal::Slow));
    let other = harness.offer(false, START);
    assert!(is_start(&other));
}

#[test]
fn fail_fast_attempts_are_not_refused_for_coldness_alone() {
    let mut harness = Harness::new();
    let now = START + Span::from_millis(1_000);
    harness
        .open_gate
        .gate
        .observe_cold(Span::from_millis(2_000), now, now);
    harness.open_gate.gate.observe_slowdown(200, now);
    assert!(is_start(&harness.offer(true, now)));
    harness.open_gate.gate.observe_slowdown(800, now);
    assert_eq!(refusal(&harness.offer(true, now)), Some(Refusal::Slow));
}

#[test]
fn an_outdated_slowdown_report_is_ignored() {
    let mut harness = Harness::new().warm(START);
    harness.open_gate.gate.observe_slowdown(400, START);
    let later = START + Span::from_millis(200);
    let fail_fast = harness.offer(true, later);
    assert!(is_start(&fail_fast));
}

#[test]
fn an_unknown_backend_server_gets_nothing_for_a_second_and_then_the_cold_rate() {
    let mut harness = Harness::new();
    let mut starts = Vec::new();
    for ms in 0..4_000 {
        let now = START + Span::from_millis(ms);
        let tick = harness.open_gate.gate.tick(now);
        let offer = harness.offer(true, now);
        let started = tick
            .iter()
            .chain(&offer)
            .filter(|a| matches!(a, Action::Start(..)));
        starts.extend(started.map(|_| now));
    }
    assert!(starts[0] >= START + Span::from_millis(1_000));
    for (at, first) in starts.iter().enumerate() {
        let window = starts[at..]
            .iter()
            .take_while(|s| s.since(*first) < Span::from_millis(1_000));
        assert!(window.count() <= COLD_RATE as usize);
    }
    assert!(
        starts.len() >= 2 * COLD_RATE as usize,
        "{} starts",
        starts.len()
    );
}

#[test]
fn a_backend_server_that_started_with_its_gate_gets_the_cold_rate_at_once() {
    let mut harness = Harness::new();
    let warmup = Limits::default().warmup();
    let now = START + Span::from_millis(200);
    let left = Span(warmup.0 - Span::from_millis(250).0);
    harness.open_gate.gate.observe_cold(left, now, now);
    let started = (0..60).map(|_| harness.offer(true, now));
    let started = started.filter(|actions| is_start(actions)).count();
    assert_eq!(started, COLD_RATE as usize);
}

#[test]
fn a_backend_server_that_was_cold_before_its_gate_started_gets_nothing_for_a_second() {
    let mut harness = Harness::new();
    let warmup = Limits::default().warmup();
    let now = START + Span::from_millis(200);
    let left = Span(warmup.0 - Span::from_millis(1_500).0);
    harness.open_gate.gate.observe_cold(left, now, now);
    assert!(!is_start(&harness.offer(true, now)));
}

#[test]
fn the_cold_rate_applies_as_soon_as_a_backend_server_turns_cold() {
    let mut harness = Harness::new().warm(START);
    let starts = |harness: &mut Harness, now| {
        let offers = (0..60).map(|_| harness.offer(true, now));
        offers.filter(|actions| is_start(actions)).count()
    };
    assert_eq!(starts(&mut harness, START), 60);
    let later = START + Span::from_millis(300);
    harness
        .open_gate
        .gate
        .observe_cold(Span::from_millis(3_000), later, later);
    assert_eq!(starts(&mut harness, later), 0);
    let next = START + Span::from_millis(1_100);
    harness
        .open_gate
        .gate
        .observe_cold(Span::from_millis(2_200), next, next);
    assert_eq!(starts(&mut harness, next), COLD_RATE as usize);
}

#[test]
fn queued_requests_do_not_go_to_the_replacement_backend_server() {
    let mut harness = Harness::new();
    assert!(
        harness.offer(false, START).is_empty(),
        "it waits, since the backend server counts as cold"
    );
    let replaced = harness.open_gate.gate.replace_server(START);
    assert_eq!(refusal(&replaced), Some(Refusal::Misplaced));
    let later = START + Span::from_millis(2_000);
    let started = harness.open_gate.gate.tick(later);
    assert!(!started.iter().any(|a| matches!(a, Action::Start(..))));
}
