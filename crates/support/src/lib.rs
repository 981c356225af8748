//! What the components of a node share to do their I/O: connections, memory for bodies, and timers.

pub mod body_budget;
pub mod endpoint;
pub mod socket;
pub mod timer;
