//! Inputs and outputs of a gate.

use std::sync::Arc;

use serde::Serialize;
use types::{Answer, AttemptId, Moment, Outcome, Rate, Refusal, Seq, Span};

use crate::queue::Rank;

/// Maximum sizes of the records that a gate keeps.
#[derive(Debug, Clone, Copy)]
pub struct RetentionLimits {
    /// Number of sessions with ingresses.
    pub sessions: usize,
    /// Number of attempts recorded in one session.
    pub attempts: usize,
    /// Bytes of the answer bodies that are kept for ingresses that may query them.
    pub answer_bytes: u64,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self {
            sessions: 4_096,
            attempts: 4_096,
            answer_bytes: 16 << 20,
        }
    }
}

/// An attempt offered to the gate.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// The attempt.
    pub id: AttemptId,
    /// Lowest sequence number of the session that the ingress hasn't settled.
    pub floor: Seq,
    /// Time by which the caller needs the answer.
    pub deadline: Moment,
    /// Whether the attempt is refused rather than queued or run slowly, since the ingress can try
    /// other backend servers.
    pub fail_fast: bool,
    /// Why the attempt is refused whatever the state of the gate, if it is: it is addressed to another
    /// backend server, or held back.
    pub refusal: Option<Refusal>,
    /// Position in the queue if it has to wait.
    pub rank: Rank,
}

/// What an ingress asks of an attempt that it has sent. The gate replies with the attempt's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Nothing but the outcome.
    Outcome,
    /// To refuse it if it is queued. One that runs goes on.
    Withdraw,
    /// To cancel it, queued or running.
    Cancel,
}

/// How a started attempt ended.
#[derive(Debug, Clone)]
pub enum Completion {
    /// A complete answer arrived.
    Answered(Arc<Answer>),
    /// The backend server shed the request and guarantees that it didn't run it.
    Shed,
    /// Another backend server is at the address. It rejected the request as misdirected (HTTP 421)
    /// and ran nothing.
    Misdirected,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// It wasn't sent: since it was offered, backend servers have ended under such a request.
    Quarantined,
    /// Part or all of the request was sent, and no complete answer arrived.
    Incomplete,
    /// No complete answer arrived by the deadline.
    Expired,
    /// The request was cancelled on [`Action::Cancel`].
    Cancelled,
}

/// What the gate's driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server, and give up at the deadline.
    Start(AttemptId, Moment),
    /// Send the outcome to everyone who waits for this attempt.
    Reply(AttemptId, Outcome),
    /// Cancel the request at the backend server.
    Cancel(AttemptId),
    /// Probe the backend server and pass the result to [`Gate::probed`](crate::Gate::probed).
    Probe,
}

/// Load of a backend server as its gate measures it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Load {
    /// Slots in use by running requests, and by cancelled ones that may still run.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that may run if the backend server hasn't restarted while idle.
    pub allowed: u32,
    /// Moving average of the latency of recent answers.
    #[serde(rename = "typical")]
    pub mean_latency: Span,
    /// Current service time in percent of the usual one, as the backend server reports it. 100
    /// without a valid report.
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
    /// Request rate that the backend server has named as its limit.
    pub limit: Option<Rate>,
    /// Time until there is room for another request under that limit.
    pub room_after: Span,
}
