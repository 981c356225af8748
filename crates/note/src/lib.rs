//! Release notes: the only way in which operators drive the system.
//!
//! A [`Note`] lists what is added, changed and withdrawn. Notes arrive in the platform's order, and
//! [`View::apply`] folds each into the state before it. Every node folds the same notes in the same
//! order with no other input, so every node reaches the same verdict: a note that is invalid, or
//! that clashes with one its author hadn't seen, is rejected whole and the reason is kept on show.
//!
//! The flow is text -> [`Note`] ([`parse`]) -> faults ([`check`]) -> next [`View`]. A view carries a
//! digest chained over all notes so far, so that two nodes that were served different histories
//! notice. A newcomer takes a peer's [`View`] instead of the history, which bounds what it reads by
//! the size of the state.
//!
//! Where the platform keeps newest values instead of a history, the state is assembled from a
//! [`Listing`] and an [`OperatorConfig`].

mod check;
mod parse;
mod registry;
mod state;
mod view;

pub use check::{Fault, Problem, check};
pub use parse::{Batch, Note, NoteError, Withdrawal, parse};
pub use registry::{ListedServer, Listing, OperatorConfig};
pub use state::{CallerLimits, Entry, HostRoute, IdempotencyRule, Limits, Server, ServerStatus};
pub use state::{Service, State, WeightedService, Zone, ZoneStatus};
pub use view::{Digest, Rejection, View};
