//! The JSON format of release notes.

use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{Revision, RouteId, ServerId, ServiceId, TeamId, ZoneId};

use crate::{
    state::{HostRoute, Server, Service, Zone},
    team::Team,
};

/// Objects that a note adds, or replaces with a new version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batch {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services.
    pub services: Vec<Service>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Routes.
    pub routes: Vec<HostRoute>,
    /// Teams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
}

/// Identifiers of the objects that a note withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawal {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Services.
    pub services: Vec<ServiceId>,
    /// Backend servers.
    pub servers: Vec<ServerId>,
    /// Routes.
    pub routes: Vec<RouteId>,
    /// Teams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamId>,
}

/// A release note as written by operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Author of the note.
    pub author: SmolStr,
    /// Last revision that the author had seen. The note conflicts with later changes of its
    /// objects.
    pub after: Revision,
    /// Objects to create.
    #[serde(default)]
    pub add: Batch,
    /// Objects to replace.
    #[serde(default)]
    pub change: Batch,
    /// Objects to remove.
    #[serde(default)]
    pub withdraw: Withdrawal,
}

/// Reason why a text is not a valid release note.
#[derive(Debug)]
pub struct NoteError {
    path: String,
    cause: serde_json::Error,
}

impl fmt::Display for NoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "release note is malformed at {}", self.path)
    }
}

impl Error for NoteError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.cause)
    }
}

/// Parses a note from its JSON text.
///
/// # Errors
///
/// [`NoteError`] with the path of the malformed field and the cause.
pub fn parse(text: &str) -> Result<Note, NoteError> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|e| NoteError {
        path: e.path().to_string(),
        cause: e.into_inner(),
    })
}
