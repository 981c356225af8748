//! Stand-ins for everything around the system, and tools to load and measure it.
//!
//! Nothing here is part of the product. Each stand-in speaks the protocol of what it stands for and
//! grows a failure only when a proof needs it:
//!
//! - [`platform`]: the configuration service and the host list;
//! - [`server`]: a backend server;
//! - [`proxy`]: a connection between two hosts that can be delayed, cut or go silent;
//! - [`load`]: callers, open loop;
//! - [`process`]: starts nodes as processes and ends them;
//! - [`cluster`]: all of these as one small deployment;
//! - [`capacity`]: what control costs a node, on fleets of several sizes;
//! - [`experiment`]: the same load against several policies, in one run;
//! - [`soak`]: faults drawn from a seed, and the promises checked meanwhile.

pub mod capacity;
pub mod cluster;
pub mod experiment;
pub mod load;
pub mod platform;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod report;
pub mod server;
pub mod soak;
