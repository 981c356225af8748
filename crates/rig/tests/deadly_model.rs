//! A model of a fleet under a request that ends each server that runs it, in virtual time. Nodes decide with
//! [`Quarantine`] and [`Balancer`]; gossip is delayed, partitions and restarts come in series.

use std::collections::BTreeMap;

use fleet::{Evidence, Quarantine, ServerEnd, Verdict};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use route::{Balancer, Member, PolicyKind};
use types::{Boot, Fingerprint, Moment, ServerId, Span};

const DEADLY: Fingerprint = Fingerprint(1);
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60;
const DOWN_MS: u64 = 3_000;
const GOSSIP_MS: u64 = 1_000;
/// The users' rule: sends that may reach servers later than the stable window after the third crash.
const STABLE_MS: u64 = 3_000;
const MAX_SENDS: usize = 3;

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(ms)
}

fn server(index: usize) -> ServerId {
    format!("server-{index}").parse().expect("a valid name")
}

/// A node, with the backend server beside it.
struct Node {
    quarantine: Quarantine,
    balancer: Balancer,
    /// Until when the server is down.
    down_until: u64,
    /// Requests that run, with their end and whether they are on trial.
    running: Vec<(Fingerprint, u64, bool)>,
    /// Until when the node is out of touch, and on which side of a partition it is.
    disturbed_until: u64,
    side: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: u64,
    /// Evidence on its way, by arrival: from, to, what.
    messages: BTreeMap<u64, Vec<(usize, usize, Fingerprint, Evidence)>>,
    crashes: Vec<u64>,
    /// Sends that reached servers, from nodes in touch.
    sends: Vec<u64>,
    blocked_innocents: usize,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let member = |local: usize| {
            move |index: usize| Member {
                id: server(index),
                zone: format!("zone-{}", index % 3).parse().expect("a valid name"),
                local: index % 3 == local % 3,
                slots: 6,
            }
        };
        let node = |index: usize| {
            let rng = SmallRng::seed_from_u64(index as u64);
            let mut balancer = Balancer::new(PolicyKind::default().build(), rng);
            balancer.set_members((0..count).map(member(index)).collect(), Boot(index as u64));
            Node {
                quarantine: Quarantine::default(),
                balancer,
                down_until: 0,
                running: Vec::new(),
                disturbed_until: 0,
                side: false,
            }
        };
        Self {
            nodes: (0..count).map(node).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            messages: BTreeMap::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            blocked_innocents: 0,
        }
    }

    fn any_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// A request arrives at a node, which rejects it or sends it to a server.
    fn request(&mut self, request: Fingerprint) {
        let ingress = self.any_node();
        let now = at(self.now);
        let verdict = self.nodes[ingress].quarantine.verdict(request, now);
        let is_trial = verdict == Verdict::Suspect;
        let target = match verdict {
            Verdict::Clear => self.any_node(),
            Verdict::Suspect => self.trial_server(ingress, request),
            Verdict::Held(_) | Verdict::Blocked => return,
        };
        let (sender, gate) = (&self.nodes[ingress], &self.nodes[target]);
        let is_reachable = sender.side == gate.side && gate.down_until <= self.now;
        let accepts = match gate.quarantine.verdict(request, now) {
            Verdict::Clear => !is_trial || !gate.running.iter().any(|run| run.2),
            Verdict::Suspect => {
                is_trial && !gate.running.iter().any(|run| run.2 || run.0 == request)
            }
            Verdict::Held(_) | Verdict::Blocked => false,
        };
        if !is_reachable || !accepts {
            return;
        }
        if request == DEADLY && sender.disturbed_until + STABLE_MS <= self.now {
            self.sends.push(self.now);
        }
        let run = (request, self.now + RUN_MS, is_trial);
        self.nodes[target].running.push(run);
    }

    fn trial_server(&self, ingress: usize, request: Fingerprint) -> usize {
        let node = &self.nodes[ingress];
        let evidence = node.quarantine.evidence(request);
        let ends = evidence.into_iter().flat_map(Evidence::uncleared);
        let ended: Vec<_> = ends.map(|end| end.server.clone()).collect();
        let chosen = node.balancer.select_for_trial(request, &[], &ended);
        let chosen = chosen.expect("a member").server;
        (0..self.nodes.len())
            .find(|index| server(*index) == chosen)
            .expect("a known server")
    }

    /// Ends the server of a node under all that runs there.
    fn end_server(&mut self, index: usize) {
        let id = self.rng.random();
        self.nodes[index].down_until = self.now + DOWN_MS;
        for (request, _, trial) in std::mem::take(&mut self.nodes[index].running) {
            let end = ServerEnd {
                id,
                server: server(index),
                at: at(self.now),
                trial,
                cleared: false,
            };
            self.nodes[index].quarantine.record_end(request, end);
            self.push(index, request);
        }
    }

    /// Completes the runs that are over.
    fn complete_runs(&mut self) {
        for index in 0..self.nodes.len() {
            let over = |run: &(Fingerprint, u64, bool)| run.1 <= self.now;
            let done: Vec<_> = self.nodes[index]
                .running
                .iter()
                .copied()
                .filter(over)
                .collect();
            if done.iter().any(|run| run.0 == DEADLY) {
                self.crashes.push(self.now);
                self.end_server(index);
                continue;
            }
            self.nodes[index].running.retain(|run| run.1 > self.now);
            for (request, ..) in done {
                if self.nodes[index].quarantine.clear(request, at(self.now)) {
                    self.push(index, request);
                }
            }
        }
    }

    /// Tells all other nodes what this one knows of a request.
    fn push(&mut self, from: usize, request: Fingerprint) {
        let Some(evidence) = self.nodes[from].quarantine.evidence(request).cloned() else {
            return;
        };
        for to in 0..self.nodes.len() {
            let arrival = self.now + self.rng.random_range(1..50_u64);
            let message = (from, to, request, evidence.clone());
            self.messages.entry(arrival).or_default().push(message);
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.messages, later);
        for (from, to, request, evidence) in due.into_values().flatten() {
            if self.nodes[from].side == self.nodes[to].side {
                let quarantine = &mut self.nodes[to].quarantine;
                quarantine.merge(request, &evidence, at(self.now));
            }
        }
    }

    /// Each node compares its evidence with that of another one.
    fn compare(&mut self) {
        for node in 0..self.nodes.len() {
            let peer = self.any_node();
            if self.nodes[peer].side == self.nodes[node].side {
                let theirs = self.nodes[peer].quarantine.clone();
                for (request, evidence) in theirs.latest() {
                    let quarantine = &mut self.nodes[node].quarantine;
                    quarantine.merge(request, evidence, at(self.now));
                }
            }
        }
    }

    /// Restarts a node, cuts the fleet in two, or heals it. A partition lasts less than the hold time.
    fn disturb(&mut self) {
        let index = self.any_node();
        match self.rng.random_range(0..3) {
            0 => {
                let peer = (index + 1) % self.nodes.len();
                let known = self.nodes[peer].quarantine.clone();
                self.nodes[index].quarantine = known;
                self.nodes[index].disturbed_until = self.now;
            }
            1 => {
                for node in &mut self.nodes {
                    node.side = self.rng.random();
                    node.disturbed_until = self.now + 10_000;
                }
            }
            _ => {
                for node in &mut self.nodes {
                    if node.disturbed_until > self.now {
                        node.disturbed_until = self.now;
                    }
                    node.side = false;
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.deliver();
        self.complete_runs();
        if self.now.is_multiple_of(GOSSIP_MS) {
            self.compare();
        }
        for node in &mut self.nodes {
            if node.side && node.disturbed_until <= self.now {
                node.side = false;
            }
        }
        let quarantines = self.nodes.iter().map(|node| &node.quarantine);
        let innocents = |q: &Quarantine| {
            let blocked = |id: &Fingerprint| q.verdict(*id, at(self.now)) == Verdict::Blocked;
            q.latest()
                .into_iter()
                .map(|(id, _)| id)
                .filter(|id| *id != DEADLY && blocked(id))
                .count()
        };
        if self.now.is_multiple_of(GOSSIP_MS) {
            self.blocked_innocents += quarantines.map(innocents).sum::<usize>();
        }
    }

    /// Sends that the rule counts.
    fn counted_sends(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let counts = |sent: &&u64| **sent > third + STABLE_MS;
        self.sends.iter().filter(counts).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_deadly_request_reaches_few_servers_and_condemns_no_other(
        seed: u64,
        nodes in 3..30_usize,
        interval_ms in 50..20_000_u64,
        together in 1..6_usize,
    ) {
        let mut fleet = Fleet::new(nodes, seed);
        while fleet.now < 180_000 {
            fleet.step();
            if fleet.now % interval_ms < STEP_MS {
                (0..together).for_each(|_| fleet.request(DEADLY));
            }
            let popular = Fingerprint(2 + fleet.rng.random_range(0..4));
            fleet.request(popular);
            if fleet.rng.random_bool(0.001) {
                fleet.disturb();
            }
            // Servers also end for other reasons.
            if fleet.rng.random_bool(0.0005) {
                let index = fleet.any_node();
                fleet.end_server(index);
            }
        }
        prop_assert!(fleet.counted_sends() <= MAX_SENDS, "{} sends", fleet.counted_sends());
        prop_assert_eq!(fleet.blocked_innocents, 0);
    }
}
