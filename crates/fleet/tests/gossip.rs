//! Simulations of the gossip protocol in virtual time: a note must be in force on all nodes within
//! 11 s although messages are lost, nodes are dead, and few nodes reach the platform.

mod support;

use fleet::{Action, Gossip, ReadBudget};
use rand::{SeedableRng, rngs::SmallRng};
use support::{Fleet, READS_PER_S, address};
use types::{Moment, Rate, Span};

/// Time within which the users require a note to be in force on all nodes.
const MAX_PROPAGATION_TIME: Span = Span::from_millis(11_000);
/// Publishes a note after 3 s and returns the time until it is in force on all live nodes.
fn propagation_time(fleet: &mut Fleet) -> Span {
    let publish_at = fleet.now + Span::from_millis(3_000);
    while fleet.now < publish_at {
        fleet.step();
    }
    fleet.latest = fleet.latest.next();
    let (published, latest) = (fleet.now, fleet.latest);
    while fleet.nodes.iter().any(|n| n.alive && n.revision < latest) {
        fleet.step();
        assert!(
            fleet.now.since(published) <= MAX_PROPAGATION_TIME,
            "not in force within 11 s"
        );
    }
    fleet.now.since(published)
}

/// Returns the longest propagation time over three fleets, after printing it.
fn max_propagation_time(size: usize, loss_rate: f64, dead_share: f64, reach_share: f64) -> Span {
    let fleets = (1..=3).map(|seed| {
        propagation_time(&mut Fleet::new(
            size,
            loss_rate,
            dead_share,
            reach_share,
            seed,
        ))
    });
    let longest = fleets.max().unwrap_or_default();
    println!(
        "{size} nodes, loss {loss_rate}, dead {dead_share}, reaching {reach_share}: {longest}"
    );
    longest
}

#[test]
fn a_note_reaches_1100_nodes_in_time() {
    max_propagation_time(1_100, 0.0, 0.0, 1.0);
}

#[test]
fn a_note_reaches_all_live_nodes_in_time_despite_lost_messages_and_dead_nodes() {
    max_propagation_time(1_100, 0.2, 0.1, 1.0);
}

#[test]
fn a_note_reaches_all_live_nodes_in_time_if_one_in_a_hundred_reaches_the_platform() {
    max_propagation_time(1_100, 0.2, 0.1, 0.01);
}

/// Returns the longest time between two successful reads of the platform within two minutes, after
/// a warm-up of ten seconds.
fn max_read_gap(
    reads: f64,
    size: usize,
    loss_rate: f64,
    dead_share: f64,
    reach_share: f64,
    seed: u64,
) -> Span {
    let mut fleet = Fleet::with_reads(reads, size, loss_rate, dead_share, reach_share, seed);
    let start = fleet.now + Span::from_millis(10_000);
    let end = start + Span::from_millis(120_000);
    while fleet.now < end {
        fleet.step();
    }
    let reads = fleet.reads.iter().filter(|read_at| **read_at >= start);
    let gaps = reads.clone().zip(reads.skip(1)).map(|(a, b)| b.since(*a));
    gaps.max().unwrap_or(Span::from_millis(120_000))
}

/// Longest allowed time between two reads. A backend server may stop two seconds after it
/// announced its stop, and part of this time is needed to distribute the change.
const MAX_READ_GAP: Span = Span::from_millis(1_500);

#[test]
fn reads_are_evenly_spaced_at_any_fleet_size() {
    for size in [1, 2, 12, 69, 300] {
        let gap = max_read_gap(3.0, size, 0.0, 0.0, 1.0, 5);
        assert!(gap <= MAX_READ_GAP, "{size} nodes: {gap}");
    }
}

#[test]
fn reads_are_evenly_spaced_if_the_platform_answers_two_nodes_in_three() {
    for seed in 1..=3 {
        let gap = max_read_gap(3.0, 69, 0.0, 0.0, 0.65, seed);
        assert!(gap <= MAX_READ_GAP, "seed {seed}: {gap}");
    }
}

#[test]
fn reads_are_evenly_spaced_if_a_quarter_of_the_nodes_is_dead() {
    for seed in 1..=3 {
        let gap = max_read_gap(3.0, 69, 0.0, 0.25, 1.0, seed);
        // In fleets of this size, a backend server may stop 2.5 s after it announced its stop.
        let max = MAX_READ_GAP + Span::from_millis(500);
        assert!(gap <= max, "seed {seed}: {gap}");
    }
}

#[test]
fn a_view_announced_by_several_peers_is_pulled_once() {
    let reads = Rate::new(3.0).expect("a rate");
    let members = (1..9).map(address).collect();
    let rng = SmallRng::seed_from_u64(1);
    let mut gossip = Gossip::new(address(0), members, ReadBudget { reads }, rng);
    let now = Moment(5_000_000);
    assert_eq!(
        gossip.on_peer_differs(address(1), now),
        [Action::Pull(address(1))]
    );
    assert!(gossip.on_peer_differs(address(2), now).is_empty());
    assert!(gossip.on_peer_differs(address(3), now).is_empty());
    // The last of these peers may have had a newer view.
    assert_eq!(
        gossip.on_pull_ended(address(1)),
        [Action::Compare(address(3))]
    );
    assert!(gossip.on_pull_ended(address(1)).is_empty());
    assert_eq!(
        gossip.on_peer_differs(address(3), now),
        [Action::Pull(address(3))]
    );
    // A pull that hangs doesn't block other pulls.
    let later = now + Span::from_millis(200);
    assert_eq!(
        gossip.on_peer_differs(address(4), later),
        [Action::Pull(address(4))]
    );
}

#[test]
fn a_node_partitioned_from_its_peers_reads_by_itself() {
    let mut fleet = Fleet::with_reads(3.0, 69, 0.0, 0.0, 1.0, 4);
    (1..69).for_each(|index| fleet.nodes[index].alive = false);
    let end = fleet.now + Span::from_millis(60_000);
    let mut last = fleet.now;
    while fleet.now < end {
        let before = fleet.reads.len();
        fleet.step();
        if fleet.reads.len() > before {
            last = fleet.now;
        }
        let gap = fleet.now.since(last);
        assert!(gap <= MAX_READ_GAP, "no read for {gap}");
    }
}

#[test]
fn reads_stay_within_the_budget_at_any_fleet_size() {
    for size in [12, 110, 1_100] {
        let mut fleet = Fleet::new(size, 0.0, 0.0, 1.0, 7);
        let seconds = 20;
        let end = fleet.now + Span::from_millis(seconds * 1_000);
        while fleet.now < end {
            fleet.step();
        }
        // Each node also reads once when it starts.
        let initial = size as f64;
        let budget = READS_PER_S * seconds as f64 + initial;
        let reads = fleet.reads.len();
        assert!(reads as f64 <= budget, "{size}: {reads} of {budget}");
    }
}
