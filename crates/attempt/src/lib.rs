//! What an ingress and a gate tell each other about an attempt.

mod identity;
mod reply;
mod request;

pub use identity::RequestIdentity;
pub use reply::{KnownLimit, OpenedSession, Reply, outcome_name};
pub use request::ServerRequest;
