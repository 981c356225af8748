//! Callers, which keep a connection for many requests.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    time::timeout,
};

use super::{
    http1::{Message, read_message},
    server::{SIGNATURE, body_of},
};

/// Time for which callers wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond its timeout for which a caller waits for an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Host that it names.
    pub host: String,
    /// Target, from the path on.
    pub path: String,
    /// Identifier, new for each request.
    pub id: String,
    /// Time for which the caller waits.
    pub timeout: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A `GET` request with a new id.
    pub fn get(host: &str, path: &str) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        Self {
            method: "GET",
            host: host.to_owned(),
            path: path.to_owned(),
            id: format!("{process:08x}{number:08x}"),
            timeout: Duration::from_millis(1_000),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// A `POST` request with a new id and a body.
    pub fn post(host: &str, path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST",
            body: body.to_vec(),
            ..Self::get(host, path)
        }
    }

    /// The request as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let Self {
            method,
            host,
            path,
            id,
            ..
        } = self;
        let deadline = self.timeout.as_millis();
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: \
             {deadline}\r\n"
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// What a caller got for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The body of a backend server for this request, with the service that ran it.
    Served(String),
    /// A failure with this status. `signed` if a backend server has sent it.
    Failed {
        /// Status.
        status: u16,
        /// Whether it has a backend server's signature.
        signed: bool,
    },
    /// A success that isn't that of a backend server for this request, or bytes that are no answer.
    Mixed(String),
    /// The connection ended without a whole answer.
    Cut,
    /// No answer came in time.
    None,
    /// No connection was established.
    Unconnected,
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
    /// Whether the last answer announced the end of the connection.
    pub is_closing: bool,
}

impl Connection {
    /// Connects to a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection isn't established within a second.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
            is_closing: false,
        })
    }

    /// Sends a request and waits for its answer.
    pub async fn ask(&mut self, request: &Request) -> Answer {
        if self
            .reader
            .get_mut()
            .write_all(&request.to_bytes())
            .await
            .is_err()
        {
            return Answer::Cut;
        }
        let wait = request.timeout + ANSWER_SLACK;
        match timeout(wait, read_message(&mut self.reader)).await {
            Err(_) => Answer::None,
            Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                Answer::Mixed("bytes that are no answer".to_owned())
            }
            Ok(Err(_) | Ok(None)) => Answer::Cut,
            Ok(Ok(Some(answer))) => {
                let closing = |value: &str| value.eq_ignore_ascii_case("close");
                self.is_closing = answer.header("connection").is_some_and(closing);
                judge(request, &answer)
            }
        }
    }

    /// Bytes that came without a request, and whether the connection has ended.
    pub async fn unasked(&mut self, within: Duration) -> (usize, bool) {
        let mut bytes = [0; 1_024];
        match timeout(within, self.reader.read(&mut bytes)).await {
            Err(_) => (0, false),
            Ok(Ok(0) | Err(_)) => (0, true),
            Ok(Ok(count)) => (count, false),
        }
    }
}

/// Whether an answer is that of a backend server for this request.
fn judge(request: &Request, answer: &Message) -> Answer {
    let status = answer.status();
    let signature = answer.header(SIGNATURE);
    let expected = format!("sig.{}", request.id);
    let id = answer.header("x-request-id");
    let body = String::from_utf8_lossy(&answer.body);
    let ran = body.strip_prefix("done ");
    let service = ran.and_then(|text| text.strip_suffix(&format!(" {}", request.id)));
    let service = service.unwrap_or_default();
    match status {
        // A node that hasn't read the head of a request doesn't know its id.
        _ if id.is_some_and(|id| id != request.id) && (signature.is_some() || status < 300) => {
            Answer::Mixed(format!("an answer with the id {}", id.unwrap_or_default()))
        }
        _ if signature.is_some_and(|s| s != expected) => {
            Answer::Mixed(format!("{status} with another request's signature"))
        }
        200 if signature.is_none() => Answer::Mixed("200 without a signature".to_owned()),
        200 if body != body_of(&request.id, service) => {
            Answer::Mixed(format!("200 with the body {body:?}"))
        }
        200 => Answer::Served(service.to_owned()),
        201..300 => Answer::Mixed(format!("status {status}")),
        _ => Answer::Failed {
            status,
            signed: signature.is_some(),
        },
    }
}

/// Sends one request over a connection of its own.
pub async fn ask_once(address: SocketAddr, request: &Request) -> Answer {
    match Connection::open(address).await {
        Ok(mut connection) => connection.ask(request).await,
        Err(_) => Answer::Unconnected,
    }
}

/// Asks a path without a host, such as that of readiness, and returns the status, or 0 without one.
pub async fn status_of(address: SocketAddr, path: &str) -> u16 {
    let asked = async {
        let mut connection = Connection::open(address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        let written = connection.reader.get_mut().write_all(request.as_bytes());
        written.await.ok()?;
        read_message(&mut connection.reader).await.ok()?
    };
    let answer = timeout(CONNECT_TIMEOUT, asked).await;
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

/// When a request was sent and answered, and by which node.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Index of the node that took it.
    pub node: usize,
    /// The request.
    pub request: Request,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What the caller got.
    pub answer: Answer,
}
