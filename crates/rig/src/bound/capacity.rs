//! What the servers of a load can serve, by window.

use types::{RouteId, ServiceId, ZoneId};

use super::{
    Assumptions,
    load::{Change, Event, Knee, Load, Service},
};

/// What limits a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Limit {
    /// Work done, in seconds of a run that nothing slows.
    Work,
    /// Slots in use, in seconds. A run holds its slot while its nested calls run.
    Room,
    /// Requests sent, which limits cold servers.
    Starts,
}

pub(super) const LIMITS: [Limit; 3] = [Limit::Work, Limit::Room, Limit::Starts];

/// Index of a service's limit.
pub(super) type Resource = usize;

/// What one request takes from a resource.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    pub(super) resource: Resource,
    pub(super) amount: f64,
}

impl Need {
    /// The need of a request that is `factor` times the mean work.
    pub(super) fn amount_of(self, factor: f64) -> f64 {
        match is_starts(self.resource) {
            true => self.amount,
            false => self.amount * factor,
        }
    }
}

/// Whether the resource counts requests and not their work.
fn is_starts(resource: Resource) -> bool {
    resource % LIMITS.len() == Limit::Starts as usize
}

/// Index of `limit` of the service at `index` in the load.
pub(super) fn resource(index: usize, limit: Limit) -> Resource {
    index * LIMITS.len() + limit as usize
}

fn service_index(load: &Load, service: &ServiceId) -> usize {
    let mut names = load.services.keys();
    names
        .position(|name| name == service)
        .expect("the load has been checked")
}

/// What a request of `kind` needs if it goes to `service`, with its nested calls.
pub(super) fn needs(load: &Load, kind: &RouteId, service: &ServiceId) -> Vec<Need> {
    let mut totals = vec![0.0; load.services.len() * LIMITS.len()];
    add_needs(load, kind, service, 1.0, &mut totals);
    let needs = totals.into_iter().enumerate();
    needs
        .filter(|(_, amount)| *amount > 0.0)
        .map(|(resource, amount)| Need { resource, amount })
        .collect()
}

/// Adds the needs of `count` requests to `totals` and returns the seconds that one of them takes.
fn add_needs(
    load: &Load,
    name: &RouteId,
    service: &ServiceId,
    count: f64,
    totals: &mut [f64],
) -> f64 {
    let (kind, index) = (&load.kinds[name], service_index(load, service));
    let work = kind.work_ms / 1e3;
    let mut held = work;
    for call in &kind.nested {
        let target = &load.kinds[&call.kind].services[0];
        held += call.rounds * add_needs(load, &call.kind, target, count * call.count, totals);
    }
    totals[resource(index, Limit::Work)] += count * work;
    totals[resource(index, Limit::Room)] += count * held;
    totals[resource(index, Limit::Starts)] += count;
    held
}

/// The most that a server gets done at a time, in requests that run alone.
fn most_at_once(slots: u32, knee: Option<Knee>, assumptions: Assumptions) -> f64 {
    let Some(knee) = knee else {
        return f64::from(slots);
    };
    let slowdown = |running: u32| {
        let beyond = f64::from(running) / f64::from(slots) - knee.share;
        1.0 + (knee.slowdown - 1.0) * (beyond / (1.0 - knee.share)).clamp(0.0, 1.0)
    };
    let running = 1..=slots;
    match assumptions {
        Assumptions::Generous => running.map(|n| 1.0 / slowdown(n)).sum(),
        Assumptions::Likely => running
            .map(|n| f64::from(n) / slowdown(n))
            .fold(0.0, f64::max),
    }
}

/// Whether the event lasts for the whole window that begins at `at_ms`, counted from `delay_ms` after
/// its begin.
fn covers(load: &Load, event: &Event, delay_ms: u64, at_ms: u64) -> bool {
    event.from_ms + delay_ms <= at_ms && at_ms + load.window_ms <= event.until_ms
}

/// Servers that can be used in a window, by the work that one of them does.
struct Servers {
    warm: f64,
    cold: f64,
    /// Part of their work that slow servers leave.
    speed: f64,
}

fn servers(
    load: &Load,
    name: &ServiceId,
    service: &Service,
    at_ms: u64,
    assumptions: Assumptions,
) -> Servers {
    let concerns = |target: &Option<ServiceId>| target.as_ref().is_none_or(|t| t == name);
    let withdrawn = |zone: &ZoneId| {
        load.events.iter().any(|event| match &event.change {
            Change::Withdrawn { zone: z, grace_ms } if z == zone => match assumptions {
                Assumptions::Generous => covers(load, event, *grace_ms, at_ms),
                Assumptions::Likely => covers(load, event, 0, at_ms),
            },
            _ => false,
        })
    };
    let cold = |zone: &ZoneId| {
        load.events.iter().any(|event| {
            matches!(&event.change, Change::Cold { zone: z } if z == zone)
                && covers(load, event, 0, at_ms)
        })
    };
    let mut found = Servers {
        warm: 0.0,
        cold: 0.0,
        speed: 1.0,
    };
    for (zone, count) in &service.servers {
        match () {
            () if withdrawn(zone) => {}
            () if cold(zone) => found.cold += f64::from(*count),
            () => found.warm += f64::from(*count),
        }
    }
    for event in load
        .events
        .iter()
        .filter(|event| covers(load, event, 0, at_ms))
    {
        match &event.change {
            // It isn't known of which service they are, so each may have kept all of its own.
            Change::Gone { service: None, .. } if assumptions == Assumptions::Generous => {}
            Change::Gone { service, share } if concerns(service) => {
                found.warm *= 1.0 - share;
                found.cold *= 1.0 - share;
            }
            Change::Slow {
                service,
                share,
                slowdown,
            } if assumptions == Assumptions::Likely && concerns(service) => {
                found.speed *= 1.0 - share + share / slowdown;
            }
            _ => {}
        }
    }
    match service.spells {
        Some(spells) if assumptions == Assumptions::Likely => {
            found.speed *= 1.0 - spells.share + spells.share / spells.slowdown;
        }
        _ => {}
    }
    found
}

/// Capacity of each resource in the window that begins at `at_ms`.
pub(super) fn capacities(load: &Load, at_ms: u64, assumptions: Assumptions) -> Vec<f64> {
    let seconds = load.window_ms as f64 / 1e3;
    let mut capacities = Vec::new();
    for (name, service) in &load.services {
        let servers = servers(load, name, service, at_ms, assumptions);
        let (slots, count) = (f64::from(service.slots.0), servers.warm + servers.cold);
        let (cold_slowdown, cold_starts) = match service.cold {
            Some(cold) => (cold.slowdown, cold.starts.per_second()),
            None => (1.0, f64::INFINITY),
        };
        let most = most_at_once(service.slots.0, service.knee, assumptions);
        let kinds = load.kinds.values();
        let shortest = kinds
            .filter(|kind| kind.services.contains(name))
            .map(|kind| kind.work_ms / 1e3)
            .fold(f64::INFINITY, f64::min);
        let starts = match servers.cold > 0.0 {
            true => servers.warm * slots / shortest + servers.cold * cold_starts,
            false => f64::INFINITY,
        };
        for limit in LIMITS {
            let rate = match limit {
                Limit::Work => (servers.warm + servers.cold / cold_slowdown) * most * servers.speed,
                Limit::Room => count * slots,
                Limit::Starts => starts,
            };
            capacities.push(rate * seconds);
        }
    }
    capacities
}
