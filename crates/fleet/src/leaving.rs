//! Backend servers that have said in a response that they are leaving.
//!
//! A backend server may say so to its callers long before the platform lists it, or while the platform
//! is down. Nodes tell each other, so that all of them stop sending requests to it. An incarnation
//! that leaves doesn't come back, so what is known only grows, and merging it needs no order.

use std::collections::BTreeMap;

use types::{Boot, ServerId};

/// Maximum number of backend servers that are remembered. The oldest is forgotten first.
const MAX_SERVERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Entry {
    incarnation: Boot,
    /// Position in the order in which the entries became known.
    order: u64,
}

/// The latest incarnation of each backend server that has said that it is leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    servers: BTreeMap<ServerId, Entry>,
    next_order: u64,
}

impl LeavingServers {
    /// Adds an incarnation of a backend server. Returns whether it is new.
    pub fn insert(&mut self, id: ServerId, incarnation: Boot) -> bool {
        let known = self.servers.get(&id);
        if known.is_some_and(|entry| entry.incarnation >= incarnation) {
            return false;
        }
        if known.is_none() && self.servers.len() >= MAX_SERVERS {
            self.forget_oldest();
        }
        let order = self.next_order;
        self.next_order += 1;
        self.servers.insert(id, Entry { incarnation, order });
        true
    }

    /// Whether this incarnation of a backend server has said that it is leaving.
    pub fn contains(&self, id: &ServerId, incarnation: Boot) -> bool {
        let entry = self.servers.get(id);
        entry.is_some_and(|entry| entry.incarnation == incarnation)
    }

    /// All of them, those that became known last first.
    pub fn latest(&self) -> Vec<(&ServerId, Boot)> {
        let mut all: Vec<_> = self.servers.iter().collect();
        all.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.order));
        let known = all.into_iter();
        known.map(|(id, entry)| (id, entry.incarnation)).collect()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.servers.iter().min_by_key(|(_, entry)| entry.order);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.servers.remove(&id);
        }
    }
}
