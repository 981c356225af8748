//! Identifiers, sizes, rates, moments and outcomes that every other crate shares.
//!
//! A bare `u64` in a signature says nothing about what it counts, so each kind of value gets a
//! newtype here. Values are parsed and checked once, at the border (settings, release notes, wire
//! messages), and travel as these types from then on.

mod id;
mod outcome;
mod size;
mod time;

pub use id::{AttemptId, Boot, CallId, HostId, IdError, Revision, RouteId, Seq, ServerId};
pub use id::{ServiceId, SessionId, ZoneId};
pub use outcome::{Answer, Header, Outcome, Refusal};
pub use size::{ParseError, Rate, Size, Slots};
pub use time::{Moment, Span};
