//! A backend server that fails its requests while it says that it is well.

mod support;

use gate::{Action, Completion, Offer};
use note::Limits;
use support::Open;
use types::{Answer, Moment, Outcome, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);

struct World {
    open: Open,
    now: Moment,
}

impl World {
    fn new() -> Self {
        let limits = Limits {
            slots: Slots(10),
            cold: Slots(10),
            ..Limits::default()
        };
        Self {
            open: Open::new(limits),
            now: START,
        }
    }

    /// An attempt 10 ms after the one before. Returns why it was refused, if it was.
    fn attempt(&mut self, fail_fast: bool, status: u16) -> Option<Refusal> {
        self.now = self.now + Span::from_millis(10);
        let offer = Offer {
            fail_fast,
            ..self.open.offer(self.now + Span::from_millis(60_000))
        };
        let id = offer.id;
        match &self.open.gate.offer(offer, self.now)[..] {
            [Action::Start(..)] => {
                let answer = Answer {
                    status,
                    ..Answer::default()
                };
                let finish = Completion::Answered(answer.into());
                self.open.gate.complete(id, finish, self.now);
                None
            }
            [Action::Reply(_, Outcome::NotRun { refusal, .. })] => Some(*refusal),
            other => panic!("neither started nor refused: {other:?}"),
        }
    }

    fn taken(&mut self, count: usize, status: u16) -> usize {
        let attempts = (0..count).map(|_| self.attempt(true, status));
        attempts.filter(Option::is_none).count()
    }
}

#[test]
fn a_backend_server_whose_answers_fail_is_left_to_those_who_have_nowhere_else_to_go() {
    let mut world = World::new();
    world.taken(20, 500);
    assert_eq!(world.attempt(true, 500), Some(Refusal::Failing));
    assert_eq!(world.attempt(false, 500), None);
}

#[test]
fn a_failing_backend_server_gets_four_attempts_a_second_and_is_found_well_again() {
    let mut world = World::new();
    world.taken(20, 500);
    let taken = world.taken(100, 500);
    assert!((3..=5).contains(&taken), "{taken} in a second");
    world.taken(300, 200);
    assert_eq!(world.taken(20, 200), 20);
}

#[test]
fn a_few_failures_among_many_answers_change_nothing() {
    let mut world = World::new();
    for _ in 0..50 {
        assert_eq!(world.attempt(true, 500), None);
        assert_eq!(world.taken(9, 200), 9);
    }
}
