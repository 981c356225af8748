//! A registry: the newest values only, read as a whole.

use std::sync::Arc;

use futures::future::BoxFuture;
use note::{Listing, Orders};
use types::Span;

use crate::PlatformError;

/// A registry, as far as the system needs it.
pub trait Registry: Send + Sync {
    /// Reads the list of backend servers.
    fn listing(&self) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Reads what operators want. [`PlatformError::Absent`] before the first configuration.
    fn orders(&self) -> BoxFuture<'_, Result<Orders, PlatformError>>;

    /// Waits until what operators want differs from `orders`, for `wait` at most. Returns what they want
    /// now, which is the same under a newer revision if nothing changed.
    fn next_orders(
        &self,
        orders: Arc<Orders>,
        wait: Span,
    ) -> BoxFuture<'_, Result<Orders, PlatformError>>;
}
