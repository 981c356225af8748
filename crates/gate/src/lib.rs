//! Admission control for one backend server.
//!
//! Each backend server has one gate, which runs in the node beside it, and every request to the
//! backend server passes through it. That makes four guarantees local decisions, for which nodes
//! need no agreement:
//!
//! - *Bounded concurrency.* [`ConcurrencyLimit`] gives the number of requests that may run now. A
//!   request beyond it waits in a bounded `Queue` or is refused at once.
//! - *Bounded rate.* `ColdLimit` and `RateLimit` bound the requests that are sent to a backend server
//!   that is cold, or that names a limit of its own. The tighter one counts.
//! - *At most once.* `Sessions` stores the state of every attempt that an ingress may still ask
//!   about. An attempt starts at most once, and an attempt that an ingress asks about before it
//!   arrives never starts.
//! - *A reliable `NotRun`.* The gate replies `NotRun` only for an attempt that it has never started
//!   and never will, or whose request was never sent or was rejected by its receiver without
//!   running it.
//!
//! # Data flow
//!
//! ```text
//! offer ────> session: new? ──> accepting? ──> slot free? ── yes ──> Action::Start
//!                  │ no             │ no             │ no
//!                  v                v                v
//!          reply from record     NotRun     queue by priority ── full ──> NotRun
//!
//! complete ─> limit updated ──> result recorded ──> Action::Reply ──> next queued attempt starts
//! query ────> never seen: recorded as NotRun | running: reply follows | ran: same reply again
//! ```
//!
//! # Which state may be evicted
//!
//! A message can be delayed by any length of time. If a timer evicted the record of an attempt, a
//! delayed message could run the attempt a second time. So a record is evicted only once its
//! attempt can't start any more:
//!
//! - Each request carries the session's *floor*, the lowest sequence number that the ingress hasn't
//!   settled. The gate evicts the records below it and refuses attempts below it from then on.
//! - A whole session may be evicted at any time, since session identifiers aren't reused within one
//!   incarnation and an attempt of an evicted session isn't started. The attempt may have run
//!   before, so the reply is `Unknown`.
//! - A restart loses all records and changes the `Boot`, which every attempt names. An attempt for
//!   another incarnation is refused as not run. This relies on the transport to deliver a request
//!   at most once: a TCP connection ends with its process, and nothing above TCP resends a request
//!   by itself.
//!
//! [`RetentionLimits`] therefore bounds the memory whatever the ingresses do. Reaching a limit
//! costs an `Unknown`, never a second run.

mod breaker;
mod cold;
mod concurrency;
mod core;
mod event;
mod probe;
mod queue;
mod rate_limit;
mod room;
mod route_profile;
mod session;

pub use concurrency::{ConcurrencyLimit, Feedback};
pub use core::Gate;
pub use event::{Action, Completion, Load, Offer, Query, RetentionLimits};
pub use queue::Rank;
pub use rate_limit::{LimitSource, LimitState};
pub use route_profile::RouteProfiles;
