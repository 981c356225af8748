//! State that the ingress keeps: the backend servers and the retry budget of each service, and the
//! latency statistics of each route or service.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
};

use attempt::{KnownLimit, Reply};
use board::Board;
use call::{Budget, LatencyEstimate, Selection, ServerSelector, TokenBucket};
use metrics::{Crossing, Metrics};
use note::State;
use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport, Member, PolicyKind, ServerState, Spill, Trip};
use serde::Serialize;
use smol_str::SmolStr;
use types::{Boot, Fingerprint, Moment, Outcome, Rate, ServerId, ServiceId, Span, ZoneId};

use super::zones::ZoneShares;

/// State of one service.
struct ServiceState {
    balancer: Balancer,
    retry_budget: TokenBucket,
    /// Limits that backend servers have named, also of those that are out of service.
    limits: HashMap<ServerId, KnownLimit>,
    /// Part of the requests that left the zone when it was last logged.
    logged_share: f64,
}

/// A backend server in the state dump.
#[derive(Debug, Serialize)]
pub struct ServerDump {
    server: ServerId,
    local: bool,
    /// Open attempts of this ingress.
    open: u32,
    /// Requests that run or wait at the gate, as it last reported.
    reported: u32,
    /// Requests that the gate lets run concurrently, as it last reported.
    allowed: u32,
    /// Whether the backend server is chosen only if no other is left.
    avoided: bool,
    /// Requests a second that the backend server accepts, if it names a limit.
    limit: Option<Rate>,
}

/// Shares of other zones in the state dump.
#[derive(Debug, Serialize)]
pub struct ZoneDump {
    /// Part of the requests that goes to each other zone, by service.
    shares: BTreeMap<ServiceId, BTreeMap<ZoneId, f64>>,
    /// Microseconds of a round trip to each zone.
    round_trips: BTreeMap<ZoneId, Span>,
}

/// Limit on the retries that a node sends.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy {
    /// Retries of one service beyond the retry ratio that all nodes together may send. `None` gives
    /// each node a fixed allowance.
    pub fleet_burst: Option<f64>,
    /// Whether only a part of the retries may be of requests that may have run, see
    /// [`Budget::try_withdraw_for_unknown`].
    pub limits_unknown: bool,
}

impl RetryPolicy {
    fn new_budget(self, nodes: usize) -> TokenBucket {
        match self.fleet_burst {
            Some(fleet_burst) => TokenBucket::for_fleet(fleet_burst, nodes),
            None => TokenBucket::default(),
        }
    }
}

/// State of all services.
pub struct Services {
    boot: Boot,
    policy: PolicyKind,
    retry_policy: RetryPolicy,
    states: Mutex<HashMap<ServiceId, ServiceState>>,
    /// Latency statistics by key, which is the name of a route or of a service.
    latencies: Mutex<HashMap<SmolStr, LatencyEstimate>>,
    /// Set if the requests that leave the zone are a computed share.
    shares: Option<ZoneShares>,
}

impl Services {
    /// Creates the state without services. `boot` is the incarnation of the node.
    pub fn new(boot: Boot, policy: PolicyKind, retry_policy: RetryPolicy) -> Self {
        Self {
            boot,
            policy,
            retry_policy,
            states: Mutex::default(),
            latencies: Mutex::default(),
            shares: None,
        }
    }

    /// Has requests leave the zone by computed shares.
    pub fn with_shares(self, shares: ZoneShares) -> Self {
        let shares = Some(shares);
        Self { shares, ..self }
    }

    fn latencies(&self) -> MutexGuard<'_, HashMap<SmolStr, LatencyEstimate>> {
        self.latencies
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn states(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceState>> {
        self.states
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Changes the state of a service. Returns the default of `T` if the service is unknown.
    fn update<T: Default>(
        &self,
        service: &ServiceId,
        change: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        self.states()
            .get_mut(service)
            .map(change)
            .unwrap_or_default()
    }

    /// Updates services and their backend servers from the state of a view, and from the hosts and
    /// leaving servers on the board.
    pub(crate) fn refresh(&self, board: &Board, state: &State) {
        let mut states = self.states();
        states.retain(|id, _| state.services.contains_key(id));
        let exists = |latency_key: &SmolStr| {
            let is_route = state.routes.keys().any(|id| id.as_str() == latency_key);
            is_route || state.services.keys().any(|id| id.as_str() == latency_key)
        };
        self.latencies()
            .retain(|latency_key, _| exists(latency_key));
        if let Some(shares) = &self.shares {
            shares.retain(|server| state.servers.contains_key(server));
        }
        let nodes = state.servers.len();
        for id in state.services.keys() {
            let service = states
                .entry(id.clone())
                .or_insert_with(|| self.new_state(nodes));
            if let Some(fleet_burst) = self.retry_policy.fleet_burst {
                service.retry_budget.resize(fleet_burst, nodes);
            }
            service
                .balancer
                .set_members(members(state, board, id), self.boot);
            let is_current = |server: &ServerId, known: &mut KnownLimit| {
                state.incarnation_of(server) == Some(known.incarnation)
            };
            service.limits.retain(is_current);
        }
    }

    fn new_state(&self, nodes: usize) -> ServiceState {
        let rng = SmallRng::seed_from_u64(self.boot.0);
        let balancer = Balancer::new(self.policy.build(), rng);
        let balancer = match &self.shares {
            Some(shares) if shares.only_far => {
                balancer.with_spill_to_far_zones(Spill::new(shares.cost))
            }
            Some(shares) => balancer.with_spill(Spill::new(shares.cost)),
            None => balancer,
        };
        ServiceState {
            balancer,
            logged_share: 0.0,
            retry_budget: self.retry_policy.new_budget(nodes),
            limits: HashMap::new(),
        }
    }

    /// Records the start of a call, which adds `retry_ratio` of a retry to the service's retry
    /// budget. Returns the latency statistics for `latency_key`.
    pub(crate) fn begin_call(
        &self,
        service: &ServiceId,
        latency_key: &SmolStr,
        retry_ratio: f64,
    ) -> LatencyEstimate {
        self.update(service, |state| state.retry_budget.deposit(retry_ratio));
        self.latencies()
            .get(latency_key)
            .copied()
            .unwrap_or_default()
    }

    /// Records that an attempt is sent. Returns the present state of its backend server.
    pub(crate) fn record_sent(
        &self,
        service: &ServiceId,
        server: &ServerId,
    ) -> Option<ServerState> {
        self.update(service, |state| {
            state.balancer.on_sent(server);
            state.balancer.server(server).cloned()
        })
    }

    /// The limit that a backend server has last named to this ingress.
    pub(crate) fn known_limit(&self, service: &ServiceId, server: &ServerId) -> Option<KnownLimit> {
        self.update(service, |state| state.limits.get(server).copied())
    }

    /// Records that an attempt is no longer open.
    pub(crate) fn record_closed(&self, service: &ServiceId, server: &ServerId) {
        self.update(service, |state| state.balancer.on_closed(server));
    }

    /// Records a gate's reply to an attempt that was sent `took` ago.
    pub(crate) fn record_reply(
        &self,
        service: &ServiceId,
        latency_key: &SmolStr,
        server: &ServerId,
        reply: &Reply,
        took: Span,
        now: Moment,
    ) {
        let load = reply.load;
        if matches!(&reply.outcome, Outcome::Answer(answer) if !answer.is_failure()) {
            let mut latencies = self.latencies();
            latencies
                .entry(latency_key.clone())
                .or_default()
                .record(took, reply.service_time);
        }
        self.update(service, |state| {
            let report = LoadReport {
                load: load.running.saturating_add(load.waiting),
                allowed: load.allowed,
                mean_latency: load.mean_latency,
                slowdown_percent: load.slowdown_percent,
                room_after: load.room_after,
            };
            state.balancer.on_report(server, report, now);
            match load.limit {
                Some(rate) => {
                    let incarnation = reply.incarnation;
                    let known = KnownLimit { rate, incarnation };
                    state.limits.insert(server.clone(), known);
                }
                None if reply.ran() => {
                    state.limits.remove(server);
                }
                None => {}
            }
            match reply.outcome {
                Outcome::NotRun {
                    refusal,
                    retry_after,
                } => {
                    state.balancer.on_refused(server, refusal, retry_after, now);
                }
                Outcome::Answer(ref answer) if answer.is_failure() => {
                    state.balancer.on_failure(server, now);
                }
                Outcome::Answer(_) => state.balancer.on_success(server),
                Outcome::Unknown | Outcome::Expired => {}
            }
        });
    }

    /// Records the round trip of an attempt that was answered `took` after it was sent, of which its
    /// backend server spent `served` on it.
    pub(crate) fn record_round_trip(
        &self,
        service: &ServiceId,
        server: &ServerId,
        took: Span,
        served: Span,
    ) {
        let Some(shares) = &self.shares else { return };
        self.update(service, |state| {
            let (zone, least) = shares.record(server, took, served, &mut state.balancer)?;
            let is_used = state.balancer.uses_shares();
            log::info!(
                service:% = service, from:% = shares.home, to:% = zone, least_us = least.0,
                shares = is_used; "zone_ways"
            );
            Some(())
        });
    }

    /// What the state dump tells of the shares, `None` if none are computed.
    pub fn dump_shares(&self) -> Option<ZoneDump> {
        let shares = self.shares.as_ref()?;
        let states = self.states();
        let of_service = |(id, state): (&ServiceId, &ServiceState)| {
            let spill = state.balancer.spill()?;
            let flows = spill.shares().map(|(zone, share)| (zone.clone(), share));
            Some((id.clone(), flows.collect()))
        };
        Some(ZoneDump {
            shares: states.iter().filter_map(of_service).collect(),
            round_trips: shares.round_trips(),
        })
    }

    /// Records that a gate gave no reply.
    pub(crate) fn record_no_reply(&self, service: &ServiceId, server: &ServerId, now: Moment) {
        let (refusal, retry_after) = (types::Refusal::Down, Span::default());
        self.update(service, |state| {
            state.balancer.on_refused(server, refusal, retry_after, now)
        });
    }

    /// The backend servers that new attempts may be sent to, by service.
    pub fn dump(&self, now: Moment) -> HashMap<ServiceId, Vec<ServerDump>> {
        let dump = |state: &ServiceState, s: &ServerState| ServerDump {
            server: s.member.id.clone(),
            local: s.member.local,
            open: s.open_attempts,
            reported: s.report.load,
            allowed: s.report.allowed,
            avoided: s.avoid_until > now,
            limit: state.limits.get(&s.member.id).map(|known| known.rate),
        };
        let states = self.states();
        states
            .iter()
            .map(|(id, state)| {
                let servers = state.balancer.servers().iter();
                (id.clone(), servers.map(|s| dump(state, s)).collect())
            })
            .collect()
    }
}

/// Backend servers of a service that new attempts may be sent to.
fn members(state: &State, board: &Board, service: &ServiceId) -> Vec<Member> {
    let servers = state
        .servers
        .values()
        .map(|e| &e.item)
        .filter(|s| s.service == *service);
    let usable = servers.filter(|s| {
        state.is_in_service(s)
            && !board.is_leaving(&s.host)
            && !board.has_said_leaving(state, &s.id)
    });
    let member = |s: &note::Server| Member {
        id: s.id.clone(),
        zone: s.zone.clone(),
        local: s.zone == board.identity.zone,
        slots: state.limits_of(s).map_or(1, |limits| limits.slots.0),
    };
    usable.map(member).collect()
}

/// A suspect request that is sent to one backend server.
#[derive(Debug, Clone)]
pub(crate) struct Trial {
    pub(crate) request: Fingerprint,
    /// Backend servers that have ended under it.
    pub(crate) ended: Vec<ServerId>,
}

/// Chooses backend servers of one service at a given time.
pub(crate) struct Selector<'a> {
    pub(crate) services: &'a Services,
    pub(crate) service: &'a ServiceId,
    /// Set for a suspect, which only one backend server may run.
    pub(crate) trial: Option<&'a Trial>,
    /// What the request loses by leaving its zone.
    pub(crate) trip: Trip,
    pub(crate) metrics: &'a Metrics,
    pub(crate) now: Moment,
}

impl Selector<'_> {
    /// Counts an attempt that leaves the zone, and logs the service's share if it has changed.
    fn note_shares(&self, state: &mut ServiceState, selection: &route::Selection) {
        let Some(shares) = &self.services.shares else {
            return;
        };
        let server = state.balancer.server(&selection.server);
        if let Some(server) = server.filter(|server| !server.member.local) {
            self.metrics.record_crossing(&Crossing {
                service: self.service,
                from: &shares.home,
                to: &server.member.zone,
                reason: selection.reason,
                bytes: self.trip.bytes,
            });
        }
        let spill = state.balancer.spill();
        if let Some(share) =
            spill.and_then(|spill| shares.log(self.service, spill, state.logged_share))
        {
            state.logged_share = share;
        }
    }
}

impl ServerSelector for Selector<'_> {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let chosen = self
            .services
            .update(self.service, |state| match self.trial {
                Some(trial) => {
                    let Trial { request, ended } = trial;
                    state.balancer.select_for_trial(*request, tried, ended)
                }
                None => {
                    let Self { trip, now, .. } = self;
                    let selection = state.balancer.select_for(trip, tried, declined, *now)?;
                    self.note_shares(state, &selection);
                    Some(selection)
                }
            });
        chosen.map(|picked| Selection {
            server: picked.server,
            has_alternatives: picked.has_alternatives,
        })
    }
}

/// The retry budget of one service.
pub(crate) struct RetryBudget<'a> {
    pub(crate) services: &'a Services,
    pub(crate) service: &'a ServiceId,
}

impl Budget for RetryBudget<'_> {
    fn try_withdraw(&mut self) -> bool {
        self.services
            .update(self.service, |state| state.retry_budget.try_withdraw())
    }

    fn try_withdraw_for_unknown(&mut self) -> bool {
        if !self.services.retry_policy.limits_unknown {
            return self.try_withdraw();
        }
        let withdraw = |state: &mut ServiceState| state.retry_budget.try_withdraw_for_unknown();
        self.services.update(self.service, withdraw)
    }
}
