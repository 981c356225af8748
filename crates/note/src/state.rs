//! The configuration state: availability zones, services, backend servers and routes.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{
    Boot, HostId, Rate, Revision, RouteId, ServerId, ServiceId, Size, Slots, Span, TeamId, ZoneId,
};

use crate::team::Team;

/// Maximum body size that a note may configure, and default limit for callers' request bodies.
pub(crate) const MAX_BODY_BYTES: u64 = 16 << 20;

/// Whether an availability zone receives new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneStatus {
    /// Receives new requests.
    #[default]
    In,
    /// Taken out of service by operators; receives no new requests.
    Out,
}

/// Whether a backend server receives new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerStatus {
    /// Receives new requests.
    #[default]
    In,
    /// Draining; receives no new requests.
    Leaving,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Identifier of the zone.
    pub id: ZoneId,
    /// Region of the zone.
    pub region: SmolStr,
    /// Whether it receives new requests.
    #[serde(default)]
    pub status: ZoneStatus,
}

/// Capacity of each backend server of a service, and limits for the service's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum concurrent requests of a warm backend server.
    pub slots: Slots,
    /// Maximum connections of a backend server, at least as many as `slots`. The gate holds one
    /// connection per running request, so `slots` bounds the number in use.
    pub connections: Slots,
    /// Maximum concurrent requests of a cold backend server, and minimum of the adaptive
    /// concurrency limit.
    pub cold: Slots,
    /// Warm-up time of a cold backend server, in milliseconds.
    pub warm_ms: u64,
    /// Share of the slots that is used, from 0 to 1. Backend servers slow down when nearly all
    /// slots are in use.
    pub usable: f64,
    /// Request rate limit while a backend server reports that it is cold. Zero for a service whose
    /// backend servers don't report it.
    pub cold_rate: Rate,
    /// Path of the backend servers' health endpoint. Empty for the default path.
    pub health: SmolStr,
    /// Maximum requests queued at one gate.
    pub queue: Slots,
    /// Default timeout of a call in milliseconds, used if the caller specifies none.
    pub timeout_ms: u64,
    /// Maximum size of a request or response body.
    pub body: Size,
    /// Maximum probe rate of one backend server, over all kinds of probes.
    pub probes: Rate,
    /// Retry budget: maximum ratio of retries to first attempts, from 0 to 1.
    pub retries: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: Slots(10),
            connections: Slots(200),
            cold: Slots(1),
            warm_ms: 5_000,
            usable: 1.0,
            cold_rate: Rate::default(),
            health: SmolStr::default(),
            queue: Slots(20),
            timeout_ms: 5_000,
            body: Size(1 << 20),
            probes: Rate::default(),
            retries: 0.1,
        }
    }
}

impl Limits {
    /// Warm-up time of a cold backend server.
    pub fn warmup(&self) -> Span {
        Span::from_millis(self.warm_ms)
    }

    /// Default timeout of a call, used if the caller specifies none.
    pub fn timeout(&self) -> Span {
        Span::from_millis(self.timeout_ms)
    }
}

/// Overrides whether matching requests are idempotent, which otherwise depends on their method.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRule {
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path prefix, starting with a slash.
    pub path: SmolStr,
    /// Whether matching requests are idempotent.
    pub idempotent: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight of the service, relative to the route's other services.
    pub weight: u32,
}

/// A route that maps a caller's host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Identifier of the route.
    pub id: RouteId,
    /// Host in the caller's request.
    pub host: SmolStr,
    /// Path prefix, starting and ending with a slash.
    pub path: SmolStr,
    /// Services among which the requests are distributed by weight.
    pub parts: Vec<WeightedService>,
    /// Whether requests are idempotent, so that they may run more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// Maximum time in milliseconds until the caller gets a response.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests need no key, where teams are configured.
    #[serde(default, skip_serializing_if = "is_false")]
    pub open: bool,
    /// Whether requests may have large bodies, so that they are offered to a gate before their body is sent.
    #[serde(default, skip_serializing_if = "is_false")]
    pub bulk: bool,
}

/// Keeps optional flags out of the digests of configurations that don't set them.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request head: request line and headers.
    pub head: Size,
    /// Maximum size of a request body.
    pub body: Size,
    /// Timeout for receiving a complete request head, in milliseconds.
    pub head_ms: u64,
    /// Time in milliseconds after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: Size(64 << 10),
            body: Size(MAX_BODY_BYTES),
            head_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// A service: a set of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Identifier of the service, which may be the first path segment of a request, see [`Addressing`].
    pub id: ServiceId,
    /// Limits of each backend server.
    #[serde(default)]
    pub limits: Limits,
    /// Rules that override whether requests are idempotent. The first matching rule applies.
    #[serde(default)]
    pub routes: Vec<IdempotencyRule>,
    /// Status codes which guarantee that the backend server did not run the request.
    #[serde(default)]
    pub sheds: Vec<u16>,
}

impl Service {
    /// Whether a request is idempotent, so that it may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches =
            |r: &&IdempotencyRule| r.method == method && path.starts_with(r.path.as_str());
        match self.routes.iter().find(matches) {
            Some(rule) => rule.idempotent,
            None => matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
            ),
        }
    }
}

/// A backend server and the node on the same host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Identifier of the backend server.
    pub id: ServerId,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Host on which it runs.
    pub host: HostId,
    /// Address at which the node on the host listens for peers.
    pub node: SocketAddr,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Whether it receives new requests.
    #[serde(default)]
    pub status: ServerStatus,
    /// Incarnation of the backend server, zero if the platform doesn't publish it. A newer
    /// incarnation has a greater number.
    #[serde(default)]
    pub boot: Boot,
    /// Maximum concurrent requests, if different from the service's limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<Slots>,
}

/// An object of the state with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<T> {
    /// The object.
    pub item: T,
    /// Revision of the note that added or last changed it, or of the view with a registry.
    pub changed: Revision,
}

/// How requests name the service that they go to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Addressing {
    /// By a route or, as long as there are no routes, by the first segment of the path.
    #[default]
    Path,
    /// By a route only: without routes, requests go nowhere.
    Routes,
}

/// The configuration that results from all accepted notes, or from the registry contents.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Availability zones by identifier.
    pub zones: BTreeMap<ZoneId, Entry<Zone>>,
    /// Services by identifier.
    pub services: BTreeMap<ServiceId, Entry<Service>>,
    /// Backend servers by identifier.
    pub servers: BTreeMap<ServerId, Entry<Server>>,
    /// Routes by identifier.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Entry<HostRoute>>,
    /// How requests name their service, which the kind of the platform determines.
    #[serde(default)]
    pub addressing: Addressing,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Teams by identifier. Without any, requests need no key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<TeamId, Entry<Team>>,
}

impl State {
    /// Whether the first path segment of a request names its service.
    pub fn is_addressed_by_path(&self) -> bool {
        self.addressing == Addressing::Path && self.routes.is_empty()
    }

    /// Returns the service with this identifier.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id).map(|e| &e.item)
    }

    /// Returns the backend server with this identifier.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id).map(|e| &e.item)
    }

    /// Returns the route with this identifier.
    pub fn route(&self, id: &RouteId) -> Option<&HostRoute> {
        self.routes.get(id).map(|e| &e.item)
    }

    /// Returns the backend server on this host. If several incarnations are listed, the newest one of
    /// those whose service exists.
    pub fn server_on(&self, host: &HostId) -> Option<&Server> {
        self.servers
            .values()
            .map(|e| &e.item)
            .filter(|s| s.host == *host && self.is_service(&s.service))
            .max_by_key(|s| s.boot)
    }

    /// Addresses of the nodes beside the backend servers of all services. A registry may also list
    /// backend servers of other services, which get no requests and may have no node.
    pub fn nodes(&self) -> impl Iterator<Item = SocketAddr> {
        let servers = self.servers.values().map(|e| &e.item);
        let named = servers.filter(|s| self.is_service(&s.service));
        named.map(|s| s.node)
    }

    /// Whether there is such a service. Until the services are known, there may be any.
    pub(crate) fn is_service(&self, id: &ServiceId) -> bool {
        self.services.is_empty() || self.services.contains_key(id)
    }

    /// Returns the limits of a backend server: those of its service, with its own number of slots.
    pub fn limits_of(&self, server: &Server) -> Option<Limits> {
        let limits = self.service(&server.service)?.limits.clone();
        let slots = server.slots.unwrap_or(limits.slots);
        Some(Limits { slots, ..limits })
    }

    /// Whether a backend server may receive new requests: neither it nor its availability zone is
    /// taken out of service.
    pub fn is_in_service(&self, server: &Server) -> bool {
        let zone = self.zones.get(&server.zone).map(|e| e.item.status);
        server.status == ServerStatus::In && zone == Some(ZoneStatus::In)
    }

    /// The incarnation of a backend server: the one that it registered with, or else the revision of
    /// the note that last changed it. `None` if there is no such backend server.
    pub fn incarnation_of(&self, id: &ServerId) -> Option<Boot> {
        let entry = self.servers.get(id)?;
        Some(match entry.item.boot {
            Boot(0) => Boot(entry.changed.0),
            boot => boot,
        })
    }
}
