//! Text of a release note.

use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{Revision, RouteId, ServerId, ServiceId, ZoneId};

use crate::state::{HostRoute, Server, Service, Zone};

/// Objects that a note adds, or their new form.
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
}

/// Names of objects that a note withdraws.
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
}

/// A release note, as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Who wrote it.
    pub author: SmolStr,
    /// Last revision that the author had seen. What changed later clashes with this note.
    pub after: Revision,
    /// New objects.
    #[serde(default)]
    pub add: Batch,
    /// Objects that get a new form.
    #[serde(default)]
    pub change: Batch,
    /// Objects that go.
    #[serde(default)]
    pub withdraw: Withdrawal,
}

/// Why a text is no release note.
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

/// Reads a note from its JSON text.
///
/// # Errors
///
/// [`NoteError`] names the place and the cause.
pub fn parse(text: &str) -> Result<Note, NoteError> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader).map_err(|e| NoteError {
        path: e.path().to_string(),
        cause: e.into_inner(),
    })
}
