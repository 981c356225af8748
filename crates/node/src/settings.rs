//! Settings of a node: read from JSON, every field checked.

use std::{error::Error, fmt, fs, io, net::SocketAddr, path::Path};

use log::LevelFilter;
use route::PolicyKind;
use serde::{Deserialize, Serialize};
use types::{HostId, Rate, Span, ZoneId};

/// Shortest and longest time that a graceful shutdown may be given, in milliseconds.
const STOP_MS_RANGE: (u64, u64) = (100, 600_000);
/// Largest read budget that makes sense, in reads per second.
const MOST_READS: f64 = 2_000.0;

/// Settings of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host that the node runs on, as release notes name it.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub node: SocketAddr,
    /// Address of the admin API, loopback unless set otherwise.
    pub admin: SocketAddr,
    /// Base URL of the configuration service.
    pub platform: String,
    /// Nodes to ask while no release note is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Reads of the configuration service per second that all nodes together may make.
    #[serde(default = "default_reads")]
    pub reads: Rate,
    /// Time in milliseconds that a graceful shutdown may take.
    #[serde(default = "default_stop")]
    pub stop_ms: u64,
    /// How backend servers are chosen.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Least severe level that is logged.
    #[serde(default = "default_log")]
    pub log: LevelFilter,
}

fn default_reads() -> Rate {
    Rate::new(100.0).expect("a constant in range")
}

fn default_stop() -> u64 {
    10_000
}

fn default_log() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Time that a graceful shutdown may take.
    pub fn stop(&self) -> Span {
        Span::from_millis(self.stop_ms)
    }
}

/// What is wrong with settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(io::Error),
    /// A field is unknown, missing or of the wrong kind.
    Malformed {
        /// The field.
        field: String,
        /// What is wrong and what is allowed.
        cause: serde_json::Error,
    },
    /// A field's value isn't allowed.
    Refused {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(_) => f.write_str("settings can't be read"),
            Self::Malformed { field, .. } => write!(f, "settings are malformed at {field}"),
            Self::Refused {
                field,
                value,
                allowed,
            } => {
                write!(f, "settings: {field} is {value}, allowed is {allowed}")
            }
        }
    }
}

impl Error for SettingsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreadable(cause) => Some(cause),
            Self::Malformed { cause, .. } => Some(cause),
            Self::Refused { .. } => None,
        }
    }
}

/// Reads and checks the settings in a file.
///
/// # Errors
///
/// [`SettingsError`] names the field, its value and what is allowed.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).map_err(SettingsError::Unreadable)?;
    parse(&text)
}

/// Reads and checks settings.
///
/// # Errors
///
/// [`SettingsError`] names the field, its value and what is allowed.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    let settings =
        serde_path_to_error::deserialize(reader).map_err(|e| SettingsError::Malformed {
            field: e.path().to_string(),
            cause: e.into_inner(),
        })?;
    check(&settings)?;
    Ok(settings)
}

fn check(settings: &Settings) -> Result<(), SettingsError> {
    let refuse = |field, value: &dyn fmt::Display, allowed| {
        Err(SettingsError::Refused {
            field,
            value: value.to_string(),
            allowed,
        })
    };
    let s = settings;
    let reads = s.reads.per_second();
    match () {
        () if s.listen.port() == 0 => refuse("listen", &s.listen, "a port other than 0"),
        () if s.node.port() == 0 => refuse("node", &s.node, "a port other than 0"),
        () if s.admin.port() == 0 => refuse("admin", &s.admin, "a port other than 0"),
        () if s.node.ip().is_unspecified() => {
            refuse("node", &s.node, "an address that other nodes can reach")
        }
        () if s.listen == s.node || s.listen == s.admin || s.node == s.admin => refuse(
            "listen, node and admin",
            &s.listen,
            "three different addresses",
        ),
        () if !s.platform.starts_with("http://") => {
            refuse("platform", &s.platform, "a URL that starts with http://")
        }
        () if reads <= 0.0 || reads > MOST_READS => {
            refuse("reads", &s.reads, "more than 0 and at most 2000 a second")
        }
        () if s.stop_ms < STOP_MS_RANGE.0 || s.stop_ms > STOP_MS_RANGE.1 => {
            refuse("stop_ms", &s.stop_ms, "100 to 600000")
        }
        () => Ok(()),
    }
}
