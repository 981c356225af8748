//! What became of one attempt.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::time::Span;

/// Why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// All slots are taken and the queue is full, or the wait would be too long.
    Busy,
    /// The backend server is slow at present, and the attempt has other places to go.
    Slow,
    /// Most answers of the backend server failed lately, and the attempt has other places to go.
    Failing,
    /// The deadline has passed.
    Late,
    /// The backend server is leaving or its availability zone is out.
    Leaving,
    /// The node is stopping.
    Stopping,
    /// The node has compared its view with nobody for too long.
    Stale,
    /// The attempt was barred before it came, or is settled.
    Barred,
    /// The attempt was meant for another incarnation of the gate, or for a forgotten session.
    Session,
    /// The node doesn't guard the backend server that was named.
    Misplaced,
    /// No connection could be made.
    Down,
    /// The backend server shed the request without running it.
    Shed,
    /// The attempt was cancelled before it ran.
    Cancelled,
}

impl Refusal {
    /// Whether the refusal comes from load, so that a repeat elsewhere adds to it.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Busy | Self::Late | Self::Shed)
    }

    /// Whether the backend server itself refused, so that it saw the request.
    pub fn is_from_server(self) -> bool {
        self == Self::Shed
    }

    /// The name for logs and for callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Late => "late",
            Self::Leaving => "leaving",
            Self::Stopping => "stopping",
            Self::Stale => "stale",
            Self::Barred => "barred",
            Self::Session => "session",
            Self::Misplaced => "misplaced",
            Self::Down => "down",
            Self::Shed => "shed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One header of an HTTP message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in lower case.
    pub name: SmolStr,
    /// Its value.
    pub value: Bytes,
}

/// The whole answer of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those that belong to one connection.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// Lowest HTTP status with which a backend server says that it failed.
const FAILED_STATUS: u16 = 500;

impl Answer {
    /// Whether the backend server says that it failed.
    pub fn is_failure(&self) -> bool {
        self.status >= FAILED_STATUS
    }
}

/// What became of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not run by this attempt and never will be.
    NotRun {
        /// Why not.
        refusal: Refusal,
        /// Time after which to come back.
        retry_after: Span,
    },
    /// The request ran, and this is its answer.
    Answer(Arc<Answer>),
    /// Nobody can tell whether the request ran.
    Unknown,
    /// The request was begun and had no answer by its deadline. Nobody can tell whether it ran.
    Expired,
}

impl Outcome {
    /// A refusal with nothing to say about when to come back.
    pub fn refused(refusal: Refusal) -> Self {
        Self::NotRun {
            refusal,
            retry_after: Span::default(),
        }
    }
}
