//! What a gate tells an ingress, and what an ingress knows of a limit.

use gate::Load;
use types::{Boot, Moment, Outcome, Rate, Revision, SessionId, Span};

/// The limit that an ingress knows of a backend server. A gate that has just started learns it from
/// the requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLimit {
    /// Requests that the backend server takes from all nodes together.
    pub rate: Rate,
    /// Incarnation of the backend server that named it.
    pub incarnation: Boot,
}

/// A gate's reply about an attempt: its outcome, and the state of the gate at that time.
#[derive(Debug, Clone)]
pub struct Reply {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// Load of the gate.
    pub load: Load,
    /// Revision of the gate's view.
    pub revision: Revision,
    /// Incarnation of the gate.
    pub boot: Boot,
    /// Time of the reply on the gate's clock.
    pub gate_time: Moment,
    /// Time that the request spent at the backend server, zero if it wasn't sent there.
    pub service_time: Span,
    /// Incarnation of the gate's backend server.
    pub incarnation: Boot,
    /// Whether it has said that it is leaving.
    pub leaving: bool,
}

impl Reply {
    /// Whether the backend server has answered the request.
    pub fn ran(&self) -> bool {
        matches!(self.outcome, Outcome::Answer(_))
    }
}

/// A session that a gate has opened for an ingress.
#[derive(Debug, Clone, Copy, kameo::Reply)]
pub struct OpenedSession {
    /// Incarnation of the gate.
    pub boot: Boot,
    /// Number of the session, unique within the incarnation.
    pub session: SessionId,
    /// Time of the reply on the gate's clock.
    pub gate_time: Moment,
}

/// Short name of an outcome, for logs and metrics.
pub fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Unknown => "unknown",
        Outcome::Expired => "expired",
        Outcome::NotRun { refusal, .. } => refusal.name(),
    }
}
