//! What the folded notes describe: availability zones, services and backend servers.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{
    Boot, HostId, Rate, Revision, RouteId, ServerId, ServiceId, Size, Slots, Span, ZoneId,
};

/// Largest body that a note may allow, in bytes.
pub(crate) const MAX_BODY_BYTES: u64 = 16 << 20;

/// Whether an availability zone takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneStatus {
    /// Takes work.
    #[default]
    In,
    /// Taken out by operators: no new work.
    Out,
}

/// Whether a backend server takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerStatus {
    /// Takes work.
    #[default]
    In,
    /// Leaving: no new work.
    Leaving,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub id: ZoneId,
    /// Region that the zone lies in.
    pub region: SmolStr,
    /// Whether it takes work.
    #[serde(default)]
    pub status: ZoneStatus,
}

/// What one backend server of a service bears, and how its callers are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that a warm backend server works on at once.
    pub slots: Slots,
    /// Connections that a backend server takes. Its gate holds one for each running request, so the
    /// slots, which must not be more, bound them.
    pub connections: Slots,
    /// Requests that a backend server bears while it is cold.
    pub cold: Slots,
    /// Time in milliseconds that a cold backend server needs to become warm.
    pub warm_ms: u64,
    /// Share of the slots that is used, since backend servers slow down when they are nearly full.
    pub usable: f64,
    /// Requests per second that a backend server bears while it says that it is cold. Zero for a
    /// service whose backend servers don't say so.
    pub cold_rate: Rate,
    /// Path of the health endpoint of its backend servers. Empty for the default one.
    pub health: SmolStr,
    /// Requests that may wait at one gate.
    pub queue: Slots,
    /// Time in milliseconds that a call gets if the caller names none.
    pub timeout_ms: u64,
    /// Largest request or answer body.
    pub body: Size,
    /// Probes of one backend server, all causes together.
    pub probes: Rate,
    /// Repeats allowed for each first attempt, from 0 to 1.
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
    /// Time that a cold backend server needs to become warm.
    pub fn warm_up(&self) -> Span {
        Span::from_millis(self.warm_ms)
    }

    /// Time that a call gets if the caller names none.
    pub fn timeout(&self) -> Span {
        Span::from_millis(self.timeout_ms)
    }
}

/// An exception to the rule that the method tells whether a request is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRule {
    /// HTTP method, in capitals.
    pub method: SmolStr,
    /// Prefix of the path, with its leading slash.
    pub path: SmolStr,
    /// Whether such requests are idempotent.
    pub idempotent: bool,
}

/// A service among those that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the other parts' weights.
    pub weight: u32,
}

/// A route from a caller's host and path to services, and how its requests are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host that callers name.
    pub host: SmolStr,
    /// Prefix of the path, with a slash at both ends.
    pub path: SmolStr,
    /// Services that share the requests.
    pub parts: Vec<WeightedService>,
    /// Whether the requests may run more than once.
    pub idempotent: bool,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// Longest time in milliseconds that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time in milliseconds within which an answer is worth most to the caller.
    pub objective_ms: u64,
    /// Rank, 0 for the most urgent.
    #[serde(default)]
    pub priority: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest head of a request: request line and headers.
    pub head: Size,
    /// Largest body of a request.
    pub body: Size,
    /// Time in milliseconds within which the head must be complete.
    pub head_ms: u64,
    /// Time in milliseconds for which a connection without requests is kept.
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

/// A service: a set of backend servers that answer the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, and first segment of its requests' paths.
    pub id: ServiceId,
    /// What each backend server bears.
    #[serde(default)]
    pub limits: Limits,
    /// Exceptions to idempotence by method.
    #[serde(default)]
    pub routes: Vec<IdempotencyRule>,
    /// Statuses that promise that the backend server didn't run the request.
    #[serde(default)]
    pub sheds: Vec<u16>,
}

impl Service {
    /// Whether a request with `method` for `path` may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches =
            |r: &&IdempotencyRule| r.method == method && path.starts_with(r.path.as_str());
        match self.routes.iter().find(matches) {
            Some(route) => route.idempotent,
            None => matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
            ),
        }
    }
}

/// A backend server, with the node beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the backend server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Host that it runs on.
    pub host: HostId,
    /// Address at which the node beside it hears its peers.
    pub node: SocketAddr,
    /// Address of the backend server itself.
    pub address: SocketAddr,
    /// Whether it takes work.
    #[serde(default)]
    pub status: ServerStatus,
    /// Its incarnation, where the platform names it.
    #[serde(default)]
    pub boot: Boot,
    /// Requests that it works on at once, where it differs from the service's limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<Slots>,
}

/// An object of the state and the revision that last touched it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<T> {
    /// The object.
    pub item: T,
    /// Revision of the note that added or last changed it.
    pub changed: Revision,
}

/// Everything that the notes so far describe.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, Entry<Zone>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Entry<Service>>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerId, Entry<Server>>,
    /// Routes by name. Without any, the first segment of a path names the service.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Entry<HostRoute>>,
    /// What callers may send.
    #[serde(default)]
    pub callers: CallerLimits,
}

impl State {
    /// The service with this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id).map(|e| &e.item)
    }

    /// The backend server with this name.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id).map(|e| &e.item)
    }

    /// The route with this name.
    pub fn route(&self, id: &RouteId) -> Option<&HostRoute> {
        self.routes.get(id).map(|e| &e.item)
    }

    /// The backend server on this host: its newest incarnation, if a former one is still listed.
    pub fn server_on(&self, host: &HostId) -> Option<&Server> {
        self.servers
            .values()
            .map(|e| &e.item)
            .filter(|s| s.host == *host)
            .max_by_key(|s| s.boot)
    }

    /// What one backend server bears: its service's limits, with its own slots.
    pub fn limits_of(&self, server: &Server) -> Option<Limits> {
        let limits = self.service(&server.service)?.limits.clone();
        let slots = server.slots.unwrap_or(limits.slots);
        Some(Limits { slots, ..limits })
    }

    /// Whether operators let this backend server take new work.
    pub fn takes_work(&self, server: &Server) -> bool {
        let zone = self.zones.get(&server.zone).map(|e| e.item.status);
        server.status == ServerStatus::In && zone == Some(ZoneStatus::In)
    }
}
