//! Load and capacity of availability zones, estimated from the servers that an ingress uses.

use std::collections::BTreeMap;

use types::{Moment, Span, ZoneId};

use crate::server::{FULL, ServerState};

/// Highest utilization that is told apart. Beyond it the queues say how long a zone has been
/// overloaded, not by how much.
const MAX_UTILIZATION: f64 = 2.0;
/// Utilization of a zone without reports: half of what it can serve.
const UNREPORTED: f64 = FULL / 2.0;
/// Half-life of a report's weight. One of many ingresses sends a server a request every few seconds.
const HALF_LIFE: Span = Span::from_millis(1_000);
/// Weight of [`UNREPORTED`], relative to that of one new report.
const UNREPORTED_WEIGHT: f64 = 0.1;
/// A server that is avoided for longer than this takes nothing. Shorter ones are busy, which their
/// reports tell.
const MAX_BUSY: Span = Span::from_millis(50);

/// Load of one availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneId,
    /// Requests that may run there at once, zero if none of its servers can be reached.
    pub capacity: f64,
    /// Requests that run or wait there.
    pub load: f64,
    /// Time that a round trip there takes longer than one within the ingress's zone.
    pub added: Span,
}

impl ZoneLoad {
    /// Requests that it can serve in addition, up to a utilization of `level`.
    pub(crate) fn room(&self, level: f64) -> f64 {
        (level * self.capacity - self.load).max(0.0)
    }
}

/// Estimates the load of each zone in `slots`, the configured slots of all its servers, from the
/// `servers` that the ingress uses.
pub(crate) fn zone_loads(
    servers: &[ServerState],
    slots: &BTreeMap<ZoneId, u32>,
    now: Moment,
) -> Vec<ZoneLoad> {
    let load = |(zone, slots): (&ZoneId, &u32)| {
        let used = servers.iter().filter(|s| s.member.zone == *zone);
        zone_load(zone, *slots, used.collect(), now)
    };
    slots.iter().map(load).collect()
}

fn zone_load(zone: &ZoneId, slots: u32, used: Vec<&ServerState>, now: Moment) -> ZoneLoad {
    let usable = |s: &&&ServerState| s.avoid_until.since(now) <= MAX_BUSY;
    let usable: Vec<&ServerState> = used.iter().filter(usable).copied().collect();
    let configured: u32 = used.iter().map(|s| s.member.slots).sum();
    let allowed = |s: &&ServerState| s.report.allowed.min(s.member.slots);
    let allowed: u32 = usable.iter().map(allowed).sum();
    let (mut sum, mut weights) = (UNREPORTED * UNREPORTED_WEIGHT, UNREPORTED_WEIGHT);
    for server in &usable {
        let age = now.since(server.reported_at).0 as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE.0 as f64);
        sum += weight * utilization(server, now);
        weights += weight;
    }
    let capacity = f64::from(slots) * f64::from(allowed) / f64::from(configured.max(1));
    ZoneLoad {
        zone: zone.clone(),
        capacity,
        load: capacity * sum / weights,
        added: used.first().map(|s| s.added).unwrap_or_default(),
    }
}

fn utilization(server: &ServerState, now: Moment) -> f64 {
    let load = server.report.load.max(server.open_attempts);
    let utilization = f64::from(load) / f64::from(server.report.allowed.max(1));
    let is_limited = server.reported_at + server.report.room_after > now;
    match is_limited && server.report.room_after > Span::default() {
        true => utilization.clamp(1.0, MAX_UTILIZATION),
        false => utilization.min(MAX_UTILIZATION),
    }
}
