//! Release notes: check them before they are published, and show what is in force.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use note::{Fault, State, View, ZoneStatus};
use serde::Serialize;
use types::Revision;

use crate::{client::Admin, error::ToolError};

/// Verdict on one note.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// The file.
    pub file: PathBuf,
    /// Revision that it would get.
    pub revision: Revision,
    /// All its faults. An empty list means that it would be accepted.
    pub faults: Vec<Fault>,
    /// Why the text is no note, if it isn't.
    pub malformed: Option<String>,
}

/// Folds notes, in the order given, into what a node has in force, or into nothing without a node.
///
/// # Errors
///
/// If a file or the node can't be read.
pub async fn check(
    files: &[PathBuf],
    admin: Option<SocketAddr>,
) -> Result<Vec<Verdict>, ToolError> {
    let mut view = match admin {
        Some(admin) => Admin::new().view(admin).await?,
        None => View::default(),
    };
    files
        .iter()
        .map(|file| check_one(file, &mut view))
        .collect()
}

fn check_one(file: &Path, view: &mut View) -> Result<Verdict, ToolError> {
    let text = fs::read_to_string(file).map_err(|cause| ToolError::File {
        path: file.to_owned(),
        cause,
    })?;
    let faults = view.apply(&text);
    let malformed = note::parse(&text).err().map(|error| chain(&error));
    Ok(Verdict {
        file: file.to_owned(),
        revision: view.revision,
        faults,
        malformed,
    })
}

/// An error and its causes in one line.
fn chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {}", chain(cause)),
        None => error.to_string(),
    }
}

/// Verdicts for people.
pub fn render_verdicts(verdicts: &[Verdict]) -> String {
    let mut text = String::new();
    for verdict in verdicts {
        let file = verdict.file.display();
        match (&verdict.malformed, verdict.faults.len()) {
            (Some(cause), _) => text += &format!("{file}: {cause}\n"),
            (None, 0) => text += &format!("{file}: in order\n"),
            (None, count) => {
                text += &format!("{file}: {count} faults\n");
                verdict
                    .faults
                    .iter()
                    .for_each(|fault| text += &format!("  {fault}\n"));
            }
        }
    }
    text
}

/// What is in force, for people.
pub fn render_state(view: &View) -> String {
    let State {
        zones,
        services,
        servers,
        routes,
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
        let l = &service.limits;
        text += &format!(
            "service {} slots {} cold {} queue {} timeout {} ms\n",
            service.id, l.slots, l.cold, l.queue, l.timeout_ms
        );
    }
    for server in servers.values().map(|e| &e.item) {
        let work = if view.state.takes_work(server) {
            "takes work"
        } else {
            "no new work"
        };
        text += &format!(
            "server {} of {} in {} {work}\n",
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
    for rejection in &view.rejected {
        text += &format!("rejected: revision {}\n", rejection.revision);
        rejection
            .faults
            .iter()
            .for_each(|fault| text += &format!("  {fault}\n"));
    }
    text
}
