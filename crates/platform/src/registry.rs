//! Registry that publishes only current values.

use futures::future::BoxFuture;
use note::{Listing, OperatorConfig};
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

/// Result of a read of the operators' configuration.
#[derive(Debug)]
pub enum ConfigRead {
    /// The configuration hasn't changed up to this stamp.
    Unchanged(Stamp),
    /// The present configuration, with the stamp in `checked` and without zones.
    Changed(Box<OperatorConfig>),
}

/// Reader of a registry.
pub trait Registry: Send + Sync {
    /// Reads the backend servers and the zones out of service.
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>>;

    /// Reads the operators' configuration, which may be large, if it has changed since `known`.
    ///
    /// Fails with [`PlatformError::NotFound`] before the first one is written.
    fn config(&self, known: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>>;
}
