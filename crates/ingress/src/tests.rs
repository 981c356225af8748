//! Framing of callers' requests, and the memory limit for bodies.

mod bodies;
mod fixtures;
mod reroute;
mod routing;
mod teams;
mod zones;

use bytes::BytesMut;
use dialect::Rejection;
use proptest::prelude::*;
use support::body_budget::{BodyBudget, BodyReservation};

use super::framing::{HeadDecoder, Message, SizeLimits};

const MAX_BODY_BYTES: u64 = 1_024;
const LIMITS: SizeLimits = SizeLimits {
    head: 4_096,
    body: MAX_BODY_BYTES,
};

/// Takes one complete request off the buffer. Returns its path and its body.
fn take_request(buffer: &mut BytesMut) -> Result<Option<(String, Vec<u8>)>, Rejection> {
    let Some(mut message) = HeadDecoder::default().take(buffer, LIMITS)? else {
        return Ok(None);
    };
    let body = message.body.take(buffer, LIMITS)?;
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
        "content-length: 3, 4\r\n",
        "content-length: 3,\r\n",
        "content-length: 3, 3\r\ntransfer-encoding: chunked\r\n",
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

/// The head of one request, with `max_bytes` of headers allowed.
fn decode_head(text: &str, max_bytes: u64) -> Result<Message, Rejection> {
    let limits = SizeLimits {
        head: max_bytes,
        ..LIMITS
    };
    let taken = HeadDecoder::default().take(&mut BytesMut::from(text), limits)?;
    Ok(taken.expect("the head is complete"))
}

#[test]
fn the_number_of_headers_is_not_limited_but_by_their_size() {
    for count in [129, 300, 4_000] {
        let fields = "a:\r\n".repeat(count);
        let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
        let message = decode_head(&text, 16 << 10).expect("the head is valid");
        assert_eq!(message.head.headers.len(), count);
        let chunked = format!(
            "{CHUNKED_HEAD}1\r\nx\r\n0\r\n{}\r\n",
            "a:\r\n".repeat(count / 4)
        );
        assert_eq!(decode(&chunked), Ok(Some(("/a".into(), b"x".to_vec()))));
    }
    let names: String = (0..70_000).map(|n| format!("n{n}:\r\n")).collect();
    let text = format!("GET / HTTP/1.1\r\n{names}\r\n");
    let rejected = decode_head(&text, 1 << 20).map(|message| message.head.headers.len());
    assert_eq!(rejected, Err(Rejection::HeadTooLarge));
}

#[test]
fn the_limit_of_a_head_counts_its_headers_and_its_request_line_apart() {
    let text = |path: usize, value: usize| {
        let (path, value) = ("p".repeat(path), "v".repeat(value));
        format!("GET /{path} HTTP/1.1\r\nx: {value}\r\n\r\n")
    };
    let largest = 1_024 - "x: \r\n".len();
    assert!(decode_head(&text(10, largest), 1_024).is_ok());
    assert!(decode_head(&text(7_000, largest), 1_024).is_ok());
    assert!(decode_head(&text(12_000, 10), 16 << 10).is_ok());
    for (path, value) in [(10, largest + 1), (9_000, 10)] {
        let rejected = decode_head(&text(path, value), 1_024).map(|_| ());
        assert_eq!(rejected, Err(Rejection::HeadTooLarge), "{path} {value}");
    }
    let endless = format!("GET /{}", "p".repeat(9_000));
    assert_eq!(decode(&endless), Err(Rejection::HeadTooLarge));
}

#[test]
fn equal_lengths_that_are_repeated_count_once() {
    for headers in [
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3, 3\r\n",
        "content-length: 3 ,3\r\ncontent-length: 3\r\n",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{headers}\r\nabc");
        assert_eq!(decode(&text), Ok(Some(("/a".into(), b"abc".to_vec()))));
    }
}

#[test]
fn targets_keep_their_path_and_query_and_name_their_host() {
    let cases = [
        ("GET", "http://h:80/a?b", "/a?b", "h:80"),
        ("GET", "http://h", "/", "h"),
        ("GET", "http://h:80?b=/c", "/?b=/c", "h:80"),
        ("GET", "HTTP://user@H?b", "/?b", "H"),
        ("GET", "/a?b=http://c/d", "/a?b=http://c/d", "other"),
        ("GET", "//a", "//a", "other"),
        ("GET", "/a?", "/a?", "other"),
        (
            "GET",
            "/a\"{|}\\^?b={|}\\^`",
            "/a\"{|}\\^?b={|}\\^`",
            "other",
        ),
        ("OPTIONS", "*", "*", "other"),
    ];
    for (method, target, path, host) in cases {
        let text = format!("{method} {target} HTTP/1.1\r\nhost: other\r\n\r\n");
        let message = decode_head(&text, 1_024).map_err(|rejection| (target, rejection));
        let head = message.expect("the head is valid").head;
        assert_eq!(head.target, path, "{target}");
        assert_eq!(head.headers["host"], host, "{target}");
    }
}

#[test]
fn targets_that_no_server_would_get_unchanged_are_malformed() {
    for line in [
        "GET /a#b",
        "GET *",
        "GET a",
        "CONNECT h:443",
        "CONNECT /a",
        "GET http://",
    ] {
        let text = format!("{line} HTTP/1.1\r\nhost: h\r\n\r\n");
        let rejected = decode_head(&text, 1_024).map(|message| message.head.target);
        assert_eq!(rejected, Err(Rejection::Malformed), "{line}");
    }
}

#[test]
fn a_caller_is_told_to_continue_only_if_it_waits_for_that() {
    let cases = [
        ("HTTP/1.1", "100-continue", true),
        ("HTTP/1.1", "100-Continue", true),
        ("HTTP/1.1", "tea, 100-continue", true),
        ("HTTP/1.1", "tea", false),
        ("HTTP/1.1", "", false),
        ("HTTP/1.0", "100-continue", false),
    ];
    for (version, value, expected) in cases {
        let text = format!("POST / {version}\r\nexpect: {value}\r\ncontent-length: 1\r\n\r\n");
        let message = decode_head(&text, 1_024).expect("the head is valid");
        assert_eq!(message.expects_continue, expected, "{version} {value}");
    }
}

#[test]
fn odd_but_valid_heads_are_taken() {
    for head in [
        "\r\n\r\nPOST /a HTTP/1.1\r\nTransfer-Encoding:  \tCHUNKED \t\r\n\r\n",
        "POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nx:\r\ny: \u{e9}\r\nTransfer-Encoding:chunked\r\n\r\n",
    ] {
        let extension = format!(";x=\"{}\"", "y".repeat(1_000));
        let text = format!("{head}3{extension}\r\nabc\r\n0\r\n\r\n");
        assert_eq!(
            decode(&text),
            Ok(Some(("/a".into(), b"abc".to_vec()))),
            "{head}"
        );
    }
    let old = "POST /a HTTP/1.0\r\nconnection: keep-alive\r\ntransfer-encoding: chunked\r\n\r\n";
    let message = decode_head(old, 1_024).expect("the head is valid");
    assert!(!message.keep_alive, "its length isn't certain");
}

#[test]
fn bodies_of_exactly_the_limit_are_taken() {
    let body = "b".repeat(MAX_BODY_BYTES as usize);
    let counted = format!("POST /a HTTP/1.1\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n{body}");
    let chunked = format!("{CHUNKED_HEAD}{MAX_BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n");
    for text in [counted, chunked] {
        let expected = ("/a".to_owned(), body.clone().into_bytes());
        assert_eq!(decode(&text), Ok(Some(expected)));
    }
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
        budget.reserve(64 << 20, &mut alone),
        Ok(()),
        "a body beyond the whole budget is admitted alone"
    );
    drop(alone);
    let mut larger = BodyReservation::default();
    assert_eq!(
        budget.reserve((64 << 20) + 1, &mut larger),
        Err(Rejection::NoBufferSpace),
        "the process can't hold a larger body"
    );
}

/// Decodes all requests of `bytes`, which arrive in pieces of the given sizes. Returns the targets and
/// bodies of the complete ones, and the rejection of the first one that is rejected.
fn decode_pieces(bytes: &[u8], sizes: &[usize]) -> (Vec<(String, Vec<u8>)>, Option<Rejection>) {
    let mut left = bytes;
    let mut buffer = BytesMut::new();
    let mut decoder = HeadDecoder::default();
    let mut message = None;
    let mut found = Vec::new();
    for size in sizes.iter().copied().chain([usize::MAX]) {
        let (piece, rest) = left.split_at(size.min(left.len()));
        buffer.extend_from_slice(piece);
        left = rest;
        loop {
            if message.is_none() {
                message = match decoder.take(&mut buffer, LIMITS) {
                    Ok(taken) => taken,
                    Err(rejection) => return (found, Some(rejection)),
                };
            }
            let Some(partial) = &mut message else { break };
            match partial.body.take(&mut buffer, LIMITS) {
                Ok(Some(body)) => found.push((partial.head.target.to_string(), body.to_vec())),
                Ok(None) => break,
                Err(rejection) => return (found, Some(rejection)),
            }
            message = None;
        }
    }
    (found, None)
}

const CHUNKED_HEAD: &str = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";

/// The size of a chunk wrapped around, and splitting the buffer aborted the process.
#[test]
fn chunk_sizes_at_the_limits_of_integers_are_too_large_or_malformed() {
    let sizes = [
        ("ffffffffffffffff", Rejection::BodyTooLarge),
        ("fffffffffffffffe", Rejection::BodyTooLarge),
        ("fffffffffffffffd", Rejection::BodyTooLarge),
        ("7fffffffffffffff", Rejection::BodyTooLarge),
        ("8000000000000000", Rejection::BodyTooLarge),
        ("ffffffff", Rejection::BodyTooLarge),
        ("10000000000000000", Rejection::Malformed),
        ("-1", Rejection::Malformed),
        ("0x1", Rejection::Malformed),
        ("", Rejection::Malformed),
    ];
    for (size, rejection) in sizes {
        for first in ["", "3\r\nabc\r\n"] {
            let text = format!("{CHUNKED_HEAD}{first}{size}\r\nxyz\r\n0\r\n\r\n");
            assert_eq!(decode(&text), Err(rejection), "{first:?} {size}");
            let mut buffer = BytesMut::from(text.as_str());
            let limits = SizeLimits {
                body: u64::MAX,
                ..LIMITS
            };
            let head = HeadDecoder::default().take(&mut buffer, limits);
            let head = head.expect("the head is valid");
            let mut body = head.expect("the head is complete").body;
            assert!(
                !matches!(body.take(&mut buffer, limits), Ok(Some(_))),
                "{first:?} {size} without a limit"
            );
        }
    }
}

/// A chunked request, or a part of one, with odd sizes, extensions, line ends and trailers.
fn odd_requests() -> impl Strategy<Value = Vec<u8>> {
    let size = prop_oneof![
        Just("ffffffffffffffff".to_owned()),
        Just("fffffffffffffffe".to_owned()),
        Just("0".to_owned()),
        Just("00000000000000000".to_owned()),
        "[0-9a-fA-F]{1,17}",
        "[0-9a-f]{1,2}",
    ];
    let extension = prop_oneof![
        Just(String::new()),
        "; ?[a-z]{1,5}=[a-z\"]{0,5}",
        "[ \t;]{1,3}",
        (200..400_usize).prop_map(|length| format!(";x={}", "y".repeat(length))),
    ];
    let end = prop_oneof![
        8 => Just("\r\n".to_owned()),
        1 => Just("\n".to_owned()),
        1 => Just("\r".to_owned()),
    ];
    let data = "[a-z]{0,20}";
    let chunk = (size, extension, end.clone(), data, end, any::<bool>()).prop_map(
        |(size, extension, end, data, last, sound)| {
            let size = match sound {
                true => format!("{:x}", data.len()),
                false => size,
            };
            format!("{size}{extension}{end}{data}{last}")
        },
    );
    let trailers = prop_oneof![
        Just("0\r\n\r\n".to_owned()),
        Just("0\r\nx: y\r\n\r\n".to_owned()),
        (1..300_usize).prop_map(|count| format!("0\r\n{}\r\n", "x: y\r\n".repeat(count))),
        Just(String::new()),
    ];
    let head = prop_oneof![
        4 => Just(CHUNKED_HEAD.to_owned()),
        1 => "[A-Z]{1,5} /[ -~]{0,9} HTTP/1\\.[01]\r\n([a-z-]{1,9}:[ -~]{0,9}\r\n){0,3}\r\n",
        1 => "[\r\n]{0,3}POST /b HTTP/1\\.1\r\ncontent-length: [0-9]{1,20}\r\n\r\n",
    ];
    let request = (head, prop::collection::vec(chunk, 0..5), trailers)
        .prop_map(|(head, chunks, trailers)| format!("{head}{}{trailers}", chunks.concat()));
    let edit = (any::<prop::sample::Index>(), any::<u8>(), 0..3_u8);
    let requests = prop::collection::vec(request, 1..3);
    (requests, prop::collection::vec(edit, 0..4)).prop_map(|(requests, edits)| {
        let mut bytes = requests.concat().into_bytes();
        for (at, byte, kind) in edits {
            match (kind, at.index(bytes.len().max(1))) {
                (_, at) if at >= bytes.len() => {}
                (0, at) => bytes[at] = byte,
                (1, at) => bytes.insert(at, byte),
                (_, at) => drop(bytes.remove(at)),
            }
        }
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Whatever callers send, no panic follows, and the result doesn't depend on how it is split.
    #[test]
    fn odd_requests_decode_alike_however_they_are_split(
        bytes in odd_requests(),
        sizes in prop::collection::vec(1..60_usize, 0..40),
    ) {
        let whole = decode_pieces(&bytes, &[]);
        prop_assert_eq!(decode_pieces(&bytes, &sizes), whole.clone());
        prop_assert_eq!(decode_pieces(&bytes, &vec![1; bytes.len()]), whole);
    }
}

proptest! {
    /// Two requests are decoded alike, however their bytes are split into reads.
    #[test]
    fn split_reads_decode_to_the_same_requests(cuts in prop::collection::vec(1..40_usize, 0..20)) {
        let text = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
            3\r\nabc\r\n0\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 2\r\n\r\nde";
        let mut left = &text[..];
        let mut buffer = BytesMut::new();
        let mut decoder = HeadDecoder::default();
        let mut message = None;
        let mut found = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, rest) = left.split_at(cut.min(left.len()));
            buffer.extend_from_slice(part);
            left = rest;
            loop {
                if message.is_none() {
                    message = decoder.take(&mut buffer, LIMITS).expect("the head is valid");
                }
                let Some(partial) = &mut message else { break };
                let Some(body) = partial
                    .body
                    .take(&mut buffer, LIMITS)
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
