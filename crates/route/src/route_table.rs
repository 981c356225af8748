//! Routes by host and path prefix, and the weighted choice among the services of a route.

use std::{collections::HashMap, sync::Arc};

use note::{HostRoute, KeyHash, State};
use smol_str::SmolStr;
use types::{Fingerprint, RouteId, ServiceId, TeamId};

use crate::rendezvous::rendezvous_hash;

/// The routes of one view and the teams of their callers. The routes are stored by host, each host's routes ordered from the longest path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<Arc<HostRoute>>>,
    /// Teams by the hashes of their keys.
    teams: HashMap<KeyHash, TeamId>,
    /// State of the weighted choice for each route, kept when the view changes.
    round_robins: HashMap<RouteId, WeightedRoundRobin>,
}

impl RouteTable {
    /// Replaces the routes by those of another view.
    pub fn set_routes(&mut self, state: &State) {
        let mut hosts: HashMap<SmolStr, Vec<Arc<HostRoute>>> = HashMap::new();
        for entry in state.routes.values() {
            let host = SmolStr::new(entry.item.host.to_ascii_lowercase());
            let routes = hosts.entry(host).or_default();
            routes.push(Arc::new(entry.item.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        }
        self.hosts = hosts;
        let teams = state.teams.values().map(|e| &e.item);
        let keys = teams.flat_map(|team| team.keys.iter().map(|key| (*key, team.id.clone())));
        self.teams = keys.collect();
        self.round_robins
            .retain(|id, _| state.routes.contains_key(id));
    }

    /// The team that holds a key.
    pub fn team(&self, key: &KeyHash) -> Option<&TeamId> {
        self.teams.get(key)
    }

    /// The route with the longest matching path prefix among those of the host. A port in `host` is
    /// ignored, unless routes name the host with it.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<HostRoute>> {
        let routes = self.routes_of(host);
        let routes = routes.or_else(|| self.routes_of(host_name(host)))?;
        let matches = |route: &&Arc<HostRoute>| path.starts_with(route.path.as_str());
        routes.iter().find(matches).cloned()
    }

    fn routes_of(&self, host: &str) -> Option<&Vec<Arc<HostRoute>>> {
        let routes = self.hosts.get(host);
        routes.or_else(|| self.hosts.get(host.to_ascii_lowercase().as_str()))
    }

    /// Picks the service for the next request of a route, `None` if the route has no service, or
    /// several without any weight.
    pub fn pick_service(&mut self, route: &HostRoute) -> Option<ServiceId> {
        match route.parts.as_slice() {
            [] => None,
            [only] => Some(only.service.clone()),
            _ => self
                .round_robins
                .entry(route.id.clone())
                .or_default()
                .pick(route),
        }
    }
}

/// The host that a request names, without its port.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// The service of a route that runs a suspect request, the same at all ingresses with the same route. `None` if
/// the route has no service with a weight.
pub fn service_for_trial(route: &HostRoute, request: Fingerprint) -> Option<&ServiceId> {
    let used = route.parts.iter().filter(|part| part.weight > 0);
    let services = used.map(|part| &part.service);
    services.max_by_key(|service| rendezvous_hash(request, *service))
}

/// Smooth weighted round robin over the services of one route.
///
/// Each request adds every service's weight to its credit. The service with the most credit gets
/// the request and pays the sum of the weights. At any time the counts deviate from the weights by
/// no more than a request or two.
#[derive(Debug, Default)]
struct WeightedRoundRobin {
    credits: HashMap<ServiceId, i64>,
}

impl WeightedRoundRobin {
    fn pick(&mut self, route: &HostRoute) -> Option<ServiceId> {
        let in_route = |id: &ServiceId| route.parts.iter().any(|part| part.service == *id);
        self.credits.retain(|id, _| in_route(id));
        let mut total = 0;
        for part in &route.parts {
            let weight = i64::from(part.weight);
            *self.credits.entry(part.service.clone()).or_default() += weight;
            total += weight;
        }
        let weighted = route.parts.iter().filter(|part| part.weight > 0);
        let best = weighted.max_by_key(|part| self.credits[&part.service])?;
        *self.credits.get_mut(&best.service)? -= total;
        Some(best.service.clone())
    }
}
