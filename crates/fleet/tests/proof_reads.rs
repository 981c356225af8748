//! Load and failures: reads for the proofs that teams' keys depend on don't grow with the fleet in calm, and nodes serve
//! keys beside dead ones and a platform that answers some nodes only.

mod support;

use support::{Fleet, KEY_TERM};
use types::Span;

/// Most reads for proofs by a calm fleet within a lease, whatever its size.
const MAX_READS: usize = 2;
/// Reads of the platform by the whole fleet in a second.
const READS_PER_S: f64 = 3.0;
/// Time until the fleet is calm.
const START: Span = Span::from_millis(20_000);
/// Number of leases for which it is watched.
const LEASES: usize = 10;

fn fleet(size: usize, seed: u64) -> Fleet {
    Fleet::with_keys(READS_PER_S, size, seed)
}

/// Watches a fleet, and fails when a live node serves no keys.
fn assert_serving(fleet: &mut Fleet) {
    let end = fleet.now + KEY_TERM.scale(LEASES as f64);
    let live = (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].alive);
    let live: Vec<usize> = live.collect();
    while fleet.now < end {
        fleet.step();
        let silent = live.iter().find(|index| !fleet.serves_keys(**index));
        assert_eq!(silent, None, "it serves no keys");
    }
}

#[test]
fn reads_for_proofs_do_not_grow_with_the_fleet() {
    for size in [20, 50, 100] {
        let mut fleet = fleet(size, 3);
        fleet.run(START);
        fleet.proof_reads = Some(0);
        assert_serving(&mut fleet);
        let reads = fleet.proof_reads.unwrap_or_default();
        assert!(reads <= MAX_READS * LEASES, "{size} nodes: {reads} reads");
    }
}

#[test]
fn a_cut_off_node_stops_within_the_lease_and_comes_back() {
    let mut fleet = fleet(50, 4);
    fleet.run(START);
    fleet.nodes[20].reaches_platform = false;
    fleet.nodes[20].is_cut = true;
    fleet.run(KEY_TERM);
    assert!(!fleet.serves_keys(20));
    fleet.nodes[20].is_cut = false;
    fleet.run(Span::from_millis(1_000));
    assert!(fleet.serves_keys(20), "a peer's proof is enough");
}

#[test]
fn all_nodes_serve_if_the_platform_answers_every_second_one() {
    let mut fleet = fleet(50, 5);
    for node in fleet.nodes.iter_mut().step_by(2) {
        node.reaches_platform = false;
    }
    fleet.run(START);
    assert_serving(&mut fleet);
}

#[test]
fn live_nodes_serve_beside_dead_ones() {
    let mut fleet = fleet(50, 6);
    for node in fleet.nodes.iter_mut().step_by(5) {
        node.alive = false;
    }
    fleet.run(START);
    assert_serving(&mut fleet);
}
