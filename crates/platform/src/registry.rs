//! Registry that publishes only current values.

use futures::future::BoxFuture;
use note::{Listing, OperatorConfig};
use types::{Stamp, ZoneId};

use crate::PlatformError;

/// What changes often in a registry, and is small.
#[derive(Debug)]
pub struct RegistryEntries {
    /// Backend servers. Its stamp is that of all entries.
    pub listing: Listing,
    /// Availability zones that operators take out of service.
    pub zones_out: Vec<ZoneId>,
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
