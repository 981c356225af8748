//! What in a valid configuration can't have been meant.
//!
//! [`check_config`](crate::check_config()) lists the faults for which nodes refuse a configuration. [`lint`] lists
//! what they take although it can never match, contradicts something else, or asks for more than there is.

use std::fmt;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use types::{ServiceId, Slots};

use crate::{
    state::{HostRoute, Service, State},
    team::Team,
};

/// Why an entry of a configuration can't have been meant.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// No request names such a host: hosts have no spaces, and end before the path.
    HostNeverMatches,
    /// No request has such a path: requests are matched without their query.
    PathNeverMatches,
    /// The service has the weight zero, so it gets no requests of the route.
    NoWeight,
    /// No route leads to the service.
    NoRoute,
    /// No server of the service is listed.
    NoServer,
    /// Servers of the service get no requests while they are cold.
    NoColdRate,
    /// The objective is later than the timeout, so answers that are in time are given up.
    ObjectiveAfterTimeout {
        /// Objective in milliseconds.
        objective_ms: u64,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// A request may be sent to more servers than the services of its route have.
    TooManyAttempts {
        /// Attempts that the route allows.
        attempts: u32,
        /// Servers of its services.
        servers: usize,
    },
    /// No request has a key of the team.
    NoKey,
    /// The allowance never holds a whole request.
    NoBurst,
    /// The team may send more requests at once than all listed servers can run.
    BurstBeyondFleet {
        /// Requests beyond the rate that the team may send.
        burst: u32,
        /// Requests that all listed servers run at once.
        slots: u64,
    },
    /// Requests need a key, but no team has any.
    KeyWithoutTeams,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostNeverMatches => f.write_str("no request names such a host"),
            Self::PathNeverMatches => f.write_str("no request has such a path"),
            Self::NoWeight => f.write_str("has weight 0, so it gets no requests of the route"),
            Self::NoRoute => f.write_str("no route leads to it"),
            Self::NoServer => f.write_str("has no server"),
            Self::NoColdRate => f.write_str("its servers get no requests while they are cold"),
            Self::ObjectiveAfterTimeout {
                objective_ms,
                timeout_ms,
            } => write!(
                f,
                "objective of {objective_ms} ms after the timeout of {timeout_ms} ms"
            ),
            Self::TooManyAttempts { attempts, servers } => {
                write!(
                    f,
                    "allows {attempts} attempts, but there are {servers} servers"
                )
            }
            Self::NoKey => f.write_str("has no key, so no request is the team's"),
            Self::NoBurst => f.write_str("burst of 0 lets no request run"),
            Self::BurstBeyondFleet { burst, slots } => {
                write!(
                    f,
                    "burst of {burst}, but all servers together run {slots} requests at once"
                )
            }
            Self::KeyWithoutTeams => f.write_str("needs a key, but no team has any"),
        }
    }
}

/// A doubt about one place of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Finding {
    /// Path within the configuration, such as `routes[NAME].parts[SERVICE]`.
    pub place: SmolStr,
    /// What is doubtful at that place.
    pub doubt: Doubt,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.doubt)
    }
}

/// Lists what is doubtful in `config`. Doubts about servers need a state that lists them, `fleet`.
pub fn lint(config: &State, fleet: Option<&State>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in config.routes.values().map(|entry| &entry.item) {
        lint_route(route, config, fleet, &mut findings);
    }
    for service in config.services.values().map(|entry| &entry.item) {
        lint_service(service, config, fleet, &mut findings);
    }
    for team in config.teams.values().map(|entry| &entry.item) {
        lint_team(team, fleet, &mut findings);
    }
    findings
}

fn add(findings: &mut Vec<Finding>, place: SmolStr, doubt: Doubt) {
    findings.push(Finding { place, doubt });
}

fn lint_route(
    route: &HostRoute,
    config: &State,
    fleet: Option<&State>,
    findings: &mut Vec<Finding>,
) {
    let place = format_smolstr!("routes[{}]", route.id);
    let is_visible = |c: char| !c.is_whitespace() && !c.is_control();
    let is_host_char = |c: char| is_visible(c) && !"/?#@".contains(c);
    if route.host.is_empty() || !route.host.chars().all(is_host_char) {
        add(
            findings,
            format_smolstr!("{place}.host"),
            Doubt::HostNeverMatches,
        );
    }
    if !route
        .path
        .chars()
        .all(|c| is_visible(c) && !"?#".contains(c))
    {
        add(
            findings,
            format_smolstr!("{place}.path"),
            Doubt::PathNeverMatches,
        );
    }
    for part in route.parts.iter().filter(|part| part.weight == 0) {
        let part = format_smolstr!("{place}.parts[{}]", part.service);
        add(findings, part, Doubt::NoWeight);
    }
    if route.objective_ms > route.timeout_ms {
        let doubt = Doubt::ObjectiveAfterTimeout {
            objective_ms: route.objective_ms,
            timeout_ms: route.timeout_ms,
        };
        add(findings, format_smolstr!("{place}.objective_ms"), doubt);
    }
    let servers = fleet.map(|fleet| {
        let parts = route.parts.iter();
        parts.map(|part| servers_of(&part.service, fleet)).sum()
    });
    match servers {
        Some(servers) if servers > 0 && route.attempts as usize > servers => {
            let attempts = route.attempts;
            let doubt = Doubt::TooManyAttempts { attempts, servers };
            add(findings, format_smolstr!("{place}.attempts"), doubt);
        }
        _ => {}
    }
    let has_keys = config.teams.values().any(|team| !team.item.keys.is_empty());
    if !config.teams.is_empty() && !has_keys && !route.open {
        add(findings, place, Doubt::KeyWithoutTeams);
    }
}

fn lint_service(
    service: &Service,
    config: &State,
    fleet: Option<&State>,
    findings: &mut Vec<Finding>,
) {
    let place = format_smolstr!("services[{}]", service.id);
    let mut routes = config.routes.values().map(|entry| &entry.item);
    let leads = |route: &HostRoute| route.parts.iter().any(|part| part.service == service.id);
    if !config.is_addressed_by_path() && !routes.any(leads) {
        add(findings, place.clone(), Doubt::NoRoute);
    }
    let reports_cold = service.limits.cold == Slots(u32::MAX);
    if reports_cold && service.limits.cold_rate.per_second() == 0.0 {
        add(
            findings,
            format_smolstr!("{place}.cold_rate"),
            Doubt::NoColdRate,
        );
    }
    if fleet.is_some_and(|fleet| servers_of(&service.id, fleet) == 0) {
        add(findings, place, Doubt::NoServer);
    }
}

fn lint_team(team: &Team, fleet: Option<&State>, findings: &mut Vec<Finding>) {
    let place = format_smolstr!("teams[{}]", team.id);
    if team.keys.is_empty() {
        add(findings, format_smolstr!("{place}.keys"), Doubt::NoKey);
    }
    let Some(allowance) = team.allowance else {
        return;
    };
    let place = format_smolstr!("{place}.burst");
    let burst = allowance.burst;
    match fleet.map(total_slots) {
        _ if burst == 0 => add(findings, place, Doubt::NoBurst),
        Some(slots) if slots > 0 && u64::from(burst) > slots => {
            add(findings, place, Doubt::BurstBeyondFleet { burst, slots });
        }
        _ => {}
    }
}

fn servers_of(service: &ServiceId, fleet: &State) -> usize {
    let servers = fleet.servers.values().map(|entry| &entry.item);
    servers.filter(|server| server.service == *service).count()
}

fn total_slots(fleet: &State) -> u64 {
    let servers = fleet.servers.values().map(|entry| &entry.item);
    let slots = servers.filter_map(|server| fleet.limits_of(server));
    slots.map(|limits| u64::from(limits.slots.0)).sum()
}
