//! No interleaving of messages, cuts, pauses and restarts lets a team exceed its allowance, and in calm nothing
//! inside the allowance is refused.

mod support;

use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use support::{Draws, Fleet, STEP, bound, team, terms};
use types::Span;

const NODES: usize = 9;

#[derive(Debug, Clone)]
enum Event {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    KillOwner,
    PauseOwner,
    Herd,
    Leave(u64),
    Join(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..NODES).prop_map(Event::Kill),
        4 => (0..NODES).prop_map(Event::Start),
        1 => (0..NODES).prop_map(Event::Pause),
        3 => (0..NODES).prop_map(Event::Wake),
        3 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Event::Cut(a, b)),
        2 => (0..3_usize).prop_map(Event::Isolate),
        4 => Just(Event::Heal),
        3 => Just(Event::KillOwner),
        2 => Just(Event::PauseOwner),
        1 => Just(Event::Herd),
    ]
}

fn apply(fleet: &mut Fleet, event: &Event) {
    let owner = fleet.owner_of(&team("team"));
    match *event {
        Event::Kill(node) => fleet.kill(node),
        Event::Start(node) => fleet.start(node),
        Event::Pause(node) => fleet.set_paused(node, true),
        Event::Wake(node) => fleet.set_paused(node, false),
        Event::Cut(a, b) if a != b => {
            fleet.cut[a][b] = true;
            fleet.cut[b][a] = true;
        }
        Event::Cut(..) => {}
        Event::Isolate(zone) => {
            for other in (0..3).filter(|other| *other != zone) {
                fleet.cut[zone][other] = true;
                fleet.cut[other][zone] = true;
            }
        }
        Event::Heal => {
            fleet.cut = Default::default();
            for node in 0..NODES {
                fleet.set_paused(node, false);
                fleet.start(node);
            }
        }
        Event::KillOwner => fleet.kill(owner),
        Event::PauseOwner => fleet.set_paused(owner, true),
        // The owner's backend server is unlisted and listed again.
        Event::Leave(lag_ms) => fleet.change_members(Some(owner), Span::from_millis(lag_ms)),
        Event::Join(lag_ms) => fleet.change_members(None, Span::from_millis(lag_ms)),
        Event::Herd => {
            for node in 0..NODES {
                fleet.kill(node);
                fleet.start(node);
            }
        }
    }
}

/// As [`event`], while the members of the view change as well.
fn event_or_change() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..NODES).prop_map(Event::Kill),
        4 => (0..NODES).prop_map(Event::Start),
        1 => (0..NODES).prop_map(Event::Pause),
        3 => (0..NODES).prop_map(Event::Wake),
        3 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Event::Cut(a, b)),
        2 => (0..3_usize).prop_map(Event::Isolate),
        4 => Just(Event::Heal),
        3 => Just(Event::KillOwner),
        2 => Just(Event::PauseOwner),
        1 => Just(Event::Herd),
        2 => (0..500_u64).prop_map(Event::Leave),
        2 => (0..500_u64).prop_map(Event::Join),
    ]
}

#[derive(Debug, Clone)]
struct Load {
    rate: f64,
    burst: u32,
    /// Requests sent, in multiples of the rate.
    over: u64,
    seed: u64,
    delays: Vec<u64>,
}

/// Plays events, each some steps after the one before, and returns the most requests that ran in a window.
fn most_run(load: Load, events: &[(u64, Event)]) -> usize {
    let team = team("team");
    let mut fleet = Fleet::new(NODES);
    fleet
        .terms
        .insert(team.clone(), terms(load.rate, load.burst));
    fleet.delays = load.delays;
    let mut draws = Draws(load.seed);
    let mut arrivals = 0.0;
    let calm_end = 800;
    let mut at = calm_end;
    let mut schedule = Vec::new();
    for (gap, event) in events {
        at += gap;
        schedule.push((at, event));
    }
    for step in 0..at + 600 {
        for (_, event) in schedule.iter().filter(|(at, _)| *at == step) {
            apply(&mut fleet, event);
        }
        fleet.step();
        // The team starts when its bucket is full.
        if step >= calm_end - 100 {
            arrivals += load.rate * load.over as f64 * STEP.0 as f64 / 1e6;
        }
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            fleet.request(draws.below(NODES as u64) as usize, &team);
        }
    }
    fleet.most_run(&team)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_bound(
        rate in prop_oneof![1.0..20.0_f64, 20.0..400.0_f64],
        burst in 0..300_u32,
        over in 1..9_u64,
        seed in any::<u64>(),
        delays in vec(prop_oneof![4 => 1_000..20_000_u64, 1 => 20_000..140_000_u64], 1..8),
        events in vec((0..150_u64, event()), 0..30),
    ) {
        let load = Load { rate, burst, over, seed, delays };
        let (most, bound) = (most_run(load, &events), bound(rate, burst));
        prop_assert!(most <= bound, "{most} ran in a window, allowed are {bound}");
    }

    #[test]
    fn no_window_exceeds_the_bound_while_members_change(
        rate in prop_oneof![1.0..20.0_f64, 20.0..400.0_f64],
        burst in 0..300_u32,
        over in 1..9_u64,
        seed in any::<u64>(),
        delays in vec(prop_oneof![4 => 1_000..20_000_u64, 1 => 20_000..140_000_u64], 1..8),
        events in vec((0..150_u64, event_or_change()), 0..30),
    ) {
        let load = Load { rate, burst, over, seed, delays };
        let (most, bound) = (most_run(load, &events), bound(rate, burst));
        prop_assert!(most <= bound, "{most} ran in a window, allowed are {bound}");
    }

    #[test]
    fn nothing_inside_the_allowance_is_refused_in_calm(
        rate in prop_oneof![1.0..20.0_f64, 20.0..400.0_f64],
        burst in 1..300_u32,
        load in 0.2..3.0_f64,
        busy in 1..90_u64,
        seed in any::<u64>(),
    ) {
        let team = team("team");
        let mut fleet = Fleet::new(90);
        fleet.terms.insert(team.clone(), terms(rate, burst));
        let mut draws = Draws(seed);
        let (mut arrivals, mut room, mut first) = (0.0, f64::from(burst), 0);
        for step in 0..2_000_u64 {
            fleet.step();
            if step < 800 {
                continue;
            }
            // Callers move to other nodes.
            first = if step.is_multiple_of(300) { draws.below(90) } else { first };
            let seconds = STEP.0 as f64 / 1e6;
            room = (room + rate * seconds).min(f64::from(burst));
            arrivals += rate * load * seconds * draws.below(2_000) as f64 / 1_000.0;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                if room >= 1.0 {
                    room -= 1.0;
                    fleet.request(((first + draws.below(busy)) % 90) as usize, &team);
                }
            }
        }
        prop_assert_eq!(fleet.refused.get(&team), None);
        prop_assert_eq!(fleet.unknown, 0);
    }
}

/// Found by a longer search with seed 3: the owner had kept its bucket while another node was the owner.
#[test]
fn an_owner_that_leaves_and_joins_again_keeps_the_bound() {
    let load = Load {
        rate: 72.288_786_776_743_54,
        burst: 262,
        over: 8,
        seed: 6_730_443_136_552_173_330,
        delays: vec![110_001, 10_000],
    };
    let bound = bound(load.rate, load.burst);
    let events = [
        (130, Event::Leave(0)),
        (0, Event::Kill(1)),
        (137, Event::Start(0)),
        (34, Event::Join(441)),
        (9, Event::Wake(0)),
    ];
    let most = most_run(load, &events);
    assert!(most <= bound, "{most} ran in a window, allowed are {bound}");
}
