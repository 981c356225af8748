//! What the platform publishes, and the client that reads it.
//!
//! The platform's configuration service can only be read. It serves the release notes in one order,
//! and a list of hosts that lags. Both may be old, and the service may be down: callers treat every
//! read as a hint that may only move them forward.
//!
//! A platform publishes in one of two forms. [`Platform`] serves release notes, an ordered history.
//! [`Registry`] serves newest values only: which backend servers there are, and what operators want.
//! Both are read through one [`HttpClient`].

mod http;
mod registry;

use std::{collections::BTreeMap, error::Error, fmt, sync::Arc};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{HostId, Revision};

pub use http::{HttpClient, HttpPlatform};
pub use registry::{Registry, RegistryContents};

/// Notes after a revision, as many as fit one value of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NotePage {
    /// Revision of the newest note that the service knows.
    pub head: Revision,
    /// Texts of the notes that follow the revision that was asked for, in order.
    pub notes: Vec<Arc<str>>,
}

/// State of a host as the platform's list shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// Live.
    Live,
    /// About to be stopped.
    Leaving,
}

/// The platform's list of hosts.
pub type HostList = BTreeMap<HostId, HostStatus>;

/// Why the platform could not be read.
#[derive(Debug)]
pub enum PlatformError {
    /// No answer came.
    Unreachable(reqwest::Error),
    /// The service refused, such as for too many reads.
    ErrorStatus {
        /// The HTTP status.
        status: u16,
    },
    /// The answer's body broke off.
    Truncated(reqwest::Error),
    /// The answer, or an item in it, can't be understood.
    Decode {
        /// What was read.
        item: SmolStr,
        /// What is wrong with it.
        cause: serde_json::Error,
    },
    /// What was asked for isn't there.
    NotFound {
        /// What was asked for.
        item: SmolStr,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(_) => f.write_str("the configuration service gave no answer"),
            Self::ErrorStatus { status } => {
                write!(f, "the configuration service refused with status {status}")
            }
            Self::Truncated(_) => f.write_str("the configuration service's answer is malformed"),
            Self::Decode { item, .. } => write!(f, "{item} can't be understood"),
            Self::NotFound { item } => write!(f, "{item} isn't there"),
        }
    }
}

impl Error for PlatformError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreachable(cause) | Self::Truncated(cause) => Some(cause),
            Self::Decode { cause, .. } => Some(cause),
            Self::ErrorStatus { .. } | Self::NotFound { .. } => None,
        }
    }
}

/// The platform, as far as the system needs it.
pub trait Platform: Send + Sync {
    /// Reads the notes after `after`.
    fn notes(&self, after: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>>;

    /// Reads the list of hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>>;
}
