//! What a gate does with attempts that have other places to go, while its backend server is slow; with
//! a backend server that says that it is cold; and when another one takes its place.

mod support;

use gate::{Action, Offer};
use note::Limits;
use support::Open;
use types::{Moment, Outcome, Rate, Refusal, Slots, Span};

const START: Moment = Moment(10_000_000);
const SLOTS: u32 = 100;
const COLD_RATE: u32 = 25;

struct World {
    open: Open,
}

impl World {
    fn new() -> Self {
        let rate = Rate::new(f64::from(COLD_RATE)).expect("a rate");
        let limits = Limits {
            slots: Slots(SLOTS),
            usable: 1.0,
            ..Limits::with_cold_rate(rate)
        };
        let mut open = Open::new(Limits::default());
        open.gate.set_limits(limits, START);
        Self { open }
    }

    /// The backend server says that it is warm.
    fn warm(mut self, now: Moment) -> Self {
        self.open.gate.heard_cold(Span::default(), now, now);
        self
    }

    fn offer(&mut self, choosy: bool, now: Moment) -> Vec<Action> {
        let offer = Offer {
            choosy,
            ..self.open.offer(now + Span::from_millis(60_000))
        };
        self.open.gate.offer(offer, now)
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
fn a_slow_backend_server_is_left_to_those_who_have_nowhere_else_to_go() {
    let mut world = World::new().warm(START);
    world.open.gate.heard_pace(400, START);
    let choosy = world.offer(true, START);
    assert_eq!(refusal(&choosy), Some(Refusal::Slow));
    let other = world.offer(false, START);
    assert!(is_start(&other));
}

#[test]
fn a_cold_backend_server_is_not_declined_for_being_cold() {
    let mut world = World::new();
    let now = START + Span::from_millis(1_000);
    world
        .open
        .gate
        .heard_cold(Span::from_millis(2_000), now, now);
    world.open.gate.heard_pace(200, now);
    assert!(is_start(&world.offer(true, now)));
    world.open.gate.heard_pace(800, now);
    assert_eq!(refusal(&world.offer(true, now)), Some(Refusal::Slow));
}

#[test]
fn an_old_word_on_the_pace_is_not_believed() {
    let mut world = World::new().warm(START);
    world.open.gate.heard_pace(400, START);
    let later = START + Span::from_millis(200);
    let choosy = world.offer(true, later);
    assert!(is_start(&choosy));
}

#[test]
fn an_unknown_backend_server_gets_nothing_in_the_second_after_the_start_and_then_the_cold_rate() {
    let mut world = World::new();
    let mut starts = Vec::new();
    for ms in 0..4_000 {
        let now = START + Span::from_millis(ms);
        let tick = world.open.gate.tick(now);
        let offer = world.offer(true, now);
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
    let mut world = World::new();
    let whole = Limits::default().warm_up();
    let now = START + Span::from_millis(200);
    let left = Span(whole.0 - Span::from_millis(250).0);
    world.open.gate.heard_cold(left, now, now);
    let started = (0..60).map(|_| world.offer(true, now));
    let started = started.filter(|actions| is_start(actions)).count();
    assert_eq!(started, COLD_RATE as usize);
}

#[test]
fn a_backend_server_that_was_cold_before_its_gate_started_gets_nothing_for_a_second() {
    let mut world = World::new();
    let whole = Limits::default().warm_up();
    let now = START + Span::from_millis(200);
    let left = Span(whole.0 - Span::from_millis(1_500).0);
    world.open.gate.heard_cold(left, now, now);
    assert!(!is_start(&world.offer(true, now)));
}

#[test]
fn a_backend_server_that_turns_cold_is_held_to_its_rate_at_once() {
    let mut world = World::new().warm(START);
    let starts = |world: &mut World, now| {
        let offers = (0..60).map(|_| world.offer(true, now));
        offers.filter(|actions| is_start(actions)).count()
    };
    assert_eq!(starts(&mut world, START), 60);
    let later = START + Span::from_millis(300);
    world
        .open
        .gate
        .heard_cold(Span::from_millis(3_000), later, later);
    assert_eq!(starts(&mut world, later), 0);
    let next = START + Span::from_millis(1_100);
    world
        .open
        .gate
        .heard_cold(Span::from_millis(2_200), next, next);
    assert_eq!(starts(&mut world, next), COLD_RATE as usize);
}

#[test]
fn what_waits_for_a_backend_server_is_not_given_to_the_one_that_takes_its_place() {
    let mut world = World::new();
    assert!(
        world.offer(false, START).is_empty(),
        "it waits, as the backend server counts as cold"
    );
    let replaced = world.open.gate.replace_server(START);
    assert_eq!(refusal(&replaced), Some(Refusal::Misplaced));
    let later = START + Span::from_millis(2_000);
    let started = world.open.gate.tick(later);
    assert!(!started.iter().any(|a| matches!(a, Action::Start(..))));
}
