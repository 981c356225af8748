//! What the caller is told.

use axum::http::{HeaderName, HeaderValue, Response, StatusCode};
use bytes::Bytes;
use call::CallOutcome;
use dialect::{Dialect, Rejection, Verdict};
use log::Level;
use rand::RngExt;
use types::{Answer, CallId, Span};

/// What a caller is told to wait at least, and at most.
const LEAST_AFTER: Span = Span::from_millis(50);
const MOST_AFTER: Span = Span::from_millis(30_000);
/// When a caller is to come back to a node that has no view yet: the time that joining takes.
const JOINING_AFTER: Span = Span::from_millis(500);
/// When a caller is to come back to a node that holds too many bodies: a large one takes about as long.
const ROOM_AFTER: Span = Span::from_millis(1_000);

/// How a request ended.
pub(super) type Ended = Result<CallOutcome, Rejection>;

/// Short name of an ending, for logs and metrics.
pub(super) fn kind(ended: &Ended) -> &'static str {
    match ended {
        Ok(CallOutcome::Answer(_)) => "answer",
        Ok(CallOutcome::NotRun { refusal, .. }) => refusal.name(),
        Ok(CallOutcome::Unknown { late: true }) => "unknown_late",
        Ok(CallOutcome::Unknown { late: false }) => "unknown",
        Err(rejection) => rejection.name(),
    }
}

/// How much an ending matters: what nobody can tell is rare and wants looking at.
pub(super) fn level(ended: &Ended) -> Level {
    match ended {
        Ok(CallOutcome::Unknown { .. }) => Level::Warn,
        _ => Level::Info,
    }
}

/// Builds the response.
pub(super) fn respond(dialect: &dyn Dialect, call: &CallId, ended: Ended) -> Response<Bytes> {
    let verdict = match ended {
        Ok(CallOutcome::Answer(answer)) => return pass_on(dialect, call, &answer),
        Ok(CallOutcome::NotRun {
            refusal,
            retry_after,
        }) => Verdict::NotRun {
            refusal,
            after: spread(retry_after),
        },
        Ok(CallOutcome::Unknown { late }) => Verdict::Unknown { late },
        Err(rejection) => Verdict::Rejected {
            rejection,
            after: match rejection {
                Rejection::Joining => Some(spread(JOINING_AFTER)),
                Rejection::NoRoom => Some(spread(ROOM_AFTER)),
                _ => None,
            },
        },
    };
    let told = dialect.tell(call, &verdict);
    let mut response = Response::new(told.body);
    (*response.status_mut(), *response.headers_mut()) = (told.status, told.headers);
    response
}

/// When to come back: what the gate said, spread by up to as much again, so that callers refused
/// together don't return together.
fn spread(after: Span) -> Span {
    let after = after.clamp(LEAST_AFTER, MOST_AFTER);
    after.scale(rand::rng().random_range(1.0..2.0))
}

fn pass_on(dialect: &dyn Dialect, call: &CallId, answer: &Answer) -> Response<Bytes> {
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    dialect.mark(call, response.headers_mut());
    response
}
