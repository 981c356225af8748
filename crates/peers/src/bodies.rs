//! Transfer of a large body to the gate that has admitted its attempt.
//!
//! A body takes a slow link for longer than other messages may wait, so only a few chunks are on the way to one
//! host at a time, whichever bodies they are of. The gate acknowledges each one.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use attempt::Reply;
use board::Clock;
use bytes::{Bytes, BytesMut};
use call::{BodyWindow, LinkWindow};
use futures::{
    FutureExt, StreamExt,
    channel::mpsc,
    future::{BoxFuture, OptionFuture},
    stream::{self, BoxStream},
};
use tokio::{sync::Notify, time::sleep_until};
use tonic::{Status, Streaming, transport::Channel};
use types::{AttemptId, Moment, Outcome, Refusal, Size};
use wire::peer::{BodyChunk, DeliverReply, peer_client::PeerClient};

use super::{LocalGate, TransportError, convert, fault::classify_error};

/// Largest body that is taken, as for other messages between nodes.
const MAX_BODY_BYTES: u64 = 68 << 20;

/// The window of all bodies that are sent from here, whichever host they are for.
#[derive(Debug)]
pub(super) struct Uplink {
    window: Mutex<LinkWindow>,
    clock: Clock,
    /// Held by the body whose chunk is next. Its fair order gives all hosts their turns.
    turn: tokio::sync::Mutex<()>,
    changed: Notify,
}

impl Uplink {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            window: Mutex::default(),
            clock,
            turn: tokio::sync::Mutex::default(),
            changed: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn window(&self) -> MutexGuard<'_, LinkWindow> {
        self.window
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Waits until a chunk that takes this much of the window may be sent. Returns when it is sent.
    async fn admit(&self, share: Size) -> Moment {
        let _turn = self.turn.lock().await;
        loop {
            let changed = self.changed.notified();
            let now = self.clock.now();
            let open_at = {
                let mut window = self.window();
                let open_at = window.open_at(share, now);
                if open_at <= now {
                    window.on_sent(share, now);
                    return now;
                }
                open_at
            };
            tokio::select! {
                () = changed => {}
                () = sleep_until(self.clock.instant(open_at)) => {}
            }
        }
    }
}

/// The window of all bodies that are sent to one host.
#[derive(Debug)]
pub(super) struct BodyLink {
    window: Mutex<BodyWindow>,
    uplink: Arc<Uplink>,
    /// Held by the body whose chunk is next. Its fair order gives all bodies their turns.
    turn: tokio::sync::Mutex<()>,
    changed: Notify,
}

impl BodyLink {
    pub(super) fn new(uplink: Arc<Uplink>) -> Self {
        Self {
            window: Mutex::default(),
            uplink,
            turn: tokio::sync::Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn window(&self) -> MutexGuard<'_, BodyWindow> {
        self.window
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn now(&self) -> Moment {
        self.uplink.now()
    }

    /// Waits until a chunk of a body of which `rest` bytes are left may be sent.
    async fn next_chunk(self: Arc<Self>, rest: usize) -> ChunkPermit {
        let _turn = self.turn.lock().await;
        let mut permit = loop {
            let changed = self.changed.notified();
            if let Some(permit) = self.try_next_chunk(rest) {
                break permit;
            }
            changed.await;
        };
        permit.sent_at = Some(self.uplink.admit(permit.share).await);
        permit
    }

    fn try_next_chunk(self: &Arc<Self>, rest: usize) -> Option<ChunkPermit> {
        let mut window = self.window();
        let chunk = self.uplink.window().limit_chunk(window.next_chunk()?);
        let size = chunk.min(Size(rest as u64));
        let share = window.share(size);
        window.on_sent(size);
        Some(ChunkPermit {
            link: Arc::clone(self),
            size,
            share,
            sent_at: None,
            is_acknowledged: false,
        })
    }
}

/// A chunk that may be sent to its host, or is on its way.
struct ChunkPermit {
    link: Arc<BodyLink>,
    size: Size,
    /// What it takes of the window of all hosts.
    share: Size,
    /// `None` while other hosts have their turns.
    sent_at: Option<Moment>,
    is_acknowledged: bool,
}

impl ChunkPermit {
    fn acknowledge(mut self) {
        self.is_acknowledged = true;
    }
}

impl Drop for ChunkPermit {
    fn drop(&mut self) {
        let now = self.link.now();
        let uplink = &self.link.uplink;
        match self.sent_at {
            Some(sent_at) if self.is_acknowledged => {
                let mut window = self.link.window();
                let delay = window.on_acknowledged(self.size, now.since(sent_at), now);
                let mut sum = uplink.window();
                sum.on_acknowledged(self.share, sent_at, delay, now);
            }
            sent_at => {
                self.link.window().on_abandoned(self.size);
                if let Some(sent_at) = sent_at {
                    uplink.window().on_abandoned(self.share, sent_at);
                }
            }
        }
        self.link.changed.notify_one();
        uplink.changed.notify_one();
    }
}

/// Whether the body of an offered attempt has been handed over, shared between the attempt and its call.
#[derive(Debug, Clone, Default)]
pub struct Handover(Arc<AtomicBool>);

impl Handover {
    /// Records that the last part of the body is about to be sent.
    pub(super) fn complete(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether the gate may have the whole body.
    pub fn is_complete(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Reply of a gate that hasn't got the body of the attempt to its end. If it doesn't know the outcome, it has
/// lost the session, and hasn't run the attempt.
pub(super) fn without_body(reply: Reply) -> Reply {
    let outcome = match reply.outcome {
        Outcome::Unknown => Outcome::refused(Refusal::Session),
        known => known,
    };
    Reply { outcome, ..reply }
}

/// Hands over the body of an admitted attempt, and waits for the outcome.
///
/// # Errors
///
/// [`TransportError::BodyCut`] if the last chunk wasn't sent, so that the gate starts nothing.
pub(super) async fn deliver(
    mut client: PeerClient<Channel>,
    link: Arc<BodyLink>,
    id: AttemptId,
    body: Bytes,
    handover: &Handover,
) -> Result<Reply, TransportError> {
    let (sender, receiver) = mpsc::unbounded();
    let mut sending = Sending {
        began: link.now(),
        link,
        id,
        size: Size(body.len() as u64),
        rest: body,
        in_flight: VecDeque::new(),
        sender,
    };
    if let Some(permit) = sending.next_permit() {
        sending.send(permit.await, handover);
    }
    let mut replies = match client.deliver(receiver).await {
        Ok(response) => response.into_inner(),
        Err(status) => return Err(sending.classify(&status)),
    };
    let mut permit = sending.next_permit();
    loop {
        let mut next = OptionFuture::from(permit.as_mut());
        tokio::select! {
            Some(ready) = &mut next => {
                sending.send(ready, handover);
                permit = sending.next_permit();
            }
            reply = replies.message() => match reply {
                Ok(Some(reply)) => match reply.outcome {
                    Some(outcome) if sending.rest.is_empty() => {
                        return Ok(convert::from_outcome(outcome));
                    }
                    Some(outcome) => return Ok(without_body(convert::from_outcome(outcome))),
                    None => sending.acknowledge(),
                },
                Ok(None) => return Err(sending.classify(&Status::cancelled("no outcome"))),
                Err(status) => return Err(sending.classify(&status)),
            },
        }
    }
}

/// A body on its way from here.
struct Sending {
    link: Arc<BodyLink>,
    id: AttemptId,
    /// Size of the whole body.
    size: Size,
    /// When the gate had admitted the attempt.
    began: Moment,
    /// What isn't sent yet.
    rest: Bytes,
    /// The chunks that aren't acknowledged, in order.
    in_flight: VecDeque<ChunkPermit>,
    sender: mpsc::UnboundedSender<BodyChunk>,
}

impl Sending {
    /// Waits for the turn of the next chunk. `None` after the last one.
    fn next_permit(&self) -> Option<BoxFuture<'static, ChunkPermit>> {
        let link = Arc::clone(&self.link);
        (!self.rest.is_empty()).then(|| link.next_chunk(self.rest.len()).boxed())
    }

    fn send(&mut self, permit: ChunkPermit, handover: &Handover) {
        let is_first = self.rest.len() as u64 == self.size.0;
        let data = self.rest.split_to(permit.size.0 as usize);
        if self.rest.is_empty() {
            handover.complete();
            self.log_sent();
        }
        let chunk = match is_first {
            true => BodyChunk {
                attempt: Some(self.id.into()),
                body_bytes: self.size.0,
                data,
            },
            false => BodyChunk {
                data,
                ..BodyChunk::default()
            },
        };
        self.in_flight.push_back(permit);
        // The receiver is gone if the connection is, which its reply tells.
        let _ = self.sender.unbounded_send(chunk);
    }

    fn log_sent(&self) {
        let took = self.link.now().since(self.began);
        let window = self.link.window().size();
        log::info!(
            attempt:% = self.id, bytes = self.size.0, took_us = took.0, window = window.0;
            "body_sent"
        );
    }

    fn acknowledge(&mut self) {
        if let Some(permit) = self.in_flight.pop_front() {
            permit.acknowledge();
        }
    }

    fn classify(&self, status: &Status) -> TransportError {
        match classify_error(status) {
            TransportError::ConnectionLost if !self.rest.is_empty() => TransportError::BodyCut,
            other => other,
        }
    }
}

/// Receives a body. Returns the acknowledgements of its chunks, and the outcome of its attempt.
///
/// # Errors
///
/// A status if the first chunk doesn't name an attempt and the size of its body.
pub(super) async fn receive(
    gate: LocalGate,
    mut chunks: Streaming<BodyChunk>,
) -> Result<BoxStream<'static, Result<DeliverReply, Status>>, Status> {
    let invalid = Status::invalid_argument;
    let first = chunks.message().await?;
    let first = first.ok_or_else(|| invalid("a body without chunks"))?;
    let id = first
        .attempt
        .ok_or_else(|| invalid("a body without its attempt"))?;
    if first.body_bytes > MAX_BODY_BYTES {
        return Err(invalid("the body is too large"));
    }
    let body = IncomingBody {
        gate,
        id: id.into(),
        chunks,
        size: first.body_bytes as usize,
        received: BytesMut::with_capacity(first.body_bytes as usize),
        is_open: true,
    };
    let replies = stream::unfold((body, Some(first.data)), |(mut body, first)| async {
        let reply = body.advance(first).await?;
        Some((reply, (body, None)))
    });
    Ok(replies.boxed())
}

/// A body on its way to the gate. If it is dropped before it is whole, the gate gives up its place.
struct IncomingBody {
    gate: LocalGate,
    id: AttemptId,
    chunks: Streaming<BodyChunk>,
    /// Size of the whole body.
    size: usize,
    received: BytesMut,
    /// Whether more of the body may arrive.
    is_open: bool,
}

impl IncomingBody {
    /// Receives the next chunk, or takes the `first` one, and acknowledges it. Hands over the body after the last
    /// one. Returns the reply, `None` after the outcome.
    async fn advance(&mut self, first: Option<Bytes>) -> Option<Result<DeliverReply, Status>> {
        if !self.is_open {
            return None;
        }
        if first.is_some() || self.received.len() < self.size {
            let data = match first {
                Some(data) => data,
                None => match self.chunks.message().await {
                    Ok(Some(chunk)) => chunk.data,
                    Ok(None) => return Some(Err(self.fail("the body is truncated"))),
                    Err(status) => return Some(Err(self.fail(status.message()))),
                },
            };
            self.received.extend_from_slice(&data);
            if self.received.len() > self.size {
                return Some(Err(self.fail("the body is too long")));
            }
            // Also the last chunk is acknowledged, as other bodies wait for their turn while this one's request
            // runs.
            if self.gate.extend(self.id).await == Ok(true) {
                return Some(Ok(DeliverReply::default()));
            }
        }
        // The outcome of an attempt that the gate has refused meanwhile is known before its body is whole.
        self.is_open = false;
        let body = std::mem::take(&mut self.received).freeze();
        Some(match self.gate.deliver_body(self.id, body).await {
            Ok(reply) => Ok(DeliverReply {
                outcome: Some(convert::to_outcome(reply)),
            }),
            Err(_) => Err(Status::unavailable("the gate is gone")),
        })
    }

    fn fail(&mut self, reason: &str) -> Status {
        self.give_up();
        Status::invalid_argument(reason)
    }

    fn give_up(&mut self) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let (gate, id) = (self.gate.clone(), self.id);
        tokio::spawn(async move {
            let _ = gate.drop_body(id).await;
        });
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        self.give_up();
    }
}
