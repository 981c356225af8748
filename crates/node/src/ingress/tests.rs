//! Framing of callers' requests, and the memory limit for bodies.

mod fixtures;
mod routing;

use bytes::BytesMut;
use dialect::Rejection;
use proptest::prelude::*;

use super::framing::take_head;
use crate::body_budget::{BodyBudget, BodyReservation};

const MAX_HEAD_BYTES: u64 = 4_096;
const MAX_BODY_BYTES: u64 = 1_024;

/// Takes one complete request off the buffer. Returns its path and its body.
fn take_request(buffer: &mut BytesMut) -> Result<Option<(String, Vec<u8>)>, Rejection> {
    let Some(mut message) = take_head(buffer, MAX_HEAD_BYTES)? else {
        return Ok(None);
    };
    let body = message.body.take(buffer, MAX_BODY_BYTES)?;
    Ok(body.map(|body| (message.head.target.to_string(), body.to_vec())))
}

fn decode(text: &str) -> Result<Option<(String, Vec<u8>)>, Rejection> {
    take_request(&mut BytesMut::from(text))
}

#[test]
fn bodies_with_a_length_or_in_chunks_are_decoded() {
    let counted = decode("POST /a?b=%2F HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc");
    assert_eq!(counted, Ok(Some(("/a?b=%2F".into(), b"abc".to_vec()))));
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
        3;x=y\r\nabc\r\n2\r\nde\r\n0\r\ntrailer: t\r\n\r\n";
    assert_eq!(decode(chunked), Ok(Some(("/a".into(), b"abcde".to_vec()))));
    let url = decode("GET http://h/a/b HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(url, Ok(Some(("/a/b".into(), Vec::new()))));
}

#[test]
fn an_ambiguous_length_or_host_is_malformed() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: +3\r\n",
        "content-length: 3, 3\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "host: a\r\nhost: b\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\n{headers}\r\nabc");
        assert_eq!(decode(&text), Err(Rejection::Malformed), "{headers}");
    }
}

#[test]
fn oversized_heads_and_bodies_are_rejected_with_different_errors() {
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(5_000));
    assert_eq!(decode(&head), Err(Rejection::HeadTooLarge));
    let endless = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(5_000));
    assert_eq!(decode(&endless), Err(Rejection::HeadTooLarge));
    let counted = "POST / HTTP/1.1\r\ncontent-length: 1025\r\n\r\n";
    assert_eq!(decode(counted), Err(Rejection::BodyTooLarge));
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n401\r\n";
    assert_eq!(decode(chunked), Err(Rejection::BodyTooLarge));
}

#[test]
fn bodies_beyond_the_budget_are_refused_until_reservations_are_released() {
    let budget = BodyBudget::default();
    let large = 30 << 20;
    let mut first = BodyReservation::default();
    assert_eq!(budget.reserve(large, &mut first), Ok(()));
    assert_eq!(
        budget.reserve(large, &mut first),
        Ok(()),
        "the first reservation covers this size already"
    );
    let mut second = BodyReservation::default();
    assert_eq!(
        budget.reserve(large, &mut second),
        Err(Rejection::NoBufferSpace)
    );
    assert_eq!(
        budget.reserve(1_000, &mut second),
        Ok(()),
        "small bodies need no reservation"
    );
    drop(first);
    assert_eq!(budget.reserve(large, &mut second), Ok(()));
    drop(second);
    let mut alone = BodyReservation::default();
    assert_eq!(
        budget.reserve(u64::MAX, &mut alone),
        Ok(()),
        "a body beyond the whole budget is admitted alone"
    );
}

proptest! {
    /// Two requests are decoded alike, however their bytes are split into reads.
    #[test]
    fn split_reads_decode_to_the_same_requests(cuts in prop::collection::vec(1..40_usize, 0..20)) {
        let text = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
            3\r\nabc\r\n0\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 2\r\n\r\nde";
        let mut left = &text[..];
        let mut buffer = BytesMut::new();
        let mut message = None;
        let mut found = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, rest) = left.split_at(cut.min(left.len()));
            buffer.extend_from_slice(part);
            left = rest;
            loop {
                if message.is_none() {
                    message = take_head(&mut buffer, MAX_HEAD_BYTES).expect("the head is valid");
                }
                let Some(partial) = &mut message else { break };
                let Some(body) = partial
                    .body
                    .take(&mut buffer, MAX_BODY_BYTES)
                    .expect("the body is valid")
                else {
                    break;
                };
                found.push((partial.head.target.to_string(), body.to_vec()));
                message = None;
            }
        }
        let expected = [("/a".to_string(), b"abc".to_vec()), ("/b".into(), b"de".to_vec())];
        prop_assert_eq!(found, expected);
    }
}
