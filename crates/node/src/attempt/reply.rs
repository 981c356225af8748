//! What a gate tells an ingress, and what an ingress knows of a limit.

use gate::Load;
use types::{Boot, Moment, Outcome, Rate, Revision, SessionId, Span};

/// The limit that an ingress knows of a backend server. A gate that has just started learns it from
/// the requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KnownLimit {
    pub(crate) rate: Rate,
    /// Incarnation of the backend server that named it.
    pub(crate) incarnation: Boot,
}

/// A gate's reply about an attempt: its outcome, and the state of the gate at that time.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    pub(crate) load: Load,
    pub(crate) revision: Revision,
    pub(crate) boot: Boot,
    /// Time of the reply on the gate's clock.
    pub(crate) gate_time: Moment,
    /// Time that the request spent at the backend server, zero if it wasn't sent there.
    pub(crate) service_time: Span,
    /// Incarnation of the gate's backend server.
    pub(crate) incarnation: Boot,
    /// Whether it has said that it is leaving.
    pub(crate) leaving: bool,
}

impl Reply {
    /// Whether the backend server has answered the request.
    pub(crate) fn ran(&self) -> bool {
        matches!(self.outcome, Outcome::Answer(_))
    }
}

/// A session that a gate has opened for an ingress.
#[derive(Debug, Clone, Copy, kameo::Reply)]
pub(crate) struct OpenedSession {
    pub(crate) boot: Boot,
    pub(crate) session: SessionId,
    /// Time of the reply on the gate's clock.
    pub(crate) gate_time: Moment,
}

/// Short name of an outcome, for logs and metrics.
pub(crate) fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Unknown => "unknown",
        Outcome::Expired => "expired",
        Outcome::NotRun { refusal, .. } => refusal.name(),
    }
}
