//! Where the view comes from, and what settings say about spreading it.

use std::{net::SocketAddr, sync::Arc};

use fleet::{Digests, History, Snapshot};
use platform::{Platform, Registry};
use types::{Moment, Rate, Span};

use super::registry::Reading;

/// Where the view comes from, and what it is made of.
pub(crate) enum Source {
    /// A history of release notes.
    Notes {
        /// Who publishes them.
        platform: Arc<dyn Platform>,
        /// The notes so far.
        history: History,
    },
    /// Newest values only.
    Registry {
        /// Who keeps them.
        registry: Arc<dyn Registry>,
        /// The newest values so far.
        snapshot: Box<Snapshot>,
        /// How far reading has come.
        reading: Reading,
    },
}

impl Source {
    /// A platform that publishes release notes.
    pub(crate) fn notes(platform: Arc<dyn Platform>) -> Self {
        Self::Notes {
            platform,
            history: History::default(),
        }
    }

    /// A platform that keeps newest values.
    pub(crate) fn registry(registry: Arc<dyn Registry>) -> Self {
        Self::Registry {
            registry,
            snapshot: Box::default(),
            reading: Reading::default(),
        }
    }

    pub(super) fn digests(&self) -> Digests {
        match self {
            Self::Notes { .. } => Digests::default(),
            Self::Registry { snapshot, .. } => snapshot.digests(),
        }
    }

    /// When the view next changes by itself, if it does.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        match self {
            Self::Notes { .. } => None,
            Self::Registry { snapshot, .. } => snapshot.next_expiry(),
        }
    }

    pub(super) fn view(&self) -> &Arc<note::View> {
        match self {
            Self::Notes { history, .. } => history.view(),
            Self::Registry { snapshot, .. } => snapshot.view(),
        }
    }
}

/// What settings say about spreading.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Nodes to ask while no other is known.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Reads of the platform that all nodes together may make.
    pub(crate) reads: Rate,
    /// Time after a comparison for which a view may be acted on.
    pub(crate) lease: Span,
}
