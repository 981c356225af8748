//! Inputs and outputs of a gate.

use std::sync::Arc;

use serde::Serialize;
use types::{Answer, AttemptId, Moment, Outcome, Seq, Span};

use crate::queue::Rank;

/// Limits on the records that a gate keeps.
#[derive(Debug, Clone, Copy)]
pub struct RetentionLimits {
    /// Sessions with ingresses.
    pub sessions: usize,
    /// Attempts recorded in one session.
    pub attempts: usize,
    /// Bytes of the response bodies that are kept for ingresses that may ask.
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
    /// Time by which the caller needs the response.
    pub deadline: Moment,
    /// Whether the attempt is refused rather than queued or run slowly, since the ingress can try
    /// other backend servers.
    pub fail_fast: bool,
    /// Whether the attempt is addressed to a backend server other than this gate's.
    pub misdirected: bool,
    /// Position in the queue if it has to wait.
    pub rank: Rank,
}

/// How a started attempt ended.
#[derive(Debug, Clone)]
pub enum Completion {
    /// The complete response arrived.
    Answered(Arc<Answer>),
    /// The backend server shed the request and guarantees that it didn't run it.
    Shed,
    /// Another backend server has the address, and ran nothing.
    Misdirected,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// Part or all of the request was sent, and no complete response arrived.
    Incomplete,
    /// No response arrived by the deadline.
    Expired,
    /// The request was cancelled on [`Action::Abort`].
    Aborted,
}

/// What the gate's driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server, and give up at the deadline.
    Start(AttemptId, Moment),
    /// Reply to everyone who waits for this attempt.
    Reply(AttemptId, Outcome),
    /// Cancel the request at the backend server.
    Abort(AttemptId),
    /// Probe the backend server and pass the result to [`Gate::probed`](crate::Gate::probed).
    Probe,
}

/// Load of a backend server as its gate measures it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that may run if the backend server hasn't restarted while idle.
    pub allowed: u32,
    /// Moving average of the latency of recent responses.
    #[serde(rename = "typical")]
    pub mean_latency: Span,
    /// Present service time in percent of the usual one, as the backend server reports it.
    #[serde(rename = "pace")]
    pub slowdown_percent: u32,
}
