//! Pool of idle connections to the backend server.

use std::{
    collections::{HashMap, VecDeque},
    io::{self, IoSlice},
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use axum::http::{Request, Response};
use board::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use support::socket;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::timeout,
};
use types::{CallId, Moment, Span};

/// Timeout of connecting to the backend server on the same host, which usually takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Keep-alive time of a connection if the backend server names none. It is below five seconds, the
/// shortest default among common servers.
const DEFAULT_KEEP_ALIVE: Span = Span::from_millis(4_000);
/// An idle connection is dropped this long before the backend server closes it, so that no request
/// is sent while the backend server is closing.
const KEEP_ALIVE_MARGIN: Span = Span::from_millis(1_000);
/// Maximum idle connections per backend server: several times the slots of the users' backend
/// servers.
const MAX_IDLE: usize = 32;

/// Maximum headers of one answer, several times those of any usual one. Beyond it, the answer counts
/// as malformed.
const MAX_HEADERS: usize = 512;

/// Maximum interim responses (`1xx`) in front of one answer, many times those of any usual one. Each takes as long
/// to parse as an answer, so a server that sends them without end would keep the node from all else.
const MAX_INTERIM: usize = 64;

/// Why the head of an answer was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendError {
    /// The connection was refused: nobody listens at the address.
    Refused,
    /// No part of the request was sent.
    NotSent,
    /// Part of the request may have been sent.
    MaybeSent,
}

/// An HTTP/1.1 connection. Dropping it closes it at once, which cancels a request in progress.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Interim responses to the present request.
    interim: Arc<AtomicUsize>,
    /// The call that was last answered over it.
    last_call: Option<CallId>,
}

/// The head of an answer, and the connection that it came over.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
    /// Whether the connection has carried an answer before, of which a copy may arrive.
    pub(super) reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Moment,
}

/// Idle connections by address of the backend server, the longest idle first.
#[derive(Debug)]
pub(super) struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, VecDeque<Idle>>> {
        self.idle
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Sends a request over an idle connection, or else over a new one, and waits for the head of
    /// the answer. A repeated `call` isn't sent over the connection of its earlier answer, whose
    /// copy couldn't be distinguished from the new one.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        call: Option<&CallId>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Sent, SendError> {
        loop {
            let (mut connection, reused) = match self.pop_idle(address, call) {
                Some(connection) => (connection, true),
                None => (
                    connect(address).await.map_err(|error| match error.kind() {
                        io::ErrorKind::ConnectionRefused => SendError::Refused,
                        _ => SendError::NotSent,
                    })?,
                    false,
                ),
            };
            count_interim(&mut request, &connection.interim);
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.last_call = call.cloned();
                    return Ok(Sent {
                        response,
                        connection,
                        reused,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::MaybeSent),
                },
            }
        }
    }

    /// Takes the connection that has been idle longest and can still be used for `call`.
    fn pop_idle(&self, address: SocketAddr, call: Option<&CallId>) -> Option<Connection> {
        let mut idle = self.idle();
        let queue = idle.get_mut(&address)?;
        let now = self.clock.now();
        while let Some(first) = queue.pop_front() {
            let connection = first.connection;
            let is_repeat = call.is_some() && connection.last_call.as_ref() == call;
            if first.expires > now && connection.sender.is_ready() && !is_repeat {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read to the end. `keep_alive` is the
    /// time that the backend server keeps it open, if it names one.
    pub(super) fn release(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Span>,
    ) {
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .0
            .saturating_sub(KEEP_ALIVE_MARGIN.0);
        let expires = self.clock.now() + Span(keep_alive);
        let mut idle = self.idle();
        // A node has one backend server, so connections to any other address are obsolete.
        idle.retain(|other, _| *other == address);
        let queue = idle.entry(address).or_default();
        if queue.len() < MAX_IDLE && !connection.sender.is_closed() {
            queue.push_back(Idle {
                connection,
                expires,
            });
        }
    }

    /// Drops all idle connections to an address. When one connection breaks, the others may be dead
    /// too.
    pub(super) fn remove_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }
}

/// Makes the client count the interim responses to a request, from zero.
fn count_interim(request: &mut Request<Full<Bytes>>, interim: &Arc<AtomicUsize>) {
    interim.store(0, Ordering::Relaxed);
    let interim = Arc::clone(interim);
    hyper::ext::on_informational(request, move |_| {
        interim.fetch_add(1, Ordering::Relaxed);
    });
}

/// A stream whose reads fail once too many interim responses have come.
struct LimitedStream {
    stream: TcpStream,
    interim: Arc<AtomicUsize>,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim.load(Ordering::Relaxed) > MAX_INTERIM {
            return Poll::Ready(Err(io::Error::other("too many interim responses")));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    socket::configure(&stream)?;
    let interim = Arc::default();
    let handshake = Builder::new()
        .max_headers(MAX_HEADERS)
        .allow_obsolete_multiline_headers_in_responses(true)
        .handshake(TokioIo::new(LimitedStream {
            stream,
            interim: Arc::clone(&interim),
        }));
    let (sender, driver) = handshake.await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!(address:% = address, error:% = error; "backend_connection_ended");
        }
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        interim,
        last_call: None,
    })
}
