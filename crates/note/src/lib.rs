//! Release notes: the configuration changes through which operators control the system.
//!
//! A [`Note`] lists the objects that it adds, changes and withdraws. The platform publishes notes
//! in one order, and [`View::apply`] applies them one by one, as in a replicated state machine.
//! Every node applies the same notes in the same order without any other input, so all nodes reach
//! the same state. A note that is invalid, or that conflicts with a note its author had not seen,
//! is rejected as a whole, and the view records the reason.
//!
//! [`View::apply`] parses the text of a note with [`parse()`] and validates it with [`check()`].
//! The view carries a hash chain over all notes so far, so that two nodes detect that they were
//! served different histories. A new node fetches the [`View`] of a peer instead of the history, so
//! the size of the state bounds what it reads.
//!
//! If the platform stores only current values instead of a history, the state is assembled from a
//! [`Listing`] and an [`OperatorConfig`], which [`check_config()`] validates.

mod check;
mod config_check;
mod diff;
mod lint;
mod parse;
mod registry;
mod state;
mod team;
mod view;

pub use check::{Fault, Problem, check};
pub use config_check::check_config;
pub use diff::{Change, Difference, diff};
pub use lint::{Doubt, Finding, lint};
pub use parse::{Batch, Note, NoteError, Withdrawal, parse};
pub use registry::{ListedServer, Listing, OperatorConfig};
pub use state::{
    Addressing, CallerLimits, Entry, HostRoute, IdempotencyRule, Limits, Server, ServerStatus,
};
pub use state::{Service, State, WeightedService, Zone, ZoneStatus};
pub use team::{Allowance, InvalidKeyHash, KeyHash, Team};
pub use view::{Digest, Rejection, View};
