//! Choice of a service and a backend server at an ingress.
//!
//! A [`RouteTable`] finds the route of a request and the service that gets it.
//!
//! Every choice is a guess: what an ingress knows of a backend server is what its own calls told it,
//! and that is old when it arrives. So a choice is cheap, avoids what lately refused, and leaves the
//! decision to the gate, which may refuse truthfully.
//!
//! A [`Balancer`] holds, for one service, the backend servers that the ingress uses and what it learned
//! of them. A [`Policy`] picks one of the candidates. [`TwoChoices`] is the one in use; the others
//! are baselines that the experiments compare it with.

mod balancer;
mod policy;
mod route_table;

pub use balancer::{Balancer, LoadReport, Member, Selection, ServerState};
pub use policy::{LeastReported, Policy, PolicyKind, Random, RoundRobin, TwoChoices};
pub use route_table::RouteTable;
