//! Teams: who may send requests, and how many.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::{SmolStr, format_smolstr};
use types::{Rate, TeamId};

/// Separates hashes of keys from other uses of the hash function.
const HASH_PREFIX: &[u8] = b"amaranthyoke key\0";

/// Hash of a key. Keys themselves are kept nowhere.
///
/// Keys are random and long, so their hashes need no salt, and a lookup by hash reveals nothing of a key by its
/// timing.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct KeyHash([u8; 32]);

/// A text isn't the hash of a key, which has 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidKeyHash;

impl fmt::Display for InvalidKeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected the hash of a key in 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidKeyHash {}

impl KeyHash {
    /// Hashes a key, which may be any bytes.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::new().chain_update(HASH_PREFIX).chain_update(key);
        Self(hash.finalize().into())
    }
}

/// Hides the hash, so that it reaches no log.
impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = InvalidKeyHash;

    fn from_str(text: &str) -> Result<Self, InvalidKeyHash> {
        let digits = text.as_bytes();
        let mut hash = [0; 32];
        // The parser of integers would take a sign.
        if digits.len() != 2 * hash.len() || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(InvalidKeyHash);
        }
        for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| InvalidKeyHash)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidKeyHash)?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<SmolStr> for KeyHash {
    type Error = InvalidKeyHash;

    fn try_from(text: SmolStr) -> Result<Self, InvalidKeyHash> {
        text.parse()
    }
}

impl From<KeyHash> for SmolStr {
    fn from(hash: KeyHash) -> SmolStr {
        format_smolstr!("{hash}")
    }
}

/// How many requests of a team run, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Requests per second.
    pub rate: Rate,
    /// Requests beyond the rate after a pause.
    pub burst: u32,
}

/// A team, whose callers send one of its keys with each request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Identifier of the team.
    pub id: TeamId,
    /// Hashes of its keys.
    #[serde(default)]
    pub keys: BTreeSet<KeyHash>,
    /// How many of its requests run. Without it, there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowance: Option<Allowance>,
    /// Priority of its requests in place of their routes' own; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}
