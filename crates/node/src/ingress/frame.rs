//! HTTP/1.1 messages on a caller's connection: where a head and a body end.
//!
//! `httparse` reads heads and chunk sizes. What is decided here is framing, strictly: a request whose
//! length could be read in two ways is malformed, so that nothing is smuggled inside another request.

use axum::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dialect::Rejection;
use httparse::Status;
use smol_str::SmolStr;

use super::accept::Head;

/// Headers of one request at most, as in common servers.
const MOST_HEADERS: usize = 128;
/// Longest line that gives a chunk's size, with its extensions, which hardly anybody sends.
const MOST_CHUNK_LINE: usize = 256;

/// A request's head and what follows it.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) head: Head,
    pub(super) body: Body,
    /// Whether the connection may be used for another request.
    pub(super) keep: bool,
    /// Whether the caller waits for a word before it sends the body.
    pub(super) expects: bool,
}

/// Takes a head off the front of `buffer`, `None` if it isn't complete yet.
pub(super) fn take_head(buffer: &mut BytesMut, most: u64) -> Result<Option<Message>, Rejection> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let used = match request.parse(buffer) {
        Ok(Status::Complete(used)) if used as u64 <= most => used,
        Ok(Status::Partial) if buffer.len() as u64 <= most => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Rejection::HeadTooLarge),
        Err(_) => return Err(Rejection::Malformed),
    };
    let message = read_head(&request)?;
    buffer.advance(used);
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
    let new = request.version == Some(1);
    Ok(Message {
        body: Body::of(&headers)?,
        keep: if new {
            !has_token(&headers, "close")
        } else {
            has_token(&headers, "keep-alive")
        },
        expects: headers.contains_key("expect"),
        head: Head {
            method,
            target,
            headers,
        },
    })
}

/// Path and query of a request's target, which may be a whole URL.
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

/// A request's body as it comes in.
#[derive(Debug)]
pub(super) enum Body {
    /// So many bytes.
    Counted(u64),
    /// Chunks, of which these bytes are in.
    Chunked(Chunks),
}

/// A body in chunks.
#[derive(Debug, Default)]
pub(super) struct Chunks {
    whole: BytesMut,
    state: ChunkState,
}

#[derive(Debug, Default)]
enum ChunkState {
    /// A size line comes.
    #[default]
    Size,
    /// So many bytes of data and a line end come.
    Data(u64),
    /// Trailers come, up to an empty line.
    Trailers,
}

impl Body {
    fn of(headers: &HeaderMap) -> Result<Self, Rejection> {
        let mut lengths = headers.get_all("content-length").iter();
        let codings: Vec<_> = headers.get_all("transfer-encoding").iter().collect();
        match (lengths.next(), codings.as_slice()) {
            (None, []) => Ok(Self::Counted(0)),
            (Some(length), []) if lengths.next().is_none() => {
                let text = length.to_str().map_err(|_| Rejection::Malformed)?;
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                match text.parse() {
                    Ok(length) if digits => Ok(Self::Counted(length)),
                    _ => Err(Rejection::Malformed),
                }
            }
            (None, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked(Chunks::default()))
            }
            _ => Err(Rejection::Malformed),
        }
    }

    /// Whether there is nothing to come.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Counted(0))
    }

    /// Bytes of the body that are known to come, or that came in chunks so far with `ahead` more.
    pub(super) fn size(&self, ahead: usize) -> u64 {
        match self {
            Self::Counted(length) => *length,
            Self::Chunked(chunks) => (chunks.whole.len() + ahead) as u64,
        }
    }

    /// Takes the body off the front of `buffer`, `None` if it isn't complete yet.
    pub(super) fn take(
        &mut self,
        buffer: &mut BytesMut,
        most: u64,
    ) -> Result<Option<Bytes>, Rejection> {
        match self {
            Self::Counted(length) if *length > most => Err(Rejection::BodyTooLarge),
            Self::Counted(length) if (buffer.len() as u64) < *length => Ok(None),
            Self::Counted(length) => Ok(Some(buffer.split_to(*length as usize).freeze())),
            Self::Chunked(chunks) => chunks.take(buffer, most),
        }
    }
}

impl Chunks {
    fn take(&mut self, buffer: &mut BytesMut, most: u64) -> Result<Option<Bytes>, Rejection> {
        loop {
            match self.state {
                ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(Status::Complete((used, size))) => {
                        if self.whole.len() as u64 + size > most {
                            return Err(Rejection::BodyTooLarge);
                        }
                        buffer.advance(used);
                        self.state = match size {
                            0 => ChunkState::Trailers,
                            _ => ChunkState::Data(size),
                        };
                    }
                    Ok(Status::Partial) if buffer.len() <= MOST_CHUNK_LINE => return Ok(None),
                    _ => return Err(Rejection::Malformed),
                },
                ChunkState::Data(size) => {
                    let size = size as usize;
                    if buffer.len() < size + 2 {
                        return Ok(None);
                    }
                    self.whole.put(buffer.split_to(size));
                    if buffer.split_to(2).as_ref() != b"\r\n" {
                        return Err(Rejection::Malformed);
                    }
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailers => {
                    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
                    match httparse::parse_headers(buffer, &mut headers) {
                        Ok(Status::Complete((used, _))) => {
                            buffer.advance(used);
                            return Ok(Some(self.whole.split().freeze()));
                        }
                        Ok(Status::Partial) if buffer.len() < (16 << 10) => return Ok(None),
                        _ => return Err(Rejection::Malformed),
                    }
                }
            }
        }
    }
}

/// Writes a response. `bodiless` is for HEAD.
pub(super) fn write(response: &Response<Bytes>, bodiless: bool, keep: bool) -> BytesMut {
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
    if !keep {
        put_header(&mut out, "connection", b"close");
    }
    out.put_slice(b"\r\n");
    if !bodiless && !empty {
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
