//! Why the tool could not look.

use std::{error::Error, fmt, io, path::PathBuf};

use types::CallId;

/// Why the tool could not look.
#[derive(Debug)]
pub enum ToolError {
    /// A file can't be read.
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        cause: io::Error,
    },
    /// A node's admin API gives no answer that can be understood.
    Admin {
        /// Its address.
        address: String,
        /// Why not.
        cause: reqwest::Error,
    },
    /// No line of the logs names the request.
    NoLines {
        /// The request.
        call: CallId,
    },
    /// The runtime can't be started.
    Runtime(io::Error),
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, .. } => write!(f, "can't read {}", path.display()),
            Self::Admin { address, .. } => write!(f, "can't read the admin API at {address}"),
            Self::NoLines { call } => write!(f, "no line names the request {call}"),
            Self::Runtime(_) => f.write_str("can't start the runtime"),
        }
    }
}

impl Error for ToolError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::File { cause, .. } | Self::Runtime(cause) => Some(cause),
            Self::Admin { cause, .. } => Some(cause),
            Self::NoLines { .. } => None,
        }
    }
}
