//! Rendezvous hashing.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Rendezvous hash of a backend server or service for an ingress or a request.
pub(crate) fn rendezvous_hash(key: impl Hash, id: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
