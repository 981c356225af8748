//! Hosts of the emulated fleet, each with a backend server, a gate and an ingress.

use std::collections::BTreeMap;

use call::LatencyEstimate;
use gate::{Gate, RetentionLimits, RouteProfiles};
use note::Limits;
use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, Member, PolicyKind};
use types::{AttemptId, Boot, Moment, ServerId, ServiceId, SessionId, Slots, Span};

use super::{Kind, Options, SERVERS, SLOTS, START};

/// A request that a backend server is running.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) call: usize,
    pub(super) started: Moment,
    pub(super) remaining: Span,
    /// Nested calls that are still to be sent.
    pub(super) calls_left: u32,
    pub(super) waiting: bool,
}

pub(super) struct Host {
    pub(super) id: ServerId,
    pub(super) service: usize,
    pub(super) gate: Gate,
    pub(super) session: SessionId,
    pub(super) profiles: RouteProfiles,
    pub(super) balancers: [Balancer; 2],
    pub(super) latencies: BTreeMap<Kind, LatencyEstimate>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    pub(super) next_seq: u64,
}

impl Host {
    /// Creates a host for each entry of `services`, which is the service of its backend server.
    pub(super) fn all(services: &[usize], options: &Options) -> Vec<Self> {
        let members = |service: usize| -> Vec<Member> {
            let own = services.iter().enumerate().filter(|(_, s)| **s == service);
            own.map(|(index, _)| Member {
                id: server_id(index),
                zone: "zone".parse().expect("a valid name"),
                local: true,
                slots: SLOTS,
            })
            .collect()
        };
        let host = |(index, own): (usize, &usize)| {
            let boot = Boot(index as u64 + 1);
            let gate = Gate::new(boot, limits(), RetentionLimits::default());
            let mut gate = match options.nested_waits {
                true => gate.with_nested_waits(),
                false => gate,
            };
            let session = gate.open_session(Boot(99), START);
            gate.set_open(true);
            gate.extend_lease(Moment::MAX);
            let mut profiles = RouteProfiles::default();
            let hosts = SERVERS.iter().enumerate();
            profiles.set_hosts(&hosts.map(|(i, count)| (service(i), *count)).collect());
            let balancers = [0, 1].map(|service| {
                let rng = SmallRng::seed_from_u64(options.seed + boot.0);
                let mut balancer = Balancer::new(PolicyKind::default().build(), rng);
                balancer.set_members(members(service), boot);
                balancer
            });
            Host {
                id: server_id(index),
                service: *own,
                gate,
                session,
                profiles,
                balancers,
                latencies: BTreeMap::new(),
                runs: BTreeMap::new(),
                next_seq: 0,
            }
        };
        services.iter().enumerate().map(host).collect()
    }
}

pub(super) fn service(index: usize) -> ServiceId {
    format!("service-{index}")
        .parse()
        .expect("a valid identifier")
}

fn limits() -> Limits {
    Limits {
        slots: Slots(SLOTS),
        cold: Slots(SLOTS),
        warm_ms: 0,
        queue: Slots(256),
        ..Limits::default()
    }
}

fn server_id(index: usize) -> ServerId {
    format!("server-{index}")
        .parse()
        .expect("a valid identifier")
}
