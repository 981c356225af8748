//! How far a registry has been read.

use fleet::WatchStart;
use platform::{RefusedVersion, UnusableItem};
use types::{Moment, Stamp};

/// State of reading the registry since startup.
#[derive(Debug, Default)]
pub struct ReadProgress {
    /// Whether a read is in progress. A second one would only compete with it for the link.
    pub(super) reading: bool,
    /// Whether the registry was read completely at least once.
    pub(super) complete: bool,
    /// Whether the last read failed.
    pub(super) failing: bool,
    /// Items that could not be used in the last read.
    pub(super) unusable: Vec<UnusableItem>,
    /// Where the next read of the configuration's changes starts.
    pub(super) watch: WatchStart,
    /// Version of the configuration that was refused last.
    pub(super) refused: Option<RefusedVersion>,
    /// Error of the last read of the configuration, as logged.
    pub(super) config_error: Option<String>,
}

impl ReadProgress {
    pub(super) fn unusable_items(&self) -> usize {
        self.unusable.len()
    }

    /// Stamp after which changes of the configuration are read at `now`.
    pub(super) fn known_config(&self, now: Moment) -> Option<Stamp> {
        self.watch.at(now)
    }

    pub(super) fn refused(&self) -> Option<&RefusedVersion> {
        self.refused.as_ref()
    }
}
