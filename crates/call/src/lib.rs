//! The client side of one call at its ingress: attempts, timeouts, hedges, retries and the outcome.
//!
//! A [`Call`] is a state machine without I/O. Its driver passes in each event with the time at
//! which it happened, and carries out the returned [`Action`]s in order. Two trait objects supply
//! what a call can't decide alone: [`ServerSelector`] selects a backend server, and [`Budget`]
//! limits retries.
//!
//! # States of an attempt
//!
//! ```text
//!            ┌── NotRun ─────────────> settled: the call may try another backend server
//!   Sent ────┼── Answer ─────────────> the caller's answer
//!     │      └── Unknown ────────────> idempotent: another backend server, else final
//!     │ reply timeout, or connection broken (idempotent: another backend server)
//!     v
//!   Queried ── over a new connection, to the same incarnation of the same gate:
//!              NotRun (the attempt had not arrived and is now barred), Answer (it ran), or
//!              Unknown (session evicted, another incarnation, or no process listens
//!              there any more)
//! ```
//!
//! A request that is not idempotent never runs twice, because *its call has at most one attempt
//! that isn't settled as not run.* Each send asserts this.
//!
//! A call that isn't abandoned finishes exactly once, with [`Action::Finish`]: as soon as no open
//! or further attempt can change its outcome, and at its deadline at the latest.

mod budget;
mod core;
mod event;
mod latency;
mod repeat;
mod session;
mod window;

pub use budget::{Budget, TokenBucket};
pub use core::Call;
pub use event::{
    Action, AttemptIndex, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts,
};
pub use latency::LatencyEstimate;
pub use repeat::RepeatTimer;
pub use session::{GateSession, SessionAttempt};
pub use window::{BodyWindow, LinkWindow};
