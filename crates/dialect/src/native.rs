//! The default headers and statuses.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::Serialize;
use types::{CallId, Refusal, Span};

use crate::{
    AttemptMetadata, CallFailure, Dialect, ErrorResponse, InvalidHeader, RequestMetadata,
    ResponseMetadata, parse_limit, single_header,
};

const REQUEST_ID: &str = "x-request-id";
const DEADLINE: &str = "x-deadline-ms";
const DEPTH: &str = "x-depth";
const RETRY: &str = "x-repeat";
const OUTCOME: &str = "x-outcome";
/// Key of the caller's team.
const KEY: &str = "x-team-key";
/// The caller's team, for backend servers.
const TEAM: &str = "x-team";
const BOOT: &str = "x-boot";
/// Requests a second that the backend server accepts, a decimal number.
const LIMIT: &str = "x-limit";
/// `1` if the backend server is leaving.
const LEAVING: &str = "x-leaving";
/// Length of a call identifier in hexadecimal digits.
const CALL_ID_DIGITS: usize = 32;

/// The default dialect.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    outcome: &'a str,
    call: &'a str,
}

impl Dialect for NativeDialect {
    fn call_id(&self, headers: &HeaderMap) -> Option<CallId> {
        let value = headers.get(REQUEST_ID)?.to_str().ok()?;
        let is_hex = value.bytes().all(|b| b.is_ascii_hexdigit());
        match value.len() == CALL_ID_DIGITS && is_hex {
            true => value.parse().ok(),
            false => None,
        }
    }

    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader> {
        Ok(RequestMetadata {
            time_left: parse_header(headers, DEADLINE)?.map(Span::from_millis),
            depth: parse_header(headers, DEPTH)?.unwrap_or_default(),
            is_retry: parse_header::<u32>(headers, RETRY)?.is_some_and(|n| n > 0),
        })
    }

    fn overrides(&self, name: &HeaderName) -> bool {
        [REQUEST_ID, DEADLINE, DEPTH, RETRY, TEAM, "host"].contains(&name.as_str())
    }

    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        single_header(headers, KEY).filter(|key| !key.is_empty())
    }

    fn key_header(&self) -> &'static str {
        KEY
    }

    fn team_header(&self) -> &'static str {
        TEAM
    }

    fn write_request(&self, attempt: &AttemptMetadata<'_>, headers: &mut HeaderMap) {
        headers.insert(DEADLINE, HeaderValue::from(attempt.time_left.as_millis()));
        headers.insert(DEPTH, HeaderValue::from(attempt.depth.saturating_add(1)));
        headers.insert(RETRY, HeaderValue::from(u32::from(attempt.is_retry)));
        self.set_call_id(attempt.call, headers);
    }

    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        shed_statuses: &[u16],
    ) -> ResponseMetadata {
        let boot = headers.get(BOOT).and_then(|v| v.to_str().ok());
        ResponseMetadata {
            shed: shed_statuses.contains(&status.as_u16()),
            boot: boot.and_then(|text| text.parse().ok()),
            limit: parse_limit(headers.get(LIMIT)),
            leaving: headers.get(LEAVING).is_some_and(|v| v == "1"),
            ..ResponseMetadata::default()
        }
    }

    fn probe_path(&self) -> &'static str {
        "/load"
    }

    fn allows_close_delimited(&self) -> bool {
        false
    }

    fn error_response(&self, call: &CallId, failure: &CallFailure) -> ErrorResponse {
        let (status, outcome, retry_after) = match failure {
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
        let body = ErrorBody {
            error: failure.name(),
            outcome,
            call: call.as_str(),
        };
        let body = serde_json::to_vec(&body).expect("an error body serializes to JSON");
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
        let value = HeaderValue::from_bytes(call.as_str().as_bytes())
            .expect("a call identifier is what a header can hold");
        headers.insert(REQUEST_ID, value);
    }
}

fn not_run_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, InvalidHeader> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidHeader(name))?;
    text.parse().map(Some).map_err(|_| InvalidHeader(name))
}
