//! What HTTP headers and statuses mean, towards callers and towards backend servers.
//!
//! A node reads a request into [`RequestMetadata`], hands it to a backend server with what [`AttemptMetadata`] says,
//! reads [`ResponseMetadata`] out of the answer, and tells a caller that gets no answer a [`CallFailure`]. Which
//! headers and statuses carry these is a [`Dialect`]: [`NativeDialect`] is the product's own, and a
//! deployment with conventions of its own brings another.

mod native;

use std::{error::Error, fmt};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode};
use types::{Boot, CallId, Refusal, ServerId, ServiceId, Span};

pub use native::NativeDialect;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header belongs to one connection only.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// A header of the callers' protocol has a value that it can't have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHeader(pub &'static str);

impl fmt::Display for InvalidHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header {} has a value that it can't have", self.0)
    }
}

impl Error for InvalidHeader {}

/// What a caller's headers say about its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Time that the caller waits.
    pub time_left: Option<Span>,
    /// Levels of nested calls above this one.
    pub depth: u32,
    /// Whether a call above this one is a repeat.
    pub is_retry: bool,
}

/// What goes to a backend server besides the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// The call.
    pub call: &'a CallId,
    /// Backend server that is meant.
    pub server: &'a ServerId,
    /// Service beside the host at which the request came in, if it is known.
    pub caller_service: Option<&'a ServiceId>,
    /// Time left.
    pub time_left: Span,
    /// Levels of nested calls above the backend server's own.
    pub depth: u32,
    /// Whether the attempt, or a call above it, repeats another.
    pub is_retry: bool,
}

/// Load that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in its queue.
    pub queued: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Present time of its work, in percent of the usual one.
    pub latency_percent: u32,
}

/// What an answer's status and headers say besides the answer itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The backend server promises that it didn't run the request.
    pub shed: bool,
    /// Another backend server than the one that was meant has the address. It ran nothing.
    pub misdirected: bool,
    /// The call that the answer belongs to, if it names one.
    pub call: Option<CallId>,
    /// Incarnation of the backend server, if it names one.
    pub boot: Option<Boot>,
    /// The backend server's load, if it reports it.
    pub load: Option<ServerLoad>,
    /// Time that the backend server stays cold, if it tells.
    pub warmup_left: Option<Span>,
    /// Seconds for which the backend server keeps an idle connection, if it tells.
    pub keep_alive: Option<Span>,
}

/// Why a request is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No route, or no service, takes the request.
    NoRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The head is no HTTP.
    Malformed,
    /// The body broke off, or came too slowly.
    Incomplete,
    /// A header of the callers' protocol has a value that it can't have.
    InvalidHeader(&'static str),
    /// Too many levels of nested calls.
    TooDeep,
    /// The node has no view yet.
    Joining,
    /// The bodies that the node holds already leave no room for this one.
    NoBufferSpace,
}

impl Rejection {
    /// The name for logs and for callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::Malformed => "malformed",
            Self::Incomplete => "incomplete",
            Self::InvalidHeader(_) => "bad_header",
            Self::TooDeep => "too_deep",
            Self::Joining => "joining",
            Self::NoBufferSpace => "no_room",
        }
    }

    /// The status for callers, the same in every dialect.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Malformed | Self::InvalidHeader(_) => StatusCode::BAD_REQUEST,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::Joining | Self::NoBufferSpace => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// What a caller is told that gets no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// It was not run and never will be.
    NotRun {
        /// Why not.
        refusal: Refusal,
        /// When to come back.
        retry_after: Span,
    },
    /// Nobody can tell whether it ran.
    Unknown {
        /// Whether the deadline has passed.
        late: bool,
    },
    /// It is no call, and so was not run.
    Rejected {
        /// Why.
        rejection: Rejection,
        /// When to come back, where that can help.
        retry_after: Option<Span>,
    },
}

impl CallFailure {
    /// The name for logs and for callers.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotRun { refusal, .. } => refusal.name(),
            Self::Unknown { late: true } => "unknown_late",
            Self::Unknown { late: false } => "unknown",
            Self::Rejected { rejection, .. } => rejection.name(),
        }
    }
}

/// A final answer that isn't a backend server's.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The meaning of headers and statuses.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// The caller's name for its request, if it gives one that can be used.
    fn call_id(&self, headers: &HeaderMap) -> Option<CallId>;

    /// Reads what a caller's headers say.
    ///
    /// # Errors
    ///
    /// [`InvalidHeader`] names the header.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader>;

    /// Whether the node writes this header itself, so that a caller's is not passed on.
    fn overrides(&self, name: &HeaderName) -> bool;

    /// Writes the headers of a request to a backend server.
    fn write_request(&self, outgoing: &AttemptMetadata<'_>, headers: &mut HeaderMap);

    /// Reads what an answer says besides itself. `sheds` are the statuses with which the service
    /// promises that it didn't run a request.
    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sheds: &[u16],
    ) -> ResponseMetadata;

    /// Path of the endpoint that is probed, unless the service names another.
    fn probe_path(&self) -> &'static str;

    /// Whether an answer without a length is whole when its connection is closed in order.
    fn allows_close_delimited(&self) -> bool;

    /// Writes a verdict.
    fn error_response(&self, call: &CallId, verdict: &CallFailure) -> ErrorResponse;

    /// Names the call on the backend server's answer to the caller, where that is the custom.
    fn set_call_id(&self, call: &CallId, headers: &mut HeaderMap);
}
