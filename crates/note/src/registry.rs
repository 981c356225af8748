//! State assembled from a registry, which stores current values instead of a history of notes.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{Boot, Rate, Revision, Size, Slots, Stamp, ZoneId};

use crate::{
    check::Fault,
    state::{
        Addressing, CallerLimits, Entry, HostRoute, Limits, Server, Service, State, Zone,
        ZoneStatus,
    },
    team::Team,
};

/// A backend server as described by its registry entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The backend server.
    pub server: Server,
    /// Sequence number of the entry within the backend server's incarnation. Each heartbeat
    /// increments it.
    #[serde(rename = "beat")]
    pub seq: u64,
}

/// All backend servers in the registry at a stamp.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Registry era and revision at which the listing was read.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// The backend servers.
    pub servers: Vec<ListedServer>,
    /// Keys of entries that don't describe a usable backend server.
    pub unusable: Vec<SmolStr>,
}

/// The operators' configuration in the registry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Registry era and revision at which the zones out of service were read.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// Registry era and revision up to which the rest has been compared with the registry.
    #[serde(default)]
    pub checked: Stamp,
    /// Registry era and revision at which the rest was current for sure: that of its change, or of a read
    /// of the value.
    #[serde(default)]
    pub proven: Stamp,
    /// Version of the configuration. It increases with each change, not always by one.
    pub version: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<HostRoute>,
    /// Limits on callers' requests and connections.
    pub callers: CallerLimits,
    /// Teams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    /// Availability zones that are taken out of service.
    #[serde(rename = "out")]
    pub zones_out: Vec<ZoneId>,
    /// Faults of the entries that were left out, since they can't be used and nothing refers to them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<Fault>,
}

/// Maximum requests queued at one gate. Deadlines bound the waiting time; this bounds the memory.
const REGISTRY_QUEUE: Slots = Slots(256);
/// Maximum probes per second of a backend server that has requests in progress and reports how cold
/// and how slow it is. A slow period lasts a few hundred milliseconds and must be detected within a
/// fraction of that. This is a third of the probe rate that the platform supports.
const REGISTRY_PROBES_PER_S: f64 = 20.0;
/// Maximum ratio of retries to first attempts. This is half of the fifth that the platform allows,
/// because the nested calls of a retry count as retries as well.
const REGISTRY_RETRY_RATIO: f64 = 0.1;
/// Share of the slots that is used. Backend servers take 1.7 times as long per request when more
/// than 0.8 of their slots are in use, so their throughput is lower than with 0.8 of the slots.
const REGISTRY_USABLE_SHARE: f64 = 0.8;
/// Maximum size of a body: none of a service's own, as the callers' limits say what they may send, and
/// each node admits what its memory holds.
const REGISTRY_MAX_BODY: Size = Size(u64::MAX);
/// Timeout of a call if neither its caller nor its route specifies one.
const REGISTRY_TIMEOUT_MS: u64 = 60_000;

impl Limits {
    /// Limits of a service whose backend servers report how cold they are, and which accept
    /// requests at `cold_rate` while they are cold.
    ///
    /// # Panics
    ///
    /// Never panics: the probe rate is a valid constant.
    pub fn with_cold_rate(cold_rate: Rate) -> Self {
        Self {
            cold: Slots(u32::MAX),
            cold_rate,
            queue: REGISTRY_QUEUE,
            timeout_ms: REGISTRY_TIMEOUT_MS,
            body: REGISTRY_MAX_BODY,
            probes: Rate::new(REGISTRY_PROBES_PER_S).expect("a valid constant rate"),
            retries: REGISTRY_RETRY_RATIO,
            usable: REGISTRY_USABLE_SHARE,
            ..Self::default()
        }
    }
}

impl State {
    /// Assembles the state from a listing and the operators' configuration. All objects get the
    /// revision `changed`.
    pub fn assemble(listing: &Listing, config: &OperatorConfig, changed: Revision) -> Self {
        let mut state = Self {
            services: entries(&config.services, |s| s.id.clone(), changed),
            routes: entries(&config.routes, |r| r.id.clone(), changed),
            addressing: Addressing::Routes,
            callers: config.callers.clone(),
            teams: entries(&config.teams, |t| t.id.clone(), changed),
            ..Self::default()
        };
        let servers = listing.servers.iter().map(|listed| &listed.server);
        let zones = servers.clone().map(|s| &s.zone).chain(&config.zones_out);
        for id in zones {
            let status = match config.zones_out.contains(id) {
                true => ZoneStatus::Out,
                false => ZoneStatus::In,
            };
            let item = Zone {
                id: id.clone(),
                region: SmolStr::default(),
                status,
            };
            state.zones.insert(id.clone(), Entry { item, changed });
        }
        let newest = newest_boots(listing, &state);
        let is_live = |s: &&Server| newest.get(&s.address).is_none_or(|boot| *boot == s.boot);
        let live = servers.filter(is_live);
        for item in live.cloned() {
            state
                .servers
                .insert(item.id.clone(), Entry { item, changed });
        }
        state
    }
}

/// Returns the newest incarnation at each address. Older incarnations have ended, even if their
/// entries have not expired yet. Entries of services that don't exist show nothing.
fn newest_boots(listing: &Listing, state: &State) -> BTreeMap<SocketAddr, Boot> {
    let mut newest = BTreeMap::new();
    let servers = listing.servers.iter().map(|listed| &listed.server);
    for server in servers.filter(|s| state.is_service(&s.service)) {
        let boot: &mut Boot = newest.entry(server.address).or_default();
        *boot = server.boot.max(*boot);
    }
    newest
}

fn entries<K: Ord, T: Clone>(
    items: &[T],
    key: impl Fn(&T) -> K,
    changed: Revision,
) -> BTreeMap<K, Entry<T>> {
    let entry = |item: &T| Entry {
        item: item.clone(),
        changed,
    };
    items.iter().map(|item| (key(item), entry(item))).collect()
}
