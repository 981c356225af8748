//! The operators' configuration. Numbers and times are JSON values, so that they can have any form.

use serde_json::{Value, json};

use super::store::{Ack, Store};

const KEY: &str = "op/config";
/// Header that names the team to backend servers.
pub(super) const TEAM_HEADER: &str = "x-tenant";
/// Begin of all keys of callers, which no other value has.
pub(super) const KEY_MARK: &str = "rigkey-";
/// A key that begins with that of the configuration.
pub const ODD_NEIGHBOR: &str = "op/config-odd";
const ZONES_OUT_PREFIX: &str = "op/evacuate/";

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Services and their weights. A single one is written without a weight.
    pub parts: Vec<(String, Value)>,
    /// Longest time that a request is kept waiting, such as `"800ms"`.
    pub timeout: Value,
    /// Latency objective, such as `"200ms"`.
    pub objective: Value,
    /// Rank, where 0 is the highest.
    pub priority: Value,
    /// Largest number of backend servers that a request is sent to.
    pub attempts: Value,
    /// Whether requests need no key.
    pub open: bool,
}

impl Route {
    /// A sound route of idempotent requests to `host` under `/NAME/`.
    pub fn new(name: &str, host: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: format!("/{name}/"),
            idempotent: true,
            parts: vec![(service.to_owned(), json!(1))],
            timeout: json!("1500ms"),
            objective: json!("300ms"),
            priority: json!(1),
            attempts: json!(2),
            open: false,
        }
    }

    fn to_json(&self) -> Value {
        let mut spec = json!({
            "authority": self.host, "path_prefix": self.prefix,
            "route_type": if self.idempotent { "safe" } else { "unsafe" },
            "timeout": self.timeout, "target_latency": self.objective,
            "priority": self.priority, "attempts": self.attempts,
        });
        let weighted =
            |(service, weight): &(String, Value)| json!({ "service": service, "weight": weight });
        if self.open {
            spec["auth_exempt"] = json!(true);
        }
        match &self.parts[..] {
            [] => {}
            [(service, _)] => spec["service"] = json!(service),
            parts => {
                let parts: Vec<Value> = parts.iter().map(weighted).collect();
                spec["weighted_services"] = json!(parts);
            }
        }
        json!({ "type": "routes", "metadata": { "name": self.name }, "spec": spec })
    }
}

/// A team, with the keys of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Requests per second over all nodes, 0 for any number.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: u32,
}

impl Team {
    fn to_json(&self) -> Value {
        let spec = json!({ "api_keys": self.keys, "rate_per_s": self.rate, "burst": self.burst });
        json!({ "type": "tenants", "metadata": { "name": self.name }, "spec": spec })
    }
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Largest size of a request's head in bytes.
    pub head_bytes: Value,
    /// Largest size of a request's body in bytes.
    pub body_bytes: Value,
    /// Time that the head of a request may take.
    pub head_timeout: Value,
    /// Time for which a connection may be idle.
    pub idle_timeout: Value,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: json!(16_384),
            body_bytes: json!(67_108_864),
            head_timeout: json!("3000ms"),
            idle_timeout: json!("15000ms"),
        }
    }
}

/// A version of the configuration, in full.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Number of the version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Teams. Without any, no request needs a key.
    pub teams: Vec<Team>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl Config {
    /// Bytes of the configuration as they are stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        let service = |name| {
            let spec = json!({
                "health_path": super::server::HEALTH_PATH, "max_connections": 260,
                "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 25.0,
            });
            json!({ "type": "services", "metadata": { "name": name }, "spec": spec })
        };
        let limits = json!({ "type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": self.limits.head_bytes, "max_body_bytes": self.limits.body_bytes,
            "header_timeout": self.limits.head_timeout, "idle_timeout": self.limits.idle_timeout,
        } });
        let mut resources: Vec<Value> = self.routes.iter().map(Route::to_json).collect();
        resources.extend(self.services.iter().map(service));
        resources.extend(self.teams.iter().map(Team::to_json));
        resources.push(limits);
        json!({ "version": self.version, "base_version": 0, "resources": resources })
            .to_string()
            .into_bytes()
    }

    /// Writes this version, and returns once the store has acknowledged it.
    pub async fn publish(&self, store: &Store) -> Ack {
        publish_bytes(store, &self.to_bytes()).await
    }
}

/// Writes bytes in the place of a configuration.
pub async fn publish_bytes(store: &Store, bytes: &[u8]) -> Ack {
    store.put(KEY, bytes).await
}

/// Takes an availability zone out of service.
pub async fn evacuate(store: &Store, zone: &str) -> Ack {
    store.put(&format!("{ZONES_OUT_PREFIX}{zone}"), b"{}").await
}

/// Takes an availability zone back into service.
pub async fn take_back(store: &Store, zone: &str) -> Ack {
    store.delete(&format!("{ZONES_OUT_PREFIX}{zone}")).await
}
