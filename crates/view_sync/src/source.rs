//! The platform that the view is read from, and the options of the synchronization.

use std::{net::SocketAddr, sync::Arc};

use fleet::{Digests, History, Snapshot};
use platform::{Platform, RefusedVersion, Registry};
use serde::Serialize;
use types::{Moment, Rate, Span, Stamp};

use super::progress::ReadProgress;

/// A platform, and the data read from it that the view is computed from.
pub enum Source {
    /// A platform that publishes a history of release notes.
    Notes {
        /// Client of the platform.
        platform: Arc<dyn Platform>,
        /// View and notes received so far.
        history: History,
    },
    /// A platform that stores only current values.
    Registry {
        /// Client of the registry.
        registry: Arc<dyn Registry>,
        /// Current values as last received.
        snapshot: Box<Snapshot>,
        /// State of reading the registry.
        progress: ReadProgress,
    },
}

impl Source {
    /// Returns the empty source of a platform that publishes release notes.
    pub fn notes(platform: Arc<dyn Platform>) -> Self {
        Self::Notes {
            platform,
            history: History::default(),
        }
    }

    /// Returns the empty source of a platform that stores only current values.
    pub fn registry(registry: Arc<dyn Registry>) -> Self {
        Self::Registry {
            registry,
            snapshot: Box::default(),
            progress: ReadProgress::default(),
        }
    }

    pub(super) fn digests(&self) -> Digests {
        match self {
            Self::Notes { .. } => Digests::default(),
            Self::Registry { snapshot, .. } => snapshot.digests(),
        }
    }

    /// Returns the next moment at which kept entries expire, `None` if there are none.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        match self {
            Self::Notes { .. } => None,
            Self::Registry { snapshot, .. } => snapshot.next_expiry(),
        }
    }

    /// Returns the stamp of the listing, `None` for a history of release notes.
    pub(super) fn stamp(&self) -> Option<Stamp> {
        match self {
            Self::Notes { .. } => None,
            Self::Registry { snapshot, .. } => Some(snapshot.stamp()),
        }
    }

    /// Returns the stamp up to which the configuration has been compared with the registry, zero if it
    /// hasn't been.
    pub(super) fn checked(&self) -> Stamp {
        match self {
            Self::Notes { .. } => Stamp::default(),
            Self::Registry { snapshot, .. } => snapshot.checked().unwrap_or_default(),
        }
    }

    /// Returns the version of the configuration in force: that of the operators, or the revision of the notes.
    pub(super) fn config_version(&self) -> u64 {
        match self {
            Self::Notes { history, .. } => history.view().revision.0,
            Self::Registry { snapshot, .. } => snapshot.config_version(),
        }
    }

    pub(super) fn dump(&self) -> Option<RegistryDump> {
        let Self::Registry {
            snapshot, progress, ..
        } = self
        else {
            return None;
        };
        Some(RegistryDump {
            version: snapshot.config_version(),
            checked: self.checked(),
            refused: progress.refused().cloned(),
            unusable: progress.unusable_items(),
        })
    }

    pub(super) fn view(&self) -> &Arc<note::View> {
        match self {
            Self::Notes { history, .. } => history.view(),
            Self::Registry { snapshot, .. } => snapshot.view(),
        }
    }
}

/// What a node read of a registry, as the admin API shows it.
#[derive(Debug, Clone, Serialize)]
pub struct RegistryDump {
    /// Version of the configuration in force, 0 if there is none yet.
    version: u64,
    /// Stamp up to which the configuration has been compared with the registry, by this node or a peer.
    checked: Stamp,
    /// Version that this node refused last.
    refused: Option<RefusedVersion>,
    /// Number of items that could not be used in the last read.
    unusable: usize,
}

/// Options of the synchronization.
#[derive(Debug, Clone)]
pub struct SyncOptions {
    /// Peers to contact in addition to the nodes in the view, which is empty at startup.
    pub seeds: Vec<SocketAddr>,
    /// Reads of the platform per unit of time that all nodes together may make.
    pub reads: Rate,
    /// Duration of the lease on a view after a successful comparison.
    pub lease: Span,
    /// Duration of the lease on the teams' keys, `None` if they are served while the view is.
    pub key_lease: Option<Span>,
}
