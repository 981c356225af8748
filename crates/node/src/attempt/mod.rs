//! What an ingress and a gate tell each other about an attempt.

mod identity;
mod reply;
mod request;

pub(crate) use identity::RequestIdentity;
pub(crate) use reply::{KnownLimit, OpenedSession, Reply, outcome_name};
pub(crate) use request::ServerRequest;
