//! Backend servers that have said in a response that they are leaving.
//!
//! A backend server may say so to its callers long before the platform lists it, or while the platform
//! is down. Nodes tell each other, so that all of them stop sending requests to it. An incarnation
//! that leaves doesn't come back, so the set only grows, and merging two sets is their union.

use std::collections::VecDeque;

use types::{Boot, ServerId};

/// Maximum number of incarnations that are remembered. The oldest is forgotten first.
const MAX_SERVERS: usize = 1_024;

/// Incarnations of backend servers that have said that they are leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    /// In the order in which they became known.
    servers: VecDeque<(ServerId, Boot)>,
}

impl LeavingServers {
    /// Adds an incarnation of a backend server. Returns whether it is new.
    pub fn insert(&mut self, id: ServerId, incarnation: Boot) -> bool {
        if self.contains(&id, incarnation) {
            return false;
        }
        if self.servers.len() >= MAX_SERVERS {
            self.servers.pop_front();
        }
        self.servers.push_back((id, incarnation));
        true
    }

    /// Whether this incarnation of a backend server has said that it is leaving.
    pub fn contains(&self, id: &ServerId, incarnation: Boot) -> bool {
        let is_same = |(known, boot): &(ServerId, Boot)| known == id && *boot == incarnation;
        self.servers.iter().any(is_same)
    }

    /// All of them, those that became known last first.
    pub fn latest(&self) -> impl Iterator<Item = &(ServerId, Boot)> {
        self.servers.iter().rev()
    }
}
