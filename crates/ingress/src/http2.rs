//! An HTTP/2 connection of a caller, opened with prior knowledge instead of an upgrade.

use std::{convert::Infallible, sync::Arc};

use axum::http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header::CONTENT_LENGTH,
    request::Parts,
};
use bytes::Bytes;
use dialect::Rejection;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use smol_str::SmolStr;
use support::body_budget::{BodyError, BodyReservation};
use tokio::{net::TcpStream, sync::watch, time::timeout_at};

use super::{
    Ingress,
    framing::SizeLimits,
    routing::{self, RequestHead},
};

/// Serves a connection until either side closes it.
pub(super) async fn serve(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> hyper::Result<()> {
    let max_head = ingress.board.view.borrow().state.callers.head.0;
    let service = service_fn(move |request| handle(Arc::clone(&ingress), request));
    let connection = http2::Builder::new(TokioExecutor::new())
        .max_header_list_size(header_list_size(max_head))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

/// Size in HTTP/2's count of any head that the limit of `max_head` bytes allows.
fn header_list_size(max_head: u64) -> u32 {
    /// Largest ratio between the two counts: a header takes three bytes in HTTP/1.1, besides its name
    /// and value, and 32 in HTTP/2 (RFC 9113, section 6.5.2).
    const MAX_RATIO: u64 = 9;
    let limits = SizeLimits {
        head: max_head,
        body: 0,
    };
    let size = max_head
        .saturating_mul(MAX_RATIO)
        .saturating_add(limits.line());
    u32::try_from(size).unwrap_or(u32::MAX)
}

async fn handle(
    ingress: Arc<Ingress>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let started_at = ingress.board.clock.now();
    let (parts, body) = request.into_parts();
    let is_head = parts.method == Method::HEAD;
    let head = request_head(parts);
    let limits = SizeLimits::from(&ingress.board.view.borrow().state.callers);
    let call = routing::call_id(ingress.dialect.as_ref(), &head.headers);
    let mut routed = routing::route_call(&ingress, &call, &head, started_at);
    if head.method == "CONNECT" {
        routed = Err(Rejection::Malformed);
    }
    let is_large =
        header_bytes(&head.headers) > limits.head || head.target.len() as u64 > limits.line();
    // A node without a configuration doesn't know the limit on heads.
    if is_large && !matches!(routed, Err(Rejection::Joining)) {
        routed = Err(Rejection::HeadTooLarge);
    }
    let mut reservation = BodyReservation::default();
    if let Ok(routed_call) = &mut routed {
        let max_bytes = routed_call.max_body;
        let deadline = ingress.board.clock.instant(routed_call.deadline);
        let reading = ingress
            .body_budget
            .collect(body, max_bytes, &mut reservation);
        match timeout_at(deadline, reading).await {
            Ok(Ok(whole)) => routed_call.set_body(whole),
            Ok(Err(BodyError::TooLarge)) => routed = Err(Rejection::BodyTooLarge),
            Ok(Err(BodyError::NoBufferSpace)) => routed = Err(Rejection::NoBufferSpace),
            Ok(Err(BodyError::Cut(error))) => {
                log::debug!(call:% = call, error:% = error; "caller_body_cut");
                routed = Err(Rejection::Incomplete);
            }
            Err(_) => routed = Err(Rejection::Incomplete),
        }
    }
    let response = ingress.process(&call, routed, started_at).await;
    let response = if is_head {
        without_body(response)
    } else {
        response
    };
    Ok(response.map(Full::new))
}

/// The answer to HEAD: without the body, whose length it names.
fn without_body(response: Response<Bytes>) -> Response<Bytes> {
    let (mut parts, body) = response.into_parts();
    let length = || HeaderValue::from(body.len());
    parts.headers.entry(CONTENT_LENGTH).or_insert_with(length);
    Response::from_parts(parts, Bytes::new())
}

/// Size that headers have in HTTP/1.1.
fn header_bytes(headers: &HeaderMap) -> u64 {
    let size = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + ":".len() + value.len() + "\r\n".len()
    };
    headers.iter().map(size).sum::<usize>() as u64
}

fn request_head(parts: Parts) -> RequestHead {
    let Parts {
        method,
        uri,
        mut headers,
        ..
    } = parts;
    let host = uri.authority().map(|a| HeaderValue::from_str(a.as_str()));
    if let (Some(Ok(host)), false) = (host, headers.contains_key("host")) {
        headers.insert("host", host);
    }
    RequestHead {
        method: SmolStr::new(method.as_str()),
        target: SmolStr::new(uri.path_and_query().map_or("/", |p| p.as_str())),
        headers,
    }
}
