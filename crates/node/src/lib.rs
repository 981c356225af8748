//! The node: one process beside each backend server.
//!
//! This crate reads the settings, starts the components and stops them. Each component is a crate
//! that does the I/O for state machines in `gate`, `call`, `route`, `fleet` and `allowance`: it passes
//! them the time, random numbers and events, and executes the actions that they return. Any
//! decision that needs no I/O is made in those crates.
//!
//! # Data flow
//!
//! ```text
//!  caller ──HTTP──> ingress ──┬── local ───────────> gate_actor ──HTTP──> backend server
//!                     ^       └── peers ──tonic──> peers::server ──^          │ nested calls
//!                     └────────────────────────────────────────────────────────┘
//!
//!  platform <──reads── view_sync <──tonic──> view_sync of a few peers
//!                         │ writes
//!                         v
//!                       board ──> gate_actor, ingress, admin
//! ```
//!
//! [`lifecycle::run`] starts these components and shuts them down in order.

mod admin;
pub mod lifecycle;
pub mod logs;
mod reload;
pub mod settings;
pub mod stop;
