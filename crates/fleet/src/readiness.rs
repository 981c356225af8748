//! Readiness of a starting node.

use std::{collections::BTreeSet, net::SocketAddr};

/// Tracks whether the view of a starting node is as new as the views of its peers.
///
/// A node is ready when all peers that it asked have answered or failed, a ready peer or the
/// platform has answered, and all newer revisions that it heard of are fetched. The platform alone
/// is not enough while peers have yet to answer, since it may serve an old revision. A node that
/// reaches neither stays out of service, since it knows no backend servers.
#[derive(Debug, Default)]
pub struct Readiness {
    pending: BTreeSet<SocketAddr>,
    asked: BTreeSet<SocketAddr>,
    peer_ready: bool,
    platform_read: bool,
}

impl Readiness {
    /// Returns the peers of `neighbours` that were not asked before, and marks them as asked.
    pub fn take_unasked(&mut self, neighbours: &[SocketAddr]) -> Vec<SocketAddr> {
        let new: Vec<_> = neighbours
            .iter()
            .filter(|n| self.asked.insert(**n))
            .copied()
            .collect();
        self.pending.extend(&new);
        new
    }

    /// Handles the answer of a peer, which may itself be ready or not.
    pub fn on_peer_answer(&mut self, peer: SocketAddr, ready: bool) {
        self.pending.remove(&peer);
        self.peer_ready |= ready;
    }

    /// Handles a peer that is unreachable.
    pub fn on_peer_failure(&mut self, peer: SocketAddr) {
        self.pending.remove(&peer);
    }

    /// Handles a read of the platform up to its newest note.
    pub fn on_platform_read(&mut self) {
        self.platform_read = true;
    }

    /// Whether a ready peer, or else each peer that can be reached, has told what it knows. The platform
    /// doesn't know which requests end backend servers.
    pub fn has_heard_peers(&self) -> bool {
        self.peer_ready || self.pending.is_empty()
    }

    /// Whether the node may accept requests. `behind` means that a newer revision is known but not
    /// fetched.
    pub fn is_ready(&self, behind: bool) -> bool {
        self.pending.is_empty() && !behind && (self.peer_ready || self.platform_read)
    }
}
