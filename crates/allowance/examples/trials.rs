//! Plays loads and failures on a simulated fleet of 90 nodes, and prints what callers get.
//!
//! `cargo run --release -p allowance --example trials`

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Draws, Fleet, STEP, bound, team, terms};
use types::{Revision, TeamId};

const NODES: u64 = 90;
const RATE: f64 = 20.0;
const BURST: u32 = 20;

/// What happens in a trial, by step from its start.
type Event = fn(&mut Fleet, u64, &TeamId);

fn no_event(_: &mut Fleet, _: u64, _: &TeamId) {}

fn cut(fleet: &mut Fleet, a: usize, b: usize, is_cut: bool) {
    fleet.cut[a][b] = is_cut;
    fleet.cut[b][a] = is_cut;
}

fn bridge_cut(fleet: &mut Fleet, step: u64, team: &TeamId) {
    let zone = fleet.owner_of(team) % 3;
    match step {
        500 => cut(fleet, zone, (zone + 1) % 3, true),
        1_500 => cut(fleet, zone, (zone + 1) % 3, false),
        _ => {}
    }
}

fn zone_cut(fleet: &mut Fleet, step: u64, team: &TeamId) {
    let zone = fleet.owner_of(team) % 3;
    if step == 500 || step == 1_500 {
        cut(fleet, zone, (zone + 1) % 3, step == 500);
        cut(fleet, zone, (zone + 2) % 3, step == 500);
    }
}

fn herd(fleet: &mut Fleet, step: u64, _: &TeamId) {
    for node in 0..NODES as usize {
        match step {
            500 => fleet.kill(node),
            550 => fleet.start(node),
            _ => {}
        }
    }
}

fn owner_killed(fleet: &mut Fleet, step: u64, team: &TeamId) {
    let owner = fleet.owner_of(team);
    match step {
        500 => fleet.kill(owner),
        1_500 => fleet.start(owner),
        _ => {}
    }
}

fn lowered(fleet: &mut Fleet, step: u64, team: &TeamId) {
    if step == 500 {
        let mut lower = terms(RATE / 4.0, BURST / 4);
        lower.revision = Revision(2);
        fleet.terms.insert(team.clone(), lower);
    }
}

/// Plays 20 s of a team at `load` times its rate, of which only what is inside its allowance is sent if `inside`.
fn play(name: &str, load: f64, inside: bool, event: Event) {
    let team = team("team-1");
    let mut fleet = Fleet::new(NODES as usize);
    fleet.delays = vec![1_000, 2_000, 1_500, 9_000];
    fleet.terms.insert(team.clone(), terms(RATE, BURST));
    (0..800).for_each(|_| fleet.step());
    let mut draws = Draws(11);
    let (mut arrivals, mut room, mut sent) = (0.0, f64::from(BURST), 0);
    for step in 0..2_000 {
        event(&mut fleet, step, &team);
        fleet.step();
        let seconds = STEP.0 as f64 / 1e6;
        room = (room + RATE * seconds).min(f64::from(BURST));
        arrivals += RATE * load * seconds * draws.below(2_000) as f64 / 1_000.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            if inside && room < 1.0 {
                continue;
            }
            room -= 1.0;
            sent += 1;
            fleet.request(draws.below(NODES) as usize, &team);
        }
    }
    let refused = fleet.refused.get(&team).copied().unwrap_or_default();
    println!(
        "| {name} | {sent} | {refused} | {} | {} | {} |",
        fleet.unknown,
        fleet.most_run(&team),
        bound(RATE, BURST)
    );
}

/// Plays 5 s of 500 requests a second, spread over this number of teams.
fn sweep(teams: u64) {
    let mut fleet = Fleet::new(NODES as usize);
    let names: Vec<_> = (0..teams).map(|i| team(&format!("team-{i}"))).collect();
    for name in &names {
        fleet
            .terms
            .insert(name.clone(), terms(RATE.max(5_000.0 / teams as f64), BURST));
    }
    (0..800).for_each(|_| fleet.step());
    let (messages, probes) = (fleet.messages, fleet.probes);
    let mut draws = Draws(13);
    for _ in 0..500 {
        fleet.step();
        for _ in 0..5 {
            let name = &names[draws.below(teams) as usize];
            fleet.request(draws.below(NODES) as usize, name);
        }
    }
    let refused: u64 = fleet.refused.values().sum();
    println!(
        "| {teams} | {} | {} | {refused} |",
        (fleet.messages - messages) / 5,
        (fleet.probes - probes) / 5
    );
}

fn main() {
    println!("| trial | sent | refused (429) | unknown (503) | most run in 5 s | bound |");
    println!("|---|---|---|---|---|---|");
    play("calm, moving callers", 0.8, true, no_event);
    play("at the allowance, moving callers", 2.0, true, no_event);
    play("hot, 8 times", 8.0, false, no_event);
    play("lowered limit, hot", 2.0, false, lowered);
    play("bridge cut, calm", 0.8, true, bridge_cut);
    play("bridge cut, hot", 8.0, false, bridge_cut);
    play("zone of the owner cut off, calm", 0.8, true, zone_cut);
    play("zone of the owner cut off, hot", 8.0, false, zone_cut);
    play("herd of restarts, calm", 0.8, true, herd);
    play("herd of restarts, hot", 8.0, false, herd);
    play("owner killed, calm", 0.8, true, owner_killed);
    play("owner killed, hot", 8.0, false, owner_killed);
    println!("\n| teams | questions a second | probes a second | refused |");
    println!("|---|---|---|---|");
    for teams in [10, 100, 1_000, 10_000] {
        sweep(teams);
    }
}
