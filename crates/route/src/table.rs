//! What an ingress knows of the backend servers of one service.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::SmallRng;
use types::{Boot, Moment, Refusal, ServerId, Span};

use crate::policy::Policy;

/// Backend servers of one service that an ingress uses at most. The rest serves other ingresses.
const MOST_PEERS: usize = 12;
/// Ages of a report at which half of the load, and of the time of answers, still counts.
const LOAD_HALF_LIFE: Span = Span::from_millis(20);
const TIME_HALF_LIFE: Span = Span::from_millis(200);
/// Age of a report at which half of the slowness that it names still counts: a slow spell lasts some
/// hundred milliseconds.
const PACE_HALF_LIFE: Span = Span::from_millis(100);
/// The usual pace of a backend server, in percent.
const USUAL_PACE: u32 = 100;
/// Time for which a backend server that is slow at present is avoided.
const AVOID_SLOW: Span = Span::from_millis(60);
/// Time for which a backend server is avoided whose gate says that most of its answers fail: as long as
/// the gate declines it.
const AVOID_GREY: Span = Span::from_millis(250);
/// Weight of one report in the usual time of answers.
const USUAL_WEIGHT: f64 = 0.05;
/// Time for which a backend server that can't be reached is avoided.
const AVOID_DOWN: Span = Span::from_millis(1_000);
/// Half of the time for which a backend server that failed once is avoided, and the number of
/// doublings.
const AVOID_FAILING: Span = Span::from_millis(10);
const MOST_FAILURES: u32 = 6;
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

/// Load that a gate reports with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that may run.
    pub allowed: u32,
    /// Mean time of late answers.
    pub typical: Span,
    /// Present time of the backend server's work, in percent of the usual one.
    pub pace: u32,
}

/// A backend server and what was learned of it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The backend server.
    pub member: Member,
    /// Own attempts that are open.
    pub open: u32,
    /// What its gate reported last.
    pub report: Report,
    /// When the report came.
    pub heard: Moment,
    /// Used only for want of others until then.
    pub avoid: Moment,
    /// Failures in a row.
    pub failures: u32,
    /// Usual time of the service's answers in microseconds.
    usual: f64,
}

impl Peer {
    fn new(member: Member) -> Self {
        let report = Report {
            load: 0,
            allowed: member.slots,
            typical: Span::default(),
            pace: USUAL_PACE,
        };
        let (heard, avoid) = (Moment(0), Moment(0));
        Self {
            member,
            open: 0,
            report,
            heard,
            avoid,
            failures: 0,
            usual: 1.0,
        }
    }

    /// Expected time in microseconds until an attempt sent at `now` is answered.
    ///
    /// The mean time of answers, once for the attempt itself and once for each round of those ahead
    /// of it. The own open attempts are known exactly. Load of others and a time that differs from
    /// the `usual` one are reported, and count half for each half-life of the report's age.
    pub fn cost(&self, now: Moment) -> f64 {
        let age = now.since(self.heard).0 as f64;
        let fade = |half_life: Span| 0.5_f64.powf(age / half_life.0 as f64);
        let others = self.report.load.saturating_sub(self.open);
        let others = f64::from(others) * fade(LOAD_HALF_LIFE);
        let rounds = (f64::from(self.open) + others + 1.0) / f64::from(self.report.allowed.max(1));
        let excess = self.report.typical.0 as f64 - self.usual;
        let slowness = f64::from(self.report.pace.max(1)) / f64::from(USUAL_PACE) - 1.0;
        let pace = 1.0 + slowness * fade(PACE_HALF_LIFE);
        (self.usual + excess * fade(TIME_HALF_LIFE)) * pace * (1.0 + rounds)
    }
}

/// The backend server that was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Picked {
    /// Its name.
    pub server: ServerId,
    /// Whether others are left that aren't avoided.
    pub others: bool,
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

    /// Picks a backend server that isn't in `tried` and not avoided. If there is none, the cheapest of
    /// the untried and of `declined`, who would have made the request wait or run slowly.
    pub fn choose(
        &mut self,
        tried: &[ServerId],
        declined: &[ServerId],
        now: Moment,
    ) -> Option<Picked> {
        let untried = |p: &&Peer| !tried.contains(&p.member.id);
        let good = |p: &&Peer| untried(p) && p.avoid <= now;
        let candidates: Vec<&Peer> = self.peers.iter().filter(good).collect();
        if let Some(picked) = self.policy.pick(&candidates, now, &mut self.rng) {
            return Some(Picked {
                server: candidates[picked].member.id.clone(),
                others: candidates.len() > 1 || !declined.is_empty(),
            });
        }
        let left = |p: &&Peer| untried(p) || declined.contains(&p.member.id);
        let cheapest = self.peers.iter().filter(left);
        let cheapest = cheapest.min_by(|a, b| a.cost(now).total_cmp(&b.cost(now)))?;
        Some(Picked {
            server: cheapest.member.id.clone(),
            others: false,
        })
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
    pub fn reported(&mut self, id: &ServerId, report: Report, now: Moment) {
        let Some(peer) = self.find(id) else { return };
        (peer.report, peer.heard) = (report, now);
        let usual = peer.usual + USUAL_WEIGHT * (report.typical.0 as f64 - peer.usual);
        self.peers.iter_mut().for_each(|peer| peer.usual = usual);
    }

    /// A gate refused, or couldn't be reached. `after` is when it said to come back.
    pub fn refused(&mut self, id: &ServerId, refusal: Refusal, after: Span, now: Moment) {
        let Some(peer) = self.find(id) else { return };
        let span = match refusal {
            Refusal::Session | Refusal::Cancelled | Refusal::Barred => return,
            Refusal::Slow => AVOID_SLOW,
            Refusal::Failing => AVOID_GREY,
            r if r.is_overload() => after.min(MOST_AVOID_BUSY),
            _ => AVOID_DOWN,
        };
        peer.avoid = peer.avoid.max(now + span);
    }

    /// A backend server answered that it failed. Failing is fast and looks like idleness, so it is
    /// avoided for longer with each failure in a row, until it answers well.
    pub fn failed(&mut self, id: &ServerId, now: Moment) {
        if let Some(peer) = self.find(id) {
            peer.failures = (peer.failures + 1).min(MOST_FAILURES);
            peer.avoid = peer.avoid.max(now + Span(AVOID_FAILING.0 << peer.failures));
        }
    }

    /// A backend server answered well.
    pub fn answered(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.failures = 0;
        }
    }

    /// What is known of one backend server.
    pub fn peer(&self, id: &ServerId) -> Option<&Peer> {
        self.peers.iter().find(|p| p.member.id == *id)
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
