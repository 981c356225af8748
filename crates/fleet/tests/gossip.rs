//! A note is in force everywhere within the users' 11 s, in virtual time, over a network that loses
//! messages, with nodes that are dead, and with a platform that few nodes reach.

use std::net::SocketAddr;

use fleet::{Action, Gossip, ReadBudget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::{Moment, Rate, Revision, Span};

/// What the users ask for.
const IN_FORCE_WITHIN: Span = Span::from_millis(11_000);
/// Grain of the virtual time, which is also the time that a message takes.
const STEP: Span = Span::from_millis(20);
/// Time after which a question without an answer counts as failed.
const TIMEOUT: Span = Span::from_millis(500);
/// Reads per second of all nodes.
const READS: f64 = 100.0;

struct Node {
    spread: Gossip,
    revision: Revision,
    alive: bool,
    reaches: bool,
    /// How far its clock is ahead of the virtual time.
    ahead: Span,
}

enum Event {
    Read,
    Failed,
    Compared {
        peer: usize,
        revision: Revision,
        clock: Moment,
        hops: u32,
    },
    Heard {
        peer: usize,
        revision: Revision,
        clock: Moment,
    },
    Pulled {
        peer: usize,
        revision: Revision,
    },
    Lost {
        peer: usize,
    },
}

struct Fleet {
    nodes: Vec<Node>,
    events: Vec<(Moment, usize, Event)>,
    now: Moment,
    loss: f64,
    head: Revision,
    reads: Vec<Moment>,
    rng: SmallRng,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 7000))
}

fn place(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (v4.ip().to_bits() & 0x00ff_ffff) as usize,
        SocketAddr::V6(_) => unreachable!("addresses of the test are IPv4"),
    }
}

impl Fleet {
    fn new(size: usize, loss: f64, dead: f64, reaching: f64, seed: u64) -> Self {
        Self::with_reads(READS, size, loss, dead, reaching, seed)
    }

    fn with_reads(reads: f64, size: usize, loss: f64, dead: f64, reaching: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members: Vec<SocketAddr> = (0..size).map(address).collect();
        let reads = Rate::new(reads).expect("a rate");
        let node = |at: usize| Node {
            spread: Gossip::new(
                address(at),
                members.clone(),
                ReadBudget { reads },
                SmallRng::seed_from_u64(seed * 1_000_003 + at as u64),
            ),
            revision: Revision(0),
            alive: !rng.random_bool(dead),
            reaches: rng.random_bool(reaching),
            ahead: Span::from_millis(rng.random_range(0..1_000_000)),
        };
        let mut nodes: Vec<Node> = (0..size).map(node).collect();
        // Somebody must reach the platform.
        (nodes[0].alive, nodes[0].reaches) = (true, true);
        Self {
            nodes,
            events: Vec::new(),
            now: Moment(1),
            loss,
            head: Revision(0),
            reads: Vec::new(),
            rng,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.events = later;
        let due: Vec<(Moment, usize, Event)> = due;
        due.into_iter()
            .for_each(|(_, at, event)| self.take(at, event));
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            let now = now + node.ahead;
            if node.alive && node.spread.next_tick() <= now {
                let actions = node.spread.tick(now);
                self.carry_out(at, actions);
            }
        }
    }

    fn take(&mut self, at: usize, event: Event) {
        let now = self.now + self.nodes[at].ahead;
        let node = &mut self.nodes[at];
        let actions = match event {
            Event::Read => {
                self.reads.push(self.now);
                node.revision = node.revision.max(self.head);
                node.spread.set_platform_reachable(true);
                node.spread.on_new_revision(node.revision)
            }
            Event::Failed => {
                node.spread.set_platform_reachable(false);
                Vec::new()
            }
            Event::Compared {
                peer,
                revision,
                clock,
                hops,
            } => {
                let own = node.revision;
                let answered = !self.rng.random_bool(self.loss);
                let back = match answered {
                    true => Event::Heard {
                        peer: at,
                        revision: own,
                        clock: node.spread.fleet_time(now),
                    },
                    false => Event::Lost { peer: at },
                };
                let wait = if answered { STEP } else { TIMEOUT };
                self.events.push((self.now + wait, peer, back));
                node.spread.on_peer_clock(clock, now);
                let mut actions = node.spread.on_peer_revision(address(peer), revision);
                if hops > 0 {
                    actions.extend(node.spread.on_read_request(hops - 1, now));
                }
                actions
            }
            Event::Heard {
                peer,
                revision,
                clock,
            } => {
                node.spread.on_peer_clock(clock, now);
                node.spread.on_compare_answered(now);
                node.spread.on_peer_revision(address(peer), revision)
            }
            Event::Pulled { peer, revision } => {
                let mut actions = node.spread.on_pull_ended(address(peer));
                node.revision = node.revision.max(revision);
                actions.extend(node.spread.on_new_revision(node.revision));
                actions
            }
            Event::Lost { peer } => {
                node.spread.on_peer_unreachable(address(peer), now);
                Vec::new()
            }
        };
        self.carry_out(at, actions);
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            let lost = self.rng.random_bool(self.loss);
            let revision = self.nodes[at].revision;
            let now = self.now + self.nodes[at].ahead;
            let clock = self.nodes[at].spread.fleet_time(now);
            let (wait, to, event) = match action {
                Action::Read if lost || !self.nodes[at].reaches => (TIMEOUT, at, Event::Failed),
                Action::Read => (STEP, at, Event::Read),
                Action::Compare(peer) | Action::Delegate(peer, _)
                    if lost || !self.nodes[place(peer)].alive =>
                {
                    (TIMEOUT, at, Event::Lost { peer: place(peer) })
                }
                Action::Compare(peer) | Action::Delegate(peer, _) => {
                    let hops = match action {
                        Action::Delegate(_, hops) => hops + 1,
                        _ => 0,
                    };
                    let event = Event::Compared {
                        peer: at,
                        revision,
                        clock,
                        hops,
                    };
                    (STEP, place(peer), event)
                }
                Action::Pull(peer) if lost || !self.nodes[place(peer)].alive => {
                    (TIMEOUT, at, Event::Lost { peer: place(peer) })
                }
                Action::Pull(peer) => {
                    let peer = place(peer);
                    let revision = self.nodes[peer].revision;
                    (STEP, at, Event::Pulled { peer, revision })
                }
            };
            self.events.push((self.now + wait, to, event));
        }
    }

    /// Publishes a note after a while and returns the time until it is in force on all live nodes.
    fn spread_one(&mut self) -> Span {
        let quiet = self.now + Span::from_millis(3_000);
        while self.now < quiet {
            self.step();
        }
        self.head = self.head.next();
        let (published, head) = (self.now, self.head);
        while self.nodes.iter().any(|n| n.alive && n.revision < head) {
            self.step();
            assert!(
                self.now.since(published) <= IN_FORCE_WITHIN,
                "not in force within 11 s"
            );
        }
        self.now.since(published)
    }
}

/// The longest time over several fleets.
fn slowest(size: usize, loss: f64, dead: f64, reaching: f64) -> Span {
    let fleets = (1..=3).map(|seed| Fleet::new(size, loss, dead, reaching, seed).spread_one());
    let slowest = fleets.max().unwrap_or_default();
    println!("{size} nodes, loss {loss}, dead {dead}, reaching {reaching}: {slowest}");
    slowest
}

#[test]
fn a_note_is_in_force_on_1100_nodes_in_time() {
    slowest(1_100, 0.0, 0.0, 1.0);
}

#[test]
fn a_note_is_in_force_in_time_although_messages_are_lost_and_nodes_are_dead() {
    slowest(1_100, 0.2, 0.1, 1.0);
}

#[test]
fn a_note_is_in_force_in_time_although_one_node_in_a_hundred_reaches_the_platform() {
    slowest(1_100, 0.2, 0.1, 0.01);
}

/// The longest time without a read of the platform that was answered, after a start of ten seconds.
fn longest_gap(reads: f64, size: usize, loss: f64, dead: f64, reaching: f64, seed: u64) -> Span {
    let mut fleet = Fleet::with_reads(reads, size, loss, dead, reaching, seed);
    let settled = fleet.now + Span::from_millis(10_000);
    let end = settled + Span::from_millis(120_000);
    while fleet.now < end {
        fleet.step();
    }
    let reads = fleet.reads.iter().filter(|at| **at >= settled);
    let gaps = reads.clone().zip(reads.skip(1)).map(|(a, b)| b.since(*a));
    gaps.max().unwrap_or(Span::from_millis(120_000))
}

/// A backend server may go two seconds after it said so, and the word takes part of that to spread.
const READ_WITHIN: Span = Span::from_millis(1_500);

#[test]
fn the_platform_is_read_evenly_at_any_size() {
    for size in [1, 2, 12, 69, 300] {
        let gap = longest_gap(3.0, size, 0.0, 0.0, 1.0, 5);
        assert!(gap <= READ_WITHIN, "{size} nodes: {gap}");
    }
}

#[test]
fn the_platform_is_read_evenly_although_it_answers_only_two_nodes_in_three() {
    for seed in 1..=3 {
        let gap = longest_gap(3.0, 69, 0.0, 0.0, 0.65, seed);
        assert!(gap <= READ_WITHIN, "seed {seed}: {gap}");
    }
}

#[test]
fn the_platform_is_read_evenly_although_a_quarter_of_the_nodes_is_dead() {
    for seed in 1..=3 {
        let gap = longest_gap(3.0, 69, 0.0, 0.25, 1.0, seed);
        // Where there are as many nodes, it may go after 2.5 s.
        let most = READ_WITHIN + Span::from_millis(500);
        assert!(gap <= most, "seed {seed}: {gap}");
    }
}

#[test]
fn a_view_that_several_peers_tell_of_is_fetched_once() {
    let reads = Rate::new(3.0).expect("a rate");
    let members = (1..9).map(address).collect();
    let rng = SmallRng::seed_from_u64(1);
    let mut spread = Gossip::new(address(0), members, ReadBudget { reads }, rng);
    let now = Moment(5_000_000);
    assert_eq!(
        spread.on_peer_differs(address(1), now),
        [Action::Pull(address(1))]
    );
    assert!(spread.on_peer_differs(address(2), now).is_empty());
    assert!(spread.on_peer_differs(address(3), now).is_empty());
    // The last of them may have known more.
    assert_eq!(
        spread.on_pull_ended(address(1)),
        [Action::Compare(address(3))]
    );
    assert!(spread.on_pull_ended(address(1)).is_empty());
    assert_eq!(
        spread.on_peer_differs(address(3), now),
        [Action::Pull(address(3))]
    );
    // A pull that hangs doesn't keep others waiting.
    let later = now + Span::from_millis(200);
    assert_eq!(
        spread.on_peer_differs(address(4), later),
        [Action::Pull(address(4))]
    );
}

#[test]
fn a_node_that_is_cut_off_from_its_peers_reads_by_itself() {
    let mut fleet = Fleet::with_reads(3.0, 69, 0.0, 0.0, 1.0, 4);
    (1..69).for_each(|at| fleet.nodes[at].alive = false);
    let end = fleet.now + Span::from_millis(60_000);
    let mut last = fleet.now;
    while fleet.now < end {
        let before = fleet.reads.len();
        fleet.step();
        if fleet.reads.len() > before {
            last = fleet.now;
        }
        let gap = fleet.now.since(last);
        assert!(gap <= READ_WITHIN, "no read for {gap}");
    }
}

#[test]
fn reads_of_the_platform_keep_to_the_budget_at_any_size() {
    for size in [12, 110, 1_100] {
        let mut fleet = Fleet::new(size, 0.0, 0.0, 1.0, 7);
        let seconds = 20;
        let end = fleet.now + Span::from_millis(seconds * 1_000);
        while fleet.now < end {
            fleet.step();
        }
        // The first reads of all nodes come at their start.
        let started = size as f64;
        let budget = READS * seconds as f64 + started;
        let reads = fleet.reads.len();
        assert!(reads as f64 <= budget, "{size}: {reads} of {budget}");
    }
}
