//! What the caller is told.

use axum::{
    body::Body,
    http::{HeaderName, HeaderValue, StatusCode},
    response::Response,
};
use board::{Board, Phase};
use call::Ending;
use log::Level;
use rand::RngExt;
use serde::Serialize;
use types::{Answer, CallId, Refusal, Span};

use super::accept::Rejection;

/// What a caller is told to wait at least, and at most.
const LEAST_AFTER: Span = Span::from_millis(50);
const MOST_AFTER: Span = Span::from_millis(30_000);

/// Body of a final answer that isn't the backend server's.
#[derive(Debug, Serialize)]
struct Report<'a> {
    error: &'a str,
    outcome: &'a str,
    call: String,
}

/// Short name of an ending, for logs and metrics.
pub(crate) fn kind(ending: &Result<Ending, Rejection>) -> &'static str {
    match ending {
        Ok(Ending::Answer(_)) => "answer",
        Ok(Ending::NotRun { refusal, .. }) => refusal.name(),
        Ok(Ending::Unknown { late: true }) => "unknown_late",
        Ok(Ending::Unknown { late: false }) => "unknown",
        Err(rejection) => rejection_name(*rejection),
    }
}

/// How much an ending matters: what nobody can tell is rare and wants looking at, refusals for load
/// come in crowds.
pub(crate) fn level(ending: &Result<Ending, Rejection>) -> Level {
    match ending {
        Ok(Ending::Unknown { .. }) => Level::Warn,
        Ok(Ending::NotRun { refusal, .. }) if !refusal.is_load() => Level::Info,
        Err(_) => Level::Info,
        Ok(Ending::Answer(_) | Ending::NotRun { .. }) => Level::Debug,
    }
}

/// Builds the response.
pub(crate) fn respond(board: &Board, call: CallId, ending: Result<Ending, Rejection>) -> Response {
    let name = kind(&ending);
    let mut response = match &ending {
        Ok(Ending::Answer(answer)) => pass_on(answer),
        Ok(Ending::NotRun {
            refusal: Refusal::Late,
            ..
        }) => report(StatusCode::GATEWAY_TIMEOUT, name, "not-run", call),
        Ok(Ending::NotRun { .. }) => report(StatusCode::SERVICE_UNAVAILABLE, name, "not-run", call),
        Ok(Ending::Unknown { late: true }) => {
            report(StatusCode::GATEWAY_TIMEOUT, name, "unknown", call)
        }
        Ok(Ending::Unknown { late: false }) => {
            report(StatusCode::BAD_GATEWAY, name, "unknown", call)
        }
        Err(rejection) => report(rejection_status(*rejection), name, "not-run", call),
    };
    if let Some(after) = come_back(&ending) {
        insert(
            &mut response,
            "retry-after",
            after.as_millis().div_ceil(1_000),
        );
        insert(&mut response, "retry-after-ms", after.as_millis());
    }
    let id = HeaderValue::from_str(&call.to_string()).expect("hexadecimal digits");
    response.headers_mut().insert("x-request-id", id);
    if board.phase() == Phase::Stopping && response.version() < axum::http::Version::HTTP_2 {
        response
            .headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
    }
    response
}

fn insert(response: &mut Response, name: &'static str, value: u64) {
    response
        .headers_mut()
        .insert(name, HeaderValue::from(value));
}

/// When to come back: what the gate said, spread by up to as much again, so that callers refused
/// together don't return together.
fn come_back(ending: &Result<Ending, Rejection>) -> Option<Span> {
    let after = match ending {
        Ok(Ending::NotRun { after, .. }) => *after,
        Err(Rejection::Joining) => Span::from_millis(1_000),
        _ => return None,
    };
    let after = after.clamp(LEAST_AFTER, MOST_AFTER);
    Some(after.scale(rand::rng().random_range(1.0..2.0)))
}

fn pass_on(answer: &Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn report(status: StatusCode, error: &str, outcome: &str, call: CallId) -> Response {
    let report = Report {
        error,
        outcome,
        call: call.to_string(),
    };
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(
        "x-outcome",
        HeaderValue::from_str(outcome).expect("a constant"),
    );
    response
}

fn rejection_name(rejection: Rejection) -> &'static str {
    match rejection {
        Rejection::UnknownService => "unknown_service",
        Rejection::TooLarge => "too_large",
        Rejection::Incomplete => "incomplete",
        Rejection::BadHeader(_) => "bad_header",
        Rejection::TooDeep => "too_deep",
        Rejection::Joining => "joining",
    }
}

fn rejection_status(rejection: Rejection) -> StatusCode {
    match rejection {
        Rejection::UnknownService => StatusCode::NOT_FOUND,
        Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Rejection::Incomplete => StatusCode::REQUEST_TIMEOUT,
        Rejection::BadHeader(_) => StatusCode::BAD_REQUEST,
        Rejection::TooDeep => StatusCode::LOOP_DETECTED,
        Rejection::Joining => StatusCode::SERVICE_UNAVAILABLE,
    }
}
