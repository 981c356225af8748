//! Fingerprints of requests.

use std::{fmt, num::ParseIntError, ops::RangeInclusive, str::FromStr};

use serde::Serialize;

/// Identifies equal requests: 32 bits of a cryptographic hash of all but the body, and 96 bits of a hash
/// of all of it, so that nobody can make another request with the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Joins the hash of all but the body, and that of the whole request.
    pub fn new(head: [u8; 4], rest: [u8; 12]) -> Self {
        let mut bytes = [0; 16];
        bytes[..head.len()].copy_from_slice(&head);
        bytes[head.len()..].copy_from_slice(&rest);
        Self(u128::from_be_bytes(bytes))
    }

    /// The smallest and the largest fingerprint with this hash of all but the body.
    pub fn range(head: [u8; 4]) -> RangeInclusive<Self> {
        Self::new(head, [0; 12])..=Self::new(head, [u8::MAX; 12])
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
