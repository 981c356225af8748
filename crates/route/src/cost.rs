//! The cost of bytes that pass between availability zones.

use std::{fmt, num::ParseFloatError, str::FromStr};

use serde::{Deserialize, Serialize};
use types::{Size, Span};

const BYTES_PER_MB: f64 = 1e6;

/// Cost of bytes between zones, as the milliseconds that callers would rather wait than have a
/// megabyte pass.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ByteCost(pub f64);

impl ByteCost {
    /// The wait that is worth as much as these bytes.
    pub fn of(self, bytes: Size) -> Span {
        Span::from_millis(1).scale(self.0 * bytes.0 as f64 / BYTES_PER_MB)
    }
}

impl fmt::Display for ByteCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ByteCost {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.parse().map(Self)
    }
}
