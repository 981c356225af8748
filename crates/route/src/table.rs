//! What an ingress knows of the backend servers of one service.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::SmallRng;
use types::{Boot, Moment, Refusal, ServerId, Span};

use crate::policy::Policy;

/// Backend servers of one service that an ingress uses at most. The rest serves other ingresses.
const MOST_PEERS: usize = 12;
/// Age at which half of what a load report said still counts.
const REPORT_HALF_LIFE: Span = Span::from_millis(20);
/// Time for which a backend server that can't be reached is avoided.
const AVOID_DOWN: Span = Span::from_millis(1_000);
/// Longest time for which a backend server that refused for load is avoided.
const MOST_AVOID_BUSY: Span = Span::from_millis(50);

/// A backend server as the view describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub id: ServerId,
    /// Whether it stands in the ingress's own availability zone.
    pub local: bool,
    /// Requests that it bears when warm.
    pub slots: u32,
}

/// A backend server and what was learned of it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The backend server.
    pub member: Member,
    /// Own attempts that are open.
    pub open: u32,
    /// Load that its gate reported last, own attempts included.
    pub reported: u32,
    /// Requests that its gate allowed at the time.
    pub allowed: u32,
    /// When the report came.
    pub heard: Moment,
    /// Used only for want of others until then.
    pub avoid: Moment,
}

impl Peer {
    fn new(member: Member) -> Self {
        let allowed = member.slots;
        let (heard, avoid) = (Moment(0), Moment(0));
        Self {
            member,
            open: 0,
            reported: 0,
            allowed,
            heard,
            avoid,
        }
    }

    /// Expected load at `now` as a part of what it bears.
    ///
    /// The own open attempts are known exactly. Load of others is the reported one, halved for each
    /// half-life of the report's age.
    pub fn score(&self, now: Moment) -> f64 {
        let age = now.since(self.heard).0 as f64 / REPORT_HALF_LIFE.0 as f64;
        let others = f64::from(self.reported.saturating_sub(self.open)) * 0.5_f64.powf(age);
        (f64::from(self.open) + others + 1.0) / f64::from(self.allowed.max(1))
    }
}

/// The backend servers of one service that an ingress uses.
#[derive(Debug)]
pub struct Table {
    peers: Vec<Peer>,
    policy: Box<dyn Policy>,
    rng: SmallRng,
}

impl Table {
    /// An empty table.
    pub fn new(policy: Box<dyn Policy>, rng: SmallRng) -> Self {
        Self {
            peers: Vec::new(),
            policy,
            rng,
        }
    }

    /// Puts other members in place. What was learned of those that stay is kept.
    ///
    /// Of many members only some are used, so that connections don't grow with the fleet: the local
    /// ones first, then those that rank first by a hash with the ingress's incarnation, which
    /// spreads the ingresses evenly over the backend servers.
    pub fn set_members(&mut self, mut members: Vec<Member>, ingress: Boot) {
        members.sort_by_cached_key(|m| (!m.local, rank(ingress, &m.id)));
        members.truncate(MOST_PEERS);
        let known = std::mem::take(&mut self.peers);
        self.peers = members
            .into_iter()
            .map(
                |member| match known.iter().find(|p| p.member.id == member.id) {
                    Some(peer) => Peer {
                        member,
                        ..peer.clone()
                    },
                    None => Peer::new(member),
                },
            )
            .collect();
    }

    /// Picks a backend server other than those in `tried`.
    pub fn choose(&mut self, tried: &[ServerId], now: Moment) -> Option<ServerId> {
        let untried = |p: &&Peer| !tried.contains(&p.member.id);
        let mut candidates: Vec<&Peer> = self.peers.iter().filter(untried).collect();
        if candidates.iter().any(|p| p.avoid <= now) {
            candidates.retain(|p| p.avoid <= now);
        }
        let picked = self.policy.pick(&candidates, now, &mut self.rng)?;
        Some(candidates[picked].member.id.clone())
    }

    /// An attempt was sent.
    pub fn sent(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.open += 1;
        }
    }

    /// An attempt is no longer open.
    pub fn closed(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.open = peer.open.saturating_sub(1);
        }
    }

    /// A reply carried the gate's load.
    pub fn reported(&mut self, id: &ServerId, load: u32, allowed: u32, now: Moment) {
        if let Some(peer) = self.find(id) {
            (peer.reported, peer.allowed, peer.heard) = (load, allowed, now);
        }
    }

    /// A gate refused, or couldn't be reached. `after` is when it said to come back.
    pub fn refused(&mut self, id: &ServerId, refusal: Refusal, after: Span, now: Moment) {
        let Some(peer) = self.find(id) else { return };
        let span = match refusal {
            Refusal::Session | Refusal::Cancelled | Refusal::Barred => return,
            r if r.is_load() => after.min(MOST_AVOID_BUSY),
            _ => AVOID_DOWN,
        };
        peer.avoid = peer.avoid.max(now + span);
    }

    /// The backend servers in use.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    fn find(&mut self, id: &ServerId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|p| p.member.id == *id)
    }
}

fn rank(ingress: Boot, id: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ingress, id).hash(&mut hasher);
    hasher.finish()
}
