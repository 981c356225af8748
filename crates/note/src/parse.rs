//! The JSON format of release notes.

use std::{error::Error, fmt};

use serde::{Deserialize, Serialize, de::Error as _};
use smol_str::{SmolStr, format_smolstr};
use types::{IdError, Revision, RouteId, ServerId, ServiceId, TeamId, ZoneId};

use crate::{
    state::{HostRoute, Server, Service, WeightedService, Zone},
    team::Team,
};

/// Maximum length of an identifier in a note.
const MAX_ID_BYTES: usize = 63;

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
/// Identifiers in notes have at most 63 lower-case letters, digits, `-` and `.`, so that operators can type them
/// anywhere. Those in a registry are chosen by others, and may be any text that their types allow.
///
/// # Errors
///
/// [`NoteError`] with the path of the malformed field and the cause.
pub fn parse(text: &str) -> Result<Note, NoteError> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let note: Note = serde_path_to_error::deserialize(deserializer).map_err(|e| NoteError {
        path: e.path().to_string(),
        cause: e.into_inner(),
    })?;
    match invalid_id(&note) {
        None => Ok(note),
        Some((path, error)) => Err(NoteError {
            path: path.into(),
            cause: serde_json::Error::custom(error),
        }),
    }
}

fn check_id(text: &str) -> Result<(), IdError> {
    let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        _ if text.is_empty() => Err(IdError::Empty),
        _ if text.len() > MAX_ID_BYTES => Err(IdError::TooLong {
            bytes: text.len(),
            max: MAX_ID_BYTES,
        }),
        Some(found) => Err(IdError::InvalidChar { found }),
        None => Ok(()),
    }
}

/// The first identifier that a note may not have, with its path.
fn invalid_id(note: &Note) -> Option<(SmolStr, IdError)> {
    let batches = [("add", &note.add), ("change", &note.change)];
    let ids = batches.into_iter().flat_map(|(action, batch)| {
        let ids = batch.ids().into_iter();
        ids.map(move |(path, id)| (format_smolstr!("{action}.{path}"), id))
    });
    let withdrawn = note.withdraw.ids().into_iter();
    let withdrawn = withdrawn.map(|(path, id)| (format_smolstr!("withdraw.{path}"), id));
    ids.chain(withdrawn)
        .find_map(|(path, id)| check_id(id).err().map(|error| (path, error)))
}

impl Batch {
    /// All identifiers with their paths.
    fn ids(&self) -> Vec<(SmolStr, &str)> {
        let mut ids = Vec::new();
        for (index, zone) in self.zones.iter().enumerate() {
            ids.push((format_smolstr!("zones[{index}].id"), zone.id.as_str()));
        }
        for (index, service) in self.services.iter().enumerate() {
            let path = format_smolstr!("services[{index}].id");
            ids.push((path, service.id.as_str()));
        }
        for (index, server) in self.servers.iter().enumerate() {
            let fields = [
                ("id", server.id.as_str()),
                ("service", server.service.as_str()),
                ("zone", server.zone.as_str()),
                ("host", server.host.as_str()),
            ];
            let place = |field| format_smolstr!("servers[{index}].{field}");
            ids.extend(fields.map(|(field, id)| (place(field), id)));
        }
        for (index, route) in self.routes.iter().enumerate() {
            ids.push((format_smolstr!("routes[{index}].id"), route.id.as_str()));
            for (part, WeightedService { service, .. }) in route.parts.iter().enumerate() {
                let path = format_smolstr!("routes[{index}].parts[{part}].service");
                ids.push((path, service.as_str()));
            }
        }
        for (index, team) in self.teams.iter().enumerate() {
            ids.push((format_smolstr!("teams[{index}].id"), team.id.as_str()));
        }
        ids
    }
}

impl Withdrawal {
    /// All identifiers with their paths.
    fn ids(&self) -> Vec<(SmolStr, &str)> {
        let zones = self.zones.iter().map(ZoneId::as_str).enumerate();
        let services = self.services.iter().map(ServiceId::as_str).enumerate();
        let servers = self.servers.iter().map(ServerId::as_str).enumerate();
        let routes = self.routes.iter().map(RouteId::as_str).enumerate();
        let teams = self.teams.iter().map(TeamId::as_str).enumerate();
        let ids = zones.map(|(index, id)| (format_smolstr!("zones[{index}]"), id));
        let ids = ids.chain(services.map(|(index, id)| (format_smolstr!("services[{index}]"), id)));
        let ids = ids.chain(servers.map(|(index, id)| (format_smolstr!("servers[{index}]"), id)));
        let ids = ids.chain(routes.map(|(index, id)| (format_smolstr!("routes[{index}]"), id)));
        let ids = ids.chain(teams.map(|(index, id)| (format_smolstr!("teams[{index}]"), id)));
        ids.collect()
    }
}
