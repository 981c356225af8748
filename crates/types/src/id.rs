//! Identifiers: text chosen by operators, and numbers drawn or counted by processes.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Longest identifier that operators may choose, in bytes.
const MAX_ID_BYTES: usize = 63;

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is too long.
    TooLong {
        /// Its length in bytes.
        bytes: usize,
        /// Longest length allowed.
        max: usize,
    },
    /// The text has a character that isn't allowed.
    InvalidChar {
        /// The first such character.
        found: char,
    },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("is empty"),
            Self::TooLong { bytes, max } => write!(f, "has {bytes} bytes, allowed are {max}"),
            Self::InvalidChar { found } => write!(f, "has {found:?}, which is not allowed"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        _ if text.is_empty() => Err(IdError::Empty),
        _ if text.len() > MAX_ID_BYTES => Err(IdError::TooLong {
            bytes: text.len(),
            max: MAX_ID_BYTES,
        }),
        Some(found) => Err(IdError::InvalidChar { found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check_id(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }
    };
}

text_id! {
    /// A host that runs one backend server and one node.
    HostId
}
text_id! {
    /// An availability zone.
    ZoneId
}
text_id! {
    /// A service, named by the first segment of a request's path.
    ServiceId
}
text_id! {
    /// One backend server of a service.
    ServerId
}
text_id! {
    /// A route from a caller's host and path to services.
    RouteId
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number_id! {
    /// Position of a release note in the platform's order. Zero is before the first note.
    Revision
}
number_id! {
    /// Incarnation of a process, drawn at random when it starts.
    Boot
}
number_id! {
    /// Number that a gate gives to an ingress for the attempts between the two. A gate never gives
    /// the same number twice within one [`Boot`].
    SessionId
}
number_id! {
    /// Number of an attempt within its session, counted up by the ingress.
    Seq
}

impl Revision {
    /// The revision that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Longest name of a call, in bytes.
const MAX_CALL_BYTES: usize = 128;

/// One caller's request, under the name that callers, logs and backend servers see.
///
/// The name is the caller's and is never changed: 1 to 128 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(SmolStr);

impl CallId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A drawn number, as 32 hexadecimal digits.
impl From<u128> for CallId {
    fn from(drawn: u128) -> Self {
        Self(format_smolstr!("{drawn:032x}"))
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CallId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        match text.chars().find(|c| !c.is_ascii_graphic()) {
            _ if text.is_empty() => Err(IdError::Empty),
            _ if text.len() > MAX_CALL_BYTES => Err(IdError::TooLong {
                bytes: text.len(),
                max: MAX_CALL_BYTES,
            }),
            Some(found) => Err(IdError::InvalidChar { found }),
            None => Ok(Self(SmolStr::new(text))),
        }
    }
}

/// One attempt of a call at one incarnation of one gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Incarnation of the gate that the attempt is meant for.
    pub boot: Boot,
    /// Session between the ingress and that incarnation.
    pub session: SessionId,
    /// Number of the attempt within the session.
    pub seq: Seq,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}.{}", self.boot.0, self.session, self.seq)
    }
}
