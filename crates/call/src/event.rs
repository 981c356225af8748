//! What the state machine of a call takes, and what it asks for.

use std::sync::Arc;

use types::{Answer, Moment, Refusal, ServerId, Span};

/// The backend server selected for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The backend server.
    pub server: ServerId,
    /// Whether other backend servers remain that may be better.
    pub has_alternatives: bool,
}

/// Selects backend servers for attempts.
pub trait ServerSelector {
    /// Selects a backend server for the next attempt: one that isn't in `tried`, or, if none of
    /// those looks better, the best one of `declined`, whose gates declined a fail-fast attempt.
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection>;
}

/// What is known of a call when it starts.
#[derive(Debug, Clone, Copy)]
pub struct CallRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a call above this one in the chain of nested calls is a retry. Then this call is
    /// neither hedged nor retried for load, so that retries don't multiply over the chain.
    pub is_retry: bool,
    /// Time after which the caller no longer wants the answer.
    pub deadline: Moment,
    /// Maximum number of attempts that may reach a backend server.
    pub max_attempts: u32,
}

/// Delays after which a call acts without having received an outcome.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time without a reply after which the gate is asked for the outcome.
    pub reply_timeout: Span,
    /// Time after which an idempotent request is sent to a second backend server.
    pub hedge_delay: Span,
    /// Time between a failed query and the next one.
    pub query_interval: Span,
}

/// Position of an attempt within its call, counted from zero.
pub type AttemptIndex = usize;

/// How a call ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// With a complete answer.
    Answer(Arc<Answer>),
    /// Refused, and guaranteed not to have run.
    NotRun {
        /// The reason of the last refusal.
        refusal: Refusal,
        /// Time after which the caller may retry.
        retry_after: Span,
    },
    /// Without an answer, and it is unknown whether the request ran.
    Unknown {
        /// Whether the deadline has passed.
        late: bool,
    },
}

/// What the I/O driver of the call must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request as this attempt to the gate of this backend server.
    Send {
        /// Index of the attempt.
        attempt: AttemptIndex,
        /// The backend server.
        server: ServerId,
        /// Whether the call has been hedged or retried for load.
        is_retry: bool,
        /// Whether the gate should refuse the attempt rather than queue it or run it slowly: the
        /// attempt is a hedge, or other backend servers may be better.
        fail_fast: bool,
    },
    /// Query the gate for the outcome of the attempt, over a new connection.
    Query(AttemptIndex),
    /// Query the gate for the outcome of the attempt, and have it cancel the attempt. No more of its body is
    /// sent.
    Cancel(AttemptIndex),
    /// Have the gate refuse the attempt if it is queued. Its outcome follows.
    Withdraw(AttemptIndex),
    /// Record that the attempt is settled: its outcome will not be asked for again, and no more of its body is
    /// sent.
    Settle(AttemptIndex),
    /// Report the outcome to the caller. Only [`Action::Cancel`] and [`Action::Settle`] may follow.
    Finish(CallOutcome),
}
