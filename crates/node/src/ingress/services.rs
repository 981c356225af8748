//! What the callers' side knows of each service: its backend servers, budget of repeats and pace.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use board::Board;
use call::{Budget, LatencyEstimate, Selection, ServerSelector, TokenBucket};
use note::State;
use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport, Member, PolicyKind, ServerState};
use serde::Serialize;
use smol_str::SmolStr;
use types::{Boot, Moment, Outcome, ServerId, ServiceId, Span};

use crate::gatekeeper::Reply;

/// One service.
struct ServiceState {
    table: Balancer,
    bucket: TokenBucket,
}

/// A backend server as the dump shows it.
#[derive(Debug, Serialize)]
pub(crate) struct DumpedPeer {
    server: ServerId,
    local: bool,
    open: u32,
    reported: u32,
    allowed: u32,
    avoided: bool,
}

/// How many repeats a node may send.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryPolicy {
    /// Repeats of one service beyond the ratio that the whole fleet may send, if that is bounded.
    pub(crate) slack: Option<f64>,
}

impl RetryPolicy {
    fn bucket(self, nodes: usize) -> TokenBucket {
        match self.slack {
            Some(slack) => TokenBucket::for_fleet(slack, nodes),
            None => TokenBucket::default(),
        }
    }
}

/// All services.
pub(crate) struct Services {
    boot: Boot,
    policy: PolicyKind,
    retries: RetryPolicy,
    list: Mutex<HashMap<ServiceId, ServiceState>>,
    /// How long each kind of request takes.
    paces: Mutex<HashMap<SmolStr, LatencyEstimate>>,
}

impl Services {
    pub(crate) fn new(boot: Boot, policy: PolicyKind, retries: RetryPolicy) -> Self {
        Self {
            boot,
            policy,
            retries,
            list: Mutex::default(),
            paces: Mutex::default(),
        }
    }

    fn paces(&self) -> MutexGuard<'_, HashMap<SmolStr, LatencyEstimate>> {
        self.paces.lock().expect("no holder panics")
    }

    fn list(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceState>> {
        self.list.lock().expect("no holder panics")
    }

    fn with<T: Default>(&self, service: &ServiceId, act: impl FnOnce(&mut ServiceState) -> T) -> T {
        self.list().get_mut(service).map(act).unwrap_or_default()
    }

    /// Takes over services and backend servers from the board.
    pub(crate) fn refresh(&self, board: &Board) {
        let view = board.view();
        let mut list = self.list();
        list.retain(|id, _| view.state.services.contains_key(id));
        let known = |kind: &SmolStr| {
            let routes = view.state.routes.keys().any(|id| id.as_str() == kind);
            routes || view.state.services.keys().any(|id| id.as_str() == kind)
        };
        self.paces().retain(|kind, _| known(kind));
        let nodes = view.state.servers.len();
        for id in view.state.services.keys() {
            let state = list.entry(id.clone()).or_insert_with(|| self.state(nodes));
            if let Some(slack) = self.retries.slack {
                state.bucket.resize(slack, nodes);
            }
            state
                .table
                .set_members(members(&view.state, board, id), self.boot);
        }
    }

    fn state(&self, nodes: usize) -> ServiceState {
        let rng = SmallRng::seed_from_u64(self.boot.0);
        let table = Balancer::new(self.policy.build(), rng);
        ServiceState {
            table,
            bucket: self.retries.bucket(nodes),
        }
    }

    /// How long requests of a kind take. A call of the service begins, which adds to its budget of
    /// repeats.
    pub(crate) fn begin(&self, service: &ServiceId, kind: &SmolStr, ratio: f64) -> LatencyEstimate {
        self.with(service, |state| state.bucket.deposit(ratio));
        self.paces().get(kind).copied().unwrap_or_default()
    }

    /// An attempt is sent. Returns what is known of the backend server.
    pub(crate) fn sent(&self, service: &ServiceId, server: &ServerId) -> Option<ServerState> {
        self.with(service, |state| {
            state.table.on_sent(server);
            state.table.server(server).cloned()
        })
    }

    /// An attempt is settled.
    pub(crate) fn closed(&self, service: &ServiceId, server: &ServerId) {
        self.with(service, |state| state.table.on_closed(server));
    }

    /// A gate replied to an attempt that was sent `took` ago.
    pub(crate) fn heard(
        &self,
        service: &ServiceId,
        kind: &SmolStr,
        server: &ServerId,
        reply: &Reply,
        took: Span,
        now: Moment,
    ) {
        let load = reply.load;
        if matches!(&reply.outcome, Outcome::Answer(answer) if !answer.is_failure()) {
            let mut paces = self.paces();
            paces
                .entry(kind.clone())
                .or_default()
                .record(took, reply.ran);
        }
        self.with(service, |state| {
            let report = LoadReport {
                load: load.running + load.waiting,
                allowed: load.allowed,
                mean_latency: load.mean_latency,
                slowdown_percent: load.slowdown,
            };
            state.table.on_report(server, report, now);
            match reply.outcome {
                Outcome::NotRun { refusal, after } => {
                    state.table.on_refused(server, refusal, after, now);
                }
                Outcome::Answer(ref answer) if answer.is_failure() => {
                    state.table.on_failure(server, now);
                }
                Outcome::Answer(_) => state.table.on_success(server),
                Outcome::Unknown | Outcome::Expired => {}
            }
        });
    }

    /// A gate gave no word.
    pub(crate) fn failed(&self, service: &ServiceId, server: &ServerId, now: Moment) {
        let (refusal, after) = (types::Refusal::Down, Span::default());
        self.with(service, |state| {
            state.table.on_refused(server, refusal, after, now)
        });
    }

    /// What is known of all backend servers in use.
    pub(crate) fn dump(&self, now: Moment) -> HashMap<ServiceId, Vec<DumpedPeer>> {
        let dump = |p: &ServerState| DumpedPeer {
            server: p.member.id.clone(),
            local: p.member.local,
            open: p.open_attempts,
            reported: p.report.load,
            allowed: p.report.allowed,
            avoided: p.avoid_until > now,
        };
        let list = self.list();
        list.iter()
            .map(|(id, d)| (id.clone(), d.table.servers().iter().map(dump).collect()))
            .collect()
    }
}

/// Backend servers of a service that take work.
fn members(state: &State, board: &Board, service: &ServiceId) -> Vec<Member> {
    let servers = state
        .servers
        .values()
        .map(|e| &e.item)
        .filter(|s| s.service == *service);
    let open = servers.filter(|s| state.takes_work(s) && !board.is_leaving(&s.host));
    let member = |s: &note::Server| Member {
        id: s.id.clone(),
        local: s.zone == board.identity.zone,
        slots: state.limits_of(s).map_or(1, |limits| limits.slots.0),
    };
    open.map(member).collect()
}

/// Chooses within one service, at one moment.
pub(crate) struct Selector<'a> {
    pub(crate) services: &'a Services,
    pub(crate) service: &'a ServiceId,
    pub(crate) now: Moment,
}

impl ServerSelector for Selector<'_> {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let chosen = self.services.with(self.service, |state| {
            state.table.select(tried, declined, self.now)
        });
        chosen.map(|picked| Selection {
            server: picked.server,
            has_alternatives: picked.has_alternatives,
        })
    }
}

/// The budget of repeats of one service.
pub(crate) struct RetryBudget<'a> {
    pub(crate) services: &'a Services,
    pub(crate) service: &'a ServiceId,
}

impl Budget for RetryBudget<'_> {
    fn try_withdraw(&mut self) -> bool {
        self.services
            .with(self.service, |state| state.bucket.try_withdraw())
    }
}
