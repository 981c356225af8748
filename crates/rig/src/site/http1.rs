//! HTTP/1.1 messages as they are on the wire, so that faults can be put in at any byte.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt},
    net::TcpListener,
    time::sleep,
};

/// Time for which an address may still be in use by a stand-in that has just ended.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_INTERVAL: Duration = Duration::from_millis(10);

/// Longest line or body that is read. Nothing that the stand-ins exchange comes near it.
const MAX_BYTES: u64 = 16 << 20;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names and values of the headers, in their order.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response, or 0 if it isn't a number.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    /// Value of a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                decoded.push(byte);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the next message. Returns `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Returns an error if the connection fails or ends within the message, or if the bytes are no message.
pub async fn read_message(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let Some(start) = read_line(reader).await? else {
        return Ok(None);
    };
    message.start = start;
    if !message.start.contains("HTTP/1.") {
        return Err(io::ErrorKind::InvalidData.into());
    }
    loop {
        let line = read_line(reader).await?;
        let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
        match line.split_once(':') {
            None if line.is_empty() => break,
            None => return Err(io::ErrorKind::InvalidData.into()),
            Some((name, value)) => {
                let value = value.trim().to_owned();
                message.headers.push((name.to_owned(), value));
            }
        }
    }
    message.body = read_body(reader, &message).await?;
    Ok(Some(message))
}

async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let length = reader.take(MAX_BYTES).read_until(b'\n', &mut line).await?;
    match line.pop() {
        None if length == 0 => Ok(None),
        Some(b'\n') => Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned())),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

async fn read_body(
    reader: &mut (impl AsyncBufRead + Unpin),
    message: &Message,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let length = message.header("content-length");
    let is_response = message.start.starts_with("HTTP/");
    match length.map(|text| text.parse::<u64>()) {
        Some(Ok(length)) if length <= MAX_BYTES => {
            body.resize(length as usize, 0);
            reader.read_exact(&mut body).await?;
        }
        Some(_) => return Err(io::ErrorKind::InvalidData.into()),
        None if message.header("transfer-encoding").is_some() => {
            while read_chunk(reader, &mut body).await? {}
        }
        None if is_response && !matches!(message.status(), 100..200 | 204 | 304) => {
            reader.take(MAX_BYTES).read_to_end(&mut body).await?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads one chunk. Returns whether more follow.
async fn read_chunk(
    reader: &mut (impl AsyncBufRead + Unpin),
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    let line = read_line(reader).await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = u64::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size > MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut chunk = vec![0; size as usize + 2];
    reader.read_exact(&mut chunk).await?;
    body.extend_from_slice(&chunk[..size as usize]);
    Ok(size > 0)
}

/// Binds an address, once those that used it have ended.
///
/// # Errors
///
/// Returns an error if the address can't be bound within 5 s.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_TIMEOUT =>
            {
                sleep(BIND_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}

/// A response with a length, as bytes. `headers` is a block of lines that each end with CR LF.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}
