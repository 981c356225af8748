//! A state read from a registry: newest values only, in place of a history of notes.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{Boot, Rate, Revision, Size, Slots, ZoneId};

use crate::state::{
    CallerLimits, Entry, HostRoute, Limits, Server, Service, State, Zone, ZoneStatus,
};

/// A backend server as its newest entry describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The backend server.
    pub server: Server,
    /// Number of the entry within the backend server's incarnation: it grows with each heartbeat.
    pub beat: u64,
}

/// The backend servers that a registry lists at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the registry.
    pub revision: Revision,
    /// The backend servers.
    pub servers: Vec<ListedServer>,
    /// Entries that name no backend server that could be used.
    pub unusable: Vec<SmolStr>,
}

/// What operators want, at a revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Revision of the registry at which this was read.
    pub revision: Revision,
    /// Version of the configuration, which grows with each change, in uneven steps.
    pub version: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<HostRoute>,
    /// What callers may send.
    pub callers: CallerLimits,
    /// Availability zones that are to get no new work.
    pub out: Vec<ZoneId>,
}

/// Requests that may wait at one gate. The deadline bounds the wait; this bounds the memory.
const LISTED_QUEUE: Slots = Slots(256);
/// Probes per second of a backend server that tells how cold and how slow it is, while it has work: a
/// slow spell lasts some hundred milliseconds, and must be known within a part of that. A third of
/// what the platform bears.
const LISTED_PROBES: f64 = 20.0;
/// Repeats for each first attempt, half of the fifth that the users' platform allows, since a repeat's
/// nested calls count as repeats again.
const LISTED_RETRIES: f64 = 0.1;
/// Share of the slots that is used. The users' backend servers take 1.7 times as long when more than
/// 0.8 of their slots are taken, which is less work done than with 0.8 of them.
const LISTED_USABLE: f64 = 0.8;
/// Largest body of an answer, and of a request unless callers are bounded further: what the users allow.
const LISTED_BODY: Size = Size(64 << 20);
/// Time in milliseconds that a call gets if neither its caller nor its route names one.
const LISTED_TIMEOUT_MS: u64 = 60_000;

impl Limits {
    /// Limits of a service whose backend servers tell how cold they are and bear `cold_rate` requests
    /// per second while they are.
    ///
    /// # Panics
    ///
    /// Never: the rate of probes is a constant in range.
    pub fn with_cold_rate(cold_rate: Rate) -> Self {
        Self {
            cold: Slots(u32::MAX),
            cold_rate,
            queue: LISTED_QUEUE,
            timeout_ms: LISTED_TIMEOUT_MS,
            body: LISTED_BODY,
            probes: Rate::new(LISTED_PROBES).expect("a constant in range"),
            retries: LISTED_RETRIES,
            usable: LISTED_USABLE,
            ..Self::default()
        }
    }
}

impl State {
    /// The state that a listing and orders describe together, as of `changed`.
    pub fn assemble(listing: &Listing, orders: &OperatorConfig, changed: Revision) -> Self {
        let mut state = Self {
            services: entries(&orders.services, |s| s.id.clone(), changed),
            routes: entries(&orders.routes, |r| r.id.clone(), changed),
            callers: orders.callers.clone(),
            ..Self::default()
        };
        let servers = listing.servers.iter().map(|listed| &listed.server);
        let zones = servers.clone().map(|s| &s.zone).chain(&orders.out);
        for id in zones {
            let status = match orders.out.contains(id) {
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
        let newest = newest_boots(listing);
        let live = servers.filter(|s| newest.get(&s.address) == Some(&s.boot));
        for item in live.cloned() {
            state
                .servers
                .insert(item.id.clone(), Entry { item, changed });
        }
        state
    }
}

/// The newest incarnation at each address: an older one has ended, though its entry may not have
/// expired yet.
fn newest_boots(listing: &Listing) -> BTreeMap<SocketAddr, Boot> {
    let mut newest = BTreeMap::new();
    for server in listing.servers.iter().map(|listed| &listed.server) {
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
