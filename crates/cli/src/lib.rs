//! Commands of the operators' tool: check release notes and configurations, compare nodes, dump a node's state,
//! explain a call, clear a suspect request.
//!
//! All other commands are read-only. They print text or JSON. The exit code is 0 if no problem was found, 1
//! if the checked notes, configurations or nodes have a problem, and 2 if the command could not be run.

mod client;
pub mod config;
mod error;
pub mod explain;
pub mod nodes;
pub mod notes;
mod text;

pub use client::AdminClient;
pub use error::ToolError;
