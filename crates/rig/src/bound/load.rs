//! A load and its servers, as read from a file.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use types::{Rate, RouteId, ServiceId, Slots, ZoneId};

/// Nested calls deeper than this are taken for a cycle.
const MAX_DEPTH: u32 = 8;

/// A load, its servers and what happens to both. Times are in milliseconds from the
/// first arrival.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Time for which requests arrive.
    pub duration_ms: u64,
    /// Length of the windows in which capacity is counted.
    #[serde(default = "default_window_ms")]
    pub window_ms: u64,
    /// Services and their servers.
    pub services: BTreeMap<ServiceId, Service>,
    /// Kinds of requests, nested ones too.
    pub kinds: BTreeMap<RouteId, Kind>,
    /// Callers' requests.
    pub arrivals: Vec<Arrivals>,
    /// What changes the load or the servers for a time.
    #[serde(default)]
    pub events: Vec<Event>,
}

fn default_window_ms() -> u64 {
    100
}

/// Servers of one service, all alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one server runs at a time.
    pub slots: Slots,
    /// Numbers of servers by zone.
    pub servers: BTreeMap<ZoneId, u32>,
    /// What slows a server that runs many requests.
    pub knee: Option<Knee>,
    /// Slow periods that some of the servers are in at any time.
    pub spells: Option<Slowdown>,
    /// What a server can serve that has just started.
    pub cold: Option<Cold>,
}

/// Slowdown of a server by the number of requests that it runs.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// Share of the slots up to which nothing is slowed.
    pub share: f64,
    /// Slowdown with all slots in use.
    pub slowdown: f64,
}

/// Slowdown of a share of the servers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// Share of the servers.
    pub share: f64,
    /// Factor by which their work takes longer.
    pub slowdown: f64,
}

/// What a cold server can serve.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor by which its work takes longer.
    pub slowdown: f64,
    /// Requests a second that it may be sent.
    pub starts: Rate,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Services that can serve it.
    pub services: Vec<ServiceId>,
    /// Mean work of a run, without its nested calls.
    pub work_ms: f64,
    /// Time from arrival in which an answer has its full worth.
    #[serde(default)]
    pub objective_ms: u64,
    /// Time from arrival after which an answer is worth nothing.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Worth of an answer within the objective.
    #[serde(default)]
    pub worth: f64,
    /// Worth of a later answer.
    #[serde(default)]
    pub late_worth: f64,
    /// The requests by how much work they are, with that of their nested calls.
    #[serde(default = "default_parts")]
    pub parts: Vec<Part>,
    /// Nested calls of a run.
    #[serde(default)]
    pub nested: Vec<Nested>,
}

fn default_parts() -> Vec<Part> {
    vec![Part {
        share: 1.0,
        factor: 1.0,
    }]
}

/// Requests of a kind that are about equally much work.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Share of the kind's requests.
    pub share: f64,
    /// The least work of one of them, as a factor of the mean.
    pub factor: f64,
}

/// Nested calls of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nested {
    /// Kind of the calls, which has one service.
    pub kind: RouteId,
    /// Mean number of calls of a run.
    pub count: f64,
    /// Mean number of times that a run waits for such calls; less than `count` if some are sent together.
    pub rounds: f64,
}

/// Requests of one kind, whose rate follows a sine wave.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Kind of the requests.
    pub kind: RouteId,
    /// Mean rate, without events.
    pub rate: Rate,
    /// Amplitude of the wave, as a share of the rate.
    #[serde(default)]
    pub swing: f64,
    /// Period of the wave.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// Phase of the wave at the first arrival, as a share of the period.
    #[serde(default)]
    pub phase: f64,
}

fn default_period_ms() -> u64 {
    1_000
}

/// A change for a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Begin of the change.
    pub from_ms: u64,
    /// End of the change.
    pub until_ms: u64,
    /// What changes.
    #[serde(flatten)]
    pub change: Change,
}

/// What an event changes.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// More requests of one kind, or of all.
    Surge {
        /// Kind of the requests.
        kind: Option<RouteId>,
        /// Factor of their rate.
        factor: f64,
    },
    /// The servers of a zone are to get nothing.
    Withdrawn {
        /// The zone.
        zone: ZoneId,
        /// Time from the order until it binds.
        #[serde(default)]
        grace_ms: u64,
    },
    /// A share of the servers has left.
    Gone {
        /// Service of the servers, or all of them.
        service: Option<ServiceId>,
        /// Share of the servers.
        share: f64,
    },
    /// A share of the servers is slow.
    Slow {
        /// Service of the servers, or all of them.
        service: Option<ServiceId>,
        /// Share of the servers.
        share: f64,
        /// Factor by which their work takes longer.
        slowdown: f64,
    },
    /// The servers of a zone are cold.
    Cold {
        /// The zone.
        zone: ZoneId,
    },
}

/// Fault of a load.
#[derive(Debug)]
pub enum LoadError {
    /// The file can't be read.
    File(PathBuf, io::Error),
    /// The file isn't a load.
    Json(PathBuf, serde_json::Error),
    /// A service isn't described.
    UnknownService(ServiceId),
    /// A kind isn't described.
    UnknownKind(RouteId),
    /// Requests of the kind call each other without end.
    Cycle(RouteId),
    /// A nested kind needs one service, and a caller's kind at least one.
    Services(RouteId),
    /// A window, a period, a kind's work or a slowdown is zero.
    Zero(&'static str),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, cause) => write!(f, "failed to read {}: {cause}", path.display()),
            Self::Json(path, cause) => write!(f, "{} is not a load: {cause}", path.display()),
            Self::UnknownService(service) => write!(f, "service {service} is not described"),
            Self::UnknownKind(kind) => write!(f, "kind {kind} is not described"),
            Self::Cycle(kind) => write!(f, "requests of kind {kind} call each other"),
            Self::Services(kind) => write!(f, "kind {kind} has too few or too many services"),
            Self::Zero(field) => write!(f, "{field} must be above zero"),
        }
    }
}

impl Error for LoadError {}

impl Load {
    /// Reads a load from a JSON file.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the file can't be read, or holds no load or a faulty one.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(|cause| LoadError::File(path.into(), cause))?;
        let load: Self =
            serde_json::from_str(&text).map_err(|cause| LoadError::Json(path.into(), cause))?;
        load.check()?;
        Ok(load)
    }

    /// Checks that all names are known, that no calls are nested without end and that nothing is
    /// divided by zero.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn check(&self) -> Result<(), LoadError> {
        for arrivals in &self.arrivals {
            let kind = &arrivals.kind;
            self.check_kind(kind, 0)?;
            match arrivals.period_ms {
                0 => return Err(LoadError::Zero("period_ms")),
                _ if self.kinds[kind].services.is_empty() => {
                    return Err(LoadError::Services(kind.clone()));
                }
                _ => {}
            }
        }
        let services = self.services.values();
        let by_service = services.flat_map(|service| {
            let spells = service.spells.map(|spells| spells.slowdown);
            let cold = service.cold.map(|cold| cold.slowdown);
            [service.knee.map(|knee| knee.slowdown), spells, cold]
        });
        let by_event = self.events.iter().map(|event| match event.change {
            Change::Slow { slowdown, .. } => Some(slowdown),
            _ => None,
        });
        let mut slowdowns = by_service.chain(by_event).flatten();
        match self.window_ms {
            0 => Err(LoadError::Zero("window_ms")),
            _ if slowdowns.any(|slowdown| slowdown <= 0.0) => Err(LoadError::Zero("slowdown")),
            _ => Ok(()),
        }
    }

    fn check_kind(&self, name: &RouteId, depth: u32) -> Result<(), LoadError> {
        let Some(kind) = self.kinds.get(name) else {
            return Err(LoadError::UnknownKind(name.clone()));
        };
        let unknown = |s: &&ServiceId| !self.services.contains_key(*s);
        match kind.services.iter().find(unknown) {
            Some(service) => return Err(LoadError::UnknownService(service.clone())),
            None if depth > MAX_DEPTH => return Err(LoadError::Cycle(name.clone())),
            None if depth > 0 && kind.services.len() != 1 => {
                return Err(LoadError::Services(name.clone()));
            }
            None if kind.work_ms <= 0.0 => return Err(LoadError::Zero("work_ms")),
            None => {}
        }
        let mut nested = kind.nested.iter();
        nested.try_for_each(|call| self.check_kind(&call.kind, depth + 1))
    }
}
