//! Connections to backend servers, kept while they are idle.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use axum::http::{Request, Response};
use board::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};
use types::{Moment, Span};

use crate::socket;

/// Longest time to make a connection to a backend server on the own host, which takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept if the backend server doesn't say for how long it does:
/// the shortest default among common servers is five seconds.
const DEFAULT_KEEP: Span = Span::from_millis(4_000);
/// Time by which an idle connection is given up before the backend server closes it, so that a request
/// never crosses the close.
const KEEP_MARGIN: Span = Span::from_millis(1_000);
/// Idle connections with one backend server at most: several times the slots that the users' have.
const MOST_IDLE: usize = 32;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendError {
    /// Nothing was sent.
    Unsent,
    /// Something may have been sent.
    Broken,
}

/// A connection. Dropping it closes it at once, which cancels what runs on it.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    carrier: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.carrier.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Moment,
}

/// Idle connections by backend server.
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
        self.idle.lock().expect("no holder panics")
    }

    /// Sends a request over a kept connection, or over a new one, and waits for the answer's head.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        loop {
            let (mut connection, kept) = match self.take(address) {
                Some(connection) => (connection, true),
                None => (
                    connect(address).await.map_err(|_| SendError::Unsent)?,
                    false,
                ),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(SendError::Unsent),
                    None => return Err(SendError::Broken),
                },
            }
        }
    }

    /// The connection that was idle longest.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let list = idle.get_mut(&address)?;
        let now = self.clock.now();
        while let Some(first) = list.pop_front() {
            if first.until > now && first.connection.sender.is_ready() {
                return Some(first.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put_back(&self, address: SocketAddr, connection: Connection, keep: Option<Span>) {
        let keep = keep.unwrap_or(DEFAULT_KEEP).0.saturating_sub(KEEP_MARGIN.0);
        let until = self.clock.now() + Span(keep);
        let mut idle = self.idle();
        // A backend server that went leaves nothing behind: there is one address at a time.
        idle.retain(|kept, _| *kept == address);
        let list = idle.entry(address).or_default();
        if list.len() < MOST_IDLE && !connection.sender.is_closed() {
            list.push_back(Idle { connection, until });
        }
    }

    /// A connection broke: the others may have gone silent as well.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    socket::configure(&stream)?;
    let (sender, carrier) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let carrier = tokio::spawn(async move {
        if let Err(error) = carrier.await {
            log::debug!(address:% = address, error:% = error; "backend_connection_ended");
        }
    });
    Ok(Connection {
        sender,
        carrier: carrier.abort_handle(),
    })
}
