//! Framing of HTTP/1.1 messages on a caller's connection.
//!
//! `httparse` parses heads and chunk sizes. The code here finds where a body ends, and is strict: a
//! request with an ambiguous length is malformed, which prevents request smuggling.

use axum::http::{HeaderMap, HeaderName, HeaderValue, Uri};
use backend::MAX_FORWARDED_HEADERS;
use bytes::{Buf, BufMut, Bytes, BytesMut, buf::Limit};
use dialect::Rejection;
use httparse::Status;
use note::CallerLimits;
use smol_str::{SmolStr, format_smolstr};

use super::routing::RequestHead;

/// Smallest limit for a request line (RFC 9112, section 3).
const MIN_LINE_LIMIT: u64 = 8_000;
/// Length of the first part of a head that is checked before its end has arrived. Each further part
/// is twice as long.
const FIRST_CHECKED_BYTES: usize = 64;

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

/// Maximum sizes of the parts of a request, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SizeLimits {
    /// Headers or trailers.
    pub(super) head: u64,
    pub(super) body: u64,
}

impl From<&CallerLimits> for SizeLimits {
    fn from(callers: &CallerLimits) -> Self {
        Self {
            head: callers.head.0,
            body: callers.body.0,
        }
    }
}

impl SizeLimits {
    /// Maximum size of a request line, or of the line in front of a chunk.
    pub(super) fn line(self) -> u64 {
        self.head.max(MIN_LINE_LIMIT)
    }
}

/// Finds the end of a head as it arrives. A head that comes in many pieces is neither searched nor
/// parsed from its start for each of them.
#[derive(Debug)]
pub(super) struct HeadDecoder {
    section: Section,
    /// Length of the next part of an incomplete head that is checked.
    next_check: usize,
}

impl Default for HeadDecoder {
    fn default() -> Self {
        Self {
            section: Section::default(),
            next_check: FIRST_CHECKED_BYTES,
        }
    }
}

impl HeadDecoder {
    /// Takes a head off the front of `buffer`. Returns `None` if it is incomplete.
    pub(super) fn take(
        &mut self,
        buffer: &mut BytesMut,
        limits: SizeLimits,
    ) -> Result<Option<Message>, Rejection> {
        if self.section.first_line.is_none() && skip_empty_lines(buffer) {
            self.section = Section::default();
        }
        let end = self.section.find_end(buffer);
        let line = self.section.first_line.unwrap_or(buffer.len()) as u64;
        let headers = self.section.size(buffer).saturating_sub(line);
        if headers > limits.head || line > limits.line() {
            return Err(Rejection::HeadTooLarge);
        }
        let Some(end) = end else {
            self.check_parts(buffer)?;
            return Ok(None);
        };
        let message = parse_head(&buffer[..end], self.section.lines)?;
        buffer.advance(end);
        *self = Self::default();
        Ok(Some(message))
    }

    /// Rejects a malformed head before its end has arrived, which it may not have.
    fn check_parts(&mut self, buffer: &[u8]) -> Result<(), Rejection> {
        while let Some(part) = buffer.get(..self.next_check) {
            let mut headers = vec![httparse::EMPTY_HEADER; self.section.lines];
            match httparse::Request::new(&mut headers).parse(part) {
                Ok(_) | Err(httparse::Error::TooManyHeaders) => {}
                Err(_) => return Err(Rejection::Malformed),
            }
            self.next_check *= 2;
        }
        Ok(())
    }
}

/// Removes empty lines in front of a request (RFC 9112, section 2.2). Returns whether there were any.
fn skip_empty_lines(buffer: &mut BytesMut) -> bool {
    let before = buffer.len();
    while let [b'\n', ..] | [b'\r', b'\n', ..] = buffer[..] {
        buffer.advance(if buffer[0] == b'\n' { 1 } else { 2 });
    }
    buffer.len() < before
}

/// Lines that end with an empty one, each byte of which is searched once.
#[derive(Debug, Default)]
struct Section {
    /// Bytes that were searched for line ends.
    scanned: usize,
    /// Start of the last line.
    last_line: usize,
    /// Length of the first line with its end, once it is complete.
    first_line: Option<usize>,
    /// Number of complete lines.
    lines: usize,
}

impl Section {
    /// Length of the section with its empty line, once it is complete.
    fn find_end(&mut self, buffer: &[u8]) -> Option<usize> {
        while let Some(at) = buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            self.scanned += at + 1;
            self.lines += 1;
            self.first_line.get_or_insert(self.scanned);
            if matches!(
                buffer[self.last_line..self.scanned],
                [b'\n'] | [b'\r', b'\n']
            ) {
                return Some(self.scanned);
            }
            self.last_line = self.scanned;
        }
        self.scanned = buffer.len();
        None
    }

    /// Bytes of the section that have arrived, without its empty line.
    fn size(&self, buffer: &[u8]) -> u64 {
        let size = match buffer[self.last_line..self.scanned] {
            [] | [b'\r'] | [b'\n'] | [b'\r', b'\n'] => self.last_line,
            _ => self.scanned,
        };
        size as u64
    }
}

fn parse_head(bytes: &[u8], lines: usize) -> Result<Message, Rejection> {
    if lines > MAX_FORWARDED_HEADERS {
        return Err(Rejection::HeadTooLarge);
    }
    let mut headers = vec![httparse::EMPTY_HEADER; lines];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(Status::Complete(consumed)) if consumed == bytes.len() => read_head(&request),
        _ => Err(Rejection::Malformed),
    }
}

fn read_head(request: &httparse::Request<'_, '_>) -> Result<Message, Rejection> {
    let method = SmolStr::new(request.method.unwrap_or_default());
    let (target, authority) = split_target(&method, request.path.unwrap_or_default())?;
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers
                .try_append(name, value)
                .map_err(|_| Rejection::HeadTooLarge)?,
            _ => return Err(Rejection::Malformed),
        };
    }
    if headers.get_all("host").iter().count() > 1 {
        return Err(Rejection::Malformed);
    }
    if let Some(authority) = authority {
        headers.insert("host", authority);
    }
    let http_1_1 = request.version == Some(1);
    let body = BodyDecoder::from_headers(&headers)?;
    let is_counted = matches!(body, BodyDecoder::Length(_));
    Ok(Message {
        body,
        // The framing of a chunked body isn't certain in HTTP/1.0 (RFC 9112, section 6.1).
        keep_alive: match http_1_1 {
            true => !has_token(&headers, "connection", "close"),
            false => has_token(&headers, "connection", "keep-alive") && is_counted,
        },
        expects_continue: http_1_1 && has_token(&headers, "expect", "100-continue"),
        head: RequestHead {
            method,
            target,
            headers,
        },
    })
}

/// Path and query of a request target, and its authority if it is in absolute form.
fn split_target(method: &str, target: &str) -> Result<(SmolStr, Option<HeaderValue>), Rejection> {
    let (path, authority) = match target.split_once("://") {
        _ if method == "CONNECT" => return Err(Rejection::Malformed),
        _ if target.starts_with('/') || (method, target) == ("OPTIONS", "*") => {
            (SmolStr::new(target), None)
        }
        Some((_, rest)) => {
            let (authority, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
            let host = authority.rsplit('@').next().unwrap_or_default();
            let host = HeaderValue::from_str(host).map_err(|_| Rejection::Malformed)?;
            let slash = if path.starts_with('/') { "" } else { "/" };
            (format_smolstr!("{slash}{path}"), Some(host))
        }
        None => return Err(Rejection::Malformed),
    };
    let is_whole = |uri: &Uri| uri.path_and_query().is_some_and(|p| p.as_str() == path);
    let has_host = authority.as_ref().is_none_or(|host| !host.is_empty());
    match path.parse::<Uri>() {
        Ok(uri) if is_whole(&uri) && has_host => Ok((path, authority)),
        _ => Err(Rejection::Malformed),
    }
}

/// Whether a header that is a list has an element.
fn has_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    })
}

/// Decodes a request's body as it arrives.
#[derive(Debug)]
pub(super) enum BodyDecoder {
    /// A body with a length.
    Length(CountedBody),
    /// A body with the chunked transfer coding.
    Chunked(ChunkDecoder),
}

/// A body with a length.
#[derive(Debug, Default)]
pub(super) struct CountedBody {
    received: BytesMut,
    /// Bytes that are still to come.
    left: u64,
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
    Trailers(Section),
}

impl BodyDecoder {
    fn from_headers(headers: &HeaderMap) -> Result<Self, Rejection> {
        let lengths: Vec<_> = headers.get_all("content-length").iter().collect();
        let codings: Vec<_> = headers.get_all("transfer-encoding").iter().collect();
        match (lengths.as_slice(), codings.as_slice()) {
            ([], []) => Ok(Self::empty()),
            (lengths, []) => Ok(Self::Length(CountedBody {
                received: BytesMut::new(),
                left: parse_length(lengths)?,
            })),
            ([], [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked(ChunkDecoder::default()))
            }
            _ => Err(Rejection::Malformed),
        }
    }

    /// The decoder of a request without a body.
    pub(super) fn empty() -> Self {
        Self::Length(CountedBody::default())
    }

    /// Whether no byte of a body has come or is to come.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Length(body) if body.size() == 0)
    }

    /// Bytes that the body needs at least: its declared length, or for a chunked body the bytes
    /// decoded so far and the bytes `buffered` on the connection.
    pub(super) fn min_bytes(&self, buffered: usize) -> u64 {
        match self {
            Self::Length(body) => body.size(),
            Self::Chunked(decoder) => (decoder.decoded.len() + buffered) as u64,
        }
    }

    /// Space for the next bytes from the connection, if all of them belong to the body as they are.
    pub(super) fn space(&mut self) -> Option<Limit<&mut BytesMut>> {
        match self {
            Self::Length(body) if body.left > 0 && body.received.capacity() > 0 => {
                Some((&mut body.received).limit(usize::try_from(body.left).unwrap_or(usize::MAX)))
            }
            _ => None,
        }
    }

    /// Counts bytes that were read into [`space`](Self::space).
    pub(super) fn add_received(&mut self, bytes: usize) {
        if let Self::Length(body) = self {
            body.left -= bytes as u64;
        }
    }

    /// Decodes what has arrived, and takes it off the front of `buffer`. Returns the body once it is
    /// complete.
    pub(super) fn take(
        &mut self,
        buffer: &mut BytesMut,
        limits: SizeLimits,
    ) -> Result<Option<Bytes>, Rejection> {
        match self {
            Self::Length(body) if body.size() > limits.body => Err(Rejection::BodyTooLarge),
            Self::Length(body) => Ok(body.take(buffer)),
            Self::Chunked(decoder) => decoder.take(buffer, limits),
        }
    }
}

impl CountedBody {
    /// Bytes of the whole body, within what a `u64` holds.
    fn size(&self) -> u64 {
        self.left.saturating_add(self.received.len() as u64)
    }

    fn take(&mut self, buffer: &mut BytesMut) -> Option<Bytes> {
        let arrived = self.left.min(buffer.len() as u64) as usize;
        self.received.reserve(self.left as usize);
        self.received.put_slice(&buffer[..arrived]);
        buffer.advance(arrived);
        self.left -= arrived as u64;
        (self.left == 0).then(|| self.received.split().freeze())
    }
}

/// Parses the length of a body, which may be repeated if it is the same each time (RFC 9110, section
/// 8.6).
fn parse_length(values: &[&HeaderValue]) -> Result<u64, Rejection> {
    let mut length = None;
    for value in values {
        let text = value.to_str().map_err(|_| Rejection::Malformed)?;
        for digits in text.split(',').map(|part| part.trim_matches([' ', '\t'])) {
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            match digits.parse() {
                Ok(number) if is_number && length.is_none_or(|known| known == number) => {
                    length = Some(number);
                }
                _ => return Err(Rejection::Malformed),
            }
        }
    }
    length.ok_or(Rejection::Malformed)
}

impl ChunkDecoder {
    /// Decodes what `buffer` holds of a body, and takes it off the front.
    fn take(
        &mut self,
        buffer: &mut BytesMut,
        limits: SizeLimits,
    ) -> Result<Option<Bytes>, Rejection> {
        loop {
            let is_complete = match &mut self.state {
                ChunkState::Size => self.take_size(buffer, limits)?,
                &mut ChunkState::Data(left) => self.take_data(buffer, left),
                ChunkState::DataEnd => self.take_data_end(buffer)?,
                ChunkState::Trailers(section) => match take_trailers(section, buffer, limits)? {
                    true => return Ok(Some(self.decoded.split().freeze())),
                    false => false,
                },
            };
            if !is_complete {
                return Ok(None);
            }
        }
    }

    /// Takes a chunk-size line. Returns whether it was complete.
    fn take_size(&mut self, buffer: &mut BytesMut, limits: SizeLimits) -> Result<bool, Rejection> {
        match httparse::parse_chunk_size(buffer) {
            Ok(Status::Complete((consumed, size))) if consumed as u64 <= limits.line() => {
                let total = size.checked_add(self.decoded.len() as u64);
                if total.is_none_or(|total| total > limits.body) {
                    return Err(Rejection::BodyTooLarge);
                }
                buffer.advance(consumed);
                self.state = match size {
                    0 => ChunkState::Trailers(Section::default()),
                    _ => ChunkState::Data(size),
                };
                Ok(true)
            }
            Ok(Status::Partial) if (buffer.len() as u64) < limits.line() => Ok(false),
            _ => Err(Rejection::Malformed),
        }
    }

    /// Takes the data that has arrived of a chunk with `left` bytes to come. Returns whether that
    /// was all of it.
    fn take_data(&mut self, buffer: &mut BytesMut, left: u64) -> bool {
        let arrived = left.min(buffer.len() as u64);
        self.decoded.put_slice(&buffer[..arrived as usize]);
        buffer.advance(arrived as usize);
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
fn take_trailers(
    section: &mut Section,
    buffer: &mut BytesMut,
    limits: SizeLimits,
) -> Result<bool, Rejection> {
    let end = section.find_end(buffer);
    if section.size(buffer) > limits.head {
        return Err(Rejection::HeadTooLarge);
    }
    let Some(end) = end else { return Ok(false) };
    let mut headers = vec![httparse::EMPTY_HEADER; section.lines];
    match httparse::parse_headers(&buffer[..end], &mut headers) {
        Ok(Status::Complete((consumed, _))) if consumed == end => {
            buffer.advance(end);
            Ok(true)
        }
        _ => Err(Rejection::Malformed),
    }
}
