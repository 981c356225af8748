//! Outcome of one attempt.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::time::Span;

/// Reason why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The attempt can't start now and may not wait: it is fail-fast, the queue is full, or the
    /// wait would be too long.
    Busy,
    /// The backend server is slow at present, and other backend servers can take the attempt.
    Slow,
    /// A high share of the backend server's recent responses were failures, and other backend
    /// servers can take the attempt.
    Failing,
    /// The deadline of the attempt has passed or can no longer be met.
    Late,
    /// The gate is closed for new work: the backend server is being drained, its host is shutting
    /// down, or its availability zone is taken out of service.
    Leaving,
    /// The node is shutting down.
    Stopping,
    /// The lease on the node's view has expired: neither a peer nor the platform confirmed the view
    /// in time.
    Stale,
    /// The ingress barred the attempt before it arrived, or the attempt is already settled.
    Barred,
    /// The attempt is addressed to another incarnation of the gate.
    Session,
    /// The request is misdirected: the named backend server is not the one behind this node's gate,
    /// or has left the view.
    Misplaced,
    /// The backend server rejected the request as misdirected: another one is at its address.
    Misdirected,
    /// The request could not be sent to the node or to its backend server.
    Down,
    /// The backend server rejected the request without running it.
    Shed,
    /// The backend server has named a limit on its requests, and there is no room under it.
    Limited,
    /// Backend servers have ended under such a request, so it is held back.
    Quarantined,
    /// The attempt was cancelled before it ran, or its body didn't arrive in time or in full.
    Cancelled,
}

impl Refusal {
    /// Whether overload caused the refusal, so that a retry elsewhere adds to the load.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Busy | Self::Limited | Self::Late | Self::Shed)
    }

    /// Whether the backend server itself refused, which means that it received the request.
    pub fn is_from_server(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }

    /// The name that logs and callers see.
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
            Self::Misdirected => "misdirected",
            Self::Down => "down",
            Self::Shed => "shed",
            Self::Limited => "limited",
            Self::Quarantined => "quarantined",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A header of an HTTP message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: SmolStr,
    /// Value as raw bytes.
    pub value: Bytes,
}

/// A complete HTTP response of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Lowest status code of the server error class.
const MIN_FAILURE_STATUS: u16 = 500;

impl Answer {
    /// Whether a status is that of a final response (RFC 9110, section 15), and so of an answer.
    pub fn is_final(status: u16) -> bool {
        (200..=599).contains(&status)
    }

    /// Whether the status reports a server error.
    pub fn is_failure(&self) -> bool {
        self.status >= MIN_FAILURE_STATUS
    }
}

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// This attempt did not run the request and never will.
    NotRun {
        /// Reason for the refusal.
        refusal: Refusal,
        /// Time after which the caller may retry, zero if unspecified.
        retry_after: Span,
    },
    /// The request ran and returned this response.
    Answer(Arc<Answer>),
    /// Whether the request ran is not known.
    Unknown,
    /// The request was started and had no response by its deadline. Whether it ran is not known.
    Expired,
}

impl Outcome {
    /// A refusal without a retry time.
    pub fn refused(refusal: Refusal) -> Self {
        Self::NotRun {
            refusal,
            retry_after: Span::default(),
        }
    }
}
