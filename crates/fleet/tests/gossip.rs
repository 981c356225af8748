//! Simulations of the gossip protocol in virtual time: a note must be in force on all nodes within
//! 11 s although messages are lost, nodes are dead, and few nodes reach the platform.

use std::net::SocketAddr;

use fleet::{Action, Gossip, ReadBudget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::{Moment, Rate, Revision, Span};

/// Time within which the users require a note to be in force on all nodes.
const MAX_PROPAGATION_TIME: Span = Span::from_millis(11_000);
/// Step of the virtual time, and latency of a message.
const STEP: Span = Span::from_millis(20);
/// Time after which a request without an answer fails.
const REQUEST_TIMEOUT: Span = Span::from_millis(500);
/// Read budget of the fleet in reads per second.
const READS_PER_S: f64 = 100.0;

struct Node {
    gossip: Gossip,
    revision: Revision,
    alive: bool,
    reaches_platform: bool,
    /// Offset of the node's clock from the virtual time.
    clock_offset: Span,
}

enum Event {
    ReadDone,
    ReadFailed,
    CompareRequest {
        peer: usize,
        revision: Revision,
        clock: Moment,
        hops: u32,
    },
    CompareReply {
        peer: usize,
        revision: Revision,
        clock: Moment,
    },
    PullReply {
        peer: usize,
        revision: Revision,
    },
    Unreachable {
        peer: usize,
    },
}

struct Fleet {
    nodes: Vec<Node>,
    events: Vec<(Moment, usize, Event)>,
    now: Moment,
    loss_rate: f64,
    latest: Revision,
    reads: Vec<Moment>,
    rng: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, (index >> 16) as u8, (index >> 8) as u8, index as u8],
        7000,
    ))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (v4.ip().to_bits() & 0x00ff_ffff) as usize,
        SocketAddr::V6(_) => unreachable!("addresses of the test are IPv4"),
    }
}

impl Fleet {
    fn new(size: usize, loss_rate: f64, dead_share: f64, reach_share: f64, seed: u64) -> Self {
        Self::with_reads(READS_PER_S, size, loss_rate, dead_share, reach_share, seed)
    }

    fn with_reads(
        reads: f64,
        size: usize,
        loss_rate: f64,
        dead_share: f64,
        reach_share: f64,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members: Vec<SocketAddr> = (0..size).map(address).collect();
        let reads = Rate::new(reads).expect("a rate");
        let node = |index: usize| Node {
            gossip: Gossip::new(
                address(index),
                members.clone(),
                ReadBudget { reads },
                SmallRng::seed_from_u64(seed * 1_000_003 + index as u64),
            ),
            revision: Revision(0),
            alive: !rng.random_bool(dead_share),
            reaches_platform: rng.random_bool(reach_share),
            clock_offset: Span::from_millis(rng.random_range(0..1_000_000)),
        };
        let mut nodes: Vec<Node> = (0..size).map(node).collect();
        // At least one live node must reach the platform.
        (nodes[0].alive, nodes[0].reaches_platform) = (true, true);
        Self {
            nodes,
            events: Vec::new(),
            now: Moment(1),
            loss_rate,
            latest: Revision(0),
            reads: Vec::new(),
            rng,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(due_at, ..)| *due_at <= now);
        self.events = later;
        let due: Vec<(Moment, usize, Event)> = due;
        due.into_iter()
            .for_each(|(_, index, event)| self.handle(index, event));
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let now = now + node.clock_offset;
            if node.alive && node.gossip.next_tick() <= now {
                let actions = node.gossip.tick(now);
                self.execute(index, actions);
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now + self.nodes[index].clock_offset;
        let node = &mut self.nodes[index];
        let actions = match event {
            Event::ReadDone => {
                self.reads.push(self.now);
                node.revision = node.revision.max(self.latest);
                node.gossip.set_platform_reachable(true);
                node.gossip.on_new_revision(node.revision)
            }
            Event::ReadFailed => {
                node.gossip.set_platform_reachable(false);
                Vec::new()
            }
            Event::CompareRequest {
                peer,
                revision,
                clock,
                hops,
            } => {
                let own = node.revision;
                let answered = !self.rng.random_bool(self.loss_rate);
                let reply = match answered {
                    true => Event::CompareReply {
                        peer: index,
                        revision: own,
                        clock: node.gossip.fleet_time(now),
                    },
                    false => Event::Unreachable { peer: index },
                };
                let delay = if answered { STEP } else { REQUEST_TIMEOUT };
                self.events.push((self.now + delay, peer, reply));
                node.gossip.on_peer_clock(clock, now);
                let mut actions = node.gossip.on_peer_revision(address(peer), revision);
                if hops > 0 {
                    actions.extend(node.gossip.on_read_request(hops - 1, now));
                }
                actions
            }
            Event::CompareReply {
                peer,
                revision,
                clock,
            } => {
                node.gossip.on_peer_clock(clock, now);
                node.gossip.on_compare_answered(now);
                node.gossip.on_peer_revision(address(peer), revision)
            }
            Event::PullReply { peer, revision } => {
                let mut actions = node.gossip.on_pull_ended(address(peer));
                node.revision = node.revision.max(revision);
                actions.extend(node.gossip.on_new_revision(node.revision));
                actions
            }
            Event::Unreachable { peer } => {
                node.gossip.on_peer_unreachable(address(peer), now);
                Vec::new()
            }
        };
        self.execute(index, actions);
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let lost = self.rng.random_bool(self.loss_rate);
            let revision = self.nodes[index].revision;
            let now = self.now + self.nodes[index].clock_offset;
            let clock = self.nodes[index].gossip.fleet_time(now);
            let (delay, to, event) = match action {
                Action::Read if lost || !self.nodes[index].reaches_platform => {
                    (REQUEST_TIMEOUT, index, Event::ReadFailed)
                }
                Action::Read => (STEP, index, Event::ReadDone),
                Action::Compare(peer) | Action::Delegate(peer, _)
                    if lost || !self.nodes[index_of(peer)].alive =>
                {
                    (
                        REQUEST_TIMEOUT,
                        index,
                        Event::Unreachable {
                            peer: index_of(peer),
                        },
                    )
                }
                Action::Compare(peer) | Action::Delegate(peer, _) => {
                    let hops = match action {
                        Action::Delegate(_, hops) => hops + 1,
                        _ => 0,
                    };
                    let event = Event::CompareRequest {
                        peer: index,
                        revision,
                        clock,
                        hops,
                    };
                    (STEP, index_of(peer), event)
                }
                Action::Pull(peer) if lost || !self.nodes[index_of(peer)].alive => (
                    REQUEST_TIMEOUT,
                    index,
                    Event::Unreachable {
                        peer: index_of(peer),
                    },
                ),
                Action::Pull(peer) => {
                    let peer = index_of(peer);
                    let revision = self.nodes[peer].revision;
                    (STEP, index, Event::PullReply { peer, revision })
                }
            };
            self.events.push((self.now + delay, to, event));
        }
    }

    /// Publishes a note after 3 s and returns the time until it is in force on all live nodes.
    fn propagation_time(&mut self) -> Span {
        let publish_at = self.now + Span::from_millis(3_000);
        while self.now < publish_at {
            self.step();
        }
        self.latest = self.latest.next();
        let (published, latest) = (self.now, self.latest);
        while self.nodes.iter().any(|n| n.alive && n.revision < latest) {
            self.step();
            assert!(
                self.now.since(published) <= MAX_PROPAGATION_TIME,
                "not in force within 11 s"
            );
        }
        self.now.since(published)
    }
}

/// Returns the longest propagation time over three fleets, after printing it.
fn max_propagation_time(size: usize, loss_rate: f64, dead_share: f64, reach_share: f64) -> Span {
    let fleets = (1..=3)
        .map(|seed| Fleet::new(size, loss_rate, dead_share, reach_share, seed).propagation_time());
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
