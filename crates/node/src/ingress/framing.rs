//! Framing of HTTP/1.1 messages on a caller's connection.
//!
//! `httparse` parses heads and chunk sizes. The code here finds where a body ends, and is strict: a
//! request with an ambiguous length is malformed, which prevents request smuggling.

use axum::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dialect::Rejection;
use httparse::Status;
use smol_str::SmolStr;

use super::routing::RequestHead;

/// Maximum headers of one request, as in common servers.
const MAX_HEADERS: usize = 128;
/// Longest chunk-size line, including chunk extensions, which are rarely sent.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum size of the trailers of a chunked body, which are rarely sent.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// The parsed head of a request, and the decoder of its body.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) head: RequestHead,
    pub(super) body: BodyDecoder,
    /// Whether the connection stays open for another request.
    pub(super) keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

/// Takes a head of at most `max_bytes` off the front of `buffer`. Returns `None` if it is
/// incomplete.
pub(super) fn take_head(
    buffer: &mut BytesMut,
    max_bytes: u64,
) -> Result<Option<Message>, Rejection> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let consumed = match request.parse(buffer) {
        Ok(Status::Complete(consumed)) if consumed as u64 <= max_bytes => consumed,
        Ok(Status::Partial) if buffer.len() as u64 <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Rejection::HeadTooLarge),
        Err(_) => return Err(Rejection::Malformed),
    };
    let message = read_head(&request)?;
    buffer.advance(consumed);
    Ok(Some(message))
}

fn read_head(request: &httparse::Request<'_, '_>) -> Result<Message, Rejection> {
    let method = SmolStr::new(request.method.unwrap_or_default());
    let target = origin_form(request.path.unwrap_or_default())?;
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Rejection::Malformed),
        };
    }
    if headers.get_all("host").iter().count() > 1 {
        return Err(Rejection::Malformed);
    }
    let http_1_1 = request.version == Some(1);
    Ok(Message {
        body: BodyDecoder::from_headers(&headers)?,
        keep_alive: if http_1_1 {
            !has_token(&headers, "close")
        } else {
            has_token(&headers, "keep-alive")
        },
        expects_continue: headers.contains_key("expect"),
        head: RequestHead {
            method,
            target,
            headers,
        },
    })
}

/// Path and query of a request target in origin form or absolute form.
fn origin_form(target: &str) -> Result<SmolStr, Rejection> {
    let path = match target.split_once("://") {
        _ if target.starts_with('/') => target,
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => return Err(Rejection::Malformed),
    };
    match path.parse::<Uri>() {
        Ok(_) => Ok(SmolStr::new(path)),
        Err(_) => Err(Rejection::Malformed),
    }
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let mut values = headers.get_all("connection").iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    })
}

/// Decodes a request's body as it arrives.
#[derive(Debug)]
pub(super) enum BodyDecoder {
    /// A body with this many bytes.
    Length(u64),
    /// A body with the chunked transfer coding.
    Chunked(ChunkDecoder),
}

/// Decoder of a chunked body.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    /// Bytes of the chunks decoded so far.
    decoded: BytesMut,
    state: ChunkState,
}

#[derive(Debug, Default)]
enum ChunkState {
    /// A chunk-size line is next.
    #[default]
    Size,
    /// This many bytes of data are next, at least one.
    Data(u64),
    /// The line end after the data of a chunk is next.
    DataEnd,
    /// Trailers are next, up to an empty line.
    Trailers,
}

impl BodyDecoder {
    fn from_headers(headers: &HeaderMap) -> Result<Self, Rejection> {
        let mut lengths = headers.get_all("content-length").iter();
        let codings: Vec<_> = headers.get_all("transfer-encoding").iter().collect();
        match (lengths.next(), codings.as_slice()) {
            (None, []) => Ok(Self::Length(0)),
            (Some(length), []) if lengths.next().is_none() => {
                let text = length.to_str().map_err(|_| Rejection::Malformed)?;
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                match text.parse() {
                    Ok(length) if digits => Ok(Self::Length(length)),
                    _ => Err(Rejection::Malformed),
                }
            }
            (None, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked(ChunkDecoder::default()))
            }
            _ => Err(Rejection::Malformed),
        }
    }

    /// Whether the request has no body.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Length(0))
    }

    /// Bytes that the body needs at least: its declared length, or for a chunked body the bytes
    /// decoded so far and the bytes `buffered` on the connection.
    pub(super) fn min_bytes(&self, buffered: usize) -> u64 {
        match self {
            Self::Length(length) => *length,
            Self::Chunked(decoder) => (decoder.decoded.len() + buffered) as u64,
        }
    }

    /// Takes a body of at most `max_bytes` off the front of `buffer`. Returns `None` if it is
    /// incomplete.
    pub(super) fn take(
        &mut self,
        buffer: &mut BytesMut,
        max_bytes: u64,
    ) -> Result<Option<Bytes>, Rejection> {
        match self {
            Self::Length(length) if *length > max_bytes => Err(Rejection::BodyTooLarge),
            Self::Length(length) if (buffer.len() as u64) < *length => Ok(None),
            Self::Length(length) => Ok(Some(buffer.split_to(*length as usize).freeze())),
            Self::Chunked(decoder) => decoder.take(buffer, max_bytes),
        }
    }
}

impl ChunkDecoder {
    /// Decodes what `buffer` holds of a body of at most `max_bytes`, and takes it off the front.
    fn take(&mut self, buffer: &mut BytesMut, max_bytes: u64) -> Result<Option<Bytes>, Rejection> {
        loop {
            let is_complete = match self.state {
                ChunkState::Size => self.take_size(buffer, max_bytes)?,
                ChunkState::Data(left) => self.take_data(buffer, left),
                ChunkState::DataEnd => self.take_data_end(buffer)?,
                ChunkState::Trailers if take_trailers(buffer)? => {
                    return Ok(Some(self.decoded.split().freeze()));
                }
                ChunkState::Trailers => false,
            };
            if !is_complete {
                return Ok(None);
            }
        }
    }

    /// Takes a chunk-size line. Returns whether it was complete.
    fn take_size(&mut self, buffer: &mut BytesMut, max_bytes: u64) -> Result<bool, Rejection> {
        match httparse::parse_chunk_size(buffer) {
            Ok(Status::Complete((consumed, size))) if consumed <= MAX_CHUNK_LINE_BYTES => {
                let total = size.checked_add(self.decoded.len() as u64);
                if total.is_none_or(|total| total > max_bytes) {
                    return Err(Rejection::BodyTooLarge);
                }
                buffer.advance(consumed);
                self.state = match size {
                    0 => ChunkState::Trailers,
                    _ => ChunkState::Data(size),
                };
                Ok(true)
            }
            Ok(Status::Partial) if buffer.len() < MAX_CHUNK_LINE_BYTES => Ok(false),
            _ => Err(Rejection::Malformed),
        }
    }

    /// Takes the data that has arrived of a chunk with `left` bytes to come. Returns whether that
    /// was all of it.
    fn take_data(&mut self, buffer: &mut BytesMut, left: u64) -> bool {
        let arrived = left.min(buffer.len() as u64);
        self.decoded.put(buffer.split_to(arrived as usize));
        self.state = match left - arrived {
            0 => ChunkState::DataEnd,
            left => ChunkState::Data(left),
        };
        left == arrived
    }

    fn take_data_end(&mut self, buffer: &mut BytesMut) -> Result<bool, Rejection> {
        const LINE_END: &[u8] = b"\r\n";
        if !LINE_END.starts_with(&buffer[..buffer.len().min(LINE_END.len())]) {
            return Err(Rejection::Malformed);
        }
        if buffer.len() < LINE_END.len() {
            return Ok(false);
        }
        buffer.advance(LINE_END.len());
        self.state = ChunkState::Size;
        Ok(true)
    }
}

/// Takes the trailers of a chunked body, which are dropped. Returns whether they were complete.
fn take_trailers(buffer: &mut BytesMut) -> Result<bool, Rejection> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(buffer, &mut headers) {
        Ok(Status::Complete((consumed, _))) if consumed <= MAX_TRAILER_BYTES => {
            buffer.advance(consumed);
            Ok(true)
        }
        Ok(Status::Partial) if buffer.len() < MAX_TRAILER_BYTES => Ok(false),
        _ => Err(Rejection::Malformed),
    }
}

/// Encodes a response. `omit_body` is set for the answer to HEAD.
pub(super) fn encode_response(
    response: &Response<Bytes>,
    omit_body: bool,
    keep_alive: bool,
) -> BytesMut {
    let status = response.status();
    let body = response.body();
    let mut out = BytesMut::with_capacity(512 + body.len());
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
    if !omit_body && !empty {
        out.put_slice(body);
    }
    out
}

fn put_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
