//! Simulation of the proofs that teams' keys depend on: reads for them don't grow with the fleet.

use std::net::SocketAddr;

use fleet::{Action, ConfigProof, Gossip, MAX_SILENCE, ProofSchedule, ReadBudget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::{Moment, Rate, Span};

/// Step of the virtual time, and latency of a message.
const STEP: Span = Span::from_millis(5);
/// Time until a read of the platform is answered.
const READ: Span = Span::from_millis(50);
/// Time after which a question without an answer fails.
const TIMEOUT: Span = Span::from_millis(500);
const TERM: Span = Span::from_millis(5_000);
const VERSION: u64 = 7;
/// Time until the fleet is calm, and time for which it is watched.
const START: Span = Span::from_millis(20_000);
const WATCHED: Span = Span::from_millis(50_000);

/// Peers that each node knows at its start.
const SEEDS: usize = 8;

struct Node {
    gossip: Gossip,
    schedule: ProofSchedule,
    alive: bool,
    reaches_platform: bool,
    reaches_peers: bool,
    clock_offset: Span,
}

#[derive(Clone, Copy)]
enum Event {
    /// A read that was sent at this time of the node is answered.
    Read {
        sent: Moment,
        for_proof: bool,
    },
    ReadFailed {
        for_proof: bool,
    },
    Question {
        asker: usize,
        sent: Moment,
        clock: Moment,
        hops: u32,
    },
    Answer {
        sent: Moment,
        clock: Moment,
        proof: Option<ConfigProof>,
    },
    Unanswered {
        peer: usize,
    },
}

struct Fleet {
    nodes: Vec<Node>,
    events: Vec<(Moment, usize, Event)>,
    now: Moment,
    /// Reads for proofs alone.
    reads: usize,
    questions: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("addresses of the test are IPv4"),
    }
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let reads = Rate::new(3.0).expect("a rate");
        let members: Vec<_> = (0..size).map(address).collect();
        let mut node = |index: usize| {
            let rng_of_node = SmallRng::seed_from_u64(seed * 1_000 + index as u64);
            let members = members.clone();
            let budget = ReadBudget { reads };
            let mut schedule = ProofSchedule::new(TERM);
            schedule.lease.set_version(VERSION);
            let mut gossip = Gossip::new(
                address(index),
                members[..SEEDS].to_vec(),
                budget,
                rng_of_node,
            );
            gossip.set_members(members);
            Node {
                gossip,
                schedule,
                alive: true,
                reaches_platform: true,
                reaches_peers: true,
                clock_offset: Span::from_millis(rng.random_range(1..1_000_000)),
            }
        };
        Self {
            nodes: (0..size).map(&mut node).collect(),
            events: Vec::new(),
            now: Moment(1),
            reads: 0,
            questions: 0,
        }
    }

    fn run(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let events = std::mem::take(&mut self.events).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = events.partition(|(at, ..)| *at <= now);
        self.events = later;
        for (_, index, event) in due {
            self.handle(index, event);
        }
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let now = self.now + node.clock_offset;
            if !node.alive {
                continue;
            }
            let mut actions = Vec::new();
            if node.gossip.next_tick() <= now {
                actions = node.gossip.tick(now);
            }
            if node.schedule.next_check() <= now {
                node.schedule.start(now);
                let due = node.schedule.check(now);
                if let Some(attempt) = due.question {
                    actions.extend(node.gossip.ask_reader(attempt, now));
                }
                if due.reads {
                    self.reads += 1;
                    self.read(index, true);
                }
            }
            self.execute(index, actions);
        }
    }

    fn read(&mut self, index: usize, for_proof: bool) {
        let node = &self.nodes[index];
        let sent = self.now + node.clock_offset;
        let event = match node.reaches_platform {
            true => Event::Read { sent, for_proof },
            false => Event::ReadFailed { for_proof },
        };
        self.events.push((self.now + READ, index, event));
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let (peer, hops) = match action {
                Action::Read => {
                    self.read(index, false);
                    continue;
                }
                Action::Compare(peer) => (index_of(peer), 0),
                Action::Delegate(peer, hops) => (index_of(peer), hops + 1),
                Action::Pull(_) => continue,
            };
            self.questions += 1;
            let asker = &self.nodes[index];
            let sent = self.now + asker.clock_offset;
            let clock = asker.gossip.fleet_time(sent);
            let question = Event::Question {
                asker: index,
                sent,
                clock,
                hops,
            };
            let to = &self.nodes[peer];
            match to.alive && to.reaches_peers && asker.reaches_peers {
                true => self.events.push((self.now + STEP, peer, question)),
                false => {
                    let unanswered = Event::Unanswered { peer };
                    self.events.push((self.now + TIMEOUT, index, unanswered));
                }
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        let now = self.now + node.clock_offset;
        if !node.alive {
            return;
        }
        match event {
            Event::Read { sent, for_proof } => {
                // As of a read of the changes.
                node.schedule.lease.confirm(sent - MAX_SILENCE);
                match for_proof {
                    true => node.schedule.on_read_ended(),
                    false => node.gossip.set_platform_reachable(true),
                }
            }
            Event::ReadFailed { for_proof: true } => node.schedule.on_read_ended(),
            Event::ReadFailed { for_proof: false } => node.gossip.set_platform_reachable(false),
            Event::Question {
                asker,
                sent,
                clock,
                hops,
            } => {
                node.gossip.on_peer_clock(clock, now);
                let answer = Event::Answer {
                    sent,
                    clock: node.gossip.fleet_time(now),
                    proof: node.schedule.lease.proof(now),
                };
                self.events.push((self.now + STEP, asker, answer));
                if let Some(hops) = hops.checked_sub(1) {
                    let actions = self.nodes[index].gossip.on_read_request(hops, now);
                    self.execute(index, actions);
                }
            }
            Event::Answer { sent, clock, proof } => {
                node.gossip.on_peer_clock(clock, now);
                node.gossip.on_compare_answered(now);
                if let Some(proof) = proof {
                    node.schedule.lease.adopt(proof, sent);
                }
            }
            Event::Unanswered { peer } => node.gossip.on_peer_unreachable(address(peer), now),
        }
    }

    /// Runs the fleet until it is calm, and then returns its reads for proofs per lease.
    fn reads_per_lease(&mut self) -> f64 {
        self.run(START);
        (self.reads, self.questions) = (0, 0);
        self.run(WATCHED);
        let leases = WATCHED.0 as f64 / TERM.0 as f64;
        let size = self.nodes.len();
        let questions = self.questions as f64 / (WATCHED.0 as f64 / 1e6) / size as f64;
        let reads = self.reads as f64 / leases;
        println!("{size} nodes: {reads} reads a lease, {questions:.2} questions a second each");
        reads
    }

    fn serves(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.schedule.lease.is_valid(self.now + node.clock_offset)
    }

    /// Watches the fleet, and panics when one of these nodes serves no keys.
    fn assert_serving(&mut self, nodes: &[usize]) {
        let end = self.now + WATCHED;
        while self.now < end {
            self.step();
            let silent = nodes.iter().find(|index| !self.serves(**index));
            assert_eq!(silent, None, "it serves no keys");
        }
    }
}

/// Most reads for proofs by a calm fleet within a lease, whatever its size.
const MAX_READS: f64 = 2.0;

#[test]
fn reads_for_proofs_do_not_grow_with_the_fleet() {
    for size in [20, 50, 100] {
        let reads = Fleet::new(size, 3).reads_per_lease();
        assert!(reads <= MAX_READS, "{size} nodes: {reads} reads a lease");
    }
}

#[test]
fn a_cut_off_node_stops_within_the_lease_and_comes_back() {
    let mut fleet = Fleet::new(50, 4);
    fleet.run(START);
    fleet.nodes[20].reaches_platform = false;
    fleet.nodes[20].reaches_peers = false;
    fleet.run(TERM);
    assert!(!fleet.serves(20));
    fleet.nodes[20].reaches_peers = true;
    fleet.run(Span::from_millis(1_000));
    assert!(fleet.serves(20), "a peer's proof is enough");
}

#[test]
fn all_nodes_serve_if_the_platform_answers_every_second_one() {
    let mut fleet = Fleet::new(50, 5);
    for node in fleet.nodes.iter_mut().step_by(2) {
        node.reaches_platform = false;
    }
    fleet.run(START);
    fleet.assert_serving(&Vec::from_iter(0..50));
}

#[test]
fn live_nodes_serve_beside_dead_ones() {
    let mut fleet = Fleet::new(50, 6);
    for node in fleet.nodes.iter_mut().step_by(5) {
        node.alive = false;
    }
    fleet.run(START);
    let live = (0..50).filter(|index| fleet.nodes[*index].alive);
    let live = Vec::from_iter(live);
    fleet.assert_serving(&live);
}
