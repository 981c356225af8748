//! Identifiers: text that operators choose, and numbers that processes draw at random or count.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Reason why a string is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The string is empty.
    Empty,
    /// The string is too long.
    TooLong {
        /// Length of the string in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The string contains a character that the identifier may not contain.
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

/// Accepts any text.
fn check_any(_text: &str) -> Result<(), IdError> {
    Ok(())
}

/// Accepts any text but an empty one.
fn check_filled(text: &str) -> Result<(), IdError> {
    match text.is_empty() {
        true => Err(IdError::Empty),
        false => Ok(()),
    }
}

/// Checks that a text arrives unchanged as the value of an HTTP header (RFC 9110, section 5.5): it has at least
/// one character, no control characters other than tabs, and no white space at its ends.
///
/// # Errors
///
/// [`IdError::Empty`], or [`IdError::InvalidChar`] with the first character that a header can't hold.
pub fn check_header_text(text: &str) -> Result<(), IdError> {
    const SPACE: [char; 2] = [' ', '\t'];
    let at_ends = text.strip_prefix(SPACE).or(text.strip_suffix(SPACE));
    let control = text.chars().find(|c| c.is_ascii_control() && *c != '\t');
    match control.or(at_ends.map(|_| ' ')) {
        _ if text.is_empty() => Err(IdError::Empty),
        Some(found) => Err(IdError::InvalidChar { found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The identifier as a string slice.
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
                $check(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                $check(&text)?;
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
    /// Identifier of a host, which runs one backend server and one node.
    HostId, check_filled
}
text_id! {
    /// Identifier of an availability zone.
    ZoneId, check_filled
}
text_id! {
    /// Identifier of a service. Without routes, the first path segment of a request names it.
    ServiceId, check_filled
}
text_id! {
    /// Identifier of one backend server of a service. Requests carry it in a header, see [`check_header_text`].
    ServerId, check_header_text
}
text_id! {
    /// Identifier of a team, whose callers send its keys. Requests carry it in a header, see
    /// [`check_header_text`].
    TeamId, check_header_text
}
text_id! {
    /// Identifier of a route, which maps a caller's host and path to services. Any text, as nothing but logs and
    /// statistics depends on it.
    RouteId, check_any
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
    /// Version of the view. For a history of release notes, the position of the last note in the
    /// platform's order; zero precedes the first note.
    Revision
}
number_id! {
    /// Number of times that the registry has come back from an older copy of its contents, which
    /// loses what it had acknowledged since and assigns its revisions again. Zero if unknown.
    Era
}
number_id! {
    /// Identifier of one incarnation of a process. A node draws its own at random when it starts.
    /// The platform or the backend server sets that of a backend server.
    Boot
}
number_id! {
    /// Identifier of a session between an ingress and a gate. The gate allocates it and never
    /// reuses it within one [`Boot`].
    SessionId
}
number_id! {
    /// Sequence number of an attempt within its session. The ingress assigns increasing numbers.
    Seq
}

/// Largest counter that is accepted from other processes. Counters never get that far, and the
/// values above it leave room for the next ones.
const MAX_COUNTER: u64 = 1 << 53;

impl Revision {
    /// Largest revision that is accepted from other processes.
    pub const MAX_VALID: Self = Self(MAX_COUNTER);

    /// The next revision.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Whether a correct process can have sent it.
    pub fn is_valid(self) -> bool {
        self <= Self::MAX_VALID
    }
}

impl Era {
    /// Largest era that is accepted from other processes.
    pub const MAX_VALID: Self = Self(MAX_COUNTER);

    /// Whether the registry names no era.
    pub fn is_unknown(&self) -> bool {
        self.0 == 0
    }
}

/// Position in the history of a registry. Any position in a later era is newer, whatever its
/// revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Era of the registry.
    #[serde(default, skip_serializing_if = "Era::is_unknown")]
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

impl Stamp {
    /// Whether a correct process can have sent it.
    pub fn is_valid(self) -> bool {
        self.era <= Era::MAX_VALID && self.revision.is_valid()
    }

    /// The position at `revision` of a registry whose era isn't known.
    pub fn without_era(revision: Revision) -> Self {
        Self {
            era: Era::default(),
            revision,
        }
    }
}

/// Formats as `ERA.REVISION`.
impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Identifier of one caller's request, as seen by callers, logs and backend servers.
///
/// An identifier that the caller supplies is never changed. It is what a header can hold, see
/// [`check_header_text`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(SmolStr);

impl CallId {
    /// The identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Formats a random number as 32 hexadecimal digits.
impl From<u128> for CallId {
    fn from(random: u128) -> Self {
        Self(format_smolstr!("{random:032x}"))
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
        check_header_text(text)?;
        Ok(Self(SmolStr::new(text)))
    }
}

/// Identifier of one attempt of a call at one incarnation of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Incarnation of the gate to which the attempt is addressed.
    pub boot: Boot,
    /// Session between the ingress and that incarnation of the gate.
    pub session: SessionId,
    /// Sequence number of the attempt within the session.
    pub seq: Seq,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}.{}", self.boot.0, self.session, self.seq)
    }
}
