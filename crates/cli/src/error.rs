//! Errors of the tool.

use std::{error::Error, fmt, io, path::PathBuf};

use types::CallId;

/// Error that keeps the tool from running a command.
#[derive(Debug)]
pub enum ToolError {
    /// A file can't be read.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        cause: io::Error,
    },
    /// A request to a node's admin API failed, or its response can't be decoded.
    Admin {
        /// Address of the admin API.
        address: String,
        /// Underlying error.
        cause: reqwest::Error,
    },
    /// The configuration to compare with isn't valid.
    Refused {
        /// File of the configuration.
        path: PathBuf,
        /// Number of its faults.
        faults: usize,
    },
    /// No log line belongs to the call.
    NoLines {
        /// Identifier of the call.
        call: CallId,
    },
    /// The async runtime can't be started.
    Runtime(io::Error),
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, .. } => write!(f, "failed to read {}", path.display()),
            Self::Admin { address, .. } => write!(f, "failed to query the admin API at {address}"),
            Self::Refused { path, faults } => {
                write!(
                    f,
                    "{} is not valid itself, it has {faults} faults",
                    path.display()
                )
            }
            Self::NoLines { call } => write!(f, "no log line found for call {call}"),
            Self::Runtime(_) => f.write_str("failed to start the async runtime"),
        }
    }
}

impl Error for ToolError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::File { cause, .. } | Self::Runtime(cause) => Some(cause),
            Self::Admin { cause, .. } => Some(cause),
            Self::Refused { .. } | Self::NoLines { .. } => None,
        }
    }
}
