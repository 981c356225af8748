//! Read-only access to the platform's configuration service.
//!
//! A platform has one of two interfaces. [`Platform`] serves the release notes in a total order,
//! and a delayed list of hosts. [`Registry`] serves only current values: the backend servers and
//! the operators' configuration. The implementations of both use [`HttpClient`].
//!
//! Responses may be stale and the service may be down, so users of this crate apply a read only if
//! it is newer than what they have.

mod http;
mod registry;

use std::{collections::BTreeMap, error::Error, fmt, sync::Arc};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use types::{HostId, Revision, Stamp};

pub use http::{HttpClient, HttpPlatform, MAX_RESPONSE_BYTES};
pub use registry::UnusableItem;
pub use registry::{ConfigRead, RefusedRead, RefusedVersion, Registry, RegistryEntries};

/// Page of notes after a revision, limited by the service's maximum value size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NotePage {
    /// Revision of the service's newest note.
    pub head: Revision,
    /// Texts of the notes after the requested revision, in order.
    pub notes: Vec<Arc<str>>,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// Running.
    Live,
    /// Shutting down.
    Leaving,
}

/// The platform's list of hosts.
pub type HostList = BTreeMap<HostId, HostStatus>;

/// Error of a read from the platform.
#[derive(Debug)]
pub enum PlatformError {
    /// The HTTP client can't be built, or the request failed before a response arrived.
    Unreachable(reqwest::Error),
    /// The service responded with an error status, such as for too many requests.
    ErrorStatus {
        /// HTTP status.
        status: u16,
    },
    /// The response body could not be read to its end.
    Truncated(reqwest::Error),
    /// The response body exceeds the maximum size.
    TooLarge {
        /// The maximum, in bytes.
        limit: usize,
    },
    /// The response, or an item in it, can't be decoded.
    Decode {
        /// Path or key of the item.
        item: SmolStr,
        /// Decoding error.
        cause: serde_json::Error,
    },
    /// A header of the response has an invalid value.
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The era or the revision of a response is beyond what a registry may name.
    InvalidStamp {
        /// The stamp.
        stamp: Stamp,
    },
    /// The registry came back from an older copy again and again while it was read.
    EraChanged,
    /// A page names no key after which the next one begins.
    PageStalled {
        /// Key after which the page began.
        after: SmolStr,
    },
    /// The requested item doesn't exist.
    NotFound {
        /// Key of the item.
        item: SmolStr,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(_) => f.write_str("the request to the configuration service failed"),
            Self::ErrorStatus { status } => {
                write!(
                    f,
                    "the configuration service responded with status {status}"
                )
            }
            Self::Truncated(_) => {
                f.write_str("failed to read the configuration service's response")
            }
            Self::TooLarge { limit } => {
                write!(
                    f,
                    "the configuration service's response exceeds {limit} bytes"
                )
            }
            Self::Decode { item, .. } => write!(f, "failed to decode {item}"),
            Self::InvalidHeader { name } => write!(f, "invalid value in header {name}"),
            Self::InvalidStamp { stamp } => write!(f, "invalid era or revision {stamp}"),
            Self::EraChanged => f.write_str("the era of the registry changed during the read"),
            Self::PageStalled { after } => {
                write!(
                    f,
                    "the page after {after} doesn't show where the next one begins"
                )
            }
            Self::NotFound { item } => write!(f, "{item} not found"),
        }
    }
}

impl Error for PlatformError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreachable(cause) | Self::Truncated(cause) => Some(cause),
            Self::Decode { cause, .. } => Some(cause),
            Self::ErrorStatus { .. }
            | Self::TooLarge { .. }
            | Self::InvalidHeader { .. }
            | Self::InvalidStamp { .. }
            | Self::EraChanged
            | Self::PageStalled { .. }
            | Self::NotFound { .. } => None,
        }
    }
}

/// Reader of the release notes and the list of hosts.
pub trait Platform: Send + Sync {
    /// Reads one page of the notes that follow revision `after`.
    fn notes(&self, after: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>>;

    /// Reads the list of hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>>;
}
