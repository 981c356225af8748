//! Requests as backend servers get them.

use bytes::Bytes;
use smol_str::SmolStr;
use types::{CallId, Header, ServiceId};

/// A request for the backend server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    /// Id of the call, the same for all of its attempts.
    pub call: CallId,
    /// Method, as the caller wrote it.
    pub method: SmolStr,
    /// Path and query, in the caller's encoding.
    pub path: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body without its framing.
    pub body: Bytes,
    /// Levels of nested calls above this one.
    pub depth: u32,
    /// Whether this attempt, or a call above it, repeats an earlier one.
    pub is_retry: bool,
    /// Service of the host whose node received the request from its caller, if known.
    pub caller_service: Option<ServiceId>,
}
