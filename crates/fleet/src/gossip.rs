//! Whom to tell, to compare with and to read from.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};
use types::{Moment, Rate, Revision, Span};

use crate::read_turns::{FleetClock, Next};

/// Peers told at once of a new revision.
const FANOUT: usize = 4;
/// Peers that a node keeps connections with for spreading.
const MOST_NEIGHBOURS: usize = 8;
/// Time that a pull gets before another is begun beside it: many times what one takes, and a tenth of
/// the two seconds in which a change must be in force.
const PULL_PATIENCE: Span = Span::from_millis(200);
/// Time between two comparisons with a random peer.
const COMPARE_PERIOD: Span = Span::from_millis(1_000);
/// Time after a failed comparison until the next.
const RETRY_PERIOD: Span = Span::from_millis(200);
/// Time after which one neighbour is replaced by another.
const RENEW_PERIOD: Span = Span::from_millis(60_000);
/// Shortest time between two reads of the platform by one node.
const LEAST_READ_PERIOD: Span = Span::from_millis(250);
/// Time without an answered comparison after which a node counts as cut off from its peers and reads by
/// itself. It leaves half a second of the two in which the users want a change in force.
const CONTACT_TIMEOUT: Span = Span::from_millis(1_500);
/// Time between two reads of a node that is cut off from its peers, or that the platform doesn't answer.
const LONE_READ_PERIOD: Span = Span::from_millis(1_000);
/// Peers that a request to read passes through. If the platform answers only half of the nodes, one
/// request in sixteen ends unread, and another comes with the next turn.
const MOST_HOPS: u32 = 4;

/// Reads of the platform that the whole fleet may make.
#[derive(Debug, Clone, Copy)]
pub struct ReadBudget {
    /// Reads per second, all nodes together.
    pub reads: Rate,
}

/// What the carrier is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the platform's notes and host list.
    Read,
    /// Tell a peer the own view, and learn the peer's.
    Compare(SocketAddr),
    /// Fetch what a peer knows more.
    Pull(SocketAddr),
    /// Have a peer read the platform, which may pass this on so many times.
    Delegate(SocketAddr, u32),
}

/// The state machine that spreads notes. See the crate's documentation.
#[derive(Debug)]
pub struct Gossip {
    own: SocketAddr,
    budget: ReadBudget,
    members: Vec<SocketAddr>,
    neighbours: Vec<SocketAddr>,
    revision: Revision,
    /// Peers from which a pull is under way, and what they know.
    pulling: BTreeMap<SocketAddr, Revision>,
    /// When the last pull began.
    pull_began: Moment,
    /// A peer that had another view while a pull was under way.
    differing: Option<SocketAddr>,
    clock: FleetClock,
    next_read: Next,
    last_read: Option<Moment>,
    /// When a peer last answered a comparison.
    contact: Moment,
    /// Whether the platform answers this node.
    reaching: bool,
    compare: Moment,
    renew: Moment,
    rng: SmallRng,
}

impl Gossip {
    /// A node at `own` that knows nothing yet. `seeds` are peers to begin with.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, budget: ReadBudget, rng: SmallRng) -> Self {
        let mut spread = Self {
            own,
            budget,
            members: Vec::new(),
            neighbours: Vec::new(),
            revision: Revision::default(),
            pulling: BTreeMap::new(),
            pull_began: Moment(0),
            differing: None,
            clock: FleetClock::default(),
            next_read: Next::Read(Moment(0)),
            last_read: None,
            contact: Moment(0),
            reaching: true,
            compare: Moment(0),
            renew: Moment(0),
            rng,
        };
        spread.set_members(seeds);
        spread
    }

    /// Puts other members in place. Neighbours that are still members stay.
    pub fn set_members(&mut self, mut members: Vec<SocketAddr>) {
        members.retain(|m| *m != self.own);
        members.sort_unstable();
        members.dedup();
        if self.members != members && self.last_read.is_some() {
            self.next_read = Next::Plan(Moment(0));
        }
        self.members = members;
        let members = &self.members;
        self.neighbours.retain(|n| members.binary_search(n).is_ok());
        self.fill_neighbours();
    }

    /// Whether a peer is known to have a newer view.
    pub fn is_behind(&self) -> bool {
        !self.pulling.is_empty()
    }

    /// The peers that this node spreads to.
    pub fn neighbours(&self) -> &[SocketAddr] {
        &self.neighbours
    }

    /// Whether the fleet has any other member.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty()
    }

    /// The own view advanced: tells some neighbours.
    pub fn on_new_revision(&mut self, revision: Revision) -> Vec<Action> {
        assert!(revision >= self.revision, "invariant: a view never reverts");
        if revision == self.revision {
            return Vec::new();
        }
        self.revision = revision;
        self.pulling.retain(|_, knows| *knows > revision);
        let told = self.neighbours.sample(&mut self.rng, FANOUT);
        told.copied().map(Action::Compare).collect()
    }

    /// A peer named its revision.
    pub fn on_peer_revision(&mut self, peer: SocketAddr, revision: Revision) -> Vec<Action> {
        let newer = revision > self.revision && peer != self.own;
        let known = self.pulling.values().any(|knows| *knows >= revision);
        match newer && !known {
            true => {
                self.pulling.insert(peer, revision);
                vec![Action::Pull(peer)]
            }
            false => Vec::new(),
        }
    }

    /// A peer turned out to have another view, newer or not: it is fetched, to take what is newer. If a
    /// pull is under way, which mostly brings the same, the peer is compared with again afterwards.
    pub fn on_peer_differs(&mut self, peer: SocketAddr, now: Moment) -> Vec<Action> {
        if peer == self.own || self.pulling.contains_key(&peer) {
            return Vec::new();
        }
        if !self.pulling.is_empty() && now < self.pull_began + PULL_PATIENCE {
            self.differing = Some(peer);
            return Vec::new();
        }
        self.pull_began = now;
        self.pulling.insert(peer, Revision(u64::MAX));
        vec![Action::Pull(peer)]
    }

    /// A pull from a peer ended, well or not.
    pub fn on_pull_ended(&mut self, peer: SocketAddr) -> Vec<Action> {
        self.pulling.remove(&peer);
        let differing = self.differing.take();
        differing.map(Action::Compare).into_iter().collect()
    }

    /// A neighbour can't be reached: another takes its place, and is compared with soon.
    pub fn on_peer_unreachable(&mut self, peer: SocketAddr, now: Moment) {
        self.pulling.remove(&peer);
        self.compare = self.compare.min(now + RETRY_PERIOD);
        if self.members.len() > self.neighbours.len() {
            self.neighbours.retain(|n| *n != peer);
            self.fill_neighbours();
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.renew {
            self.renew = now + self.jitter(RENEW_PERIOD);
            self.renew_neighbour();
        }
        if now >= self.next_read.at() {
            match self.next_read {
                Next::Read(_) => actions.extend(self.read(MOST_HOPS, now)),
                Next::Lone(_) if !self.reaching || now >= self.contact + CONTACT_TIMEOUT => {
                    actions.extend(self.read(0, now));
                }
                Next::Lone(_) | Next::Plan(_) => {}
            }
            self.plan_read(now);
        }
        if let Some(peer) = self.differing
            && now >= self.pull_began + PULL_PATIENCE
        {
            self.differing = None;
            actions.push(Action::Compare(peer));
        }
        if now >= self.compare {
            self.compare = now + self.jitter(COMPARE_PERIOD);
            let peer = self.neighbours.choose(&mut self.rng).copied();
            actions.extend(peer.map(Action::Compare));
        }
        actions
    }

    /// The moment at which [`tick`](Self::tick) has something to do.
    pub fn next_tick(&self) -> Moment {
        let periodic = self.next_read.at().min(self.compare).min(self.renew);
        match self.differing {
            Some(_) => periodic.min(self.pull_began + PULL_PATIENCE),
            None => periodic,
        }
    }

    /// Mean time between two reads of this node: its share of the budget.
    pub fn read_period(&self) -> Span {
        Span(self.turn().0 * (self.members.len() as u64 + 1))
    }

    /// The fleet's time at `now`, to be named to peers.
    pub fn fleet_time(&self, now: Moment) -> Moment {
        self.clock.time(now)
    }

    /// A peer named the fleet's time.
    pub fn on_peer_clock(&mut self, theirs: Moment, now: Moment) {
        if self.clock.heard(theirs, now) && self.last_read.is_some() {
            self.next_read = Next::Plan(Moment(0));
        }
    }

    /// A peer answered a comparison at `now`.
    pub fn on_compare_answered(&mut self, now: Moment) {
        self.contact = now;
    }

    /// Whether the platform answered the last read. If not, the node tries again soon.
    pub fn set_platform_reachable(&mut self, reaching: bool) {
        if self.reaching && !reaching {
            self.next_read = Next::Plan(Moment(0));
        }
        self.reaching = reaching;
    }

    /// A peer that the platform doesn't answer wants a read, which may be passed on `hops` times.
    pub fn on_read_request(&mut self, hops: u32, now: Moment) -> Vec<Action> {
        match self.reaching {
            true => self.read(0, now),
            false => self.delegate(hops.min(MOST_HOPS)).into_iter().collect(),
        }
    }

    /// Reads, and has a peer read as well if the platform didn't answer lately.
    fn read(&mut self, hops: u32, now: Moment) -> Vec<Action> {
        if self
            .last_read
            .is_some_and(|last| now < last + LEAST_READ_PERIOD)
        {
            return Vec::new();
        }
        self.last_read = Some(now);
        let delegated = match self.reaching {
            true => None,
            false => self.delegate(hops),
        };
        [Action::Read].into_iter().chain(delegated).collect()
    }

    fn delegate(&mut self, hops: u32) -> Option<Action> {
        let left = hops.checked_sub(1)?;
        let peer = self.neighbours.choose(&mut self.rng).copied()?;
        Some(Action::Delegate(peer, left))
    }

    fn plan_read(&mut self, now: Moment) {
        let turn = self.clock.next(self.own, &self.members, self.turn(), now);
        let soon = now + LONE_READ_PERIOD;
        let lone = match self.reaching {
            true => soon.max(self.contact + CONTACT_TIMEOUT),
            false => soon,
        };
        self.next_read = match lone < turn.at() {
            true => Next::Lone(lone),
            false => turn,
        };
    }

    /// Time between two reads of the platform by the whole fleet.
    fn turn(&self) -> Span {
        let budget = (1e6 / self.budget.reads.per_second().max(0.001)) as u64;
        let least = LEAST_READ_PERIOD.0 / (self.members.len() as u64 + 1);
        Span(budget.max(least))
    }

    fn jitter(&mut self, period: Span) -> Span {
        period.scale(self.rng.random_range(0.75..1.25))
    }

    fn renew_neighbour(&mut self) {
        if self.members.len() > self.neighbours.len() && !self.neighbours.is_empty() {
            let gone = self.rng.random_range(0..self.neighbours.len());
            self.neighbours.swap_remove(gone);
            self.fill_neighbours();
        }
    }

    fn fill_neighbours(&mut self) {
        let most = MOST_NEIGHBOURS.min(self.members.len());
        while self.neighbours.len() < most {
            let Some(peer) = self.members.choose(&mut self.rng).copied() else {
                return;
            };
            if !self.neighbours.contains(&peer) {
                self.neighbours.push(peer);
            }
        }
    }
}
