//! What has reached the backend servers.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// A request as it reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Index of the server.
    pub server: usize,
    /// Identifier that the server had.
    pub server_id: String,
    /// When it arrived.
    pub at: Instant,
    /// Identifier of the request.
    pub id: String,
    /// Method.
    pub method: String,
    /// Target.
    pub path: String,
    /// Service of the host whose node took it, if it names one.
    pub caller: Option<String>,
    /// Teams that it names, in order.
    pub teams: Vec<String>,
    /// Whether it has a caller's key, in any header.
    pub has_key: bool,
    /// When the server began to work on it.
    pub run_at: Option<Instant>,
    /// Whether it was meant for another server.
    pub misdirected: bool,
    /// Status of the whole answer that the server made.
    pub answered: Option<u16>,
    /// When the server stopped working on it: it had the answer, or its connection was closed.
    pub ended: Option<Instant>,
}

/// What has reached all servers, in order. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<Vec<Arrival>>>);

impl Journal {
    pub(super) fn arrivals(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.0.lock().expect("mutex isn't poisoned")
    }

    pub(super) fn push(&self, arrival: Arrival) -> usize {
        let mut arrivals = self.arrivals();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    /// All arrivals up to now.
    pub fn all(&self) -> Vec<Arrival> {
        self.arrivals().clone()
    }
}
