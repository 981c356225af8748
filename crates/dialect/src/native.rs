//! The product's own headers and statuses.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::Serialize;
use types::{CallId, Refusal, Span};

use crate::{
    AttemptMetadata, CallFailure, Dialect, ErrorResponse, InvalidHeader, RequestMetadata,
    ResponseMetadata,
};

const REQUEST_ID: &str = "x-request-id";
const DEADLINE: &str = "x-deadline-ms";
const DEPTH: &str = "x-depth";
const REPEAT: &str = "x-repeat";
const OUTCOME: &str = "x-outcome";
const BOOT: &str = "x-boot";
/// Length of a call's name in hexadecimal digits.
const CALL_DIGITS: usize = 32;

/// The product's own dialect.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

/// Body of a final answer that isn't the backend server's.
#[derive(Debug, Serialize)]
struct Report<'a> {
    error: &'a str,
    outcome: &'a str,
    call: &'a str,
}

impl Dialect for NativeDialect {
    fn call_id(&self, headers: &HeaderMap) -> Option<CallId> {
        let named = headers.get(REQUEST_ID)?.to_str().ok()?;
        let is_digits = named.bytes().all(|b| b.is_ascii_hexdigit());
        match named.len() == CALL_DIGITS && is_digits {
            true => named.parse().ok(),
            false => None,
        }
    }

    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader> {
        Ok(RequestMetadata {
            time_left: number(headers, DEADLINE)?.map(Span::from_millis),
            depth: number(headers, DEPTH)?.unwrap_or_default(),
            is_retry: number::<u32>(headers, REPEAT)?.is_some_and(|n| n > 0),
        })
    }

    fn overrides(&self, name: &HeaderName) -> bool {
        [REQUEST_ID, DEADLINE, DEPTH, REPEAT, "host"].contains(&name.as_str())
    }

    fn write_request(&self, outgoing: &AttemptMetadata<'_>, headers: &mut HeaderMap) {
        headers.insert(DEADLINE, HeaderValue::from(outgoing.time_left.as_millis()));
        headers.insert(DEPTH, HeaderValue::from(outgoing.depth + 1));
        headers.insert(REPEAT, HeaderValue::from(u32::from(outgoing.is_retry)));
        self.set_call_id(outgoing.call, headers);
    }

    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sheds: &[u16],
    ) -> ResponseMetadata {
        let boot = headers.get(BOOT).and_then(|v| v.to_str().ok());
        ResponseMetadata {
            shed: sheds.contains(&status.as_u16()),
            boot: boot.and_then(|text| text.parse().ok()),
            ..ResponseMetadata::default()
        }
    }

    fn probe_path(&self) -> &'static str {
        "/load"
    }

    fn allows_close_delimited(&self) -> bool {
        false
    }

    fn error_response(&self, call: &CallId, verdict: &CallFailure) -> ErrorResponse {
        let (status, outcome, retry_after) = match verdict {
            CallFailure::NotRun {
                refusal,
                retry_after,
            } => (not_run_status(*refusal), "not-run", Some(*retry_after)),
            CallFailure::Unknown { late: true } => (StatusCode::GATEWAY_TIMEOUT, "unknown", None),
            CallFailure::Unknown { late: false } => (StatusCode::BAD_GATEWAY, "unknown", None),
            CallFailure::Rejected {
                rejection,
                retry_after,
            } => (rejection.status(), "not-run", *retry_after),
        };
        let report = Report {
            error: verdict.name(),
            outcome,
            call: call.as_str(),
        };
        let body = serde_json::to_vec(&report).expect("a report has a JSON form");
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        if let Some(retry_after) = retry_after {
            let ms = retry_after.as_millis();
            headers.insert("retry-after", HeaderValue::from(ms.div_ceil(1_000)));
            headers.insert("retry-after-ms", HeaderValue::from(ms));
        }
        self.set_call_id(call, &mut headers);
        ErrorResponse {
            status,
            headers,
            body: Bytes::from(body),
        }
    }

    fn set_call_id(&self, call: &CallId, headers: &mut HeaderMap) {
        let value = HeaderValue::from_str(call.as_str()).expect("visible ASCII characters");
        headers.insert(REQUEST_ID, value);
    }
}

fn not_run_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, InvalidHeader> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidHeader(name))?;
    text.parse().map(Some).map_err(|_| InvalidHeader(name))
}
