//! Concurrency limits, byte sizes and rates.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Reason why a value is not a valid limit, size or rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// The string is not a number, or not an integer where one is required.
    NotANumber,
    /// The number is negative or not finite.
    OutOfRange,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber => f.write_str("is not a number"),
            Self::OutOfRange => f.write_str("is negative or not finite"),
        }
    }
}

impl std::error::Error for ParseError {}

/// Number of requests that may be in progress at the same time.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u32);

impl fmt::Display for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Slots {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self).map_err(|_| ParseError::NotANumber)
    }
}

/// A size in bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Size(pub u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for Size {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.trim_end_matches(" B");
        digits.parse().map(Self).map_err(|_| ParseError::NotANumber)
    }
}

/// A rate in events per second, finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate of `value` events per second.
    ///
    /// # Errors
    ///
    /// [`ParseError::OutOfRange`] if `value` is negative or not finite.
    pub fn new(value: f64) -> Result<Self, ParseError> {
        match value {
            v if v.is_finite() && v >= 0.0 => Ok(Self(v)),
            _ => Err(ParseError::OutOfRange),
        }
    }

    /// The rate in events per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Multiplies the rate by `factor`, which must be finite and not negative.
    pub fn scale(self, factor: f64) -> Self {
        Self(self.0 * factor)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text
            .trim_end_matches("/s")
            .parse()
            .map_err(|_| ParseError::NotANumber)?;
        Self::new(number)
    }
}

/// The request rate that a backend server names in a response as the most that it accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// The response names none.
    #[default]
    Absent,
    /// The backend server accepts this rate of requests from all nodes together.
    Rate(Rate),
    /// The response names a limit that is not a rate.
    Malformed,
}

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(value: f64) -> Result<Self, ParseError> {
        Self::new(value)
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}
