//! Routing and load balancing at an ingress.
//!
//! A [`RouteTable`] finds the route of a request and the service that receives it.
//!
//! A [`Balancer`] holds the backend servers of one service that the ingress uses, with their load
//! and health. A [`Policy`] picks one of the candidates. [`TwoChoices`] is the default; the others
//! are baselines for experiments.
//!
//! An ingress knows a backend server only from replies to its own calls, which are outdated on
//! arrival. So a selection is cheap, avoids backend servers that refused recently, and leaves the
//! exact admission decision to the gate.

mod balancer;
mod policy;
mod route_table;

pub use balancer::{Balancer, LoadReport, Member, Selection, ServerState};
pub use policy::{LeastReported, Policy, PolicyKind, Random, RoundRobin, TwoChoices};
pub use route_table::{RouteTable, host_name, service_for_trial};
