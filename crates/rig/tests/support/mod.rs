//! Helpers of the tests over real processes.

mod command;
mod request;
pub(crate) mod runner;
