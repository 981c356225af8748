//! Registry that publishes only current values and is read as a whole.

use futures::future::BoxFuture;
use note::{Listing, OperatorConfig};

use crate::PlatformError;

/// Contents of a registry.
#[derive(Debug)]
pub struct RegistryContents {
    /// Backend servers.
    pub listing: Listing,
    /// Operators' configuration, or [`PlatformError::NotFound`] before the first one is written.
    pub operator_config: Result<OperatorConfig, PlatformError>,
}

/// Reader of a registry.
pub trait Registry: Send + Sync {
    /// Reads the whole registry.
    fn read(&self) -> BoxFuture<'_, Result<RegistryContents, PlatformError>>;
}
