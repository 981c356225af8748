//! The node: one process beside each backend server.
//!
//! This crate carries the decisions of `gate`, `call`, `route` and `fleet`: it gives them moments,
//! randomness and events, and does what they say. It decides nothing itself that other crates can
//! decide without I/O.
//!
//! # How data flows
//!
//! ```text
//!  caller ──HTTP──> ingress ──┬── local ───────────> gatekeeper ──HTTP──> backend server
//!                     ^       └── peers ──tonic──> peers::server ──^          │ nested calls
//!                     └────────────────────────────────────────────────────────┘
//!
//!  platform <──reads── spreader <──tonic──> spreaders of a few peers
//!                         │ writes
//!                         v
//!                       board ──> gatekeeper, ingress, admin
//! ```
//!
//! [`ops::run`] starts these and stops them in order; read it first.

mod admin;
mod alarm;
mod backend;
mod gate_actor;
mod ingress;
pub mod logs;
mod meter;
pub mod ops;
mod peers;
mod reload;
pub mod settings;
mod socket;
mod spreader;
