//! Load: one team sends eight times its usual beside others that stay inside their allowances.

mod support;

use support::{Draws, Fleet, STEP, bound, team, terms};
use types::{Moment, TeamId};

const TEAMS: usize = 20;
const NODES: u64 = 30;

/// Runs the fleet until its buckets are full.
fn fleet(delays: &[u64]) -> (Fleet, Vec<TeamId>) {
    let mut fleet = Fleet::new(NODES as usize);
    fleet.delays = delays.to_vec();
    let teams: Vec<_> = (0..TEAMS).map(|i| team(&format!("team-{i}"))).collect();
    for team in &teams {
        fleet.terms.insert(team.clone(), terms(40.0, 40));
    }
    (0..800).for_each(|_| fleet.step());
    (fleet, teams)
}

#[test]
fn a_hot_team_takes_nothing_from_others() {
    let (mut fleet, teams) = fleet(&[1_000, 4_000, 2_000, 30_000]);
    let mut draws = Draws(7);
    let mut sent = [0_u64; TEAMS];
    for _ in 0..2_000 {
        fleet.step();
        for (index, team) in teams.iter().enumerate() {
            // 20 requests a second, 160 of the first team.
            let chance = if index == 0 { 8 } else { 1 };
            for _ in 0..chance {
                if draws.below(1_000_000) < 20 * STEP.0 {
                    sent[index] += 1;
                    fleet.request(draws.below(NODES) as usize, team);
                }
            }
        }
    }
    let share = |index: usize| fleet.ran[&teams[index]].len() as f64 / sent[index] as f64;
    let worst = (1..TEAMS).map(share).fold(1.0, f64::min);
    assert!(worst >= 0.99, "a team beside the hot one got {worst}");
    assert!(fleet.most_run(&teams[0]) <= bound(40.0, 40));
    // The hot team gets its allowance: 40 a second in 20 seconds.
    let ran = fleet.ran[&teams[0]].len();
    assert!(ran >= 800, "the hot team ran {ran}");
}

#[test]
fn requests_that_return_when_told_to_find_room() {
    let (mut fleet, teams) = fleet(&[2_000]);
    let team = &teams[0];
    let mut draws = Draws(9);
    // More than the bucket holds, at once: each refused request returns when it was told to.
    for _ in 0..160 {
        fleet.request(draws.below(NODES) as usize, team);
    }
    let mut returns: Vec<Moment> = Vec::new();
    for _ in 0..1_000 {
        fleet.step();
        let now = fleet.now;
        returns.append(&mut fleet.told);
        let (due, later): (Vec<_>, Vec<_>) = returns.into_iter().partition(|at| *at <= now);
        returns = later;
        for _ in due {
            fleet.request(draws.below(NODES) as usize, team);
        }
    }
    assert_eq!(fleet.ran[team].len(), 160);
    // No request is refused twice.
    let turned_away = 160 - (40.0 * 1.1 + 8.0) as u64;
    assert!(
        fleet.refused[team] <= turned_away,
        "{} refusals",
        fleet.refused[team]
    );
}
