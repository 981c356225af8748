//! Fingerprints of requests.

use std::{fmt, num::ParseIntError, ops::RangeInclusive, str::FromStr};

use serde::Serialize;

/// Identifies equal requests: 32 bits of a cryptographic hash of all but the body, and 96 bits of a hash
/// of all of it, so that nobody can make another request with the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Bits of the hash of the whole request.
const REST_BITS: u32 = 96;

impl Fingerprint {
    /// Joins the hash of all but the body, and that of the whole request.
    pub fn new(head: u32, rest: [u8; 12]) -> Self {
        let rest = rest
            .iter()
            .fold(0, |rest, byte| rest << 8 | u128::from(*byte));
        Self(u128::from(head) << REST_BITS | rest)
    }

    /// The smallest and the largest fingerprint with this hash of all but the body.
    pub fn range(head: u32) -> RangeInclusive<Self> {
        let first = u128::from(head) << REST_BITS;
        Self(first)..=Self(first | ((1 << REST_BITS) - 1))
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
