//! Requests as backend servers get them.

use bytes::Bytes;
use smol_str::SmolStr;
use types::{CallId, Header, ServiceId};

/// A request for the backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    pub(crate) call: CallId,
    pub(crate) method: SmolStr,
    /// Path and query, in the caller's encoding.
    pub(crate) path: SmolStr,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Levels of nested calls above this one.
    pub(crate) depth: u32,
    /// Whether this attempt, or a call above it, repeats an earlier one.
    pub(crate) is_retry: bool,
    /// Service of the host whose node received the request from its caller, if known.
    pub(crate) caller_service: Option<ServiceId>,
}
