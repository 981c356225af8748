//! Mapping between call metadata and the HTTP headers and statuses that carry it.
//!
//! A node parses a caller's headers into [`RequestMetadata`], sends [`AttemptMetadata`] with the
//! request to a backend server, and parses the response's headers into [`ResponseMetadata`]. A
//! caller that gets no response from a backend server gets an [`ErrorResponse`] for a
//! [`CallFailure`]. A [`Dialect`] defines the headers and statuses. [`NativeDialect`] is the
//! default; a deployment with other conventions implements its own.

mod native;

use std::{error::Error, fmt};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use types::{Boot, CallId, NamedLimit, Rate, Refusal, ServerId, ServiceId, Span};

pub use native::NativeDialect;

/// Hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Whether a header is hop-by-hop, that is, applies to a single connection.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name.as_str())
}

/// A request header has an invalid value. Holds the header's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHeader(pub &'static str);

impl fmt::Display for InvalidHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid value in header {}", self.0)
    }
}

impl Error for InvalidHeader {}

/// Metadata of a request, from the caller's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Time that the caller waits for a response; `None` if its headers set no deadline.
    pub time_left: Option<Span>,
    /// Number of calls above this one in a chain of nested calls.
    pub depth: u32,
    /// Whether a call above this one in the chain is a retry.
    pub is_retry: bool,
}

/// Metadata of an attempt, sent to the backend server along with the caller's headers.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// Identifier of the call.
    pub call: &'a CallId,
    /// Backend server that the attempt is addressed to.
    pub server: &'a ServerId,
    /// Service on the host whose ingress took the request, if known.
    pub caller_service: Option<&'a ServiceId>,
    /// Time left until the deadline.
    pub time_left: Span,
    /// Number of calls above this one in a chain of nested calls.
    pub depth: u32,
    /// Whether the attempt is a retry, or a call above it in the chain is one.
    pub is_retry: bool,
}

/// Load reported by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting in its queue.
    pub queued: u32,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Current service time in percent of the usual one.
    pub slowdown_percent: u32,
}

/// The call that a response names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum NamedCall {
    /// It names none.
    #[default]
    Absent,
    /// It names something that is no identifier, or two calls.
    Malformed,
    /// It names this call.
    Call(CallId),
}

/// Metadata of a response, from its status and headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The backend server guarantees that it did not run the request.
    pub shed: bool,
    /// The request was misdirected: the backend server at the address is not the one that the
    /// request is for, and did not run it.
    pub misdirected: bool,
    /// The call that the response belongs to, as it says.
    pub call: NamedCall,
    /// The backend server that sent the response, if it names itself.
    pub server: Option<ServerId>,
    /// Incarnation of the backend server, if present.
    pub boot: Option<Boot>,
    /// Load of the backend server, if reported.
    pub load: Option<ServerLoad>,
    /// Remaining warm-up time of the backend server, if reported.
    pub warmup_left: Option<Span>,
    /// Time that the backend server keeps an idle connection open, if reported.
    pub keep_alive: Option<Span>,
    /// Request rate that the backend server accepts.
    pub limit: NamedLimit,
    /// Whether the backend server says that it is leaving.
    pub leaving: bool,
}

/// Reason why a node rejects a request before it becomes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No route or service matches the request.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request line and headers exceed the size limit.
    HeadTooLarge,
    /// The request is not valid HTTP.
    Malformed,
    /// The connection closed before the end of the request, or the request arrived too slowly.
    Incomplete,
    /// The named request header has an invalid value.
    InvalidHeader(&'static str),
    /// The chain of nested calls is too deep.
    TooDeep,
    /// The node is starting and has no view yet.
    Joining,
    /// The node's memory limit for buffered bodies is reached.
    NoBufferSpace,
    /// The request has no key of a team, and its route needs one.
    NoTeam,
    /// The node can't prove that its configuration is current, so keys may have been withdrawn.
    KeysUnproven,
    /// The request's team has used up its allowance.
    OverAllowance {
        /// Time until the allowance has room for the request.
        retry_after: Span,
    },
    /// No node that knows what is left of the team's allowance could be reached.
    AllowanceUnknown,
}

impl Rejection {
    /// Name in logs and error responses.
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
            Self::NoTeam => "no_team",
            Self::KeysUnproven => "keys_unproven",
            Self::OverAllowance { .. } => "over_allowance",
            Self::AllowanceUnknown => "allowance_unknown",
        }
    }

    /// HTTP status of the error response, the same in every dialect.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Malformed | Self::InvalidHeader(_) => StatusCode::BAD_REQUEST,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::NoTeam => StatusCode::UNAUTHORIZED,
            Self::OverAllowance { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Joining | Self::NoBufferSpace | Self::KeysUnproven | Self::AllowanceUnknown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// Reason why a caller gets no response from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The request was not run and never will be.
    NotRun {
        /// Reason for the refusal.
        refusal: Refusal,
        /// Delay before the caller may retry.
        retry_after: Span,
    },
    /// The request may have been run.
    Unknown {
        /// Whether the deadline has passed.
        late: bool,
    },
    /// The request was rejected at the ingress and not run.
    Rejected {
        /// Reason for the rejection.
        rejection: Rejection,
        /// Delay before the caller may retry, if a retry can succeed.
        retry_after: Option<Span>,
    },
}

impl CallFailure {
    /// Name in logs and error responses.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotRun { refusal, .. } => refusal.name(),
            Self::Unknown { late: true } => "unknown_late",
            Self::Unknown { late: false } => "unknown",
            Self::Rejected { rejection, .. } => rejection.name(),
        }
    }
}

/// Response generated by the node in place of a backend server's.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Parses the value of a header in which a backend server names the request rate that it accepts.
pub fn parse_limit(value: Option<&HeaderValue>) -> NamedLimit {
    let Some(value) = value else {
        return NamedLimit::Absent;
    };
    let text = value.to_str().unwrap_or_default().trim();
    let rate = text.parse().ok().and_then(|rate| Rate::new(rate).ok());
    rate.map_or(NamedLimit::Malformed, NamedLimit::Rate)
}

/// Parses the header `name`, in which a response names its call.
pub fn parse_named_call(headers: &HeaderMap, name: &str) -> NamedCall {
    let mut ids = headers.get_all(name).iter();
    let parse = |id: &HeaderValue| std::str::from_utf8(id.as_bytes()).ok()?.parse().ok();
    match (ids.next(), ids.next()) {
        (None, _) => NamedCall::Absent,
        (Some(id), None) => parse(id).map_or(NamedCall::Malformed, NamedCall::Call),
        (Some(_), Some(_)) => NamedCall::Malformed,
    }
}

/// The only value of the header `name`, `None` if there is none or several.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a [u8]> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Some(value.as_bytes()),
        _ => None,
    }
}

/// Conventions for the headers and statuses that carry call metadata.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Identifier of the call from its request or response headers, if present and valid.
    fn call_id(&self, headers: &HeaderMap) -> Option<CallId>;

    /// Parses a caller's headers.
    ///
    /// # Errors
    ///
    /// [`InvalidHeader`] for the first header whose value can't be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader>;

    /// Whether the node sets this header itself, so that the caller's value is dropped.
    fn overrides(&self, name: &HeaderName) -> bool;

    /// The caller's key, `None` if it is missing, malformed or sent more than once.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Name of the header with the caller's key, in lower case. No backend server gets it where teams are
    /// configured.
    fn key_header(&self) -> &'static str;

    /// Name of the header that tells backend servers the caller's team, in lower case. One that a caller sent is
    /// always dropped, see [`overrides`](Self::overrides).
    fn team_header(&self) -> &'static str;

    /// Sets the headers of a request to a backend server.
    fn write_request(&self, attempt: &AttemptMetadata<'_>, headers: &mut HeaderMap);

    /// Parses a response's metadata. `shed_statuses` are the statuses with which the service
    /// guarantees that it did not run a request.
    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        shed_statuses: &[u16],
    ) -> ResponseMetadata;

    /// Path of the health endpoint, unless the service configures another.
    fn probe_path(&self) -> &'static str;

    /// Whether a response body without a length is complete when the connection closes cleanly
    /// (close-delimited, RFC 9112, section 6.3).
    fn allows_close_delimited(&self) -> bool;

    /// Whether backend servers name the call id in all answers to requests.
    fn echoes_call_id(&self) -> bool {
        false
    }

    /// Builds the error response for a failed call.
    fn error_response(&self, call: &CallId, failure: &CallFailure) -> ErrorResponse;

    /// Sets the call identifier on a response to the caller, if the dialect has a header for it.
    fn set_call_id(&self, call: &CallId, headers: &mut HeaderMap);
}
