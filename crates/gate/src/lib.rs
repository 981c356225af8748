//! The gate: everything that is decided exactly about one backend server.
//!
//! Each backend server has one gate, in the node beside it, and all its work passes there. That
//! makes three promises local decisions instead of agreements between nodes:
//!
//! - *No more than it bears.* [`ConcurrencyLimit`] says how many requests may run now; a request beyond it
//!   waits in a bounded `Queue` or is refused at once.
//! - *At most once.* `Sessions` remembers the fate of every attempt that an
//!   ingress may still ask about. An attempt is started once at most; an attempt that an ingress
//!   asks about before it came is barred for good.
//! - *A true "not run".* `NotRun` is said only of an attempt that was never started here
//!   and is recorded so that it never will be, or whose backend server promises that it didn't run.
//!
//! # How data flows
//!
//! ```text
//! offer ──> sessions: new? ──> doors open? ──> slot free? ── yes ──> Action::Start
//!               │ no               │ no             │ no
//!               v                  v                v
//!        same fate again       NotRun         queue by deadline ── full ──> NotRun
//!
//! done ──> allowance learns ──> fate recorded ──> Action::Reply ──> next of the queue starts
//! ask  ──> fate unknown: barred, NotRun | running: reply follows | ran: the answer again
//! ```
//!
//! # Why what is remembered can be forgotten
//!
//! A fate that a timer forgets lets a late message run twice, since a message can be late by any
//! time. So a fate is forgotten only together with the possibility of starting its attempt:
//!
//! - Each request carries the session's *floor*, the lowest number that the ingress hasn't settled.
//!   Fates below it go, and attempts below it are refused from then on.
//! - A whole session may be forgotten at any time, since session numbers are never given twice
//!   within an incarnation and an attempt of a forgotten session isn't started. As it may have run
//!   before, it is answered with `Unknown`.
//! - A restart forgets everything and changes the `Boot`, which every attempt names. An attempt
//!   for another incarnation is refused as not run: this rests on the transport, which delivers a
//!   request at most once, since a TCP connection ends with the process that holds it and nothing
//!   above TCP sends a request again by itself.
//!
//! So memory is bounded by [`RetentionLimits`], whatever ingresses do, and a bound that is hit costs an
//! `Unknown` and never a second run.

mod breaker;
mod cold;
mod concurrency;
mod core;
mod event;
mod probe;
mod queue;
mod session;

pub use concurrency::{ConcurrencyLimit, Feedback};
pub use core::Gate;
pub use event::{Action, Completion, Load, Offer, RetentionLimits};
pub use queue::Rank;
