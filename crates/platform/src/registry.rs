//! A registry: the newest values only, read as a whole.

use futures::future::BoxFuture;
use note::{Listing, Orders};
use types::{Revision, Span};

use crate::PlatformError;

/// What a waiting read of the orders learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Revision up to which the registry told all changes.
    pub revision: Revision,
    /// Whether anything changed.
    pub happened: bool,
}

/// A registry, as far as the system needs it.
pub trait Registry: Send + Sync {
    /// Reads the list of backend servers.
    fn listing(&self) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Reads what operators want. [`PlatformError::Absent`] before the first configuration.
    fn orders(&self) -> BoxFuture<'_, Result<Orders, PlatformError>>;

    /// Waits until what operators want has changed after a revision, for `wait` at most.
    fn changed(&self, after: Revision, wait: Span) -> BoxFuture<'_, Result<Change, PlatformError>>;
}
