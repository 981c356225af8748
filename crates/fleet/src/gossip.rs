//! State machine of the gossip protocol.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};
use types::{Moment, Rate, Revision, Span};

use crate::read_turns::{FleetClock, NextRead};

/// Number of neighbours to which a node pushes a new revision.
const PUSH_FANOUT: usize = 4;
/// Maximum number of peers with which a node gossips.
const MAX_NEIGHBOURS: usize = 8;
/// Time after which another pull may start in parallel to one in progress: many times the usual
/// duration of a pull, and a tenth of the two seconds within which a registry change must be in
/// force.
const PARALLEL_PULL_DELAY: Span = Span::from_millis(200);
/// Mean time between two comparisons with a random neighbour.
const COMPARE_PERIOD: Span = Span::from_millis(1_000);
/// Time from a failed comparison to the next one.
const COMPARE_RETRY_DELAY: Span = Span::from_millis(200);
/// Mean time after which a random neighbour is replaced by another peer.
const ROTATION_PERIOD: Span = Span::from_millis(60_000);
/// Minimum time between two reads of the platform by one node.
const MIN_READ_INTERVAL: Span = Span::from_millis(250);
/// Time without an answered comparison after which a node considers itself partitioned from its
/// peers and reads the platform outside its turns. Of the two seconds within which a registry
/// change must be in force, this leaves half a second.
const PEER_CONTACT_TIMEOUT: Span = Span::from_millis(1_500);
/// Time between two reads of a node that is partitioned from its peers or whose reads fail.
const FALLBACK_READ_PERIOD: Span = Span::from_millis(1_000);
/// Maximum number of peers that a delegated read visits. If the platform answers only half of the
/// nodes, one delegated read in sixteen fails, and another follows in the next turn.
const MAX_READ_HOPS: u32 = 4;

/// Number of earlier readers that are asked by turns, in case that some are down or don't reach the platform.
const ASKED_READERS: u64 = 4;
/// Length of turns above which what earlier readers have read is too old to ask for.
const MAX_ASKED_TURN: Span = Span::from_millis(1_000);

/// Limit on the fleet's reads of the platform.
#[derive(Debug, Clone, Copy)]
pub struct ReadBudget {
    /// Maximum rate of reads by all nodes together.
    pub reads: Rate,
}

/// I/O that the driver of [`Gossip`] must perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the platform: its notes and host list, or the registry.
    Read,
    /// Exchange revision and digest of the view with a peer.
    Compare(SocketAddr),
    /// Fetch the newer view of a peer.
    Pull(SocketAddr),
    /// Ask a peer to read the platform. The number is how often the request may be forwarded.
    Delegate(SocketAddr, u32),
}

/// State machine of the gossip protocol, without I/O of its own. See the crate documentation.
#[derive(Debug)]
pub struct Gossip {
    own: SocketAddr,
    budget: ReadBudget,
    members: Vec<SocketAddr>,
    neighbours: Vec<SocketAddr>,
    revision: Revision,
    /// Pulls in progress: the peer, and the revision that it announced. The revision is the maximum
    /// if the peer's view differs and may be newer or older.
    pulls: BTreeMap<SocketAddr, Revision>,
    /// When the last pull of a differing view started.
    pull_started: Moment,
    /// The last peer whose view differed while a pull was in progress.
    differing_peer: Option<SocketAddr>,
    clock: FleetClock,
    next_read: NextRead,
    last_read: Option<Moment>,
    /// When a peer last answered a comparison.
    last_contact: Moment,
    /// Whether the platform answered the last read of this node.
    platform_reachable: bool,
    next_compare: Moment,
    next_rotation: Moment,
    rng: SmallRng,
}

impl Gossip {
    /// Creates the state of a node with address `own` and no view. `seeds` are its initial peers.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, budget: ReadBudget, rng: SmallRng) -> Self {
        let mut gossip = Self {
            own,
            budget,
            members: Vec::new(),
            neighbours: Vec::new(),
            revision: Revision::default(),
            pulls: BTreeMap::new(),
            pull_started: Moment(0),
            differing_peer: None,
            clock: FleetClock::default(),
            next_read: NextRead::Turn(Moment(0)),
            last_read: None,
            last_contact: Moment(0),
            platform_reachable: true,
            next_compare: Moment(0),
            next_rotation: Moment(0),
            rng,
        };
        gossip.set_members(seeds);
        gossip
    }

    /// Replaces the list of members. Neighbours that remain members are kept.
    pub fn set_members(&mut self, mut members: Vec<SocketAddr>) {
        members.retain(|m| *m != self.own);
        members.sort_unstable();
        members.dedup();
        if self.members != members && self.last_read.is_some() {
            self.next_read = NextRead::Replan(Moment(0));
        }
        self.members = members;
        let members = &self.members;
        self.neighbours.retain(|n| members.binary_search(n).is_ok());
        self.fill_neighbours();
    }

    /// Whether a pull is in progress, so that a peer may have a newer view.
    pub fn is_behind(&self) -> bool {
        !self.pulls.is_empty()
    }

    /// Peers with which this node gossips.
    pub fn neighbours(&self) -> &[SocketAddr] {
        &self.neighbours
    }

    /// Whether the fleet has no other member.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty()
    }

    /// Handles a new revision of the node's own view, which is pushed to some neighbours.
    pub fn on_new_revision(&mut self, revision: Revision) -> Vec<Action> {
        assert!(
            revision >= self.revision,
            "invariant: the revision never decreases"
        );
        if revision == self.revision {
            return Vec::new();
        }
        self.revision = revision;
        self.pulls.retain(|_, announced| *announced > revision);
        self.push()
    }

    /// Compares with some neighbours at once, as this node has something to tell them.
    pub fn push(&mut self) -> Vec<Action> {
        let targets = self.neighbours.sample(&mut self.rng, PUSH_FANOUT);
        targets.copied().map(Action::Compare).collect()
    }

    /// Compares outside the usual times with the peer that has read the platform lately. Each further attempt asks
    /// the reader of an earlier turn, and a neighbour besides.
    pub fn ask_reader(&mut self, attempt: u64, now: Moment) -> Vec<Action> {
        // The reader of the present turn may still wait for its answer.
        let turns_ago = 1 + attempt % ASKED_READERS;
        let length = self.turn_length();
        let members = self.members.iter().copied().chain([self.own]);
        let reader = self
            .clock
            .earlier_reader(members, length, turns_ago, now)
            .filter(|reader| *reader != self.own && length <= MAX_ASKED_TURN);
        let neighbour = match reader {
            Some(_) if attempt == 0 => None,
            _ => self.neighbours.choose(&mut self.rng).copied(),
        };
        let asked = reader.into_iter().chain(neighbour);
        asked.map(Action::Compare).collect()
    }

    /// Handles the revision of a peer, and pulls from it if that is newer and no pull in progress
    /// will return it.
    pub fn on_peer_revision(&mut self, peer: SocketAddr, revision: Revision) -> Vec<Action> {
        let newer = revision > self.revision && revision.is_valid() && peer != self.own;
        let pending = self.pulls.values().any(|announced| *announced >= revision);
        match newer && !pending {
            true => {
                self.pulls.insert(peer, revision);
                vec![Action::Pull(peer)]
            }
            false => Vec::new(),
        }
    }

    /// Handles a peer whose view differs, newer or not, and pulls from it to merge what is newer.
    ///
    /// A pull in progress usually returns the same changes, so the peer is only compared with again
    /// after that pull.
    pub fn on_peer_differs(&mut self, peer: SocketAddr, now: Moment) -> Vec<Action> {
        if peer == self.own || self.pulls.contains_key(&peer) {
            return Vec::new();
        }
        if !self.pulls.is_empty() && now < self.pull_started + PARALLEL_PULL_DELAY {
            self.differing_peer = Some(peer);
            return Vec::new();
        }
        self.pull_started = now;
        self.pulls.insert(peer, Revision(u64::MAX));
        vec![Action::Pull(peer)]
    }

    /// Handles the end of a pull, successful or not.
    pub fn on_pull_ended(&mut self, peer: SocketAddr) -> Vec<Action> {
        self.pulls.remove(&peer);
        let differing_peer = self.differing_peer.take();
        differing_peer.map(Action::Compare).into_iter().collect()
    }

    /// Handles an unreachable peer: compares with a neighbour soon, and replaces the peer if there
    /// are members that aren't neighbours.
    pub fn on_peer_unreachable(&mut self, peer: SocketAddr, now: Moment) {
        self.pulls.remove(&peer);
        self.next_compare = self.next_compare.min(now + COMPARE_RETRY_DELAY);
        if self.members.len() > self.neighbours.len() {
            self.neighbours.retain(|n| *n != peer);
            self.fill_neighbours();
        }
    }

    /// Returns the actions that are due at `now`.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_rotation {
            self.next_rotation = now + self.jitter(ROTATION_PERIOD);
            self.rotate_neighbour();
        }
        if now >= self.next_read.at() {
            match self.next_read {
                NextRead::Turn(_) => actions.extend(self.start_read(MAX_READ_HOPS, now)),
                NextRead::Fallback(_)
                    if !self.platform_reachable
                        || now >= self.last_contact + PEER_CONTACT_TIMEOUT =>
                {
                    actions.extend(self.start_read(0, now));
                }
                NextRead::Fallback(_) | NextRead::Replan(_) => {}
            }
            self.schedule_read(now);
        }
        if let Some(peer) = self.differing_peer
            && now >= self.pull_started + PARALLEL_PULL_DELAY
        {
            self.differing_peer = None;
            actions.push(Action::Compare(peer));
        }
        if now >= self.next_compare {
            self.next_compare = now + self.jitter(COMPARE_PERIOD);
            let peer = self.neighbours.choose(&mut self.rng).copied();
            actions.extend(peer.map(Action::Compare));
        }
        actions
    }

    /// Time at which [`tick`](Self::tick) must be called next.
    pub fn next_tick(&self) -> Moment {
        let periodic = self
            .next_read
            .at()
            .min(self.next_compare)
            .min(self.next_rotation);
        match self.differing_peer {
            Some(_) => periodic.min(self.pull_started + PARALLEL_PULL_DELAY),
            None => periodic,
        }
    }

    /// Mean time between two reads by this node, according to its share of the read budget.
    pub fn read_period(&self) -> Span {
        Span(self.turn_length().0 * (self.members.len() as u64 + 1))
    }

    /// Returns the fleet's time at `now`, which is sent to peers.
    pub fn fleet_time(&self, now: Moment) -> Moment {
        self.clock.time(now)
    }

    /// Handles the fleet's time as sent by a peer.
    pub fn on_peer_clock(&mut self, theirs: Moment, now: Moment) {
        if self.clock.merge(theirs, now) && self.last_read.is_some() {
            self.next_read = NextRead::Replan(Moment(0));
        }
    }

    /// Handles a peer's answer to a comparison.
    pub fn on_compare_answered(&mut self, now: Moment) {
        self.last_contact = now;
    }

    /// Records whether the platform answered the last read. After a failure the node soon retries.
    pub fn set_platform_reachable(&mut self, reachable: bool) {
        if self.platform_reachable && !reachable {
            self.next_read = NextRead::Replan(Moment(0));
        }
        self.platform_reachable = reachable;
    }

    /// Handles a read that a peer without access to the platform delegates to this node. If this
    /// node's reads fail too, it forwards the request, which may happen `hops` more times.
    pub fn on_read_request(&mut self, hops: u32, now: Moment) -> Vec<Action> {
        match self.platform_reachable {
            true => self.start_read(0, now),
            false => self
                .delegate_read(hops.min(MAX_READ_HOPS))
                .into_iter()
                .collect(),
        }
    }

    /// Reads the platform unless the last read is too recent, and also delegates a read to a peer
    /// if this node's last read failed.
    fn start_read(&mut self, hops: u32, now: Moment) -> Vec<Action> {
        if self
            .last_read
            .is_some_and(|last| now < last + MIN_READ_INTERVAL)
        {
            return Vec::new();
        }
        self.last_read = Some(now);
        let delegated = match self.platform_reachable {
            true => None,
            false => self.delegate_read(hops),
        };
        [Action::Read].into_iter().chain(delegated).collect()
    }

    fn delegate_read(&mut self, hops: u32) -> Option<Action> {
        let remaining = hops.checked_sub(1)?;
        let peer = self.neighbours.choose(&mut self.rng).copied()?;
        Some(Action::Delegate(peer, remaining))
    }

    fn schedule_read(&mut self, now: Moment) {
        let turn = self
            .clock
            .next_turn(self.own, &self.members, self.turn_length(), now);
        let soon = now + FALLBACK_READ_PERIOD;
        let fallback = match self.platform_reachable {
            true => soon.max(self.last_contact + PEER_CONTACT_TIMEOUT),
            false => soon,
        };
        self.next_read = match fallback < turn.at() {
            true => NextRead::Fallback(fallback),
            false => turn,
        };
    }

    /// Length of a turn: the time between two reads of the platform by the whole fleet.
    fn turn_length(&self) -> Span {
        let budget = (1e6 / self.budget.reads.per_second().max(0.001)) as u64;
        let min = MIN_READ_INTERVAL.0 / (self.members.len() as u64 + 1);
        Span(budget.max(min))
    }

    fn jitter(&mut self, period: Span) -> Span {
        period.scale(self.rng.random_range(0.75..1.25))
    }

    fn rotate_neighbour(&mut self) {
        if self.members.len() > self.neighbours.len() && !self.neighbours.is_empty() {
            let index = self.rng.random_range(0..self.neighbours.len());
            self.neighbours.swap_remove(index);
            self.fill_neighbours();
        }
    }

    fn fill_neighbours(&mut self) {
        let max = MAX_NEIGHBOURS.min(self.members.len());
        while self.neighbours.len() < max {
            let Some(peer) = self.members.choose(&mut self.rng).copied() else {
                return;
            };
            if !self.neighbours.contains(&peer) {
                self.neighbours.push(peer);
            }
        }
    }
}
