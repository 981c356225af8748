//! HTTP/1.1 client of the backend server beside the node.
//!
//! Each request is sent at most once. [`Completion`] says how it ended: nothing was sent, the
//! backend server states that it didn't run the request, a complete answer arrived, or the result
//! is unknown.
//!
//! A faulty backend server may send bytes after a complete answer, such as a copy of it. An answer
//! says something about a request or its backend server only if it belongs to that request.
//!
//! - Idle connections are reused in FIFO order: the longer a connection stays idle, the more likely
//!   such bytes arrive before its next request, and unexpected bytes close an idle connection.
//! - An answer that arrives even later is recognized by the call id that it names. Where the dialect
//!   has backend servers name the call id in all answers, one without it doesn't belong to a request,
//!   unless it rejects the request and nothing has come over the connection before.
//! - A call is never repeated over the connection of its earlier answer.
//! - Probes have no call id. They have connections of their own, so no copy of an answer to a probe
//!   arrives where the answer to a request is expected.

#[cfg(test)]
mod tests;

mod pool;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use attempt::ServerRequest;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use board::Clock;
use bytes::Bytes;
use dialect::{AttemptMetadata, Dialect, NamedCall, ResponseMetadata, is_hop_by_hop};
use futures::{FutureExt, future::BoxFuture};
use gate::Completion;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use support::body_budget::{BodyBudget, BodyError, BodyReservation};
use tokio::time::{Instant, timeout, timeout_at};
use types::{Answer, CallId, Header, ServerId, Span};

use pool::{Pool, SendError, Sent};

/// Timeout of a probe: the interval between probes at the usual rate of four a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the body of an answer to a probe, which is read only to reuse the connection.
const MAX_PROBE_BODY: usize = 64 << 10;

/// Maximum headers of a message that is forwarded: half of what a header map holds, which leaves room
/// for those that the node adds.
pub const MAX_FORWARDED_HEADERS: usize = 16_384;

/// A message has too many headers to be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyHeaders;

/// Where a request is sent, and how its answer is read.
#[derive(Debug, Clone)]
pub struct Target {
    /// Backend server that the view lists.
    pub server: ServerId,
    /// Its address for requests.
    pub address: SocketAddr,
    /// Path of the health endpoint. If it is empty, the dialect's default is used.
    pub health_path: SmolStr,
    /// Statuses by which the backend server states that it didn't run the request.
    pub shed_statuses: Vec<u16>,
    /// Maximum size of an answer body in bytes.
    pub answer_limit: u64,
}

/// Why a probe has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeError {
    /// The connection was refused: nobody listens at the address.
    Refused,
    /// No complete answer arrived.
    NoAnswer,
}

/// How a request ended, and the metadata of its answer.
#[derive(Debug)]
pub struct RequestResult {
    /// How the request ended.
    pub completion: Completion,
    /// What its answer says of the backend server.
    pub metadata: ResponseMetadata,
    /// Whether the connection was refused.
    pub refused: bool,
}

impl From<Completion> for RequestResult {
    fn from(completion: Completion) -> Self {
        Self {
            completion,
            metadata: ResponseMetadata::default(),
            refused: false,
        }
    }
}

/// Operations on the backend server that a gate needs.
pub trait Backend: Send + Sync {
    /// Sends a request at most once and reads the whole answer, until `deadline`.
    ///
    /// Dropping the future cancels the request at the backend server.
    fn run(
        &self,
        request: ServerRequest,
        target: Target,
        deadline: Instant,
    ) -> BoxFuture<'static, RequestResult>;

    /// Requests the health endpoint once.
    fn probe(&self, target: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>>;
}

/// A backend server that is reached over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpBackend {
    dialect: Arc<dyn Dialect>,
    /// Connections for requests.
    requests: Arc<Pool>,
    /// Connections for probes.
    probes: Arc<Pool>,
    body_budget: BodyBudget,
}

impl HttpBackend {
    /// Creates a client without connections.
    pub fn new(dialect: Arc<dyn Dialect>, clock: Clock, body_budget: BodyBudget) -> Self {
        Self {
            dialect,
            requests: Arc::new(Pool::new(clock)),
            probes: Arc::new(Pool::new(clock)),
            body_budget,
        }
    }

    async fn exchange(
        self,
        http: Request<Full<Bytes>>,
        call: CallId,
        target: Target,
    ) -> RequestResult {
        let method = http.method().clone();
        let sent = self.requests.send(target.address, Some(&call), http).await;
        let Sent {
            response,
            connection,
            reused,
        } = match sent {
            Ok(sent) => sent,
            Err(SendError::Refused) => {
                return RequestResult {
                    refused: true,
                    ..Completion::Unsent.into()
                };
            }
            Err(SendError::NotSent) => return Completion::Unsent.into(),
            Err(SendError::MaybeSent) => {
                self.requests.remove_idle(target.address);
                self.probes.remove_idle(target.address);
                return Completion::Incomplete.into();
            }
        };
        let status = response.status().as_u16();
        if !Answer::is_final(status) && !target.shed_statuses.contains(&status) {
            log::warn!(address:% = target.address, call:% = call, status; "answer_not_final");
            return Completion::Incomplete.into();
        }
        let metadata = self.dialect.read_response(
            response.status(),
            response.headers(),
            &target.shed_statuses,
        );
        if !self.belongs_to(&metadata, &call, reused) {
            log::warn!(address:% = target.address, call:% = call; "answer_misplaced");
            return Completion::Incomplete.into();
        }
        let closes = has_close(response.headers());
        let completion = match () {
            () if opens_tunnel(response.status(), &method) => Completion::Incomplete,
            () if metadata.misdirected => Completion::Misdirected,
            () if metadata.shed => Completion::Shed,
            () if !self.is_delimited(&response, &method) => Completion::Incomplete,
            () => {
                self.read_answer(response, target.answer_limit, &method)
                    .await
            }
        };
        // A connection is reused only if its answer was read to the end.
        if matches!(completion, Completion::Answered(_)) && !closes {
            self.requests
                .release(target.address, connection, metadata.keep_alive);
        }
        RequestResult {
            completion,
            metadata,
            refused: false,
        }
    }

    /// Whether a response is the answer to `call`. `reused` says whether the connection has carried
    /// an answer before.
    fn belongs_to(&self, metadata: &ResponseMetadata, call: &CallId, reused: bool) -> bool {
        let rejected = metadata.misdirected || metadata.shed;
        match &metadata.call {
            NamedCall::Call(id) => id == call,
            NamedCall::Malformed => false,
            NamedCall::Absent if self.dialect.echoes_call_id() => rejected && !reused,
            NamedCall::Absent => true,
        }
    }

    /// Whether the end of the body can be distinguished from a broken connection, or the dialect
    /// accepts bodies that end with the connection.
    fn is_delimited(&self, response: &Response<Incoming>, method: &Method) -> bool {
        let headers = response.headers();
        let bodiless =
            [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
        self.dialect.allows_close_delimited()
            || bodiless
            || method == Method::HEAD
            || headers.contains_key("content-length")
            || headers.contains_key("transfer-encoding")
    }

    /// Builds the HTTP request. Returns `None` if the method or the path is invalid, or if it has too
    /// many headers.
    fn build(
        &self,
        request: &ServerRequest,
        target: &Target,
        deadline: Instant,
    ) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = request.path.parse().ok()?;
        let method: Method = request.method.parse().ok()?;
        let mut http = Request::new(Full::new(request.body.clone()));
        (*http.method_mut(), *http.uri_mut()) = (method, uri);
        let headers = http.headers_mut();
        copy_headers(&request.headers, headers).ok()?;
        add_host(headers, target.address);
        let left = deadline.saturating_duration_since(Instant::now());
        let outgoing = AttemptMetadata {
            call: &request.call,
            server: &target.server,
            caller_service: request.caller_service.as_ref(),
            time_left: Span(left.as_micros() as u64),
            depth: request.depth,
            is_retry: request.is_retry,
        };
        self.dialect.write_request(&outgoing, headers);
        Some(http)
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
        limit: u64,
        method: &Method,
    ) -> Completion {
        let (parts, body) = response.into_parts();
        let mut headers = end_to_end_headers(&parts.headers);
        // An answer to HEAD has no body to take the length from, so the header is kept.
        if let (&Method::HEAD, Some(length)) = (method, parts.headers.get("content-length")) {
            headers.push(Header {
                name: SmolStr::new_static("content-length"),
                value: Bytes::copy_from_slice(length.as_bytes()),
            });
        }
        let mut reservation = BodyReservation::default();
        let reading = self.body_budget.collect(body, limit, &mut reservation);
        match reading.await {
            Ok(body) => Completion::Answered(Arc::new(Answer {
                status: parts.status.as_u16(),
                headers,
                body,
            })),
            Err(BodyError::TooLarge) => Completion::Answered(Arc::new(answer_too_large())),
            Err(BodyError::NoBufferSpace) => {
                log::warn!(limit; "answer_given_up");
                Completion::Incomplete
            }
            Err(BodyError::Cut(error)) => {
                log::debug!(cause:% = error; "answer_cut");
                Completion::Incomplete
            }
        }
    }

    async fn probe_once(self, target: Target) -> Result<ResponseMetadata, ProbeError> {
        let path = match target.health_path.as_str() {
            "" => self.dialect.probe_path(),
            path => path,
        };
        let mut http = Request::new(Full::new(Bytes::new()));
        *http.uri_mut() = path.parse().map_err(|_| ProbeError::NoAnswer)?;
        add_host(http.headers_mut(), target.address);
        let sent = self.probes.send(target.address, None, http).await;
        let Sent {
            response,
            connection,
            ..
        } = match sent {
            Ok(sent) => sent,
            Err(SendError::Refused) => return Err(ProbeError::Refused),
            Err(SendError::NotSent | SendError::MaybeSent) => return Err(ProbeError::NoAnswer),
        };
        if !Answer::is_final(response.status().as_u16()) {
            return Err(ProbeError::NoAnswer);
        }
        let metadata = self
            .dialect
            .read_response(response.status(), response.headers(), &[]);
        if metadata.call != NamedCall::Absent {
            log::warn!(address:% = target.address; "probe_answer_misplaced");
            return Err(ProbeError::NoAnswer);
        }
        let closes = has_close(response.headers());
        let body = Limited::new(response.into_body(), MAX_PROBE_BODY);
        body.collect().await.map_err(|_| ProbeError::NoAnswer)?;
        if !closes {
            self.probes
                .release(target.address, connection, metadata.keep_alive);
        }
        Ok(metadata)
    }
}

impl Backend for HttpBackend {
    fn run(
        &self,
        request: ServerRequest,
        target: Target,
        deadline: Instant,
    ) -> BoxFuture<'static, RequestResult> {
        let backend = self.clone();
        async move {
            let Some(http) = backend.build(&request, &target, deadline) else {
                log::warn!(call:% = request.call; "request_not_sendable");
                return Completion::Unsent.into();
            };
            let running = backend.exchange(http, request.call, target);
            match timeout_at(deadline, running).await {
                Ok(ended) => ended,
                Err(_) => Completion::Expired.into(),
            }
        }
        .boxed()
    }

    fn probe(&self, target: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>> {
        let probing = self.clone().probe_once(target);
        async move {
            let probed = timeout(PROBE_TIMEOUT, probing).await;
            probed.unwrap_or(Err(ProbeError::NoAnswer))
        }
        .boxed()
    }
}

/// Copies the headers of a message, without those whose name or value is invalid.
///
/// # Errors
///
/// [`TooManyHeaders`] if they don't fit into a header map.
pub fn copy_headers(from: &[Header], to: &mut HeaderMap) -> Result<(), TooManyHeaders> {
    if from.len() > MAX_FORWARDED_HEADERS {
        return Err(TooManyHeaders);
    }
    for header in from {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            to.try_append(name, value).map_err(|_| TooManyHeaders)?;
        }
    }
    Ok(())
}

fn add_host(headers: &mut HeaderMap, address: SocketAddr) {
    if !headers.contains_key("host") {
        let host =
            HeaderValue::from_str(&address.to_string()).expect("a socket address is visible ASCII");
        headers.insert("host", host);
    }
}

/// Whether a tunnel follows a response, which then is no answer.
fn opens_tunnel(status: StatusCode, method: &Method) -> bool {
    method == Method::CONNECT && status.is_success()
}

/// Whether a message carries `connection: close`.
fn has_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("connection").iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// The headers of a message that are forwarded: neither hop-by-hop headers nor the length, which is
/// set again for each hop.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let listed: Vec<&str> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(str::trim))
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        let hop = is_hop_by_hop(name) || *name == "content-length";
        !hop && !listed.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()))
    });
    kept.map(|(name, value)| Header {
        name: SmolStr::new(name),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

/// The answer that replaces one whose body exceeds the service's limit.
fn answer_too_large() -> Answer {
    Answer {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: vec![Header {
            name: "x-outcome".into(),
            value: Bytes::from_static(b"ran"),
        }],
        body: Bytes::from_static(b"{\"error\":\"answer_too_large\"}"),
    }
}
