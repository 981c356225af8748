//! The lease on the teams' keys: a proof never looks younger than it is, whatever delays messages.

use fleet::{ConfigProof, KeyLease};
use proptest::prelude::*;
use types::{Moment, Span};

const TERM: Span = Span::from_millis(5_000);

fn at(ms: u64) -> Moment {
    Moment(0) + Span::from_millis(1_000_000 + ms)
}

fn lease(version: u64) -> KeyLease {
    let mut lease = KeyLease::new(TERM);
    lease.set_version(version);
    lease
}

#[test]
fn without_a_proof_no_key_is_served() {
    let lease = lease(7);
    assert!(!lease.is_valid(at(0)));
    assert_eq!(lease.proof(at(0)), None);
    assert!(lease.refresh_at() <= at(0), "the node reads at once");
}

#[test]
fn a_cut_off_node_stops_within_the_term_and_comes_back_with_a_proof() {
    let mut lease = lease(7);
    lease.confirm(at(0));
    assert!(lease.is_valid(at(4_800)));
    assert!(!lease.is_valid(at(4_990)), "clocks differ");
    lease.confirm(at(9_000));
    assert!(lease.is_valid(at(9_000)));
}

#[test]
fn a_read_answered_after_a_freeze_counts_from_when_it_was_sent() {
    let mut lease = lease(7);
    let (sent, handled) = (at(0), at(6_000));
    lease.confirm(sent);
    assert!(!lease.is_valid(handled));
}

#[test]
fn an_older_proof_changes_nothing() {
    let mut lease = lease(7);
    lease.confirm(at(1_000));
    lease.confirm(at(0));
    assert_eq!(lease.age(at(1_500)), Span::from_millis(500));
}

#[test]
fn a_proof_of_another_version_proves_nothing() {
    let mut lease = lease(7);
    for version in [6, 8] {
        let proof = ConfigProof {
            version,
            age: Span(0),
        };
        lease.adopt(proof, at(0));
        assert!(!lease.is_valid(at(0)), "{version}");
    }
}

#[test]
fn an_age_before_the_start_of_the_clock_proves_nothing() {
    let mut lease = lease(7);
    let proof = ConfigProof {
        version: 7,
        age: Span(u64::MAX),
    };
    lease.adopt(proof, at(0));
    assert!(!lease.is_valid(at(0)));
}

#[test]
fn a_calm_node_reads_before_its_lease_ends() {
    let mut lease = lease(7);
    lease.confirm(at(0));
    let left = lease.until().since(lease.refresh_at());
    assert!(left.0 >= 3 * lease.retry_interval().0, "{left:?}");
}

/// What happens to one of three nodes, with the time that passes before it in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    /// A read, and the time until its answer is handled.
    Read { node: usize, took: u64 },
    /// A comparison: how long the question, and its reply, are on their way.
    Compare {
        asker: usize,
        peer: usize,
        out: u64,
        back: u64,
    },
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let delay = 0..4_000_u64;
    let read = (0..3_usize, delay.clone()).prop_map(|(node, took)| Step::Read { node, took });
    let compare = (0..3_usize, 0..3_usize, delay.clone(), delay);
    let compare = compare.prop_map(|(asker, peer, out, back)| Step::Compare {
        asker,
        peer,
        out,
        back,
    });
    (0..2_000_u64, prop_oneof![read, compare])
}

/// Handling of an answer, at a time of its own.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A read of `sent` is handled.
    Read { node: usize, sent: u64 },
    /// A peer writes its reply to a question of `sent`.
    Reply {
        asker: usize,
        peer: usize,
        sent: u64,
        back: u64,
    },
    /// The reply is handled. `true_at` is the time that the peer's proof is of.
    Handled {
        asker: usize,
        proof: ConfigProof,
        true_at: u64,
        sent: u64,
    },
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each node's clock has an offset of its own. `true_at` is kept beside, on a clock that no node has.
    #[test]
    fn a_proof_never_looks_younger_than_it_is(
        steps in prop::collection::vec(step(), 1..40),
        offsets in prop::array::uniform3(0..1_000_000_u64),
    ) {
        let local = |node: usize, ms: u64| at(ms + offsets[node]);
        let mut leases = [lease(7); 3];
        let mut proven: [Option<u64>; 3] = [None; 3];
        let mut queue: Vec<(u64, Event)> = Vec::new();
        let mut time = 0;
        for (pause, step) in steps {
            time += pause;
            queue.push(match step {
                Step::Read { node, took } => (time + took, Event::Read { node, sent: time }),
                Step::Compare { asker, peer, out, back } => {
                    (time + out, Event::Reply { asker, peer, sent: time, back })
                }
            });
        }
        while let Some(next) = (0..queue.len()).min_by_key(|index| queue[*index].0) {
            let (now, event) = queue.swap_remove(next);
            match event {
                Event::Read { node, sent } => {
                    leases[node].confirm(local(node, sent));
                    proven[node] = proven[node].max(Some(sent));
                }
                Event::Reply { asker, peer, sent, back } => {
                    let proof = leases[peer].proof(local(peer, now));
                    if let (Some(proof), Some(true_at)) = (proof, proven[peer]) {
                        queue.push((now + back, Event::Handled { asker, proof, true_at, sent }));
                    }
                }
                Event::Handled { asker, proof, true_at, sent } => {
                    leases[asker].adopt(proof, local(asker, sent));
                    proven[asker] = proven[asker].max(Some(true_at));
                }
            }
            for node in 0..3 {
                let true_age = proven[node].map_or(u64::MAX, |proven| now - proven);
                let age = leases[node].age(local(node, now)).as_millis();
                prop_assert!(age >= true_age.min(1_000_000), "node {} {} {}", node, age, true_age);
            }
        }
    }
}
