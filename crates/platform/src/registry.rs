//! Registry that publishes only current values.

use std::fmt;

use futures::future::BoxFuture;
use note::{Fault, Listing, OperatorConfig};
use serde::Serialize;
use smol_str::SmolStr;
use types::{Stamp, ZoneId};

use crate::PlatformError;

/// What changes often in a registry, and is small.
#[derive(Debug, Default)]
pub struct RegistryEntries {
    /// Backend servers. Its stamp is that of all entries.
    pub listing: Listing,
    /// Availability zones that operators take out of service.
    pub zones_out: Vec<ZoneId>,
    /// Items that can't be read or used, ordered by key. The others hold without them.
    pub unusable: Vec<UnusableItem>,
}

/// An item that can't be read or used.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnusableItem {
    /// Its key, empty if that can't be read.
    pub key: SmolStr,
    /// What is wrong with it.
    pub reason: SmolStr,
}

impl fmt::Display for UnusableItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// Result of a read of the operators' configuration.
#[derive(Debug)]
pub enum ConfigRead {
    /// The configuration hasn't changed up to this stamp.
    Unchanged(Stamp),
    /// The present configuration, with the stamp in `checked` and without zones.
    Changed(Box<OperatorConfig>),
    /// At least one version is invalid.
    Refused(Box<RefusedRead>),
}

/// Result of a read in which a version of the configuration is invalid.
#[derive(Debug)]
pub struct RefusedRead {
    /// Stamp up to which the configuration has been read.
    pub checked: Stamp,
    /// The invalid versions.
    pub refused: Vec<RefusedVersion>,
    /// The newest valid version among those read, as in [`ConfigRead::Changed`].
    pub valid: Option<OperatorConfig>,
}

/// An invalid version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RefusedVersion {
    /// Its number, `None` if that can't be read.
    pub version: Option<u64>,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
}

/// Reader of a registry.
pub trait Registry: Send + Sync {
    /// Reads the backend servers and the zones out of service.
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>>;

    /// Reads the operators' configuration, which may be large, if it has changed since `known`.
    ///
    /// Only valid ones are returned, others as refused. Fails with [`PlatformError::NotFound`] before
    /// the first one is written.
    fn config(&self, known: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>>;
}
