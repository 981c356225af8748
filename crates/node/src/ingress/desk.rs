//! What the callers' side knows of each service: its backend servers, budget of repeats and pace.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use board::Board;
use call::{Bucket, Budget, Choose, Pace, Timing};
use note::State;
use rand::{SeedableRng, rngs::SmallRng};
use route::{Member, PolicyKind, Report, Table};
use serde::Serialize;
use types::{Boot, Moment, Outcome, ServerId, ServiceId, Span};

use crate::gatekeeper::Reply;

/// One service.
struct Desk {
    table: Table,
    bucket: Bucket,
    pace: Pace,
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

/// All services.
pub(crate) struct Desks {
    boot: Boot,
    policy: PolicyKind,
    list: Mutex<HashMap<ServiceId, Desk>>,
}

impl Desks {
    pub(crate) fn new(boot: Boot, policy: PolicyKind) -> Self {
        Self {
            boot,
            policy,
            list: Mutex::default(),
        }
    }

    fn list(&self) -> MutexGuard<'_, HashMap<ServiceId, Desk>> {
        self.list.lock().expect("no holder panics")
    }

    fn with<T: Default>(&self, service: &ServiceId, act: impl FnOnce(&mut Desk) -> T) -> T {
        self.list().get_mut(service).map(act).unwrap_or_default()
    }

    /// Takes over services and backend servers from the board.
    pub(crate) fn refresh(&self, board: &Board) {
        let view = board.view();
        let mut list = self.list();
        list.retain(|id, _| view.state.services.contains_key(id));
        for id in view.state.services.keys() {
            let desk = list.entry(id.clone()).or_insert_with(|| self.desk());
            desk.table
                .set_members(members(&view.state, board, id), self.boot);
        }
    }

    fn desk(&self) -> Desk {
        let rng = SmallRng::seed_from_u64(self.boot.0);
        let table = Table::new(self.policy.build(), rng);
        Desk {
            table,
            bucket: Bucket::default(),
            pace: Pace::default(),
        }
    }

    /// When calls of a service become impatient. A call begins, which adds to the budget of repeats.
    pub(crate) fn begin(&self, service: &ServiceId, ratio: f64) -> Timing {
        let mut list = self.list();
        match list.get_mut(service) {
            Some(desk) => {
                desk.bucket.earn(ratio);
                desk.pace.timing()
            }
            None => Pace::default().timing(),
        }
    }

    /// An attempt is sent.
    pub(crate) fn sent(&self, service: &ServiceId, server: &ServerId) {
        self.with(service, |desk| desk.table.sent(server));
    }

    /// An attempt is settled.
    pub(crate) fn closed(&self, service: &ServiceId, server: &ServerId) {
        self.with(service, |desk| desk.table.closed(server));
    }

    /// A gate replied to an attempt that was sent `took` ago.
    pub(crate) fn heard(
        &self,
        service: &ServiceId,
        server: &ServerId,
        reply: &Reply,
        took: Span,
        now: Moment,
    ) {
        let load = reply.load;
        self.with(service, |desk| {
            let report = Report {
                load: load.running + load.waiting,
                allowed: load.allowed,
                typical: load.typical,
            };
            desk.table.reported(server, report, now);
            match reply.outcome {
                Outcome::NotRun { refusal, after } => {
                    desk.table.refused(server, refusal, after, now);
                }
                Outcome::Answer(ref answer) if answer.is_failure() => {
                    desk.table.failed(server, now);
                }
                Outcome::Answer(_) => {
                    desk.table.answered(server);
                    desk.pace.learn(took);
                }
                Outcome::Unknown | Outcome::Expired => {}
            }
        });
    }

    /// A gate gave no word.
    pub(crate) fn failed(&self, service: &ServiceId, server: &ServerId, now: Moment) {
        let (refusal, after) = (types::Refusal::Down, Span::default());
        self.with(service, |desk| {
            desk.table.refused(server, refusal, after, now)
        });
    }

    /// What is known of all backend servers in use.
    pub(crate) fn dump(&self, now: Moment) -> HashMap<ServiceId, Vec<DumpedPeer>> {
        let dump = |p: &route::Peer| DumpedPeer {
            server: p.member.id.clone(),
            local: p.member.local,
            open: p.open,
            reported: p.report.load,
            allowed: p.report.allowed,
            avoided: p.avoid > now,
        };
        let list = self.list();
        list.iter()
            .map(|(id, d)| (id.clone(), d.table.peers().iter().map(dump).collect()))
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
    let slots = state.service(service).map_or(1, |s| s.limits.slots.0);
    let member = |s: &note::Server| Member {
        id: s.id.clone(),
        local: s.zone == board.identity.zone,
        slots,
    };
    open.map(member).collect()
}

/// Chooses within one service, at one moment.
pub(crate) struct Clerk<'a> {
    pub(crate) desks: &'a Desks,
    pub(crate) service: &'a ServiceId,
    pub(crate) now: Moment,
}

impl Choose for Clerk<'_> {
    fn choose(&mut self, tried: &[ServerId]) -> Option<ServerId> {
        self.desks
            .with(self.service, |desk| desk.table.choose(tried, self.now))
    }
}

/// The budget of repeats of one service.
pub(crate) struct Purse<'a> {
    pub(crate) desks: &'a Desks,
    pub(crate) service: &'a ServiceId,
}

impl Budget for Purse<'_> {
    fn spend(&mut self) -> bool {
        self.desks.with(self.service, |desk| desk.bucket.spend())
    }
}
