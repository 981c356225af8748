//! When a node that starts may take work.

use std::{collections::BTreeSet, net::SocketAddr};

/// Follows what a starting node has asked for, until its view is no older than its peers'.
///
/// A node is ready once it has a view, nothing newer that it heard of is missing, all the peers it
/// asked have answered or failed, and either a ready peer answered or, if none did, the platform.
/// The platform alone doesn't do while peers answer, since it may serve an old revision. A node that
/// reaches nobody stays out of service: it knows of no backend server anyway.
#[derive(Debug, Default)]
pub struct Readiness {
    waiting: BTreeSet<SocketAddr>,
    asked: BTreeSet<SocketAddr>,
    peer: bool,
    platform: bool,
}

impl Readiness {
    /// Takes the peers to be asked now out of `neighbours`: those that weren't yet.
    pub fn take_unasked(&mut self, neighbours: &[SocketAddr]) -> Vec<SocketAddr> {
        let new: Vec<_> = neighbours
            .iter()
            .filter(|n| self.asked.insert(**n))
            .copied()
            .collect();
        self.waiting.extend(&new);
        new
    }

    /// A peer answered and is ready, or not.
    pub fn on_peer_answer(&mut self, peer: SocketAddr, ready: bool) {
        self.waiting.remove(&peer);
        self.peer |= ready;
    }

    /// A peer can't be reached.
    pub fn on_peer_failure(&mut self, peer: SocketAddr) {
        self.waiting.remove(&peer);
    }

    /// The platform was read up to its newest note.
    pub fn on_platform_read(&mut self) {
        self.platform = true;
    }

    /// Whether the node may take work. `behind` says that something newer is known of and missing.
    pub fn is_ready(&self, behind: bool) -> bool {
        self.waiting.is_empty() && !behind && (self.peer || self.platform)
    }
}
