//! Release notes: checks before publication, and the view in force.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use note::{Fault, State, View, ZoneStatus};
use serde::Serialize;
use types::Revision;

use crate::{client::AdminClient, error::ToolError};

/// Result of checking one release note.
#[derive(Debug, Serialize)]
pub struct CheckResult {
    /// File of the note.
    pub file: PathBuf,
    /// Revision that the note would get.
    pub revision: Revision,
    /// Faults of the note. If there are none, nodes accept the note.
    pub faults: Vec<Fault>,
    /// Parse error, if the file isn't a valid note.
    pub malformed: Option<String>,
}

/// Checks notes by applying them, in the given order, to a node's view, or to an empty view if
/// `admin` is `None`.
///
/// # Errors
///
/// [`ToolError::File`] or [`ToolError::Admin`] if a file or the view can't be read.
pub async fn check(
    files: &[PathBuf],
    admin: Option<SocketAddr>,
) -> Result<Vec<CheckResult>, ToolError> {
    let mut view = match admin {
        Some(admin) => AdminClient::new().view(admin).await?,
        None => View::default(),
    };
    files
        .iter()
        .map(|file| check_note(file, &mut view))
        .collect()
}

fn check_note(file: &Path, view: &mut View) -> Result<CheckResult, ToolError> {
    let text = fs::read_to_string(file).map_err(|cause| ToolError::File {
        path: file.to_owned(),
        cause,
    })?;
    let faults = view.apply(&text);
    let malformed = note::parse(&text).err().map(|error| error_chain(&error));
    Ok(CheckResult {
        file: file.to_owned(),
        revision: view.revision,
        faults,
        malformed,
    })
}

/// Formats an error and its causes on one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {}", error_chain(cause)),
        None => error.to_string(),
    }
}

/// Formats check results as text.
pub fn render_results(results: &[CheckResult]) -> String {
    let mut text = String::new();
    for result in results {
        let file = result.file.display();
        match (&result.malformed, result.faults.len()) {
            (Some(cause), _) => text += &format!("{file}: {cause}\n"),
            (None, 0) => text += &format!("{file}: in order\n"),
            (None, count) => {
                text += &format!("{file}: {count} faults\n");
                result
                    .faults
                    .iter()
                    .for_each(|fault| text += &format!("  {fault}\n"));
            }
        }
    }
    text
}

/// Formats a view as text.
pub fn render_view(view: &View) -> String {
    let State {
        zones,
        services,
        servers,
        routes,
        teams,
        ..
    } = &view.state;
    let mut text = format!("revision {} digest {}\n", view.revision, view.digest);
    for zone in zones.values().map(|e| &e.item) {
        let status = if zone.status == ZoneStatus::In {
            "in"
        } else {
            "out"
        };
        text += &format!("zone {} region {} {status}\n", zone.id, zone.region);
    }
    for service in services.values().map(|e| &e.item) {
        let limits = &service.limits;
        text += &format!(
            "service {} slots {} cold {} queue {} timeout {} ms\n",
            service.id, limits.slots, limits.cold, limits.queue, limits.timeout_ms
        );
    }
    for server in servers.values().map(|e| &e.item) {
        let availability = if view.state.is_in_service(server) {
            "takes work"
        } else {
            "no new work"
        };
        text += &format!(
            "server {} of {} in {} {availability}\n",
            server.id, server.service, server.zone
        );
    }
    for route in routes.values().map(|e| &e.item) {
        let part = |p: &note::WeightedService| format!(" {} {}", p.service, p.weight);
        let parts: String = route.parts.iter().map(part).collect();
        text += &format!(
            "route {} {}{} to{parts}\n",
            route.id, route.host, route.path
        );
    }
    for team in teams.values().map(|e| &e.item) {
        let limit = team.allowance.map_or_else(String::new, |allowance| {
            format!(" rate {} burst {}", allowance.rate, allowance.burst)
        });
        let rank = team
            .priority
            .map_or_else(String::new, |p| format!(" priority {p}"));
        text += &format!("team {}{limit}{rank}\n", team.id);
    }
    for rejection in &view.rejected {
        text += &format!("rejected: revision {}\n", rejection.revision);
        rejection
            .faults
            .iter()
            .for_each(|fault| text += &format!("  {fault}\n"));
    }
    text
}
