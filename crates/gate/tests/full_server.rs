//! Load: twice the requests that a backend server has slots for, which has room for fewer and resets the
//! connections of the others.

mod support;

use std::collections::BTreeMap;

use gate::{Action, Completion, Rank};
use note::Limits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::OpenGate;
use types::{Answer, AttemptId, Moment, Rate, Seq, Slots, Span};

/// The users' target: of the requests started after the first second, under one in a hundred is reset.
const MAX_RESET_RATIO: f64 = 0.01;
const FIRST_SECOND_MS: u64 = 1_000;
const DURATION_MS: u64 = 20_000;
/// Mean times until an answer and until a reset, each between half and one and a half of it.
const SERVICE_MS: u64 = 50;
const RESET_MS: u64 = 1;
/// Requests that are started within this time may arrive in another order.
const OVERTAKING: Span = Span::from_millis(1);
const DEADLINE: Span = Span::from_millis(400);
const STEP_US: u64 = 500;
const OFFER_STEPS: u64 = 5;
const REPORT_STEPS: u64 = 100;
/// More requests than are under way at once.
const MAX_UNSETTLED: u64 = 500;

/// A request at the backend server.
#[derive(Debug, Clone, Copy)]
struct Running {
    end: Moment,
    /// Whether the server has a place for it.
    held: bool,
    answered: bool,
}

/// A backend server and its gate.
struct Simulation {
    open_gate: OpenGate,
    /// Requests that the server can hold.
    room: usize,
    /// Share of the requests that are lost for another reason, and whether that happens once they have run.
    lost: (f64, bool),
    /// Time by which answers arrive after the server has freed their places.
    late: Span,
    /// Whether each second request overtakes the one before it.
    reorders: bool,
    /// Slots that the server reports, if it does.
    reported_slots: Option<u32>,
    rng: SmallRng,
    /// Requests whose ends the gate doesn't know yet, and the last one that it started.
    running: BTreeMap<AttemptId, Running>,
    last: Option<(AttemptId, Moment)>,
    step: u64,
    starts: usize,
    resets: usize,
    most: usize,
}

impl Simulation {
    /// The limits are those of servers that report how cold they are, or are `noted` by operators.
    fn new(noted: bool, room: usize) -> Self {
        let rate = Rate::new(25.0).expect("a valid rate");
        let limits = match noted {
            true => Limits {
                cold: Slots(2),
                warm_ms: 0,
                ..Limits::default()
            },
            false => Limits::with_cold_rate(rate),
        };
        let mut open_gate = OpenGate::new(Limits {
            slots: Slots(10),
            queue: Slots(40),
            ..limits
        });
        open_gate.gate = open_gate.gate.with_learned_room();
        Self {
            open_gate,
            room,
            lost: (0.0, false),
            late: Span::default(),
            reorders: false,
            reported_slots: None,
            rng: SmallRng::seed_from_u64(18),
            running: BTreeMap::new(),
            last: None,
            step: 20_000,
            starts: 0,
            resets: 0,
            most: 0,
        }
    }

    fn now(&self) -> Moment {
        Moment(self.step * STEP_US)
    }

    fn held(&self) -> usize {
        let now = self.now();
        let held = |r: &&Running| r.held && r.end > now;
        self.running.values().filter(held).count()
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Start(id, _) = action else {
                continue;
            };
            let (share, has_run) = self.lost;
            let lost = self.rng.random_bool(share);
            let held = self.held() < self.room && (!lost || has_run);
            let factor = self.rng.random_range(0.5..1.5);
            let duration = Span::from_millis(if held { SERVICE_MS } else { RESET_MS });
            let running = Running {
                end: self.now() + duration.scale(factor),
                held,
                answered: held && !lost,
            };
            self.running.insert(id, running);
            self.overtake(id);
            self.starts += 1;
            self.resets += usize::from(!held);
            self.most = self.most.max(self.held());
        }
    }

    /// Lets a request arrive before the one that was started less than a millisecond before.
    fn overtake(&mut self, id: AttemptId) {
        let now = self.now();
        let last = self.last.replace((id, now));
        let near = last.filter(|(_, at)| self.reorders && now.since(*at) < OVERTAKING);
        if let Some((before, _)) = near
            && let Some(first) = self.running.remove(&before)
            && let Some(second) = self.running.insert(id, first)
        {
            self.running.insert(before, second);
        }
    }

    fn finish_due(&mut self) {
        let now = self.now();
        let late = self.late;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |_, r| match r.answered {
                true => r.end + late <= now,
                false => r.end <= now,
            })
            .collect();
        for (id, running) in ended {
            let completion = match running.answered {
                true => Completion::Answered(Answer::default().into()),
                false => Completion::Incomplete,
            };
            let actions = self.open_gate.gate.complete(id, completion, now);
            self.carry_out(actions);
        }
    }

    fn run(&mut self, duration_ms: u64) {
        (self.starts, self.resets, self.most) = (0, 0, 0);
        for _ in 0..duration_ms * 1_000 / STEP_US {
            self.step += 1;
            let now = self.now();
            let mut actions = self.open_gate.gate.tick(now);
            if self.step.is_multiple_of(REPORT_STEPS) {
                actions.extend(self.open_gate.gate.observe_cold(Span::default(), now, now));
                let slots = self.reported_slots.unwrap_or_default();
                let held = self.held() as u32;
                self.open_gate.gate.observe_occupancy(held, slots, now);
            }
            if self.step.is_multiple_of(OFFER_STEPS) {
                let mut offer = self.open_gate.offer(now + DEADLINE);
                offer.floor = Seq(offer.id.seq.0.saturating_sub(MAX_UNSETTLED));
                let (objective, service_time) = (offer.deadline, Span::from_millis(SERVICE_MS));
                offer.rank = Rank {
                    objective,
                    service_time,
                    ..Rank::default()
                };
                actions.extend(self.open_gate.gate.offer(offer, now));
            }
            self.carry_out(actions);
            self.finish_due();
        }
    }

    /// Checks that the room is learned within a second: few requests are reset from then on, and as much of the
    /// room is used as `overload.rs` asks.
    fn assert_learned(&mut self) {
        self.run(FIRST_SECOND_MS);
        self.run(DURATION_MS);
        let ratio = self.resets as f64 / self.starts as f64;
        assert!(
            ratio < MAX_RESET_RATIO,
            "{} of {} reset",
            self.resets,
            self.starts
        );
        let capacity = self.room * (DURATION_MS / SERVICE_MS) as usize;
        assert!(
            (self.starts - self.resets) * 10 >= capacity * 8,
            "{} starts",
            self.starts
        );
    }
}

/// Checks servers of every room whose limits are noted or not, and whose reports are right, wrong or missing.
fn assert_all_learned(set_up: impl Fn(&mut Simulation)) {
    for (noted, room) in [false, true]
        .into_iter()
        .flat_map(|n| [2, 4, 6, 8].map(|r| (n, r)))
    {
        for reported_slots in [None, Some(room as u32), Some(10)] {
            let mut simulation = Simulation::new(noted, room);
            simulation.reported_slots = reported_slots;
            set_up(&mut simulation);
            simulation.assert_learned();
            println!(
                "room {room}: {} of {}",
                simulation.resets, simulation.starts
            );
        }
    }
}

#[test]
fn a_full_server_resets_few_requests() {
    assert_all_learned(|_| {});
}

#[test]
fn requests_that_arrive_in_another_order_are_no_restart() {
    assert_all_learned(|simulation| simulation.reorders = true);
}

#[test]
fn answers_on_their_way_are_no_room() {
    assert_all_learned(|simulation| simulation.late = Span::from_millis(1));
}

#[test]
fn answers_on_their_way_for_long_are_no_room() {
    assert_all_learned(|simulation| simulation.late = Span::from_millis(5));
}

#[test]
fn room_that_changes_is_learned_again() {
    let mut simulation = Simulation::new(false, 8);
    for room in [3, 8, 2, 6] {
        simulation.room = room;
        simulation.run(DURATION_MS);
        simulation.assert_learned();
    }
}

/// A server that resets nearly all for some seconds isn't told from a full one. Its limit stayed at 1 for 20 s.
#[test]
fn a_server_that_was_faulty_has_its_room_back_within_seconds() {
    let mut simulation = Simulation::new(true, 9);
    simulation.run(FIRST_SECOND_MS);
    simulation.room = 1;
    simulation.run(3_000);
    simulation.room = 9;
    simulation.run(2_000);
    simulation.run(FIRST_SECOND_MS);
    assert!(simulation.most >= 8, "{} at a time", simulation.most);
}

/// A server that is faulty in the same way must not get less afterwards where no server resets when it is full.
#[test]
fn nothing_is_learned_unless_servers_may_reset_when_full() {
    let mut simulation = Simulation::new(true, 1);
    simulation.open_gate = OpenGate::new(Limits {
        slots: Slots(10),
        queue: Slots(40),
        cold: Slots(10),
        warm_ms: 0,
        ..Limits::default()
    });
    simulation.run(3_000);
    assert_eq!(simulation.open_gate.gate.learned_room(), None);
    simulation.room = 10;
    simulation.run(FIRST_SECOND_MS);
    assert!(simulation.most >= 8, "{} at a time", simulation.most);
}

/// Idle connections that were closed, lost answers and failures of a server with free slots don't.
#[test]
fn resets_for_other_reasons_do_not_lower_the_limit() {
    for (lost, slots) in [
        ((0.05, false), None),
        ((0.4, true), None),
        ((0.4, false), Some(10)),
    ] {
        let mut simulation = Simulation::new(false, 8);
        (simulation.lost, simulation.reported_slots) = (lost, slots);
        simulation.run(DURATION_MS);
        simulation.lost = (0.0, false);
        simulation.run(FIRST_SECOND_MS);
        assert_eq!(simulation.most, 8, "{lost:?}");
    }
}

#[test]
fn a_crash_does_not_lower_the_limit() {
    let mut simulation = Simulation::new(false, 8);
    for crash in 0..20 {
        simulation.run(FIRST_SECOND_MS + crash * 7);
        assert_eq!(simulation.most, 8, "crash {crash}");
        let now = simulation.now();
        let running = simulation.running.values_mut();
        running.for_each(|r| (r.end, r.answered) = (now, false));
    }
}
