//! One caller's HTTP/1.1 connection.
//!
//! A caller may send further requests before the first is answered. They are carried side by side
//! and answered in the order in which they came: behind each other, the later ones would wait for
//! work that has nothing to do with them. Requests that aren't plain reads wait until nothing is in
//! front of them.
//!
//! The connection is read all the time, also while requests are under way, so that a caller that goes
//! away is noticed at once. Then everything that it sent is dropped, which cancels it.
//!
//! # Closing
//!
//! A stopping node answers what it has read and says `connection: close` on the last answer. A
//! connection that is idle stays open until the node closes its callers' side, as a request may be on
//! its way already.

use std::{io, sync::Arc, time::Duration};

use axum::http::Response;
use bytes::{Bytes, BytesMut};
use dialect::Rejection;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{Instant, Sleep, sleep_until, timeout},
};
use types::{CallId, Moment, Span};

use super::{
    Ingress,
    frame::{self, Body, Message},
    room::Held,
    routing::{self, Accepted},
};

/// Requests of one connection that are carried at the same time: more than callers were seen to send.
const MOST_ABREAST: usize = 32;
/// Longest time that a caller may take to read an answer before its connection counts as dead, beyond
/// any deadline of the users' callers.
const WRITE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time for which what a caller still sends is read after its last answer: some round trips to it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that are read ahead of what can be carried: a few heads of the largest size that is usual.
const MOST_AHEAD: usize = 64 << 10;
/// Time that a body may take whose request was rejected already: its caller may be slow, but nothing
/// depends on it any more.
const REJECTED_TIME: Span = Span::from_millis(2_000);

/// A request that is complete but for its body.
struct Partial {
    call: CallId,
    accepted: Result<Accepted, Rejection>,
    body: Body,
    bodiless: bool,
    keep: bool,
    began: Moment,
    deadline: Moment,
    held: Held,
}

/// An answer, and what goes with it.
struct Reply {
    response: Response<Bytes>,
    bodiless: bool,
    keep: bool,
}

struct Connection {
    ingress: Arc<Ingress>,
    stream: TcpStream,
    buffer: BytesMut,
    /// A head that waits for its body, or for those in front of it.
    partial: Option<Partial>,
    flights: FuturesOrdered<BoxFuture<'static, Reply>>,
    /// Whether all that is under way are plain reads.
    reads: bool,
    /// Nothing was read yet, though something is there.
    fresh: bool,
    /// Nothing more is taken from this connection.
    last: bool,
    /// When the caller sent or got something last.
    active: Moment,
    /// When the first byte of an incomplete head came.
    head: Option<Moment>,
}

/// Serves a connection until either side closes it. Requests that aren't answered then are dropped.
pub(super) async fn serve(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let now = ingress.board.clock.now();
    let connection = Connection {
        ingress,
        stream,
        buffer: BytesMut::with_capacity(2 << 10),
        partial: None,
        flights: FuturesOrdered::new(),
        reads: true,
        fresh: true,
        last: false,
        active: now,
        head: None,
    };
    connection.run(closing).await
}

impl Connection {
    async fn run(mut self, mut closing: watch::Receiver<bool>) -> io::Result<()> {
        let mut timer = Box::pin(sleep_until(Instant::now()));
        loop {
            self.take_requests().await?;
            if self.is_done(*closing.borrow()) {
                return self.close().await;
            }
            self.arm(timer.as_mut());
            let room = self.room();
            tokio::select! {
                biased;
                Some(reply) = self.flights.next() => {
                    if !self.answer(reply, &closing).await? {
                        return self.close().await;
                    }
                }
                read = self.stream.read_buf(&mut self.buffer), if room => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.fresh = false;
                    self.active = self.now();
                }
                changed = closing.changed(), if !*closing.borrow() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                () = &mut timer => self.run_out(),
            }
        }
    }

    /// Closes the connection after its last answer.
    ///
    /// What the caller still sends is read and dropped until it has seen the end, as closing with
    /// unread bytes resets the connection, and with it the answer on its way.
    async fn close(mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let dropped = async {
            loop {
                self.buffer.clear();
                if self.stream.read_buf(&mut self.buffer).await? == 0 {
                    return Ok(());
                }
            }
        };
        // A caller that goes on sending has had its time.
        timeout(CLOSE_TIMEOUT, dropped).await.unwrap_or(Ok(()))
    }

    fn now(&self) -> Moment {
        self.ingress.board.clock.now()
    }

    fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.partial.is_none() && self.buffer.is_empty()
    }

    fn is_done(&self, closing: bool) -> bool {
        self.flights.is_empty() && (self.last || (closing && !self.fresh && self.is_idle()))
    }

    /// Whether more may be read: for a body up to its limit, and a little ahead of it.
    fn room(&self) -> bool {
        let body = match &self.partial {
            Some(partial) => partial.body.size(self.buffer.len()) as usize,
            None => 0,
        };
        self.buffer.len() < body + MOST_AHEAD
    }

    /// Takes what is complete off the buffer and sets it on its way.
    async fn take_requests(&mut self) -> io::Result<()> {
        while !self.last {
            if self.partial.is_none() && !self.take_head().await? {
                return Ok(());
            }
            if !self.take_body() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Takes the next head, and tells whether there was one.
    async fn take_head(&mut self) -> io::Result<bool> {
        if self.buffer.is_empty() || self.flights.len() >= MOST_ABREAST {
            return Ok(false);
        }
        let most = self.ingress.board.view.borrow().state.callers.head.0;
        match frame::take_head(&mut self.buffer, most) {
            Ok(Some(message)) => {
                self.head = None;
                if message.expects && !message.body.is_empty() {
                    self.stream
                        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                        .await?;
                }
                self.partial = Some(self.accept(message));
                Ok(true)
            }
            Ok(None) => {
                let now = self.now();
                self.head.get_or_insert(now);
                Ok(false)
            }
            Err(rejection) => {
                self.reject(rejection);
                Ok(false)
            }
        }
    }

    fn accept(&self, message: Message) -> Partial {
        let began = self.now();
        let Message {
            head, body, keep, ..
        } = message;
        let call = routing::call_id(self.ingress.dialect.as_ref(), &head.headers);
        let accepted = routing::accept(&self.ingress, &call, &head, began);
        let deadline = match &accepted {
            Ok(accepted) => accepted.deadline,
            Err(_) => began + REJECTED_TIME,
        };
        Partial {
            call,
            accepted,
            body,
            bodiless: head.method == "HEAD",
            keep,
            began,
            deadline,
            held: Held::default(),
        }
    }

    /// Sets the request on its way if its body is complete and its turn has come.
    fn take_body(&mut self) -> bool {
        let Some(mut partial) = self.partial.take() else {
            return false;
        };
        let most = match &partial.accepted {
            Ok(accepted) => accepted
                .limits
                .body
                .0
                .min(routing::most_body(&self.ingress.board)),
            Err(_) => routing::most_body(&self.ingress.board),
        };
        let size = partial.body.size(self.buffer.len()).min(most);
        if let Err(rejection) = self.ingress.body_budget.take(size, &mut partial.held) {
            self.cut_short(partial, rejection);
            return false;
        }
        let read = is_read(&partial);
        let turn = self.flights.is_empty() || (self.reads && read);
        if !turn {
            self.partial = Some(partial);
            return false;
        }
        match partial.body.take(&mut self.buffer, most) {
            Ok(Some(body)) => {
                self.reads = read && (self.reads || self.flights.is_empty());
                self.last = !partial.keep;
                if let Ok(accepted) = &mut partial.accepted {
                    accepted.set_body(body);
                }
                self.fly(partial);
                true
            }
            Ok(None) => {
                self.partial = Some(partial);
                false
            }
            Err(rejection) => {
                self.cut_short(partial, rejection);
                false
            }
        }
    }

    fn fly(&mut self, partial: Partial) {
        let ingress = Arc::clone(&self.ingress);
        let Partial {
            call,
            accepted,
            bodiless,
            keep,
            began,
            held,
            ..
        } = partial;
        let flight = async move {
            let _held = held;
            let response = ingress.carry(&call, accepted, began).await;
            Reply {
                response,
                bodiless,
                keep,
            }
        };
        self.flights.push_back(flight.boxed());
    }

    /// Ends the connection with the answer to a request whose end isn't known.
    fn cut_short(&mut self, mut partial: Partial, rejection: Rejection) {
        if partial.accepted.is_ok() {
            partial.accepted = Err(rejection);
        }
        partial.keep = false;
        self.last = true;
        self.buffer.clear();
        self.fly(partial);
    }

    /// Ends the connection with the answer to bytes that are no request.
    fn reject(&mut self, rejection: Rejection) {
        let now = self.now();
        let partial = Partial {
            call: CallId::from(rand::random::<u128>()),
            accepted: Err(rejection),
            body: Body::Counted(0),
            bodiless: false,
            keep: false,
            began: now,
            deadline: now,
            held: Held::default(),
        };
        self.cut_short(partial, rejection);
    }

    /// Writes an answer, and tells whether the connection goes on.
    async fn answer(&mut self, reply: Reply, closing: &watch::Receiver<bool>) -> io::Result<bool> {
        let stopping = *closing.borrow() || self.ingress.is_stopping();
        let ends = stopping && self.is_idle();
        let keep = reply.keep && !ends;
        let bytes = frame::write(&reply.response, reply.bodiless, keep);
        timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await??;
        self.active = self.now();
        Ok(keep)
    }

    /// The moment at which the caller has taken too long, and what it was too slow with.
    fn limit(&self) -> Moment {
        let callers = &self.ingress.board.view.borrow().state.callers;
        match (&self.partial, self.head) {
            (Some(partial), _) if self.flights.is_empty() => partial.deadline,
            (None, Some(began)) => began + Span::from_millis(callers.head_ms),
            (None, None) if self.flights.is_empty() => {
                self.active + Span::from_millis(callers.idle_ms)
            }
            _ => Moment::MAX,
        }
    }

    fn arm(&self, timer: std::pin::Pin<&mut Sleep>) {
        let wake = self.ingress.board.clock.instant(self.limit());
        if timer.deadline() != wake {
            timer.reset(wake);
        }
    }

    fn run_out(&mut self) {
        if self.now() < self.limit() {
            return;
        }
        match self.partial.take() {
            Some(partial) => self.cut_short(partial, Rejection::Incomplete),
            None if self.head.is_some() => self.reject(Rejection::Incomplete),
            None => self.last = true,
        }
    }
}

/// Whether a request only reads, so that it may be carried beside others.
fn is_read(partial: &Partial) -> bool {
    let read = |a: &Accepted| a.idempotent && a.request.method == "GET";
    partial.accepted.as_ref().map_or(true, read)
}
