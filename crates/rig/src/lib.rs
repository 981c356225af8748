//! Test stubs of the systems around a node, a load generator, and measurements built on both.
//!
//! Nothing here is part of the product. Each stub speaks the protocol of the system that it replaces
//! and injects only those faults that a test or an experiment uses:
//!
//! - [`platform`]: stub of the configuration service and the host list;
//! - [`server`]: stub of a backend server;
//! - [`proxy`]: TCP proxy between two hosts that delays or drops traffic, closes new connections or
//!   stalls open ones;
//! - [`link`]: the limited rate of such a proxy;
//! - [`load`]: open-loop load generator that acts as the callers;
//! - [`process`]: starts, signals and ends node processes;
//! - [`cluster`]: combines stubs, proxies and node processes into one small deployment;
//! - [`capacity`]: measures the control-plane overhead of a node at several fleet sizes;
//! - [`bound`]: computes what a policy with full knowledge could serve of a load at most;
//! - [`emulator`]: plays a load through calls, balancers and gates without processes or network;
//! - [`experiment`]: compares policies and limits under the same load;
//! - [`soak`]: injects random faults from a seed and checks invariants;
//! - [`site`]: stand-ins of the users' platform around nodes that start as deployed;
//! - [`report`] and [`plot`]: tables and plots of measurements.

pub mod arrivals;
pub mod bound;
pub mod capacity;
pub mod cluster;
pub mod emulator;
pub mod experiment;
pub mod link;
pub mod load;
pub mod platform;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod report;
pub mod server;
pub mod site;
pub mod soak;
