//! One caller's call at its ingress: attempts, silence, deadlines, repeats and the final answer.
//!
//! A [`Call`] decides, its carrier sends. Every event goes in with the moment it happened at, and the
//! [`Action`]s that come out are carried out in order. What a call needs from others it gets through
//! two trait objects: [`ServerSelector`] picks a backend server, [`Budget`] says whether a repeat is allowed.
//!
//! # What becomes of an attempt
//!
//! ```text
//!            ┌── NotRun ─────────────> settled: the call may go elsewhere
//!   Sent ────┼── Answer ─────────────> the caller's answer
//!     │      └── Unknown ────────────> idempotent: elsewhere, else final
//!     │ no word, or connection broken
//!     v
//!   Asked ── over a fresh connection, to the same incarnation of the same gate:
//!            NotRun (it never came and is barred now), Answer (it ran), or Unknown
//!            (another incarnation, or nobody listens there any more)
//! ```
//!
//! The rule that keeps a request that is not idempotent from running twice is short: *such a call
//! has at most one attempt that isn't settled as not run.* It is asserted at each send.
//!
//! A call ends exactly once, with [`Action::Finish`]. It ends as soon as no attempt can help it any
//! more, never later on purpose.

mod budget;
mod core;
mod latency;
mod session;

pub use budget::{Budget, TokenBucket};
pub use core::{
    Action, AttemptIndex, Call, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts,
};
pub use latency::LatencyEstimate;
pub use session::{GateSession, SessionAttempt};
