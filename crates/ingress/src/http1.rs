//! An HTTP/1.1 connection of a caller.
//!
//! A caller may pipeline requests. Consecutive idempotent GET requests run concurrently, as each
//! would otherwise wait for unrelated requests in front of it. Any other request runs alone: it
//! starts once all requests in front of it are answered. Answers are written in the order of the
//! requests.
//!
//! The connection is read continuously, also while requests are in flight, so that a disconnect of
//! the caller is noticed at once. All requests in flight are then dropped, which cancels them.
//!
//! # Closing
//!
//! A stopping node answers the requests that it has read and sends `connection: close` with the
//! last answer. An idle connection stays open until the node closes its ingress, as a request may
//! already be on its way.

use std::{io, sync::Arc, time::Duration};

use axum::http::Response;
use bytes::{Bytes, BytesMut};
use dialect::Rejection;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesOrdered};
use note::CallerLimits;
use support::body_budget::BodyReservation;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{Instant, Sleep, sleep_until, timeout},
};
use types::{CallId, Moment, Span};

use super::{
    Ingress,
    framing::{BodyDecoder, HeadDecoder, Message, SizeLimits},
    response,
    routing::{self, RoutedCall},
};

/// Maximum requests in flight on one connection: more than callers pipeline in practice.
const MAX_IN_FLIGHT: usize = 32;
/// Time that a caller may take to read an answer before its connection counts as dead: longer than
/// any deadline of the users' callers.
const WRITE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Duration of a lingering close, in which the caller's input is read and discarded after the last
/// answer: a few round trips to the caller.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Least bytes that are read ahead of the request being received: a few heads of the usual size.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// Room for one read of a connection on which the next head is due: a head of the usual size.
const HEAD_READ_BYTES: usize = 2 << 10;
/// Room for one read of a connection on which a body is due.
const BODY_READ_BYTES: usize = 16 << 10;
/// Time to receive the body of a request that is already rejected. The caller may be slow, but
/// nothing depends on the body any more.
const REJECTED_BODY_TIMEOUT: Span = Span::from_millis(2_000);

/// A request whose head is complete and that has not started.
struct PendingRequest {
    call: CallId,
    routed: Result<RoutedCall, Rejection>,
    body: BodyDecoder,
    /// The body, once it is complete.
    whole: Option<Bytes>,
    /// Whether the caller waits for `100 Continue`, and hasn't got it.
    expects_continue: bool,
    omit_body: bool,
    keep_alive: bool,
    started_at: Moment,
    deadline: Moment,
    reservation: BodyReservation,
}

/// A response, and how it is written.
struct Outgoing {
    response: Response<Bytes>,
    omit_body: bool,
    keep_alive: bool,
}

struct Connection {
    ingress: Arc<Ingress>,
    stream: TcpStream,
    buffer: BytesMut,
    head: HeadDecoder,
    /// The limits that were in force when the caller began to send, or was last answered. A change
    /// doesn't reject what it has sent by then.
    limits: CallerLimits,
    /// A request that waits for its body, or for requests in front of it.
    pending: Option<PendingRequest>,
    in_flight: FuturesOrdered<BoxFuture<'static, Outgoing>>,
    /// Whether all requests in flight may run concurrently, see [`may_overlap`].
    all_overlap: bool,
    /// No bytes have been read yet. The first ones have arrived, as they indicated the protocol.
    is_new: bool,
    /// No further request is taken from this connection.
    is_ending: bool,
    /// When bytes were last received from the caller or written to it.
    last_active: Moment,
    /// When the head that is being received was first found incomplete.
    head_started: Option<Moment>,
}

/// Serves a connection until either side closes it. Requests that are still unanswered are dropped.
pub(super) async fn serve(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let now = ingress.board.clock.now();
    let limits = ingress.board.view.borrow().state.callers.clone();
    let connection = Connection {
        ingress,
        stream,
        head: HeadDecoder::default(),
        limits,
        buffer: BytesMut::new(),
        pending: None,
        in_flight: FuturesOrdered::new(),
        all_overlap: true,
        is_new: true,
        is_ending: false,
        last_active: now,
        head_started: None,
    };
    connection.run(closing).await
}

impl Connection {
    async fn run(mut self, mut closing: watch::Receiver<bool>) -> io::Result<()> {
        let mut timer = Box::pin(sleep_until(Instant::now()));
        loop {
            self.start_requests().await?;
            if self.is_done(*closing.borrow()) {
                return self.close().await;
            }
            self.set_timer(timer.as_mut());
            let may_read = self.may_read();
            tokio::select! {
                biased;
                Some(outgoing) = self.in_flight.next() => {
                    if !self.write(outgoing, &closing).await? {
                        return self.close().await;
                    }
                }
                read = read_more(&mut self.stream, &mut self.buffer, &mut self.pending), if may_read => {
                    let read = read?;
                    if read == 0 {
                        return Ok(());
                    }
                    if self.pending.is_none() && self.buffer.len() == read {
                        self.note_limits();
                    }
                    self.is_new = false;
                    self.last_active = self.now();
                }
                changed = closing.changed(), if !*closing.borrow() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                () = &mut timer => self.handle_timeout(),
            }
        }
    }

    /// Closes the connection after the last answer, with a lingering close.
    ///
    /// The caller's input is read and discarded until the caller closes its side. Closing a
    /// connection with unread bytes resets it, and the caller may lose an answer that is still on
    /// its way.
    async fn close(mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let discard = async {
            loop {
                self.buffer.clear();
                self.buffer.reserve(HEAD_READ_BYTES);
                if self.stream.read_buf(&mut self.buffer).await? == 0 {
                    return Ok(());
                }
            }
        };
        // A caller that keeps sending is cut off by the timeout.
        timeout(LINGER_TIMEOUT, discard).await.unwrap_or(Ok(()))
    }

    fn now(&self) -> Moment {
        self.ingress.board.clock.now()
    }

    fn note_limits(&mut self) {
        self.limits
            .clone_from(&self.ingress.board.view.borrow().state.callers);
    }

    /// The larger of the limits in force now and when the caller began to send.
    fn size_limits(&self) -> SizeLimits {
        let callers = &self.ingress.board.view.borrow().state.callers;
        SizeLimits {
            head: callers.head.max(self.limits.head).0,
            body: callers.body.max(self.limits.body).0,
        }
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.pending.is_none() && self.buffer.is_empty()
    }

    fn is_done(&self, closing: bool) -> bool {
        self.in_flight.is_empty() && (self.is_ending || (closing && !self.is_new && self.is_idle()))
    }

    /// Whether more bytes may be read: a limited read-ahead that has room for the largest head.
    fn may_read(&self) -> bool {
        let limits = self.size_limits();
        let head = limits.line().saturating_add(limits.head) as usize;
        self.buffer.len() < READ_AHEAD_BYTES.max(head.saturating_add(b"\r\n".len()))
    }

    /// Takes all complete requests off the buffer and starts them.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.is_ending {
            if self.pending.is_none() && !self.next_head() {
                return Ok(());
            }
            self.send_continue().await?;
            if !self.start_pending() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Tells the caller to send the body that it holds back, once that can't be taken for an answer to
    /// a request in front.
    async fn send_continue(&mut self) -> io::Result<()> {
        match &mut self.pending {
            Some(pending) if pending.expects_continue && self.in_flight.is_empty() => {
                pending.expects_continue = false;
                self.stream
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                    .await
            }
            _ => Ok(()),
        }
    }

    /// Takes the next head off the buffer. Returns whether there was one.
    fn next_head(&mut self) -> bool {
        if self.buffer.is_empty() {
            // A kept connection would keep the memory of its largest read.
            self.buffer = BytesMut::new();
            return false;
        }
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return false;
        }
        let limits = self.size_limits();
        match self.head.take(&mut self.buffer, limits) {
            Ok(Some(message)) => {
                self.head_started = None;
                self.pending = Some(self.route(message));
                true
            }
            // Only empty lines have arrived.
            Ok(None) if self.buffer.is_empty() => {
                self.head_started = None;
                false
            }
            Ok(None) => {
                let now = self.now();
                self.head_started.get_or_insert(now);
                false
            }
            Err(rejection) => {
                self.reject_head(rejection);
                false
            }
        }
    }

    fn route(&self, message: Message) -> PendingRequest {
        let started_at = self.now();
        let Message {
            head,
            body,
            keep_alive,
            expects_continue,
        } = message;
        let call = routing::call_id(self.ingress.dialect.as_ref(), &head.headers);
        let routed = routing::route_call(&self.ingress, &call, &head, started_at);
        let deadline = match &routed {
            Ok(routed) => routed.deadline,
            Err(_) => started_at + REJECTED_BODY_TIMEOUT,
        };
        PendingRequest {
            call,
            routed,
            expects_continue: expects_continue && !body.is_empty(),
            body,
            whole: None,
            omit_body: head.method == "HEAD",
            keep_alive,
            started_at,
            deadline,
            reservation: BodyReservation::default(),
        }
    }

    /// Starts the pending request if its body is complete and the requests in flight allow it.
    /// Returns whether it was started.
    fn start_pending(&mut self) -> bool {
        let Some(mut pending) = self.pending.take() else {
            return false;
        };
        let mut limits = self.size_limits();
        if let Ok(routed) = &pending.routed {
            limits.body = routed.max_body.max(limits.body.min(routed.limits.body.0));
        }
        let size = match &pending.whole {
            Some(body) => body.len() as u64,
            None => pending.body.min_bytes(self.buffer.len()).min(limits.body),
        };
        if let Err(rejection) = self
            .ingress
            .body_budget
            .reserve(size, &mut pending.reservation)
        {
            self.reject_pending(pending, rejection);
            return false;
        }
        if pending.whole.is_none() {
            match pending.body.take(&mut self.buffer, limits) {
                Ok(whole) => pending.whole = whole,
                Err(rejection) => {
                    self.reject_pending(pending, rejection);
                    return false;
                }
            }
        }
        let overlaps = may_overlap(&pending);
        let may_start = self.in_flight.is_empty() || (self.all_overlap && overlaps);
        if !may_start || pending.whole.is_none() {
            self.pending = Some(pending);
            return false;
        }
        self.all_overlap = overlaps && (self.all_overlap || self.in_flight.is_empty());
        self.is_ending = !pending.keep_alive;
        if let (Ok(routed), Some(body)) = (&mut pending.routed, pending.whole.take()) {
            routed.set_body(body);
        }
        self.start(pending);
        true
    }

    fn start(&mut self, pending: PendingRequest) {
        let ingress = Arc::clone(&self.ingress);
        let PendingRequest {
            call,
            routed,
            omit_body,
            keep_alive,
            started_at,
            reservation,
            ..
        } = pending;
        let response = async move {
            let _reservation = reservation;
            let response = ingress.process(&call, routed, started_at).await;
            Outgoing {
                response,
                omit_body,
                keep_alive,
            }
        };
        self.in_flight.push_back(response.boxed());
    }

    /// Answers a request whose body wasn't read to its end, and then ends the connection.
    fn reject_pending(&mut self, mut pending: PendingRequest, rejection: Rejection) {
        if pending.routed.is_ok() {
            pending.routed = Err(rejection);
        }
        pending.keep_alive = false;
        self.is_ending = true;
        self.buffer.clear();
        self.start(pending);
    }

    /// Rejects bytes that form no valid head, and then ends the connection.
    fn reject_head(&mut self, rejection: Rejection) {
        let now = self.now();
        // A node without a configuration doesn't know the limit on heads.
        let rejection = match rejection {
            Rejection::HeadTooLarge if !self.ingress.board.has_joined() => Rejection::Joining,
            other => other,
        };
        let pending = PendingRequest {
            call: CallId::from(rand::random::<u128>()),
            routed: Err(rejection),
            expects_continue: false,
            body: BodyDecoder::empty(),
            whole: None,
            omit_body: false,
            keep_alive: false,
            started_at: now,
            deadline: now,
            reservation: BodyReservation::default(),
        };
        self.reject_pending(pending, rejection);
    }

    /// Writes a response. Returns whether the connection stays open.
    async fn write(
        &mut self,
        outgoing: Outgoing,
        closing: &watch::Receiver<bool>,
    ) -> io::Result<bool> {
        let stopping = *closing.borrow() || self.ingress.is_stopping();
        let ends = stopping && self.is_idle();
        let keep_alive = outgoing.keep_alive && !ends;
        let mut bytes =
            response::encode_response(&outgoing.response, outgoing.omit_body, keep_alive);
        timeout(WRITE_TIMEOUT, self.stream.write_all_buf(&mut bytes)).await??;
        self.last_active = self.now();
        if self.is_idle() {
            self.note_limits();
        }
        Ok(keep_alive)
    }

    /// The moment until which the caller has to send the body, the head or the next request that
    /// the connection waits for.
    fn read_deadline(&self) -> Moment {
        let callers = &self.ingress.board.view.borrow().state.callers;
        let head_ms = callers.head_ms.max(self.limits.head_ms);
        let idle_ms = callers.idle_ms.max(self.limits.idle_ms);
        match (&self.pending, self.head_started) {
            (Some(pending), _) if self.in_flight.is_empty() => pending.deadline,
            (None, Some(started_at)) => started_at + Span::from_millis(head_ms),
            (None, None) if self.in_flight.is_empty() => {
                self.last_active + Span::from_millis(idle_ms)
            }
            _ => Moment::MAX,
        }
    }

    fn set_timer(&self, timer: std::pin::Pin<&mut Sleep>) {
        let wake = self.ingress.board.clock.instant(self.read_deadline());
        if timer.deadline() != wake {
            timer.reset(wake);
        }
    }

    fn handle_timeout(&mut self) {
        if self.now() < self.read_deadline() {
            return;
        }
        match self.pending.take() {
            Some(pending) => self.reject_pending(pending, Rejection::Incomplete),
            None if self.head_started.is_some() => self.reject_head(Rejection::Incomplete),
            None => self.is_ending = true,
        }
    }
}

/// Reads more bytes: into the body that is due, if nothing else can come in front of its end, or else
/// into the buffer of the connection.
async fn read_more(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    pending: &mut Option<PendingRequest>,
) -> io::Result<usize> {
    let Some(pending) = pending else {
        buffer.reserve(HEAD_READ_BYTES);
        return stream.read_buf(buffer).await;
    };
    match pending.body.space() {
        Some(mut space) if buffer.is_empty() => {
            let read = stream.read_buf(&mut space).await?;
            pending.body.add_received(read);
            Ok(read)
        }
        _ => {
            buffer.reserve(BODY_READ_BYTES);
            stream.read_buf(buffer).await
        }
    }
}

/// Whether a request may run concurrently with others: it is an idempotent GET request, or already
/// rejected.
fn may_overlap(pending: &PendingRequest) -> bool {
    let idempotent_get = |call: &RoutedCall| call.idempotent && call.request.method == "GET";
    pending.routed.as_ref().map_or(true, idempotent_get)
}
