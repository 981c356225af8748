//! Reads a caller's request whole and checks it.

use std::error::Error;

use axum::{
    body::to_bytes,
    extract::Request,
    http::{HeaderMap, request::Parts},
};
use board::{Board, Phase};
use http_body_util::LengthLimitError;
use note::{Limits, Service};
use smol_str::SmolStr;
use types::{CallId, Moment, ServiceId, Span};

use crate::backend::{ServerRequest, end_to_end};

/// Longest time that a caller may ask for.
const MOST_TIME: Span = Span::from_millis(3_600_000);
/// Levels of nested calls at most.
const MOST_DEPTH: u32 = 64;

/// Why a request is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// No service has the name in the path's first segment.
    UnknownService,
    /// The body is larger than the service allows.
    TooLarge,
    /// The body broke off, or came too slowly.
    Incomplete,
    /// A header of the callers' protocol has a value that it can't have.
    BadHeader(&'static str),
    /// Too many levels of nested calls.
    TooDeep,
    /// The node has no view of the release notes yet.
    Joining,
}

/// A call that may be carried out.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) service: ServiceId,
    pub(crate) limits: Limits,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Moment,
    pub(crate) request: ServerRequest,
}

/// The caller's name for its request, or a new one.
pub(crate) fn call_id(headers: &HeaderMap) -> CallId {
    let named = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    let given = named
        .filter(|text| text.len() == 32)
        .and_then(|text| text.parse().ok());
    given.unwrap_or_else(|| CallId(rand::random()))
}

/// Reads and checks a request.
pub(crate) async fn accept(
    board: &Board,
    call: CallId,
    request: Request,
) -> Result<Accepted, Rejection> {
    if board.phase() == Phase::Joining {
        return Err(Rejection::Joining);
    }
    let now = board.clock.now();
    let (parts, body) = request.into_parts();
    let service = service_of(board, &parts).ok_or(Rejection::UnknownService)?;
    let deadline = now + time_of(&parts.headers, &service.limits)?;
    let depth = number(&parts.headers, "x-depth", 0)?;
    if depth > MOST_DEPTH {
        return Err(Rejection::TooDeep);
    }
    let repeat = number(&parts.headers, "x-repeat", 0)? > 0;
    let most = service.limits.body.0;
    if number::<u64>(&parts.headers, "content-length", 0)? > most {
        return Err(Rejection::TooLarge);
    }
    let reading = to_bytes(body, most as usize);
    let body = match tokio::time::timeout_at(board.clock.instant(deadline), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) if is_too_large(&error) => return Err(Rejection::TooLarge),
        Ok(Err(_)) | Err(_) => return Err(Rejection::Incomplete),
    };
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    Ok(Accepted {
        idempotent: service.is_idempotent(parts.method.as_str(), parts.uri.path()),
        deadline,
        request: ServerRequest {
            call,
            method: SmolStr::new(parts.method.as_str()),
            path: SmolStr::new(path),
            headers: forwarded(&parts.headers),
            body,
            depth,
            repeat,
        },
        limits: service.limits,
        service: service.id,
    })
}

fn is_too_large(error: &axum::Error) -> bool {
    error
        .source()
        .is_some_and(|cause| cause.is::<LengthLimitError>())
}

fn service_of(board: &Board, parts: &Parts) -> Option<Service> {
    let segment = parts.uri.path().split('/').nth(1)?;
    let id: ServiceId = segment.parse().ok()?;
    board.view.borrow().state.service(&id).cloned()
}

fn time_of(headers: &HeaderMap, limits: &Limits) -> Result<Span, Rejection> {
    let ms = number(headers, "x-deadline-ms", limits.timeout().as_millis())?;
    Ok(Span::from_millis(ms).min(MOST_TIME))
}

fn number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
    default: T,
) -> Result<T, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(default);
    };
    let text = value.to_str().map_err(|_| Rejection::BadHeader(name))?;
    text.parse().map_err(|_| Rejection::BadHeader(name))
}

/// Headers that go to the backend server. Those that the gate writes itself are left out.
fn forwarded(headers: &HeaderMap) -> Vec<types::Header> {
    const WRITTEN: [&str; 5] = [
        "x-deadline-ms",
        "x-request-id",
        "x-depth",
        "x-repeat",
        "content-length",
    ];
    let mut kept = end_to_end(headers);
    kept.retain(|header| !WRITTEN.contains(&header.name.as_str()));
    kept
}
