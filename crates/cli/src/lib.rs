//! Operations of the operators' tool: check notes, compare nodes, dump a process, explain a request.
//!
//! The tool only reads. What it prints for people it can print as JSON for machines, and its exit
//! codes tell the same: 0 all well, 1 something is wrong with what was looked at, 2 the tool could
//! not look.

mod client;
mod error;
pub mod explain;
pub mod nodes;
pub mod notes;

pub use client::AdminClient;
pub use error::ToolError;
