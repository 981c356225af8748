//! What a gate learns about each route from the requests that arrive on it.
//!
//! This is made for overload of a service whose requests come from callers and from other backend
//! servers. A nested request is part of a parent that has already been admitted and partly worked
//! on, so the parent's work is lost if the nested request is refused or late. A gate that knows
//! which routes carry nested requests can start those first, and rank them by the time that the
//! parent has left rather than by their own objective.
//!
//! # Recognizing nested requests
//!
//! A platform doesn't necessarily mark nested requests. But callers enter the fleet at all hosts,
//! and a nested request enters at the host of its parent's backend server. So requests of callers
//! come from the hosts of all services in proportion to their number, and nested requests come
//! from the hosts of the calling services only. [`RouteProfiles`] compares the recent origins of a
//! route's requests with the distribution of the hosts. The measure is their *overlap*, the sum of
//! the smaller of both shares over all services: one for equal distributions, and the calling
//! services' share of the hosts for nested requests.
//!
//! The origins are an exponential moving average that starts at the distribution of the hosts, so a
//! route counts as nested only after enough requests to tell. If the calling services have most of
//! the hosts, their nested requests can't be told apart and rank like any others.
//!
//! # Service time
//!
//! A gate sees many more requests of a route than a single ingress, and learns their service time
//! sooner. It includes the time in which the backend server waits for nested requests.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use types::{ServiceId, Span};

use crate::queue::Rank;

/// Overlap of origins and hosts below which a route carries nested requests.
const NESTED_OVERLAP: f64 = 0.75;
/// Number of recent requests that the origins are averaged over, for each service in the fleet. The
/// average is noisier the more services there are.
const REQUESTS_PER_SERVICE: f64 = 16.0;
/// Weight of a new sample in the mean service time, once there are enough samples.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Maximum number of routes with a profile. Further routes are ranked as offered.
const MAX_ROUTES: usize = 4_096;

/// Profile of one route.
#[derive(Debug, Clone, Default)]
struct RouteProfile {
    /// Share of the recent requests by the service on the host where they entered the fleet.
    origins: BTreeMap<ServiceId, f64>,
    /// Mean service time in microseconds.
    service_time: f64,
    /// Number of samples in the mean.
    samples: u32,
}

/// Profiles of the routes that lead to one backend server. See the module documentation.
#[derive(Debug, Default)]
pub struct RouteProfiles {
    /// Share of the fleet's hosts by service.
    host_shares: BTreeMap<ServiceId, f64>,
    routes: BTreeMap<SmolStr, RouteProfile>,
}

impl RouteProfiles {
    /// Sets the number of hosts by service. If the services change, the origins are learned anew.
    pub fn set_hosts(&mut self, hosts: &BTreeMap<ServiceId, usize>) {
        let total = hosts.values().sum::<usize>().max(1) as f64;
        if !self.host_shares.keys().eq(hosts.keys()) {
            self.routes.values_mut().for_each(|r| r.origins.clear());
        }
        self.host_shares = hosts
            .iter()
            .map(|(service, count)| (service.clone(), *count as f64 / total))
            .collect();
    }

    /// Records a request that entered the fleet at a host of the service `origin`.
    pub fn observe_origin(&mut self, route: &SmolStr, origin: &ServiceId) {
        let Self {
            host_shares,
            routes,
        } = self;
        if !host_shares.contains_key(origin) {
            return;
        }
        let Some(profile) = profile(routes, route) else {
            return;
        };
        if profile.origins.is_empty() {
            profile.origins = host_shares.clone();
        }
        let weight = 1.0 / (REQUESTS_PER_SERVICE * host_shares.len() as f64);
        for (service, share) in &mut profile.origins {
            let sample = f64::from(u8::from(service == origin));
            *share += weight * (sample - *share);
        }
    }

    /// Records the service time of an answered request.
    pub fn record_service_time(&mut self, route: &SmolStr, service_time: Span) {
        if let Some(profile) = profile(&mut self.routes, route) {
            profile.samples = profile.samples.saturating_add(1);
            let weight = SERVICE_TIME_WEIGHT.max(1.0 / f64::from(profile.samples));
            profile.service_time += weight * (service_time.0 as f64 - profile.service_time);
        }
    }

    /// Refines the rank of a request with what is known of its route.
    pub fn refine(&self, route: &SmolStr, rank: Rank) -> Rank {
        let Some(profile) = self.routes.get(route) else {
            return rank;
        };
        Rank {
            nested: rank.nested || self.is_nested(profile),
            service_time: match profile.samples {
                0 => rank.service_time,
                _ => Span(profile.service_time as u64),
            },
            ..rank
        }
    }

    fn is_nested(&self, profile: &RouteProfile) -> bool {
        let overlap = |(service, share): (&ServiceId, &f64)| {
            share.min(self.host_shares.get(service).copied().unwrap_or_default())
        };
        let overlap: f64 = profile.origins.iter().map(overlap).sum();
        !profile.origins.is_empty() && overlap < NESTED_OVERLAP
    }
}

/// The profile of a route. `None` if the ingress named no route, or if there are too many.
fn profile<'a>(
    routes: &'a mut BTreeMap<SmolStr, RouteProfile>,
    route: &SmolStr,
) -> Option<&'a mut RouteProfile> {
    let full = routes.len() >= MAX_ROUTES && !routes.contains_key(route);
    match route.is_empty() || full {
        true => None,
        false => Some(routes.entry(route.clone()).or_default()),
    }
}
