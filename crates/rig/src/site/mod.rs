//! Stand-ins of the users' platform around real node processes that start as deployed.
//!
//! - [`store`]: the platform's key-value store, with troubles that can be switched while it runs;
//! - [`config`]: the operators' configuration;
//! - [`server`]: backend servers, which register themselves at the store;
//! - [`journal`]: what has reached the backend servers;
//! - [`template`]: fills the deploy file's template;
//! - [`cluster`]: store, backend servers and node processes of one small deployment;
//! - [`caller`]: callers that keep their connections;
//! - [`soak`]: changes and faults from a seed, judged by the users' rules;
//! - [`stop`]: the users' rule for requests around a planned stop;
//! - [`http1`]: messages as they are on the wire.
//!
//! Apart from `platform/` and `deploy/`, only this module knows names of the users' platform.

pub mod caller;
pub mod cluster;
pub mod config;
pub mod endless;
pub mod http1;
pub mod journal;
pub mod server;
pub mod soak;
pub mod stop;
pub mod store;
pub mod template;
