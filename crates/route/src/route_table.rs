//! Which route a request takes, and which of the route's services gets it.

use std::{collections::HashMap, sync::Arc};

use note::{HostRoute, State};
use smol_str::SmolStr;
use types::{RouteId, ServiceId};

/// The routes of one view, by host and then by path, the longest prefix first.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, Vec<Arc<HostRoute>>>,
    /// What the shares of routes have been given so far, which outlives a view.
    shares: HashMap<RouteId, Shares>,
}

impl RouteTable {
    /// Puts the routes of another view in place.
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
        self.shares.retain(|id, _| state.routes.contains_key(id));
    }

    /// Whether there are no routes, so that the path itself names the service.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The route of a request: among those of the host, the one with the longest prefix of the path.
    /// A port behind the host doesn't count.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<HostRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let matches = |route: &&Arc<HostRoute>| path.starts_with(route.path.as_str());
        routes.iter().find(matches).cloned()
    }

    /// The service that gets the next request of a route, `None` if the route has none.
    pub fn pick_service(&mut self, route: &HostRoute) -> Option<ServiceId> {
        match route.parts.as_slice() {
            [] => None,
            [only] => Some(only.service.clone()),
            _ => self.shares.entry(route.id.clone()).or_default().pick(route),
        }
    }
}

/// Shares of one route's requests, kept exactly.
///
/// Each request adds every part's weight to its credit, and the part with the most credit pays the
/// sum of the weights for it (smooth weighted round robin). So the counts never stray from the
/// weights by more than a request or two, at any time.
#[derive(Debug, Default)]
struct Shares {
    credits: HashMap<ServiceId, i64>,
}

impl Shares {
    fn pick(&mut self, route: &HostRoute) -> Option<ServiceId> {
        let named = |id: &ServiceId| route.parts.iter().any(|part| part.service == *id);
        self.credits.retain(|id, _| named(id));
        let mut sum = 0;
        for part in &route.parts {
            let weight = i64::from(part.weight);
            *self.credits.entry(part.service.clone()).or_default() += weight;
            sum += weight;
        }
        let weighed = route.parts.iter().filter(|part| part.weight > 0);
        let best = weighed.max_by_key(|part| self.credits[&part.service])?;
        *self.credits.get_mut(&best.service)? -= sum;
        Some(best.service.clone())
    }
}
