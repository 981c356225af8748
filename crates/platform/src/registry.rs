//! A registry: the newest values only, read as a whole.

use futures::future::BoxFuture;
use note::{Listing, Orders};

use crate::PlatformError;

/// All that a registry holds.
#[derive(Debug)]
pub struct RegistryContents {
    /// The backend servers.
    pub listing: Listing,
    /// What operators want. [`PlatformError::NotFound`] before the first configuration.
    pub orders: Result<Orders, PlatformError>,
}

/// A registry, as far as the system needs it.
pub trait Registry: Send + Sync {
    /// Reads all of it.
    fn read(&self) -> BoxFuture<'_, Result<RegistryContents, PlatformError>>;
}
