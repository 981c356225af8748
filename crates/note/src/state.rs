//! What the folded notes describe: availability zones, services and backend servers.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{HostId, Rate, Revision, ServerId, ServiceId, Size, Slots, Span, ZoneId};

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
    pub fn warm(&self) -> Span {
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
pub struct Route {
    /// HTTP method, in capitals.
    pub method: SmolStr,
    /// Prefix of the path, with its leading slash.
    pub path: SmolStr,
    /// Whether such requests are idempotent.
    pub idempotent: bool,
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
    pub routes: Vec<Route>,
    /// Statuses that promise that the backend server didn't run the request.
    #[serde(default)]
    pub sheds: Vec<u16>,
}

impl Service {
    /// Whether a request with `method` for `path` may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches = |r: &&Route| r.method == method && path.starts_with(r.path.as_str());
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

    /// The backend server on this host.
    pub fn server_on(&self, host: &HostId) -> Option<&Server> {
        self.servers
            .values()
            .map(|e| &e.item)
            .find(|s| s.host == *host)
    }

    /// Whether operators let this backend server take new work.
    pub fn takes_work(&self, server: &Server) -> bool {
        let zone = self.zones.get(&server.zone).map(|e| e.item.status);
        server.status == ServerStatus::In && zone == Some(ZoneStatus::In)
    }
}
