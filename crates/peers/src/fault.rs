//! What a failed request to a gate says of its attempt.

use std::{error::Error, io, iter};

use tonic::{ConnectError, Status};

/// Why no reply came from a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportError {
    /// The connection was refused. Nothing was sent.
    ConnectionRefused,
    /// No connection could be established in time. Nothing was sent.
    Unreachable,
    /// The connection was lost. The request may have arrived.
    ConnectionLost,
    /// The connection was lost before the whole body was handed over, so the gate starts nothing.
    BodyCut,
}

impl TransportError {
    /// Returns the name of the error for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "refused",
            Self::Unreachable => "unreached",
            Self::ConnectionLost => "broken",
            Self::BodyCut => "body_cut",
        }
    }
}

/// Maps a lost connection to one that was never established: if a session can't be opened, no
/// attempt was sent.
pub(super) fn as_not_sent(error: TransportError) -> TransportError {
    match error {
        TransportError::ConnectionLost => TransportError::Unreachable,
        other => other,
    }
}

/// Determines from the chain of causes whether a request was sent.
pub(super) fn classify_error(error: &(dyn Error + 'static)) -> TransportError {
    let causes = || iter::successors(Some(error), |e: &&(dyn Error + 'static)| (*e).source());
    match causes().any(|e| e.is::<ConnectError>()) {
        true if causes().any(is_connection_refused) => TransportError::ConnectionRefused,
        true => TransportError::Unreachable,
        false if error.is::<Status>() => TransportError::ConnectionLost,
        // Errors other than a status come from establishing a connection.
        false => TransportError::Unreachable,
    }
}

fn is_connection_refused(error: &(dyn Error + 'static)) -> bool {
    let io = error.downcast_ref::<io::Error>();
    io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused)
}
