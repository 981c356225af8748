//! Shared value types: identifiers, sizes, rates, timestamps and attempt outcomes.
//!
//! A bare `u64` in a signature doesn't show what it counts, so each kind of value has a newtype.
//! Values are parsed and validated once, where they enter the process (settings, release notes,
//! wire messages), and are passed on as these types.

mod fingerprint;
mod id;
mod outcome;
mod size;
mod time;

pub use fingerprint::Fingerprint;
pub use id::{AttemptId, Boot, CallId, Era, HostId, IdError, Revision, RouteId, Seq, ServerId};
pub use id::{ServiceId, SessionId, Stamp, TeamId, ZoneId, check_header_text};
pub use outcome::{Answer, Header, Outcome, Refusal};
pub use size::{NamedLimit, ParseError, Rate, Size, Slots};
pub use time::{Moment, Span};
