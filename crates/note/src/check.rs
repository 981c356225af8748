//! Faults of a note against the state that it would be folded into.
//!
//! All faults are listed at once. The verdict depends on nothing but the note and the state, so that
//! every node and the operators' tool reach the same one.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use types::{Revision, ServiceId, Slots};

use crate::{
    parse::Note,
    state::{Entry, MAX_BODY_BYTES, Server, Service, State, WeightedService},
};

/// Most slots or connections that a note may give to one backend server.
const MAX_SLOTS: Slots = Slots(100_000);

/// What is wrong at one place of a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The note is no JSON, or has an unknown or missing field.
    Malformed,
    /// An object with this name exists already.
    Exists,
    /// No object has this name.
    Missing,
    /// The note names the object twice.
    Twice,
    /// A later note than the author had seen changed the object.
    Clash {
        /// Revision of that note.
        changed: Revision,
    },
    /// The author claims to have seen a revision that doesn't exist yet.
    Future,
    /// The service that is named doesn't exist once the note is folded.
    NoService,
    /// The availability zone that is named doesn't exist once the note is folded.
    NoZone,
    /// Backend servers still use the object that is withdrawn.
    InUse,
    /// Another backend server has the same host, node or address.
    Shared,
    /// A path doesn't begin and end with a slash.
    NoPrefix,
    /// A number lies outside what is allowed.
    Range {
        /// The smallest number allowed.
        least: u64,
        /// The largest number allowed.
        most: u64,
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
            Self::NoPrefix => f.write_str("must begin and end with a slash"),
            Self::Range { least, most } => write!(f, "must be from {least} to {most}"),
        }
    }
}

/// A problem and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Place in the note, such as `add.servers[2].zone`.
    pub place: SmolStr,
    /// What is wrong there.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// Lists every fault of `note` against `view`, the state before it, and `next`, the state after it.
///
/// `seen` is the revision of `view`. An empty list means that the note may be folded.
pub fn check(note: &Note, view: &State, next: &State, seen: Revision) -> Vec<Fault> {
    let mut faults = Faults::default();
    if note.after > seen {
        faults.add("after", Problem::Future);
    }
    check_names(note, view, &mut faults);
    check_services(note, &mut faults);
    check_references(note, next, &mut faults);
    check_routes(note, next, &mut faults);
    check_shared(note, next, &mut faults);
    faults.list
}

#[derive(Debug, Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, place: impl Into<SmolStr>, problem: Problem) {
        self.list.push(Fault {
            place: place.into(),
            problem,
        });
    }
}

/// Checks one kind of object: what is added must be new, what is changed or withdrawn must exist
/// and must not have changed behind the author's back.
fn check_kind<'a, K: Ord + 'a, T: 'a>(
    kind: &str,
    after: Revision,
    known: &std::collections::BTreeMap<K, Entry<T>>,
    lists: [Vec<&'a K>; 3],
    faults: &mut Faults,
) {
    let mut named = BTreeSet::new();
    for (verb, list) in ["add", "change", "withdraw"].iter().zip(lists) {
        for (at, id) in list.into_iter().enumerate() {
            let place = format_smolstr!("{verb}.{kind}[{at}]");
            match known.get(id) {
                _ if !named.insert(id) => faults.add(place, Problem::Twice),
                Some(_) if *verb == "add" => faults.add(place, Problem::Exists),
                None if *verb != "add" => faults.add(place, Problem::Missing),
                Some(e) if e.changed > after => {
                    faults.add(place, Problem::Clash { changed: e.changed });
                }
                _ => {}
            }
        }
    }
}

fn check_names(note: &Note, view: &State, faults: &mut Faults) {
    let (add, change, gone) = (&note.add, &note.change, &note.withdraw);
    let zones = [
        add.zones.iter().map(|z| &z.id).collect(),
        change.zones.iter().map(|z| &z.id).collect(),
        gone.zones.iter().collect(),
    ];
    check_kind("zones", note.after, &view.zones, zones, faults);
    let services = [
        add.services.iter().map(|s| &s.id).collect(),
        change.services.iter().map(|s| &s.id).collect(),
        gone.services.iter().collect(),
    ];
    check_kind("services", note.after, &view.services, services, faults);
    let servers = [
        add.servers.iter().map(|s| &s.id).collect(),
        change.servers.iter().map(|s| &s.id).collect(),
        gone.servers.iter().collect(),
    ];
    check_kind("servers", note.after, &view.servers, servers, faults);
    let routes = [
        add.routes.iter().map(|r| &r.id).collect(),
        change.routes.iter().map(|r| &r.id).collect(),
        gone.routes.iter().collect(),
    ];
    check_kind("routes", note.after, &view.routes, routes, faults);
}

fn check_services(note: &Note, faults: &mut Faults) {
    for (verb, list) in [
        ("add", &note.add.services),
        ("change", &note.change.services),
    ] {
        for (at, service) in list.iter().enumerate() {
            check_limits(
                &format_smolstr!("{verb}.services[{at}].limits"),
                service,
                faults,
            );
        }
    }
}

fn check_routes(note: &Note, next: &State, faults: &mut Faults) {
    for (verb, list) in [("add", &note.add.routes), ("change", &note.change.routes)] {
        for (at, route) in list.iter().enumerate() {
            let place = |field| format_smolstr!("{verb}.routes[{at}].{field}");
            let known = |part: &WeightedService| next.services.contains_key(&part.service);
            if !route.parts.iter().all(known) {
                faults.add(place("parts"), Problem::NoService);
            }
            if !route.path.starts_with('/') || !route.path.ends_with('/') {
                faults.add(place("path"), Problem::NoPrefix);
            }
            let weight: u64 = route.parts.iter().map(|p| u64::from(p.weight)).sum();
            let ranges = [
                ("parts", weight, 1, u64::from(u32::MAX)),
                ("attempts", u64::from(route.attempts), 1, 100),
                ("timeout_ms", route.timeout_ms, 1, 3_600_000),
                (
                    "objective_ms",
                    route.objective_ms,
                    1,
                    route.timeout_ms.max(1),
                ),
            ];
            check_ranges(&format_smolstr!("{verb}.routes[{at}]"), &ranges, faults);
        }
    }
}

fn check_ranges(place: &str, ranges: &[(&str, u64, u64, u64)], faults: &mut Faults) {
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
    let l = &service.limits;
    let slots = u64::from(l.slots.0);
    let most = u64::from(MAX_SLOTS.0);
    let ranges = [
        ("slots", slots, 1, most),
        ("connections", u64::from(l.connections.0), slots, most),
        ("cold", u64::from(l.cold.0), 1, slots.max(1)),
        ("queue", u64::from(l.queue.0), 0, most),
        ("timeout_ms", l.timeout_ms, 1, 3_600_000),
        ("warm_ms", l.warm_ms, 0, 3_600_000),
        ("body", l.body.0, 0, MAX_BODY_BYTES),
        (
            "cold_rate",
            l.cold_rate.per_second().ceil() as u64,
            0,
            1_000_000,
        ),
        ("probes", l.probes.per_second().ceil() as u64, 0, 1_000),
    ];
    check_ranges(place, &ranges, faults);
    for (field, share) in [("retries", l.retries), ("usable", l.usable)] {
        if !(0.0..=1.0).contains(&share) {
            faults.add(
                format_smolstr!("{place}.{field}"),
                Problem::Range { least: 0, most: 1 },
            );
        }
    }
}

fn check_references(note: &Note, next: &State, faults: &mut Faults) {
    for (verb, list) in [("add", &note.add.servers), ("change", &note.change.servers)] {
        for (at, server) in list.iter().enumerate() {
            if !next.services.contains_key(&server.service) {
                faults.add(
                    format_smolstr!("{verb}.servers[{at}].service"),
                    Problem::NoService,
                );
            }
            if !next.zones.contains_key(&server.zone) {
                faults.add(
                    format_smolstr!("{verb}.servers[{at}].zone"),
                    Problem::NoZone,
                );
            }
        }
    }
    let servers = || next.servers.values().map(|e| &e.item);
    for (at, id) in note.withdraw.zones.iter().enumerate() {
        if servers().any(|s| s.zone == *id) {
            faults.add(format_smolstr!("withdraw.zones[{at}]"), Problem::InUse);
        }
    }
    for (at, id) in note.withdraw.services.iter().enumerate() {
        let routed = |id: &ServiceId| {
            let mut routes = next.routes.values().map(|e| &e.item);
            routes.any(|r| r.parts.iter().any(|p| p.service == *id))
        };
        if servers().any(|s| s.service == *id) || routed(id) {
            faults.add(format_smolstr!("withdraw.services[{at}]"), Problem::InUse);
        }
    }
}

fn check_shared(note: &Note, next: &State, faults: &mut Faults) {
    if note.add.servers.is_empty() && note.change.servers.is_empty() {
        return;
    }
    let clash = |a: &Server, b: &Server| {
        a.id != b.id && (a.host == b.host || a.node == b.node || a.address == b.address)
    };
    for (verb, list) in [("add", &note.add.servers), ("change", &note.change.servers)] {
        for (at, server) in list.iter().enumerate() {
            if next.servers.values().any(|e| clash(&e.item, server)) {
                faults.add(format_smolstr!("{verb}.servers[{at}]"), Problem::Shared);
            }
        }
    }
}
