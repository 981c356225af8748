//! Responses of the stub of a backend server.

use std::{io, time::Duration};

use axum::{
    body::{Body, Bytes},
    http::StatusCode,
    response::Response,
};
use futures::stream;
use tokio::time::sleep;

use super::{Echo, ResponseMode};

/// Bytes of a body without end that are sent in each interval.
const ENDLESS_CHUNK: usize = 64 << 10;
const ENDLESS_INTERVAL: Duration = Duration::from_millis(10);

pub(super) async fn respond(mode: ResponseMode, boot: u64, echo: Option<&Echo>) -> Response {
    let text = serde_json::to_vec(&echo).unwrap_or_default();
    let builder = Response::builder().header("x-boot", boot);
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let reset = || Err(io::Error::from(io::ErrorKind::ConnectionReset));
    let response = match mode {
        ResponseMode::Truncated => builder
            .header("content-length", text.len())
            .body(Body::from_stream(stream::iter([Ok(half), reset()]))),
        ResponseMode::Cut => builder.body(Body::from_stream(stream::iter([reset()]))),
        ResponseMode::Endless => builder.body(Body::from_stream(endless_stream())),
        ResponseMode::Silent => std::future::pending().await,
        _ => builder
            .header("content-type", "application/json")
            .body(Body::from(text)),
    };
    response.unwrap_or_else(|_| empty_response(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Yields a chunk of a body in each interval, for ever.
fn endless_stream() -> impl stream::Stream<Item = io::Result<Bytes>> {
    stream::unfold((), |()| async {
        sleep(ENDLESS_INTERVAL).await;
        Some((Ok(Bytes::from_static(&[b'x'; ENDLESS_CHUNK])), ()))
    })
}

pub(super) fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
