//! Fingerprints of requests.

use std::fmt;

use serde::Serialize;

/// Identifies equal requests: a cryptographic hash of service, method, target and body, so that nobody
/// can make another request with the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
