//! A fleet whose nodes gossip, and prove their keys, in virtual time.
#![allow(dead_code, reason = "each test uses a part")]

use std::net::SocketAddr;

use fleet::{Action, ConfigProof, Gossip, MAX_SILENCE, ProofSchedule, ReadBudget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::{Moment, Rate, Revision, Span};

/// Step of the virtual time, and latency of a message.
const STEP: Span = Span::from_millis(20);
/// Time after which a request without an answer fails.
const REQUEST_TIMEOUT: Span = Span::from_millis(500);
/// Read budget of the fleet in reads per second.
pub(crate) const READS_PER_S: f64 = 100.0;
/// Lease on the teams' keys.
pub(crate) const KEY_TERM: Span = Span::from_millis(5_000);
/// Peers that each node knows at its start, if nodes prove keys.
const SEEDS: usize = 8;

pub(crate) struct Node {
    gossip: Gossip,
    pub(crate) revision: Revision,
    schedule: ProofSchedule,
    pub(crate) alive: bool,
    pub(crate) reaches_platform: bool,
    /// Whether no peer is reached.
    pub(crate) is_cut: bool,
    /// Offset of the node's clock from the virtual time.
    clock_offset: Span,
}

enum Event {
    ReadDone {
        sent: Moment,
    },
    ReadFailed,
    /// A read for a proof has ended. `None` if it failed.
    ProofRead {
        sent: Option<Moment>,
    },
    CompareRequest {
        peer: usize,
        sent: Moment,
        revision: Revision,
        clock: Moment,
        hops: u32,
    },
    CompareReply {
        peer: usize,
        sent: Moment,
        revision: Revision,
        clock: Moment,
        proof: Option<ConfigProof>,
    },
    PullReply {
        peer: usize,
        revision: Revision,
    },
    Unreachable {
        peer: usize,
    },
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    events: Vec<(Moment, usize, Event)>,
    pub(crate) now: Moment,
    loss_rate: f64,
    pub(crate) latest: Revision,
    pub(crate) reads: Vec<Moment>,
    /// Reads for proofs alone, `None` if nodes prove no keys.
    pub(crate) proof_reads: Option<usize>,
    rng: SmallRng,
}

pub(crate) fn address(index: usize) -> SocketAddr {
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
    pub(crate) fn new(
        size: usize,
        loss_rate: f64,
        dead_share: f64,
        reach_share: f64,
        seed: u64,
    ) -> Self {
        Self::with_reads(READS_PER_S, size, loss_rate, dead_share, reach_share, seed)
    }

    pub(crate) fn with_reads(
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
            schedule: ProofSchedule::new(KEY_TERM),
            is_cut: false,
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
            proof_reads: None,
            rng,
        }
    }

    /// A fleet whose nodes prove keys, and got to know the same few peers first.
    pub(crate) fn with_keys(reads: f64, size: usize, seed: u64) -> Self {
        let mut fleet = Self::with_reads(reads, size, 0.0, 0.0, 1.0, seed);
        let members: Vec<SocketAddr> = (0..size).map(address).collect();
        let reads = Rate::new(reads).expect("a rate");
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            let rng = SmallRng::seed_from_u64(seed * 1_000_003 + index as u64);
            let seeds = members[..SEEDS].to_vec();
            node.gossip = Gossip::new(address(index), seeds, ReadBudget { reads }, rng);
            node.gossip.set_members(members.clone());
        }
        fleet.proof_reads = Some(0);
        fleet
    }

    pub(crate) fn run(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Whether a node serves keys.
    pub(crate) fn serves_keys(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.schedule.lease.is_valid(self.now + node.clock_offset)
    }

    pub(crate) fn step(&mut self) {
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
            self.check_proof(index);
        }
    }

    fn check_proof(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = self.now + node.clock_offset;
        let Some(reads) = self.proof_reads.as_mut().filter(|_| node.alive) else {
            return;
        };
        node.schedule.start(now);
        let due = node.schedule.check(now);
        if due.reads {
            *reads += 1;
            let sent = node.reaches_platform.then_some(now);
            let ended = (self.now + STEP, index, Event::ProofRead { sent });
            self.events.push(ended);
        }
        if let Some(attempt) = due.question {
            let actions = node.gossip.ask_reader(attempt, now);
            self.execute(index, actions);
        }
    }

    fn reaches(&self, index: usize, peer: usize) -> bool {
        let (from, to) = (&self.nodes[index], &self.nodes[peer]);
        to.alive && !to.is_cut && !from.is_cut
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now + self.nodes[index].clock_offset;
        let node = &mut self.nodes[index];
        let actions = match event {
            Event::ProofRead { sent } => {
                node.schedule.on_read_ended();
                if let Some(sent) = sent {
                    node.schedule.lease.confirm(sent - MAX_SILENCE);
                }
                Vec::new()
            }
            Event::ReadDone { sent } => {
                // As of a read of the changes.
                node.schedule.lease.confirm(sent - MAX_SILENCE);
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
                sent,
                revision,
                clock,
                hops,
            } => {
                let own = node.revision;
                let answered = !self.rng.random_bool(self.loss_rate);
                let reply = match answered {
                    true => Event::CompareReply {
                        peer: index,
                        sent,
                        revision: own,
                        clock: node.gossip.fleet_time(now),
                        proof: node.schedule.lease.proof(now),
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
                sent,
                revision,
                clock,
                proof,
            } => {
                if let Some(proof) = proof {
                    node.schedule.lease.adopt(proof, sent);
                }
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
                Action::Read => (STEP, index, Event::ReadDone { sent: now }),
                Action::Compare(peer) | Action::Delegate(peer, _)
                    if lost || !self.reaches(index, index_of(peer)) =>
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
                        sent: now,
                        revision,
                        clock,
                        hops,
                    };
                    (STEP, index_of(peer), event)
                }
                Action::Pull(peer) if lost || !self.reaches(index, index_of(peer)) => (
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
}
