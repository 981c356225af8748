//! The backend server beside the node, over HTTP/1.1.
//!
//! Each request is sent once. [`Completion`] tells apart what matters: nothing was sent, the backend
//! server promises that it didn't run it, a whole answer came, or nobody can tell.
//!
//! Connections are kept and used in turn, the one that was idle longest first: bytes that a faulty
//! backend server sends after a complete answer then arrive while the connection is idle, which ends
//! it. What arrives later still is told by the call that the answer names.

mod pool;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use board::Clock;
use bytes::Bytes;
use dialect::{Dialect, Facts, Outgoing, is_hop};
use futures::{FutureExt, future::BoxFuture};
use gate::Completion;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout, timeout_at};
use types::{Answer, CallId, Header, ServerId, ServiceId, Span};

use pool::{Pool, SendError};

/// Longest time that a probe may take: the time between two at the usual four a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A request for the backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    pub(crate) call: CallId,
    pub(crate) method: SmolStr,
    /// Path and query, byte for byte as the caller sent them.
    pub(crate) path: SmolStr,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) depth: u32,
    pub(crate) repeat: bool,
    /// Service beside the host at which the request came in.
    pub(crate) origin: Option<ServiceId>,
}

/// Where a request is sent, and what counts as an answer.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    /// Path of the health endpoint, empty for the dialect's.
    pub(crate) health: SmolStr,
    /// Statuses that promise that the request was not run.
    pub(crate) sheds: Vec<u16>,
    /// Largest answer body in bytes.
    pub(crate) most: u64,
}

/// How a request ended, and what the answer said besides.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) finish: Completion,
    pub(crate) facts: Facts,
}

impl From<Completion> for Ended {
    fn from(finish: Completion) -> Self {
        Self {
            finish,
            facts: Facts::default(),
        }
    }
}

/// The backend server, as far as a gate needs it.
pub(crate) trait Backend: Send + Sync {
    /// Sends a request once and reads the whole answer, by `deadline` at the latest.
    ///
    /// Dropping the future cancels the request at the backend server.
    fn run(
        &self,
        request: ServerRequest,
        target: Target,
        deadline: Instant,
    ) -> BoxFuture<'static, Ended>;

    /// Reads the health endpoint once, `None` if no answer came.
    fn probe(&self, target: Target) -> BoxFuture<'static, Option<Facts>>;
}

/// A backend server over HTTP/1.1.
#[derive(Debug, Clone)]
pub(crate) struct HttpBackend {
    dialect: Arc<dyn Dialect>,
    pool: Arc<Pool>,
}

impl HttpBackend {
    /// A client that sends each request once.
    pub(crate) fn new(dialect: Arc<dyn Dialect>, clock: Clock) -> Self {
        Self {
            dialect,
            pool: Arc::new(Pool::new(clock)),
        }
    }

    async fn exchange(self, http: Request<Full<Bytes>>, call: CallId, target: Target) -> Ended {
        let method = http.method().clone();
        let (response, connection) = match self.pool.send(target.address, http).await {
            Ok(sent) => sent,
            Err(SendError::Unsent) => return Completion::Unsent.into(),
            Err(SendError::Broken) => {
                self.pool.forget(target.address);
                return Completion::Incomplete.into();
            }
        };
        let facts = self
            .dialect
            .facts(response.status(), response.headers(), &target.sheds);
        let strange = facts.call.as_ref().is_some_and(|named| *named != call);
        let closes = closes(response.headers());
        let finish = match () {
            () if strange => Completion::Incomplete,
            () if facts.misplaced => Completion::WrongServer,
            () if facts.shed => Completion::Shed,
            () if !self.is_delimited(&response, &method) => Completion::Incomplete,
            () => read_answer(response, target.most, &method).await,
        };
        // A connection whose answer wasn't read to its end isn't used again.
        if matches!(finish, Completion::Answered(_)) && !closes {
            self.pool.put_back(target.address, connection, facts.keep);
        }
        Ended { finish, facts }
    }

    /// Whether the end of the body can be told from a connection that broke.
    fn is_delimited(&self, response: &Response<Incoming>, method: &Method) -> bool {
        let headers = response.headers();
        let bodiless =
            [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
        self.dialect.ends_by_close()
            || bodiless
            || method == Method::HEAD
            || headers.contains_key("content-length")
            || headers.contains_key("transfer-encoding")
    }

    /// Builds the HTTP request, `None` if it can't be one.
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
        copy_headers(&request.headers, headers);
        add_host(headers, target.address);
        let left = deadline.saturating_duration_since(Instant::now());
        let outgoing = Outgoing {
            call: &request.call,
            server: &target.server,
            origin: request.origin.as_ref(),
            left: Span(left.as_micros() as u64),
            depth: request.depth,
            repeat: request.repeat,
        };
        self.dialect.write(&outgoing, headers);
        Some(http)
    }

    async fn probe_once(self, target: Target) -> Option<Facts> {
        let path = match target.health.as_str() {
            "" => self.dialect.probe_path(),
            path => path,
        };
        let mut http = Request::new(Full::new(Bytes::new()));
        *http.uri_mut() = path.parse().ok()?;
        add_host(http.headers_mut(), target.address);
        let (response, connection) = self.pool.send(target.address, http).await.ok()?;
        let facts = self
            .dialect
            .facts(response.status(), response.headers(), &[]);
        let closes = closes(response.headers());
        let body = Limited::new(response.into_body(), target.most as usize);
        body.collect().await.ok()?;
        if !closes {
            self.pool.put_back(target.address, connection, facts.keep);
        }
        Some(facts)
    }
}

impl Backend for HttpBackend {
    fn run(
        &self,
        request: ServerRequest,
        target: Target,
        deadline: Instant,
    ) -> BoxFuture<'static, Ended> {
        let backend = self.clone();
        async move {
            let Some(http) = backend.build(&request, &target, deadline) else {
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

    fn probe(&self, target: Target) -> BoxFuture<'static, Option<Facts>> {
        let probing = self.clone().probe_once(target);
        async move { timeout(PROBE_TIMEOUT, probing).await.ok().flatten() }.boxed()
    }
}

fn copy_headers(from: &[Header], to: &mut HeaderMap) {
    for header in from {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

fn add_host(headers: &mut HeaderMap, address: SocketAddr) {
    if !headers.contains_key("host") {
        let host =
            HeaderValue::from_str(&address.to_string()).expect("an address is visible ASCII");
        headers.insert("host", host);
    }
}

/// Whether a message says that its connection ends with it.
fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("connection").iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// The headers of a message that are passed on. The length is written anew.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let named: Vec<&str> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(str::trim))
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        let hop = is_hop(name) || *name == "content-length";
        !hop && !named.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()))
    });
    kept.map(|(name, value)| Header {
        name: SmolStr::new(name),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

async fn read_answer(response: Response<Incoming>, most: u64, method: &Method) -> Completion {
    let (parts, body) = response.into_parts();
    let mut headers = end_to_end(&parts.headers);
    // What would have been the length of the body that HEAD leaves out.
    if let (&Method::HEAD, Some(length)) = (method, parts.headers.get("content-length")) {
        headers.push(Header {
            name: SmolStr::new_static("content-length"),
            value: Bytes::copy_from_slice(length.as_bytes()),
        });
    }
    match Limited::new(body, most as usize).collect().await {
        Ok(whole) => Completion::Answered(Arc::new(Answer {
            status: parts.status.as_u16(),
            headers,
            body: whole.to_bytes(),
        })),
        Err(error) if error.is::<LengthLimitError>() => Completion::Answered(Arc::new(oversized())),
        Err(error) => {
            log::debug!(cause:% = error; "answer_cut");
            Completion::Incomplete
        }
    }
}

/// What the caller gets in place of an answer that is larger than the release note allows.
fn oversized() -> Answer {
    Answer {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: vec![Header {
            name: "x-outcome".into(),
            value: Bytes::from_static(b"ran"),
        }],
        body: Bytes::from_static(b"{\"error\":\"answer_too_large\"}"),
    }
}
