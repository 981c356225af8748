//! A registry: the newest values only, read as a whole.

use futures::future::BoxFuture;
use note::{Listing, OperatorConfig};

use crate::PlatformError;

/// All that a registry holds.
#[derive(Debug)]
pub struct Contents {
    /// The backend servers.
    pub listing: Listing,
    /// What operators want. [`PlatformError::Absent`] before the first configuration.
    pub orders: Result<OperatorConfig, PlatformError>,
}

/// A registry, as far as the system needs it.
pub trait Registry: Send + Sync {
    /// Reads all of it.
    fn read(&self) -> BoxFuture<'_, Result<Contents, PlatformError>>;
}
