//! The backend server beside the node, over HTTP/1.1.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures::{FutureExt, future::BoxFuture};
use gate::Finish;
use reqwest::{Client, Request, Response, Url};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};
use types::{Answer, Boot, CallId, Header};

/// Longest time to make a connection to the backend server on the own host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];
/// Header in which a backend server may name its incarnation.
const BOOT_HEADER: &str = "x-boot";

/// A request for the backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    pub(crate) call: CallId,
    pub(crate) method: SmolStr,
    pub(crate) path: SmolStr,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) depth: u32,
    pub(crate) repeat: bool,
}

/// Where a request is sent, and what counts as an answer.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// Statuses that promise that the request was not run.
    pub(crate) sheds: Vec<u16>,
    /// Largest answer body in bytes.
    pub(crate) most: u64,
}

/// How a request ended, and the incarnation that the backend server named.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) finish: Finish,
    pub(crate) boot: Option<Boot>,
}

impl From<Finish> for Ended {
    fn from(finish: Finish) -> Self {
        Self { finish, boot: None }
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

    /// Reads the load endpoint once, and returns the incarnation that the backend server names.
    fn probe(&self, address: SocketAddr) -> BoxFuture<'static, Option<Boot>>;
}

/// A backend server over HTTP/1.1.
#[derive(Debug, Clone)]
pub(crate) struct HttpBackend {
    client: Client,
}

impl HttpBackend {
    /// A client that sends each request once: no retries, no redirects, no proxy.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client })
    }
}

impl Backend for HttpBackend {
    fn probe(&self, address: SocketAddr) -> BoxFuture<'static, Option<Boot>> {
        let client = self.client.clone();
        async move {
            let url = format!("http://{address}/load");
            let reading = client.get(url).timeout(PROBE_TIMEOUT).send();
            boot_of(&reading.await.ok()?)
        }
        .boxed()
    }

    fn run(
        &self,
        request: ServerRequest,
        target: Target,
        deadline: Instant,
    ) -> BoxFuture<'static, Ended> {
        let client = self.client.clone();
        async move {
            let Some(http) = build(request, &target, deadline) else {
                return Finish::Unsent.into();
            };
            match timeout_at(deadline, exchange(&client, http, &target)).await {
                Ok(ended) => ended,
                Err(_) => Finish::Expired.into(),
            }
        }
        .boxed()
    }
}

/// Builds the HTTP request, `None` if it can't be one.
fn build(request: ServerRequest, target: &Target, deadline: Instant) -> Option<Request> {
    let url: Url = format!("http://{}{}", target.address, request.path)
        .parse()
        .ok()?;
    let method: Method = request.method.parse().ok()?;
    let mut http = Request::new(method, url);
    let headers = http.headers_mut();
    copy_headers(&request.headers, headers);
    let left = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    headers.insert("x-deadline-ms", HeaderValue::from(left as u64));
    headers.insert("x-request-id", request.call.to_string().parse().ok()?);
    headers.insert("x-depth", HeaderValue::from(request.depth + 1));
    headers.insert("x-repeat", HeaderValue::from(u32::from(request.repeat)));
    *http.body_mut() = Some(request.body.into());
    Some(http)
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

/// The headers of a message that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| Header {
        name: SmolStr::new(name),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

async fn exchange(client: &Client, request: Request, target: &Target) -> Ended {
    let method = request.method().clone();
    let response = match client.execute(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Finish::Unsent.into(),
        Err(_) => return Finish::Broken.into(),
    };
    let boot = boot_of(&response);
    let finish = match response.status().as_u16() {
        status if target.sheds.contains(&status) => Finish::Shed,
        _ if !is_delimited(&response, &method) => Finish::Broken,
        _ => read_answer(response, target.most).await,
    };
    Ended { finish, boot }
}

/// The incarnation that a response names.
fn boot_of(response: &Response) -> Option<Boot> {
    response
        .headers()
        .get(BOOT_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Whether the end of the body can be told from a connection that broke.
fn is_delimited(response: &Response, method: &Method) -> bool {
    let headers = response.headers();
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
    bodiless
        || method == Method::HEAD
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

async fn read_answer(mut response: Response, most: u64) -> Finish {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if (body.len() + chunk.len()) as u64 > most => {
                return Finish::Answered(Arc::new(oversized()));
            }
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(error) => {
                log::debug!(cause = error.source().map(ToString::to_string); "answer_cut");
                return Finish::Broken;
            }
        }
    }
    Finish::Answered(Arc::new(Answer {
        status,
        headers,
        body: body.freeze(),
    }))
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
