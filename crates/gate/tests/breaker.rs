//! Circuit breaker for a backend server that fails requests while its health endpoint reports that
//! it is healthy.

mod support;

use gate::{Action, Completion, Offer};
use note::Limits;
use support::OpenGate;
use types::{Answer, Moment, Outcome, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);

struct Harness {
    open_gate: OpenGate,
    now: Moment,
}

impl Harness {
    fn new() -> Self {
        let limits = Limits {
            slots: Slots(10),
            cold: Slots(10),
            ..Limits::default()
        };
        Self {
            open_gate: OpenGate::new(limits),
            now: START,
        }
    }

    /// Offers an attempt 10 ms after the previous one. Returns the refusal, if it was refused.
    fn attempt(&mut self, fail_fast: bool, status: u16) -> Option<Refusal> {
        self.now = self.now + Span::from_millis(10);
        let offer = Offer {
            fail_fast,
            ..self.open_gate.offer(self.now + Span::from_millis(60_000))
        };
        let id = offer.id;
        match &self.open_gate.gate.offer(offer, self.now)[..] {
            [Action::Start(..)] => {
                let answer = Answer {
                    status,
                    ..Answer::default()
                };
                let completion = Completion::Answered(answer.into());
                self.open_gate.gate.complete(id, completion, self.now);
                None
            }
            [Action::Reply(_, Outcome::NotRun { refusal, .. })] => Some(*refusal),
            other => panic!("neither started nor refused: {other:?}"),
        }
    }

    fn started(&mut self, count: usize, status: u16) -> usize {
        let attempts = (0..count).map(|_| self.attempt(true, status));
        attempts.filter(Option::is_none).count()
    }
}

#[test]
fn an_open_breaker_refuses_only_fail_fast_attempts() {
    let mut harness = Harness::new();
    harness.started(20, 500);
    assert_eq!(harness.attempt(true, 500), Some(Refusal::Failing));
    assert_eq!(harness.attempt(false, 500), None);
}

#[test]
fn an_open_breaker_passes_four_attempts_a_second_and_closes_on_recovery() {
    let mut harness = Harness::new();
    harness.started(20, 500);
    let started = harness.started(100, 500);
    assert!((3..=5).contains(&started), "{started} in a second");
    harness.started(300, 200);
    assert_eq!(harness.started(20, 200), 20);
}

#[test]
fn a_few_failures_do_not_open_the_breaker() {
    let mut harness = Harness::new();
    for _ in 0..50 {
        assert_eq!(harness.attempt(true, 500), None);
        assert_eq!(harness.started(9, 200), 9);
    }
}
