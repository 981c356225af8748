//! Framing of callers' requests.

use bytes::BytesMut;
use dialect::Rejection;
use proptest::prelude::*;

use super::{BodyRoom, frame::take_head, room::Held};

const MOST_HEAD: u64 = 4_096;
const MOST_BODY: u64 = 1_024;

/// Takes one whole request off the buffer: its path and its body.
fn take(buffer: &mut BytesMut) -> Result<Option<(String, Vec<u8>)>, Rejection> {
    let Some(mut message) = take_head(buffer, MOST_HEAD)? else {
        return Ok(None);
    };
    let body = message.body.take(buffer, MOST_BODY)?;
    Ok(body.map(|body| (message.head.target.to_string(), body.to_vec())))
}

fn whole(text: &str) -> Result<Option<(String, Vec<u8>)>, Rejection> {
    take(&mut BytesMut::from(text))
}

#[test]
fn bodies_are_counted_or_chunked() {
    let counted = whole("POST /a?b=%2F HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc");
    assert_eq!(counted, Ok(Some(("/a?b=%2F".into(), b"abc".to_vec()))));
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
        3;x=y\r\nabc\r\n2\r\nde\r\n0\r\ntrailer: t\r\n\r\n";
    assert_eq!(whole(chunked), Ok(Some(("/a".into(), b"abcde".to_vec()))));
    let url = whole("GET http://h/a/b HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(url, Ok(Some(("/a/b".into(), Vec::new()))));
}

#[test]
fn a_length_that_could_be_read_in_two_ways_is_malformed() {
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
        assert_eq!(whole(&text), Err(Rejection::Malformed), "{headers}");
    }
}

#[test]
fn what_is_too_large_is_told_apart() {
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(5_000));
    assert_eq!(whole(&head), Err(Rejection::HeadTooLarge));
    let endless = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(5_000));
    assert_eq!(whole(&endless), Err(Rejection::HeadTooLarge));
    let counted = "POST / HTTP/1.1\r\ncontent-length: 1025\r\n\r\n";
    assert_eq!(whole(counted), Err(Rejection::BodyTooLarge));
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n401\r\n";
    assert_eq!(whole(chunked), Err(Rejection::BodyTooLarge));
}

#[test]
fn bodies_that_leave_no_room_are_refused_and_room_comes_back() {
    let room = BodyRoom::default();
    let large = 30 << 20;
    let mut first = Held::default();
    assert_eq!(room.take(large, &mut first), Ok(()));
    assert_eq!(
        room.take(large, &mut first),
        Ok(()),
        "it holds that much already"
    );
    let mut second = Held::default();
    assert_eq!(room.take(large, &mut second), Err(Rejection::NoBufferSpace));
    assert_eq!(room.take(1_000, &mut second), Ok(()), "small ones are free");
    drop(first);
    assert_eq!(room.take(large, &mut second), Ok(()));
    drop(second);
    let mut alone = Held::default();
    assert_eq!(
        room.take(u64::MAX, &mut alone),
        Ok(()),
        "a larger one is let in alone"
    );
}

proptest! {
    /// However the bytes of two requests are cut into pieces, the same two requests come out.
    #[test]
    fn pieces_make_no_difference(cuts in prop::collection::vec(1..40_usize, 0..20)) {
        let text = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
            3\r\nabc\r\n0\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 2\r\n\r\nde";
        let mut left = &text[..];
        let mut buffer = BytesMut::new();
        let mut message = None;
        let mut found = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, rest) = left.split_at(cut.min(left.len()));
            buffer.extend_from_slice(piece);
            left = rest;
            loop {
                if message.is_none() {
                    message = take_head(&mut buffer, MOST_HEAD).expect("a head");
                }
                let Some(open) = &mut message else { break };
                let Some(body) = open.body.take(&mut buffer, MOST_BODY).expect("a body") else {
                    break;
                };
                found.push((open.head.target.to_string(), body.to_vec()));
                message = None;
            }
        }
        let expected = [("/a".to_string(), b"abc".to_vec()), ("/b".into(), b"de".to_vec())];
        prop_assert_eq!(found, expected);
    }
}
