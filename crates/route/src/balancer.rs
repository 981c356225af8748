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
pub struct LoadReport {
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that may run.
    pub allowed: u32,
    /// Mean time of late answers.
    pub mean_latency: Span,
    /// Present time of the backend server's work, in percent of the usual one.
    pub slowdown_percent: u32,
}

/// A backend server and what was learned of it.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// The backend server.
    pub member: Member,
    /// Own attempts that are open.
    pub open_attempts: u32,
    /// What its gate reported last.
    pub report: LoadReport,
    /// When the report came.
    pub reported_at: Moment,
    /// Used only for want of others until then.
    pub avoid_until: Moment,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// Usual time of the service's answers in microseconds.
    usual: f64,
}

impl ServerState {
    fn new(member: Member) -> Self {
        let report = LoadReport {
            load: 0,
            allowed: member.slots,
            mean_latency: Span::default(),
            slowdown_percent: USUAL_PACE,
        };
        let (reported_at, avoid_until) = (Moment(0), Moment(0));
        Self {
            member,
            open_attempts: 0,
            report,
            reported_at,
            avoid_until,
            consecutive_failures: 0,
            usual: 1.0,
        }
    }

    /// Expected time in microseconds until an attempt sent at `now` is answered.
    ///
    /// The mean time of answers, once for the attempt itself and once for each round of those ahead
    /// of it. The own open attempts are known exactly. Load of others and a time that differs from
    /// the `usual` one are reported, and count half for each half-life of the report's age.
    pub fn expected_latency_us(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at).0 as f64;
        let fade = |half_life: Span| 0.5_f64.powf(age / half_life.0 as f64);
        let others = self.report.load.saturating_sub(self.open_attempts);
        let others = f64::from(others) * fade(LOAD_HALF_LIFE);
        let rounds =
            (f64::from(self.open_attempts) + others + 1.0) / f64::from(self.report.allowed.max(1));
        let excess = self.report.mean_latency.0 as f64 - self.usual;
        let slowness = f64::from(self.report.slowdown_percent.max(1)) / f64::from(USUAL_PACE) - 1.0;
        let pace = 1.0 + slowness * fade(PACE_HALF_LIFE);
        (self.usual + excess * fade(TIME_HALF_LIFE)) * pace * (1.0 + rounds)
    }
}

/// The backend server that was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// Its name.
    pub server: ServerId,
    /// Whether others are left that aren't avoided.
    pub has_alternatives: bool,
}

/// The backend servers of one service that an ingress uses.
#[derive(Debug)]
pub struct Balancer {
    peers: Vec<ServerState>,
    policy: Box<dyn Policy>,
    rng: SmallRng,
}

impl Balancer {
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
                    Some(peer) => ServerState {
                        member,
                        ..peer.clone()
                    },
                    None => ServerState::new(member),
                },
            )
            .collect();
    }

    /// Picks a backend server that isn't in `tried` and not avoided. If there is none, the cheapest of
    /// the untried and of `declined`, who would have made the request wait or run slowly.
    pub fn select(
        &mut self,
        tried: &[ServerId],
        declined: &[ServerId],
        now: Moment,
    ) -> Option<Selection> {
        let untried = |p: &&ServerState| !tried.contains(&p.member.id);
        let good = |p: &&ServerState| untried(p) && p.avoid_until <= now;
        let candidates: Vec<&ServerState> = self.peers.iter().filter(good).collect();
        if let Some(picked) = self.policy.pick(&candidates, now, &mut self.rng) {
            return Some(Selection {
                server: candidates[picked].member.id.clone(),
                has_alternatives: candidates.len() > 1 || !declined.is_empty(),
            });
        }
        let left = |p: &&ServerState| untried(p) || declined.contains(&p.member.id);
        let cheapest = self.peers.iter().filter(left);
        let cheapest = cheapest.min_by(|a, b| {
            a.expected_latency_us(now)
                .total_cmp(&b.expected_latency_us(now))
        })?;
        Some(Selection {
            server: cheapest.member.id.clone(),
            has_alternatives: false,
        })
    }

    /// An attempt was sent.
    pub fn on_sent(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.open_attempts += 1;
        }
    }

    /// An attempt is no longer open.
    pub fn on_closed(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.open_attempts = peer.open_attempts.saturating_sub(1);
        }
    }

    /// A reply carried the gate's load.
    pub fn on_report(&mut self, id: &ServerId, report: LoadReport, now: Moment) {
        let Some(peer) = self.find(id) else { return };
        (peer.report, peer.reported_at) = (report, now);
        let usual = peer.usual + USUAL_WEIGHT * (report.mean_latency.0 as f64 - peer.usual);
        self.peers.iter_mut().for_each(|peer| peer.usual = usual);
    }

    /// A gate refused, or couldn't be reached. `after` is when it said to come back.
    pub fn on_refused(&mut self, id: &ServerId, refusal: Refusal, after: Span, now: Moment) {
        let Some(peer) = self.find(id) else { return };
        let span = match refusal {
            Refusal::Session | Refusal::Cancelled | Refusal::Barred => return,
            Refusal::Slow => AVOID_SLOW,
            Refusal::Failing => AVOID_GREY,
            r if r.is_load() => after.min(MOST_AVOID_BUSY),
            _ => AVOID_DOWN,
        };
        peer.avoid_until = peer.avoid_until.max(now + span);
    }

    /// A backend server answered that it failed. Failing is fast and looks like idleness, so it is
    /// avoided for longer with each failure in a row, until it answers well.
    pub fn on_failure(&mut self, id: &ServerId, now: Moment) {
        if let Some(peer) = self.find(id) {
            peer.consecutive_failures = (peer.consecutive_failures + 1).min(MOST_FAILURES);
            peer.avoid_until = peer
                .avoid_until
                .max(now + Span(AVOID_FAILING.0 << peer.consecutive_failures));
        }
    }

    /// A backend server answered well.
    pub fn on_success(&mut self, id: &ServerId) {
        if let Some(peer) = self.find(id) {
            peer.consecutive_failures = 0;
        }
    }

    /// What is known of one backend server.
    pub fn server(&self, id: &ServerId) -> Option<&ServerState> {
        self.peers.iter().find(|p| p.member.id == *id)
    }

    /// The backend servers in use.
    pub fn servers(&self) -> &[ServerState] {
        &self.peers
    }

    fn find(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        self.peers.iter_mut().find(|p| p.member.id == *id)
    }
}

fn rank(ingress: Boot, id: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ingress, id).hash(&mut hasher);
    hasher.finish()
}
