//! Builds the response to a caller, and encodes it for HTTP/1.1.

#[cfg(test)]
mod tests;

use axum::http::{Response, StatusCode};
use backend::copy_headers;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use call::CallOutcome;
use dialect::{CallFailure, Dialect, Rejection};
use log::Level;
use rand::RngExt;
use types::{Answer, CallId, Span};

/// Bounds of the time after which a caller is told to retry, before jitter.
const MIN_RETRY_AFTER: Span = Span::from_millis(50);
const MAX_RETRY_AFTER: Span = Span::from_millis(30_000);
/// Retry time while the node has no view yet: about the time that joining takes.
const JOINING_RETRY_AFTER: Span = Span::from_millis(500);
/// Retry time while the memory for bodies is used up: a large body is in memory for about as long.
const NO_BUFFER_SPACE_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Retry time while the node lacks what it needs to judge a team's requests: a few exchanges between nodes.
const TEAM_RETRY_AFTER: Span = Span::from_millis(250);

/// The outcome of a call, or why its request was rejected before any attempt was made.
pub(super) type CallResult = Result<CallOutcome, Rejection>;

/// Short name of a result, for logs and metrics.
pub(super) fn result_name(result: &CallResult) -> &'static str {
    match result {
        Ok(CallOutcome::Answer(_)) => "answer",
        Ok(CallOutcome::NotRun { refusal, .. }) => refusal.name(),
        Ok(CallOutcome::Unknown { late: true }) => "unknown_late",
        Ok(CallOutcome::Unknown { late: false }) => "unknown",
        Err(rejection) => rejection.name(),
    }
}

/// Log level of a result. An unknown outcome is rare and worth investigating, so it is a warning.
pub(super) fn log_level(result: &CallResult) -> Level {
    match result {
        Ok(CallOutcome::Unknown { .. }) => Level::Warn,
        _ => Level::Info,
    }
}

/// Builds the response to a call with this result.
pub(super) fn respond(dialect: &dyn Dialect, call: &CallId, result: CallResult) -> Response<Bytes> {
    let failure = match result {
        Ok(CallOutcome::Answer(answer)) => match forward_answer(dialect, call, &answer) {
            Some(response) => return response,
            None => {
                let (status, headers) = (answer.status, answer.headers.len());
                log::warn!(call:% = call, status, headers; "answer_not_forwardable");
                CallFailure::Unknown { late: false }
            }
        },
        Ok(CallOutcome::NotRun {
            refusal,
            retry_after,
        }) => CallFailure::NotRun {
            refusal,
            retry_after: add_jitter(retry_after),
        },
        Ok(CallOutcome::Unknown { late }) => CallFailure::Unknown { late },
        Err(rejection) => CallFailure::Rejected {
            rejection,
            retry_after: match rejection {
                Rejection::Joining => Some(add_jitter(JOINING_RETRY_AFTER)),
                Rejection::NoBufferSpace => Some(add_jitter(NO_BUFFER_SPACE_RETRY_AFTER)),
                Rejection::OverAllowance { retry_after } => Some(add_jitter(retry_after)),
                Rejection::KeysUnproven | Rejection::AllowanceUnknown => {
                    Some(add_jitter(TEAM_RETRY_AFTER))
                }
                _ => None,
            },
        },
    };
    let reply = dialect.error_response(call, &failure);
    let mut response = Response::new(reply.body);
    (*response.status_mut(), *response.headers_mut()) = (reply.status, reply.headers);
    response
}

/// Limits a retry time to its bounds and adds up to 100 % of random jitter, so that callers refused
/// at the same time don't all retry at the same time.
fn add_jitter(retry_after: Span) -> Span {
    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    retry_after.scale(rand::rng().random_range(1.0..2.0))
}

/// The response that forwards an answer. Returns `None` if its status is no status, or if it has too many headers.
fn forward_answer(
    dialect: &dyn Dialect,
    call: &CallId,
    answer: &Answer,
) -> Option<Response<Bytes>> {
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = match Answer::is_final(answer.status) {
        true => StatusCode::from_u16(answer.status).ok()?,
        false => return None,
    };
    copy_headers(&answer.headers, response.headers_mut()).ok()?;
    dialect.set_call_id(call, response.headers_mut());
    Some(response)
}

/// Encodes a response without copying its body. `omit_body` is set for the answer to HEAD.
pub(super) fn encode_response(
    response: &Response<Bytes>,
    omit_body: bool,
    keep_alive: bool,
) -> impl Buf + use<> {
    let status = response.status();
    let body = response.body();
    let mut out = BytesMut::with_capacity(512);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_slice(b" ");
    out.put_slice(reason.as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in response.headers() {
        put_header(&mut out, name.as_str(), value.as_bytes());
    }
    let empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    if !empty && !response.headers().contains_key("content-length") {
        put_header(
            &mut out,
            "content-length",
            body.len().to_string().as_bytes(),
        );
    }
    if !keep_alive {
        put_header(&mut out, "connection", b"close");
    }
    out.put_slice(b"\r\n");
    let body = match omit_body || empty {
        true => Bytes::new(),
        false => body.clone(),
    };
    out.chain(body)
}

fn put_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
