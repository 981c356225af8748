//! Gossip protocol that distributes the view over the fleet, without a leader or shared state.
//!
//! Nodes take turns at reading the platform. The read budget sets the number of turns per second,
//! so the load on the platform doesn't grow with the fleet. Rendezvous hashing over the members
//! selects the reader of each turn. A node that learns a new revision pushes it to a few
//! neighbours, and periodically compares views with a random neighbour (anti-entropy), which
//! repairs missed pushes. The node that turns out to be behind pulls from the other one.
//!
//! [`Gossip`] decides when to read the platform and which peers to contact. [`History`] holds the
//! view and the texts of recent notes: a peer that is a few notes behind gets the texts, and only a
//! new node or one far behind gets the whole view. The revision never decreases, since only newer
//! notes and views are applied.
//!
//! If the platform stores only current values instead of a history, [`Snapshot`] replaces
//! [`History`].
//!
//! [`Lease`] limits how long a view may be used without confirmation. After a pause or a network
//! partition the lease has expired, and the node accepts no new requests until a peer or the
//! platform confirms its view again. [`KeyLease`] does the same for the teams' keys, for which only a read of the
//! platform counts, by this node or a peer. [`ProofSchedule`] decides when to ask peers for one and when to read.

mod gossip;
mod history;
mod lease;
mod leaving;
mod proof_schedule;
mod quarantine;
mod read_turns;
mod readiness;
mod snapshot;
mod watch_start;

pub use gossip::{Action, Gossip, ReadBudget};
pub use history::{History, HistoryError, ViewUpdate};
pub use lease::{ConfigProof, KeyLease, Lease};
pub use leaving::LeavingServers;
pub use proof_schedule::{ProofDue, ProofSchedule};
pub use quarantine::{Evidence, Quarantine, ServerEnd, Verdict};
pub use readiness::Readiness;
pub use snapshot::{Digests, EraChange, HeldZones, Parts, Snapshot};
pub use watch_start::{MAX_SILENCE, WatchStart};
