//! How release notes spread over the fleet without an elected reader and without shared state.
//!
//! Nodes take turns at reading the platform, as many a second as the read budget allows, so the cost
//! doesn't grow with the fleet. The reader of a turn follows from its number and the members alone. A node that learns a revision tells a few peers at once, and now and then compares views
//! with a random peer, which mends what telling missed. Who turns out to know less pulls.
//!
//! [`Gossip`] decides whom to tell, compare with and read from, and when. [`History`] holds the view
//! and the texts of the last notes, so that a peer a few notes behind gets these and only a newcomer
//! gets the whole view. Nothing ever moves a view back: both take only what extends it.
//!
//! Where the platform keeps newest values instead of a history, [`Snapshot`] takes the place of
//! [`History`].
//!
//! [`Lease`] says for how long a view may be acted on. A node that was paused or cut off finds it run
//! out, and takes no new work until it has compared its view with somebody again.

mod gossip;
mod history;
mod lease;
mod read_turns;
mod readiness;
mod snapshot;

pub use gossip::{Action, Gossip, ReadBudget};
pub use history::{Extension, History, HistoryError};
pub use lease::Lease;
pub use readiness::Readiness;
pub use snapshot::{Digests, Parts, Snapshot};
