//! Settings of a node, parsed from JSON and validated.

use std::{error::Error, fmt, fs, io, net::SocketAddr, path::Path};

use log::LevelFilter;
use route::{ByteCost, PolicyKind};
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};
use smol_str::SmolStr;
use types::{HostId, Rate, ServiceId, Size, Span, ZoneId, check_header_text};

/// Allowed range of the graceful shutdown timeout, in milliseconds.
const STOP_MS_RANGE: (u64, u64) = (100, 600_000);
/// Largest allowed read budget, in reads per second.
const MAX_READS_PER_SECOND: f64 = 2_000.0;
/// Longest allowed lease on a view, in milliseconds.
const MAX_LEASE_MS: u64 = 600_000;

/// Shortest allowed lease on the teams' keys: reads of changes prove what was in force a second before.
const MIN_KEY_LEASE_MS: u64 = 2_000;

/// Protocols of the platform and of callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Conventions {
    /// Release notes, and amaranthyoke's own headers.
    #[default]
    Native,
    /// The registry and the headers of the users' platform.
    Site,
}

/// How requests leave the availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneMode {
    /// Each attempt goes to the backend server that looks fastest, with a fixed advantage for those
    /// of the node's zone.
    #[default]
    Nearest,
    /// The part that leaves is computed from the load of the zones, see [`route::Spill`].
    Shares,
    /// As [`Shares`](Self::Shares) while round trips to other zones are measured to take longer than
    /// [`Nearest`](Self::Nearest) assumes, else as that.
    Auto,
}

/// Endpoint that reports whether a node accepts requests from callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Readiness {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Path of the endpoint. It answers with status 200 while the node accepts requests, else with
    /// 503.
    pub path: String,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host that the node runs on, under the name that release notes use.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for other nodes.
    pub node: SocketAddr,
    /// Address to listen on for the admin API.
    pub admin: SocketAddr,
    /// Base URL of the platform's configuration service.
    pub platform: String,
    /// Protocols of the platform and of callers.
    #[serde(default)]
    pub conventions: Conventions,
    /// Service of the backend server beside the node. If set, calls made by that backend server
    /// carry it in a header.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Readiness endpoint for callers, in addition to the one of the admin API.
    #[serde(default)]
    pub readiness: Option<Readiness>,
    /// Peers to contact in addition to the nodes in the view, which is empty at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Reads of the configuration service that all nodes together may make, per second.
    #[serde(default = "default_reads")]
    pub reads: Rate,
    /// Retries of one service that all nodes together may send beyond the ratio of retries to first
    /// attempts. Without this setting each node has a fixed retry reserve of its own.
    #[serde(default)]
    pub repeats: Option<f64>,
    /// Factor applied to the request rate that the platform configures for backend servers during
    /// their warm-up.
    #[serde(default = "default_cold_over")]
    pub cold_over: f64,
    /// Whether backend servers may reset connections when they are full. Gates then learn their room from resets, and
    /// at most half of the retries are of requests that may have run. A server that resets connections for
    /// another reason, over seconds, is taken for full.
    #[serde(default)]
    pub full_resets: bool,
    /// Whether requests that backend servers send in the course of others may wait a moment at a full gate, where they
    /// get one of its next slots, rather than ask other gates at once.
    #[serde(default)]
    pub nested_waits: bool,
    /// Size in bytes from which the body of a request on a bulk route is only sent to a gate that has admitted
    /// the request.
    #[serde(default = "default_offer")]
    pub offer_bytes: Size,
    /// Duration of the lease on a view after a successful comparison, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Longest time in milliseconds, or as text such as `5000ms` or `5s`, for which a node serves teams' keys since
    /// its configuration was last known to be current. Without it, keys are served while the view is.
    #[serde(default, deserialize_with = "optional_millis")]
    pub key_lease_ms: Option<u64>,
    /// Time in milliseconds for which a stopping node still accepts requests, so that callers can
    /// move away first.
    #[serde(default)]
    pub linger_ms: u64,
    /// Number of worker threads, by default one per core.
    #[serde(default)]
    pub threads: Option<usize>,
    /// Graceful shutdown timeout in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_ms: u64,
    /// Load balancing policy.
    #[serde(default)]
    pub policy: PolicyKind,
    /// How requests leave the availability zone.
    #[serde(default)]
    pub zones: ZoneMode,
    /// Milliseconds that callers would rather wait than have a megabyte pass between zones. Not with
    /// [`ZoneMode::Nearest`]. By default, latency alone decides.
    #[serde(default)]
    pub zone_cost: Option<ByteCost>,
    /// Least severe log level that is written.
    #[serde(default = "default_log")]
    pub log: LevelFilter,
}

fn default_reads() -> Rate {
    Rate::new(100.0).expect("the default is a valid rate")
}

/// Leaves the configured rate unchanged.
fn default_cold_over() -> f64 {
    1.0
}

/// A body of this size takes 13 ms of a link of 10 Mbit/s, about as long as the round trip of an offer between
/// availability zones.
fn default_offer() -> Size {
    Size(16 << 10)
}

/// Short enough to take a zone out of service within the guaranteed time.
fn default_lease() -> u64 {
    3_000
}

/// Parses whole `ms` or `s` to milliseconds.
fn parse_millis(text: &str) -> Option<u64> {
    match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(ms), _) => ms.parse().ok(),
        (None, Some(seconds)) => seconds.parse().ok().and_then(|s: u64| s.checked_mul(1_000)),
        (None, None) => None,
    }
}

/// Deserializes milliseconds, or a text with a unit.
fn optional_millis<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Millis {
        Number(u64),
        Text(SmolStr),
    }
    match Option::<Millis>::deserialize(from)? {
        None => Ok(None),
        Some(Millis::Number(ms)) => Ok(Some(ms)),
        Some(Millis::Text(text)) => match parse_millis(&text) {
            Some(ms) => Ok(Some(ms)),
            None => Err(D::Error::custom("expected whole ms or s")),
        },
    }
}

fn default_stop() -> u64 {
    10_000
}

fn default_log() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Returns the duration of the lease on a view.
    pub fn lease(&self) -> Span {
        Span::from_millis(self.lease_ms)
    }

    /// Sets the duration of the lease on the teams' keys to a text such as `5s`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::InvalidValue`] if the text isn't a time, or is out of range.
    pub fn with_key_lease(self, text: &str) -> Result<Self, SettingsError> {
        let settings = Self {
            key_lease_ms: Some(parse_millis(text).unwrap_or_default()),
            ..self
        };
        validate(&settings)?;
        Ok(settings)
    }

    /// Returns the duration of the lease on the teams' keys.
    pub fn key_lease(&self) -> Option<Span> {
        self.key_lease_ms.map(Span::from_millis)
    }

    /// Returns the time for which a stopping node still accepts requests.
    pub fn linger(&self) -> Span {
        Span::from_millis(self.linger_ms)
    }

    /// Returns the cost of bytes between zones, `None` if no shares are computed.
    pub fn share_cost(&self) -> Option<ByteCost> {
        match self.zones {
            ZoneMode::Nearest => None,
            ZoneMode::Shares | ZoneMode::Auto => Some(self.zone_cost.unwrap_or_default()),
        }
    }

    /// Returns the graceful shutdown timeout.
    pub fn stop_timeout(&self) -> Span {
        Span::from_millis(self.stop_ms)
    }
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The text isn't JSON, or a field is unknown, missing or of the wrong type.
    Malformed {
        /// Path of the field.
        field: String,
        /// The parser's error.
        cause: serde_json::Error,
    },
    /// A field has the right type but a value that isn't allowed.
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(_) => f.write_str("failed to read the settings file"),
            Self::Malformed { field, .. } => write!(f, "failed to parse settings at {field}"),
            Self::InvalidValue {
                field,
                value,
                allowed,
            } => {
                write!(f, "invalid setting {field} = {value}, expected {allowed}")
            }
        }
    }
}

impl Error for SettingsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreadable(cause) => Some(cause),
            Self::Malformed { cause, .. } => Some(cause),
            Self::InvalidValue { .. } => None,
        }
    }
}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] if the file can't be read, or as [`parse`].
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).map_err(SettingsError::Unreadable)?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
///
/// [`SettingsError`] with the field, and for an invalid value also the value and what is allowed.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    let settings =
        serde_path_to_error::deserialize(reader).map_err(|e| SettingsError::Malformed {
            field: e.path().to_string(),
            cause: e.into_inner(),
        })?;
    validate(&settings)?;
    Ok(settings)
}

fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let invalid = |field, value: &dyn fmt::Display, allowed| {
        Err(SettingsError::InvalidValue {
            field,
            value: value.to_string(),
            allowed,
        })
    };
    let s = settings;
    let reads = s.reads.per_second();
    let service = s.service.as_ref().map_or("none", ServiceId::as_str);
    match () {
        () if s.listen.port() == 0 => invalid("listen", &s.listen, "a port other than 0"),
        () if s.node.port() == 0 => invalid("node", &s.node, "a port other than 0"),
        () if s.admin.port() == 0 => invalid("admin", &s.admin, "a port other than 0"),
        () if s.node.ip().is_unspecified() => {
            invalid("node", &s.node, "an address that other nodes can reach")
        }
        () if s.listen == s.node || s.listen == s.admin || s.node == s.admin => invalid(
            "listen, node and admin",
            &s.listen,
            "three different addresses",
        ),
        () if check_header_text(service).is_err() => invalid(
            "service",
            &format_args!("{service:?}"),
            "a name that a header can hold",
        ),
        () if !s.platform.starts_with("http://") => {
            invalid("platform", &s.platform, "a URL that starts with http://")
        }
        () if reads <= 0.0 || reads > MAX_READS_PER_SECOND => {
            invalid("reads", &s.reads, "more than 0 and at most 2000 per second")
        }
        () if s.stop_ms < STOP_MS_RANGE.0 || s.stop_ms > STOP_MS_RANGE.1 => {
            invalid("stop_ms", &s.stop_ms, "100 to 600000")
        }
        () if s.lease_ms == 0 || s.lease_ms > MAX_LEASE_MS => {
            invalid("lease_ms", &s.lease_ms, "1 to 600000")
        }
        () if s
            .key_lease_ms
            .is_some_and(|ms| !(MIN_KEY_LEASE_MS..=MAX_LEASE_MS).contains(&ms)) =>
        {
            invalid(
                "key_lease_ms",
                &s.key_lease_ms.unwrap_or_default(),
                "2000 to 600000",
            )
        }
        () if s.linger_ms >= s.stop_ms => invalid("linger_ms", &s.linger_ms, "less than stop_ms"),
        () if s.threads == Some(0) => invalid("threads", &0, "1 or more"),
        () if s.repeats.is_some_and(|r| !r.is_finite() || r < 0.0) => {
            invalid("repeats", &s.repeats.unwrap_or_default(), "0 or more")
        }
        () if s.zone_cost.is_some_and(|c| !c.0.is_finite() || c.0 < 0.0) => {
            invalid("zone_cost", &s.zone_cost.unwrap_or_default(), "0 or more")
        }
        () if s.zone_cost.is_some() && s.zones == ZoneMode::Nearest => invalid(
            "zone_cost",
            &s.zone_cost.unwrap_or_default(),
            "no value unless zones is shares or auto",
        ),
        () if !s.cold_over.is_finite() || s.cold_over < 1.0 => {
            invalid("cold_over", &s.cold_over, "1 or more")
        }
        () => match &s.readiness {
            Some(r) if !r.path.starts_with('/') => {
                invalid("readiness.path", &r.path, "a path that starts with /")
            }
            Some(r) if [s.listen, s.node, s.admin].contains(&r.listen) => invalid(
                "readiness.listen",
                &r.listen,
                "an address that no other setting uses",
            ),
            _ => Ok(()),
        },
    }
}
