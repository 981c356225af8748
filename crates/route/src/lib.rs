//! Routing and load balancing at an ingress.
//!
//! A [`RouteTable`] finds the route of a request and the service that receives it.
//!
//! A [`Balancer`] holds the backend servers of one service that the ingress uses, with their load
//! and health. A [`Policy`] picks one of the candidates. [`TwoChoices`] is the default; the others
//! are baselines for experiments.
//!
//! With a [`Spill`], the part of the requests that leaves the availability zone is computed from the load
//! of whole zones, and [`Links`] measures what the way there takes. Shares can be limited to zones that are
//! far by that measure.
//!
//! An ingress knows a backend server only from replies to its own calls, which are outdated on
//! arrival. So a selection is cheap, avoids backend servers that refused recently, and leaves the
//! exact admission decision to the gate.

mod balancer;
mod cost;
mod distance;
mod link;
mod policy;
mod rendezvous;
mod route_table;
mod server;
mod spill;
mod subset;
mod zone_load;

pub use balancer::{Balancer, Reason, Selection};
pub use cost::ByteCost;
pub use link::Links;
pub use policy::{LeastReported, Policy, PolicyKind, Random, RoundRobin, TwoChoices};
pub use route_table::{RouteTable, host_name, service_for_trial};
pub use server::{LoadReport, Member, ServerState};
pub use spill::{Direction, Spill, Trip};
pub use zone_load::ZoneLoad;
