//! Runs goldenscripts against a cluster of node processes.

mod command;
mod request;
pub(crate) mod runner;
