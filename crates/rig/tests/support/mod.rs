//! Helpers of the tests over real processes.

pub(crate) mod script;
