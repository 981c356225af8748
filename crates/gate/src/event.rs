//! What comes to a gate, and what it says.

use std::sync::Arc;

use serde::Serialize;
use types::{Answer, AttemptId, Moment, Outcome, Seq, Span};

use crate::queue::Rank;

/// What a gate may remember at most.
#[derive(Debug, Clone, Copy)]
pub struct RetentionLimits {
    /// Sessions with ingresses.
    pub sessions: usize,
    /// Fates within one session.
    pub attempts: usize,
    /// Bytes of answers kept for ingresses that may ask.
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

/// An attempt as it comes to the gate.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// The attempt.
    pub id: AttemptId,
    /// Lowest number of the session that its ingress hasn't settled.
    pub floor: Seq,
    /// Last moment at which the request is wanted.
    pub deadline: Moment,
    /// Whether it is refused rather than made to wait or run slowly, as it has other places to go.
    pub fail_fast: bool,
    /// Whether it is meant for a backend server that this gate doesn't guard.
    pub wrong_server: bool,
    /// When it starts if it has to wait.
    pub rank: Rank,
}

/// How a started attempt ended.
#[derive(Debug, Clone)]
pub enum Completion {
    /// The whole answer came.
    Answered(Arc<Answer>),
    /// The backend server refused and promises that it didn't run the request.
    Shed,
    /// Another backend server has the address, and ran nothing.
    WrongServer,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// Something was sent and no whole answer came.
    Incomplete,
    /// No answer came by the deadline.
    Expired,
    /// The carrier gave up on the backend server on [`Action::Abort`].
    Aborted,
}

/// What the carrier is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server, and give up at the deadline.
    Start(AttemptId, Moment),
    /// Tell everybody who waits for this attempt.
    Reply(AttemptId, Outcome),
    /// Cancel the request at the backend server.
    Abort(AttemptId),
    /// Probe the backend server, and tell [`Gate::probed`].
    Probe,
}

/// The load of a backend server as its gate knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run once the backend server answers.
    pub allowed: u32,
    /// Mean time of late answers.
    #[serde(rename = "typical")]
    pub mean_latency: Span,
    /// Present time of the backend server's work, in percent of the usual one.
    #[serde(rename = "pace")]
    pub slowdown: u32,
}
