//! Validation of the operators' configuration in a registry.
//!
//! A configuration replaces the one before it as a whole, so it is taken or refused as a whole. The
//! rules are those for notes, without the upper bounds that only notes have.

use std::collections::BTreeSet;

use smol_str::{SmolStr, format_smolstr};
use types::{Revision, ServiceId};

use crate::{
    check::{
        Fault, Faults, Problem, RouteLimits, check_cold_rate, check_ranges, check_route,
        check_team, key_holders,
    },
    registry::OperatorConfig,
};

/// Longest time in a configuration, in milliseconds: deadlines that are so far ahead don't overflow.
const MAX_TIME_MS: u64 = (1 << 53) / 1_000;
/// Upper bounds of a route.
const ROUTE_LIMITS: RouteLimits = RouteLimits {
    attempts: u32::MAX as u64,
    timeout_ms: MAX_TIME_MS,
    objective_ms: MAX_TIME_MS,
};

/// Lists all faults of a configuration. It may be taken if the list is empty.
pub fn check_config(config: &OperatorConfig) -> Vec<Fault> {
    let mut faults = Faults::default();
    let (least, most) = (1, Revision::MAX_VALID.0);
    if !(least..=most).contains(&config.version) {
        faults.add("version", Problem::Range { least, most });
    }
    let services = check_services(config, &mut faults);
    check_routes(config, &services, &mut faults);
    check_teams(config, &mut faults);
    let callers = &config.callers;
    let ranges = [
        ("head", callers.head.0, 1, u64::MAX),
        ("body", callers.body.0, 1, u64::MAX),
        ("head_ms", callers.head_ms, 1, MAX_TIME_MS),
        ("idle_ms", callers.idle_ms, 1, MAX_TIME_MS),
    ];
    check_ranges("limits", &ranges, &mut faults);
    faults.list
}

fn check_services<'a>(config: &'a OperatorConfig, faults: &mut Faults) -> BTreeSet<&'a ServiceId> {
    let mut services = BTreeSet::new();
    for service in &config.services {
        let place = format_smolstr!("services[{}]", service.id);
        if !services.insert(&service.id) {
            faults.add(place.clone(), Problem::Twice);
        }
        check_cold_rate(&place, service, faults);
        let warm = ("warm_ms", service.limits.warm_ms, 0, MAX_TIME_MS);
        check_ranges(&place, &[warm], faults);
    }
    services
}

fn check_routes(config: &OperatorConfig, services: &BTreeSet<&ServiceId>, faults: &mut Faults) {
    let (mut names, mut paths) = (BTreeSet::new(), BTreeSet::new());
    for route in &config.routes {
        let place = format_smolstr!("routes[{}]", route.id);
        if !names.insert(&route.id) {
            faults.add(place.clone(), Problem::Twice);
        }
        if !paths.insert((SmolStr::new(route.host.to_ascii_lowercase()), &route.path)) {
            faults.add(format_smolstr!("{place}.path"), Problem::SamePath);
        }
        let exists = |service: &ServiceId| services.contains(service);
        check_route(&place, route, exists, ROUTE_LIMITS, faults);
    }
}

fn check_teams(config: &OperatorConfig, faults: &mut Faults) {
    let holders = key_holders(config.teams.iter());
    let mut names = BTreeSet::new();
    for team in &config.teams {
        let place = format_smolstr!("teams[{}]", team.id);
        if !names.insert(&team.id) {
            faults.add(place.clone(), Problem::Twice);
        }
        check_team(&place, team, &holders, faults);
    }
}
