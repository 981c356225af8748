//! Load, health and selection of the backend servers of one service.

use std::{collections::BTreeMap, fmt};

use rand::rngs::SmallRng;
use types::{Boot, Fingerprint, Moment, Refusal, ServerId, Span, ZoneId};

use crate::{
    distance::{ASSUMED, Distances},
    policy::Policy,
    rendezvous::rendezvous_hash,
    server::{LoadReport, Member, ServerState},
    spill::{Direction, Spill, Trip},
    subset::subset,
    zone_load::{ZoneLoad, zone_loads},
};

/// Time for which a backend server is avoided after its gate declined with [`Refusal::Slow`].
const AVOID_SLOW: Span = Span::from_millis(60);
/// Time for which a backend server is avoided after its gate declined with [`Refusal::Failing`].
/// Within this time the gate declines further fail-fast attempts.
const AVOID_FAILING: Span = Span::from_millis(250);
/// Weight of one report in the moving average of the service's latency.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Time for which a backend server that can't be reached or takes no work is avoided.
const AVOID_DOWN: Span = Span::from_millis(1_000);
/// Exponential backoff after consecutive failures: half of the first delay, and the maximum number
/// of doublings.
const FAILURE_BACKOFF: Span = Span::from_millis(10);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Maximum time for which a backend server is avoided after a refusal for load.
const MAX_AVOID_BUSY: Span = Span::from_millis(50);

/// Maximum time for which a backend server is avoided that has no room under its own limit.
const MAX_AVOID_LIMITED: Span = Span::from_millis(1_000);

/// Why an attempt goes to the zone that it goes to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reason {
    /// The share of its zone.
    Share,
    /// It looked faster than the others, or none was left in the zone that the shares chose.
    #[default]
    Faster,
    /// An earlier attempt of the call was sent elsewhere.
    Again,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Share => "share",
            Self::Faster => "faster",
            Self::Again => "again",
        })
    }
}

/// The backend server selected for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// Identifier of the backend server.
    pub server: ServerId,
    /// Whether other backend servers remain that may be better.
    pub has_alternatives: bool,
    /// Why it is in its zone.
    pub reason: Reason,
}

/// Balances the load of one ingress over the backend servers of one service.
#[derive(Debug)]
pub struct Balancer {
    servers: Vec<ServerState>,
    /// All members, also those that this ingress doesn't use.
    members: Vec<Member>,
    /// The ingress's incarnation and, if it has members there, its zone.
    ingress: Boot,
    home: Option<ZoneId>,
    /// Configured slots of all members by zone.
    slots: BTreeMap<ZoneId, u32>,
    policy: Box<dyn Policy>,
    /// Set if the requests that leave the zone are a computed share.
    spill: Option<Spill>,
    /// Set if they are only while other zones are far.
    distances: Option<Distances>,
    rng: SmallRng,
}

impl Balancer {
    /// Creates a balancer without members, which compares servers of all zones for each request.
    pub fn new(policy: Box<dyn Policy>, rng: SmallRng) -> Self {
        Self {
            servers: Vec::new(),
            members: Vec::new(),
            ingress: Boot(0),
            home: None,
            slots: BTreeMap::new(),
            policy,
            spill: None,
            distances: None,
            rng,
        }
    }

    /// Has first attempts leave the zone by the shares of `spill`.
    pub fn with_spill(self, spill: Spill) -> Self {
        Self {
            spill: Some(spill),
            ..self
        }
    }

    /// Has first attempts leave the zone by the shares of `spill` while other zones are measured to be far. Near
    /// ones are compared for each request.
    pub fn with_spill_to_far_zones(self, spill: Spill) -> Self {
        Self {
            distances: Some(Distances::default()),
            ..self.with_spill(spill)
        }
    }

    /// Whether shares are computed, and not only prepared.
    pub fn uses_shares(&self) -> bool {
        let are_far = |distances: &Distances| distances.is_far() == Some(true);
        self.spill.is_some() && self.distances.as_ref().is_none_or(are_far)
    }

    /// Whether servers of all zones are used: for shares, and until it is known whether these are needed.
    fn knows_all(&self) -> bool {
        let are_near = |distances: &Distances| distances.is_far() == Some(false);
        self.spill.is_some() && !self.distances.as_ref().is_some_and(are_near)
    }

    /// Replaces the members. The state of those that stay is kept.
    ///
    /// Only a subset of many members is used, so that the number of connections doesn't grow with
    /// the fleet. Local members come first, ordered by a rendezvous hash with the ingress's
    /// incarnation, which spreads the ingresses evenly over the backend servers. With shares of
    /// other zones, some servers of each are used too.
    pub fn set_members(&mut self, members: Vec<Member>, ingress: Boot) {
        self.slots.clear();
        for member in &members {
            *self.slots.entry(member.zone.clone()).or_default() += member.slots;
        }
        if let Some(distances) = &mut self.distances {
            distances.retain(|zone| self.slots.contains_key(zone));
        }
        let home = members.iter().find(|member| member.local);
        self.home = home.map(|member| member.zone.clone());
        (self.members, self.ingress) = (members, ingress);
        self.choose_servers();
    }

    /// Chooses the members that are used.
    fn choose_servers(&mut self) {
        let used = subset(self.members.clone(), self.ingress, self.knows_all());
        let previous = std::mem::take(&mut self.servers);
        self.servers = used
            .into_iter()
            .map(
                |member| match previous.iter().find(|s| s.member.id == member.id) {
                    Some(server) => ServerState {
                        member,
                        ..server.clone()
                    },
                    None => ServerState::new(member),
                },
            )
            .collect();
    }

    /// Selects a backend server as [`Balancer::select_for`] does, for a request that loses nothing
    /// by leaving the zone.
    pub fn select(
        &mut self,
        tried: &[ServerId],
        declined: &[ServerId],
        now: Moment,
    ) -> Option<Selection> {
        let trip = Trip {
            spare: true,
            slack: Span(u64::MAX),
            ..Trip::default()
        };
        self.select_for(&trip, tried, declined, now)
    }

    /// Selects a backend server that is neither in `tried` nor avoided, as the policy picks it. With
    /// shares of other zones, the first attempt goes to the zone that they choose. If
    /// there is none, selects the one with the lowest expected latency of the untried and of
    /// `declined`, whose gates declined a fail-fast attempt.
    pub fn select_for(
        &mut self,
        trip: &Trip,
        tried: &[ServerId],
        declined: &[ServerId],
        now: Moment,
    ) -> Option<Selection> {
        let direction = match tried {
            [] => self.direct(trip, now),
            _ => None,
        };
        let untried = |s: &&ServerState| !tried.contains(&s.member.id);
        let available = |s: &&ServerState| untried(s) && s.avoid_until <= now;
        let candidates: Vec<&ServerState> = self.servers.iter().filter(available).collect();
        let selection = |server: &ServerState, reason| Selection {
            server: server.member.id.clone(),
            has_alternatives: candidates.len() > 1 || !declined.is_empty(),
            reason,
        };
        let otherwise = match tried {
            [] => Reason::Faster,
            _ => Reason::Again,
        };
        if let Some(direction) = direction {
            let there: Vec<&ServerState> = candidates
                .iter()
                .filter(|s| direction.is_to(&s.member))
                .copied()
                .collect();
            let keeps = self.spill.as_ref().is_some_and(|spill| spill.keeps(trip));
            match self.policy.pick(&there, now, &mut self.rng) {
                Some(picked) if keeps || !there[picked].is_strained(now) => {
                    return Some(selection(there[picked], Reason::Share));
                }
                _ => {}
            }
        }
        if let Some(picked) = self.policy.pick(&candidates, now, &mut self.rng) {
            return Some(selection(candidates[picked], otherwise));
        }
        let remaining = |s: &&ServerState| untried(s) || declined.contains(&s.member.id);
        let remaining = self.servers.iter().filter(remaining);
        let fastest = remaining.min_by(|a, b| {
            a.expected_latency_us(now)
                .total_cmp(&b.expected_latency_us(now))
        })?;
        Some(Selection {
            server: fastest.member.id.clone(),
            has_alternatives: false,
            reason: otherwise,
        })
    }

    /// The zone of a first attempt, `None` without shares of other zones.
    fn direct(&mut self, trip: &Trip, now: Moment) -> Option<Direction> {
        if !self.uses_shares() {
            return None;
        }
        let spill = self.spill.as_mut()?;
        if spill.is_due(now) {
            let loads = zone_loads(&self.servers, &self.slots, now);
            let is_home = |load: &ZoneLoad| {
                let mut there = self.servers.iter().filter(|s| s.member.zone == load.zone);
                there.any(|s| s.member.local)
            };
            let (home, others): (Vec<_>, Vec<_>) = loads.into_iter().partition(is_home);
            let service = self.servers.first().map_or(0.0, |s| s.service_latency);
            let home = home.first();
            spill.update(home, &others, Span(service as u64), now);
        }
        Some(spill.choose(trip, &mut self.rng))
    }

    /// The shares of other zones, if they are computed.
    pub fn spill(&self) -> Option<&Spill> {
        self.spill.as_ref()
    }

    /// Records what a round trip to a zone takes longer than one within the ingress's at least. Returns whether
    /// shares are used from now on, or no longer.
    pub fn record_least(&mut self, zone: &ZoneId, least: Span) -> bool {
        let zones = self.slots.len() - usize::from(self.home.is_some());
        let is_other = self.home.as_ref() != Some(zone) && self.slots.contains_key(zone);
        let Some(distances) = self.distances.as_mut().filter(|_| is_other) else {
            return false;
        };
        let was_far = distances.is_far() == Some(true);
        if distances.record(zone, least, zones) {
            self.choose_servers();
        }
        let uses_shares = self.uses_shares();
        if was_far && !uses_shares {
            let others = self.servers.iter_mut().filter(|s| !s.member.local);
            others.for_each(|server| server.added = ASSUMED);
        }
        uses_shares != was_far
    }

    /// Sets what a round trip to a zone takes longer than one within the ingress's. Comparisons assume that until
    /// shares are used.
    pub fn set_added(&mut self, zone: &ZoneId, added: Span) {
        let there = self.servers.iter_mut().filter(|s| s.member.zone == *zone);
        there
            .filter(|s| !s.member.local)
            .for_each(|s| s.added = added);
    }

    /// Selects the backend server that runs a suspect request, of those that aren't in `tried`, and those of
    /// `ended` last. All ingresses with the same members and evidence select the same one, whichever members
    /// they use or avoid.
    pub fn select_for_trial(
        &self,
        request: Fingerprint,
        tried: &[ServerId],
        ended: &[ServerId],
    ) -> Option<Selection> {
        let ids = self.members.iter().map(|member| &member.id);
        let untried = ids.filter(|id| !tried.contains(id));
        let key = |id: &&ServerId| (!ended.contains(id), rendezvous_hash(request, *id));
        Some(Selection {
            server: untried.max_by_key(key)?.clone(),
            has_alternatives: false,
            reason: Reason::default(),
        })
    }

    /// Counts an attempt that was sent.
    pub fn on_sent(&mut self, id: &ServerId) {
        if let Some(server) = self.find(id) {
            server.open_attempts += 1;
        }
    }

    /// Counts down an attempt that is no longer open.
    pub fn on_closed(&mut self, id: &ServerId) {
        if let Some(server) = self.find(id) {
            server.open_attempts = server.open_attempts.saturating_sub(1);
        }
    }

    /// Stores the load report of a gate's reply.
    pub fn on_report(&mut self, id: &ServerId, report: LoadReport, now: Moment) {
        let Some(server) = self.find(id) else { return };
        (server.report, server.reported_at) = (report, now);
        let latency = server.service_latency
            + AVERAGE_WEIGHT * (report.mean_latency.0 as f64 - server.service_latency);
        self.servers
            .iter_mut()
            .for_each(|server| server.service_latency = latency);
    }

    /// Avoids a backend server whose gate refused an attempt or couldn't be reached, unless the
    /// refusal says nothing against it. `retry_after` is the delay that the gate suggested.
    pub fn on_refused(&mut self, id: &ServerId, refusal: Refusal, retry_after: Span, now: Moment) {
        let Some(server) = self.find(id) else { return };
        let span = match refusal {
            Refusal::Session | Refusal::Cancelled | Refusal::Barred | Refusal::Quarantined => {
                return;
            }
            Refusal::Slow => AVOID_SLOW,
            Refusal::Failing => AVOID_FAILING,
            Refusal::Limited => retry_after.min(MAX_AVOID_LIMITED),
            r if r.is_overload() => retry_after.min(MAX_AVOID_BUSY),
            _ => AVOID_DOWN,
        };
        server.avoid_until = server.avoid_until.max(now + span);
    }

    /// Avoids a backend server that answered with a failure, for longer with each consecutive one.
    /// Failed answers are fast and would otherwise make the backend server look idle.
    pub fn on_failure(&mut self, id: &ServerId, now: Moment) {
        if let Some(server) = self.find(id) {
            server.consecutive_failures =
                (server.consecutive_failures + 1).min(MAX_BACKOFF_DOUBLINGS);
            server.avoid_until = server
                .avoid_until
                .max(now + Span(FAILURE_BACKOFF.0 << server.consecutive_failures));
        }
    }

    /// Resets the failure count of a backend server that answered successfully.
    pub fn on_success(&mut self, id: &ServerId) {
        if let Some(server) = self.find(id) {
            server.consecutive_failures = 0;
        }
    }

    /// The state of one backend server, `None` if it isn't in use.
    pub fn server(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.iter().find(|s| s.member.id == *id)
    }

    /// All backend servers in use.
    pub fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    fn find(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        self.servers.iter_mut().find(|s| s.member.id == *id)
    }
}
