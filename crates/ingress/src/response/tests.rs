//! Answers that no correct peer sends.

use std::sync::Arc;

use axum::http::StatusCode;
use bytes::Bytes;
use call::CallOutcome;
use dialect::NativeDialect;
use types::{Answer, CallId, Header};

use super::respond;

#[test]
fn an_answer_with_more_headers_than_a_map_holds_is_unknown() {
    let header = |n| Header {
        name: format!("h{n}").into(),
        value: Bytes::from_static(b"1"),
    };
    let answer = Answer {
        status: 200,
        headers: (0..40_000).map(header).collect(),
        body: Bytes::new(),
    };
    let outcome = CallOutcome::Answer(Arc::new(answer));
    let response = respond(&NativeDialect, &CallId::from(1), Ok(outcome));
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(response.headers()["x-outcome"], "unknown");
}

/// A failure of the node's own carried the headers of an answer with such a status.
#[test]
fn an_answer_whose_status_is_no_final_one_is_unknown() {
    for status in [0, 99, 100, 199, 600, 999, 1_000] {
        let answer = Answer {
            status,
            headers: vec![Header {
                name: "x-signature".into(),
                value: Bytes::from_static(b"1"),
            }],
            body: Bytes::from_static(b"1"),
        };
        let outcome = CallOutcome::Answer(Arc::new(answer));
        let response = respond(&NativeDialect, &CallId::from(1), Ok(outcome));
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "{status}");
        assert_eq!(response.headers()["x-outcome"], "unknown");
        assert!(!response.headers().contains_key("x-signature"), "{status}");
    }
}
