//! Validation of a note against the state to which it would be applied.
//!
//! The result lists all faults of the note. It depends only on the note and the state, so that
//! every node and the operators' command line tool reach the same result.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use types::{Revision, ServiceId, Slots};

use crate::{
    parse::Note,
    state::{Entry, HostRoute, MAX_BODY_BYTES, Server, Service, State},
    team::{KeyHash, Team},
};

/// Maximum slots or connections that a note may configure for one backend server.
const MAX_SLOTS: Slots = Slots(100_000);

/// Maximum allowance of a team, in requests per second.
const MAX_RATE: u64 = 1_000_000_000;

/// A kind of fault in a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The note is not valid JSON, or has an unknown or missing field.
    Malformed,
    /// An object with this identifier exists already.
    Exists,
    /// No object with this identifier exists.
    Missing,
    /// The note contains the object more than once.
    Twice,
    /// A note that the author had not seen changed the object.
    Clash {
        /// Revision of that note.
        changed: Revision,
    },
    /// The note follows a revision that doesn't exist yet.
    Future,
    /// The referenced service doesn't exist after the note is applied.
    NoService,
    /// The referenced availability zone doesn't exist after the note is applied.
    NoZone,
    /// Backend servers or routes still refer to the withdrawn object.
    InUse,
    /// Another backend server has the same host, node address or backend address.
    Shared,
    /// Another route has the same host and path prefix.
    SamePath,
    /// A path prefix doesn't start and end with a slash.
    NoPrefix,
    /// Another team has one of the team's keys.
    SharedKey,
    /// A number is outside the allowed range.
    Range {
        /// Minimum, inclusive.
        least: u64,
        /// Maximum, inclusive.
        most: u64,
    },
    /// The place can't be read.
    Unreadable {
        /// Decoding error.
        reason: SmolStr,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed"),
            Self::Exists => f.write_str("exists already"),
            Self::Missing => f.write_str("does not exist"),
            Self::Twice => f.write_str("is named twice"),
            Self::Clash { changed } => {
                write!(
                    f,
                    "was changed by revision {changed}, which the author had not seen"
                )
            }
            Self::Future => f.write_str("names a revision that does not exist yet"),
            Self::NoService => f.write_str("names a service that does not exist"),
            Self::NoZone => f.write_str("names an availability zone that does not exist"),
            Self::InUse => f.write_str("is still used by backend servers"),
            Self::Shared => f.write_str("has the host, node or address of another backend server"),
            Self::SamePath => f.write_str("has the host and path of another route"),
            Self::SharedKey => f.write_str("has a key of another team"),
            Self::NoPrefix => f.write_str("must begin and end with a slash"),
            Self::Range { least, most } => write!(f, "must be from {least} to {most}"),
            Self::Unreadable { reason } => write!(f, "can't be read: {reason}"),
        }
    }
}

/// A problem at one place of a note or configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path within the note, such as `add.servers[2].zone`, or within the configuration, such as
    /// `routes[NAME].timeout_ms`.
    pub place: SmolStr,
    /// What is wrong at that place.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// Lists all faults of `note`; `state` is the state before it and `next` the one after it.
///
/// `revision` is the revision of `state`. The note may be applied if the list is empty.
pub fn check(note: &Note, state: &State, next: &State, revision: Revision) -> Vec<Fault> {
    let mut faults = Faults::default();
    if note.after > revision {
        faults.add("after", Problem::Future);
    }
    check_objects(note, state, &mut faults);
    check_services(note, &mut faults);
    check_references(note, next, &mut faults);
    check_routes(note, next, &mut faults);
    check_note_teams(note, next, &mut faults);
    check_server_conflicts(note, next, &mut faults);
    faults.list
}

#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) list: Vec<Fault>,
}

impl Faults {
    pub(crate) fn add(&mut self, place: impl Into<SmolStr>, problem: Problem) {
        self.list.push(Fault {
            place: place.into(),
            problem,
        });
    }
}

/// Checks the objects of one kind. Added objects must be new. Changed and withdrawn objects must
/// exist and must not have changed after the revision that the author had seen. `lists` has the
/// identifiers of each, in this order.
fn check_kind<'a, K: Ord + 'a, T: 'a>(
    kind: &str,
    after: Revision,
    existing: &BTreeMap<K, Entry<T>>,
    lists: [Vec<&'a K>; 3],
    faults: &mut Faults,
) {
    let mut seen = BTreeSet::new();
    for (action, list) in ["add", "change", "withdraw"].iter().zip(lists) {
        for (index, id) in list.into_iter().enumerate() {
            let place = format_smolstr!("{action}.{kind}[{index}]");
            match existing.get(id) {
                _ if !seen.insert(id) => faults.add(place, Problem::Twice),
                Some(_) if *action == "add" => faults.add(place, Problem::Exists),
                None if *action != "add" => faults.add(place, Problem::Missing),
                Some(e) if e.changed > after => {
                    faults.add(place, Problem::Clash { changed: e.changed });
                }
                _ => {}
            }
        }
    }
}

fn check_objects(note: &Note, state: &State, faults: &mut Faults) {
    let (add, change, withdraw) = (&note.add, &note.change, &note.withdraw);
    let zones = [
        add.zones.iter().map(|z| &z.id).collect(),
        change.zones.iter().map(|z| &z.id).collect(),
        withdraw.zones.iter().collect(),
    ];
    check_kind("zones", note.after, &state.zones, zones, faults);
    let services = [
        add.services.iter().map(|s| &s.id).collect(),
        change.services.iter().map(|s| &s.id).collect(),
        withdraw.services.iter().collect(),
    ];
    check_kind("services", note.after, &state.services, services, faults);
    let servers = [
        add.servers.iter().map(|s| &s.id).collect(),
        change.servers.iter().map(|s| &s.id).collect(),
        withdraw.servers.iter().collect(),
    ];
    check_kind("servers", note.after, &state.servers, servers, faults);
    let routes = [
        add.routes.iter().map(|r| &r.id).collect(),
        change.routes.iter().map(|r| &r.id).collect(),
        withdraw.routes.iter().collect(),
    ];
    check_kind("routes", note.after, &state.routes, routes, faults);
    let teams = [
        add.teams.iter().map(|t| &t.id).collect(),
        change.teams.iter().map(|t| &t.id).collect(),
        withdraw.teams.iter().collect(),
    ];
    check_kind("teams", note.after, &state.teams, teams, faults);
}

fn check_services(note: &Note, faults: &mut Faults) {
    for (action, list) in [
        ("add", &note.add.services),
        ("change", &note.change.services),
    ] {
        for (index, service) in list.iter().enumerate() {
            check_limits(
                &format_smolstr!("{action}.services[{index}].limits"),
                service,
                faults,
            );
        }
    }
}

fn check_routes(note: &Note, next: &State, faults: &mut Faults) {
    for (action, list) in [("add", &note.add.routes), ("change", &note.change.routes)] {
        for (index, route) in list.iter().enumerate() {
            let place = format_smolstr!("{action}.routes[{index}]");
            let exists = |service: &ServiceId| next.services.contains_key(service);
            let most = RouteLimits {
                attempts: 100,
                timeout_ms: 3_600_000,
                objective_ms: route.timeout_ms.max(1),
            };
            check_route(&place, route, exists, most, faults);
        }
    }
}

fn check_note_teams(note: &Note, next: &State, faults: &mut Faults) {
    if note.add.teams.is_empty() && note.change.teams.is_empty() {
        return;
    }
    let holders = key_holders(next.teams.values().map(|e| &e.item));
    for (action, list) in [("add", &note.add.teams), ("change", &note.change.teams)] {
        for (index, team) in list.iter().enumerate() {
            let place = format_smolstr!("{action}.teams[{index}]");
            check_team(&place, team, &holders, faults);
        }
    }
}

/// Number of teams that hold each key.
pub(crate) fn key_holders<'a>(teams: impl Iterator<Item = &'a Team>) -> BTreeMap<KeyHash, usize> {
    let mut holders = BTreeMap::new();
    for key in teams.flat_map(|team| &team.keys) {
        *holders.entry(*key).or_default() += 1;
    }
    holders
}

/// Checks a team, among those that `holders` counts. Faults show no key.
pub(crate) fn check_team(
    place: &str,
    team: &Team,
    holders: &BTreeMap<KeyHash, usize>,
    faults: &mut Faults,
) {
    let is_shared = |key: &KeyHash| holders.get(key).is_some_and(|teams| *teams > 1);
    if team.keys.iter().any(is_shared) {
        faults.add(format_smolstr!("{place}.keys"), Problem::SharedKey);
    }
    if let Some(allowance) = team.allowance {
        let rate = allowance.rate.per_second().ceil() as u64;
        check_ranges(place, &[("rate", rate, 1, MAX_RATE)], faults);
    }
}

/// Upper bounds of a route, inclusive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteLimits {
    pub(crate) attempts: u64,
    pub(crate) timeout_ms: u64,
    pub(crate) objective_ms: u64,
}

/// Checks a route by itself. `exists` tells whether a service does.
pub(crate) fn check_route(
    place: &str,
    route: &HostRoute,
    exists: impl Fn(&ServiceId) -> bool,
    most: RouteLimits,
    faults: &mut Faults,
) {
    if !route.parts.iter().all(|part| exists(&part.service)) {
        faults.add(format_smolstr!("{place}.parts"), Problem::NoService);
    }
    if !route.path.starts_with('/') || !route.path.ends_with('/') {
        faults.add(format_smolstr!("{place}.path"), Problem::NoPrefix);
    }
    let weight: u64 = route.parts.iter().map(|p| u64::from(p.weight)).sum();
    let ranges = [
        ("parts", weight, 1, u64::from(u32::MAX)),
        ("attempts", u64::from(route.attempts), 1, most.attempts),
        ("timeout_ms", route.timeout_ms, 1, most.timeout_ms),
        ("objective_ms", route.objective_ms, 1, most.objective_ms),
    ];
    check_ranges(place, &ranges, faults);
}

pub(crate) fn check_ranges(place: &str, ranges: &[(&str, u64, u64, u64)], faults: &mut Faults) {
    for (field, value, least, most) in ranges.iter().copied() {
        if !(least..=most).contains(&value) {
            faults.add(
                format_smolstr!("{place}.{field}"),
                Problem::Range { least, most },
            );
        }
    }
}

fn check_limits(place: &str, service: &Service, faults: &mut Faults) {
    let limits = &service.limits;
    let slots = u64::from(limits.slots.0);
    let most = u64::from(MAX_SLOTS.0);
    let ranges = [
        ("slots", slots, 1, most),
        ("connections", u64::from(limits.connections.0), slots, most),
        ("cold", u64::from(limits.cold.0), 1, slots.max(1)),
        ("queue", u64::from(limits.queue.0), 0, most),
        ("timeout_ms", limits.timeout_ms, 1, 3_600_000),
        ("warm_ms", limits.warm_ms, 0, 3_600_000),
        ("body", limits.body.0, 0, MAX_BODY_BYTES),
        ("probes", limits.probes.per_second().ceil() as u64, 0, 1_000),
    ];
    check_ranges(place, &ranges, faults);
    check_cold_rate(place, service, faults);
    for (field, share) in [("retries", limits.retries), ("usable", limits.usable)] {
        if !(0.0..=1.0).contains(&share) {
            faults.add(
                format_smolstr!("{place}.{field}"),
                Problem::Range { least: 0, most: 1 },
            );
        }
    }
}

pub(crate) fn check_cold_rate(place: &str, service: &Service, faults: &mut Faults) {
    let rate = service.limits.cold_rate.per_second().ceil() as u64;
    check_ranges(place, &[("cold_rate", rate, 0, 1_000_000)], faults);
}

fn check_references(note: &Note, next: &State, faults: &mut Faults) {
    for (action, list) in [("add", &note.add.servers), ("change", &note.change.servers)] {
        for (index, server) in list.iter().enumerate() {
            if !next.services.contains_key(&server.service) {
                faults.add(
                    format_smolstr!("{action}.servers[{index}].service"),
                    Problem::NoService,
                );
            }
            if !next.zones.contains_key(&server.zone) {
                faults.add(
                    format_smolstr!("{action}.servers[{index}].zone"),
                    Problem::NoZone,
                );
            }
        }
    }
    let servers = || next.servers.values().map(|e| &e.item);
    for (index, id) in note.withdraw.zones.iter().enumerate() {
        if servers().any(|s| s.zone == *id) {
            faults.add(format_smolstr!("withdraw.zones[{index}]"), Problem::InUse);
        }
    }
    for (index, id) in note.withdraw.services.iter().enumerate() {
        let is_routed = |id: &ServiceId| {
            let mut routes = next.routes.values().map(|e| &e.item);
            routes.any(|r| r.parts.iter().any(|p| p.service == *id))
        };
        if servers().any(|s| s.service == *id) || is_routed(id) {
            faults.add(
                format_smolstr!("withdraw.services[{index}]"),
                Problem::InUse,
            );
        }
    }
}

fn check_server_conflicts(note: &Note, next: &State, faults: &mut Faults) {
    if note.add.servers.is_empty() && note.change.servers.is_empty() {
        return;
    }
    let conflicts = |a: &Server, b: &Server| {
        a.id != b.id && (a.host == b.host || a.node == b.node || a.address == b.address)
    };
    for (action, list) in [("add", &note.add.servers), ("change", &note.change.servers)] {
        for (index, server) in list.iter().enumerate() {
            if next.servers.values().any(|e| conflicts(&e.item, server)) {
                faults.add(
                    format_smolstr!("{action}.servers[{index}]"),
                    Problem::Shared,
                );
            }
        }
    }
}
