//! Transfer of a large body to the gate that has admitted its attempt.
//!
//! A body takes a slow link for longer than other messages may wait, so only a few of its chunks are on the way
//! at a time. The gate acknowledges each one.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use attempt::Reply;
use bytes::{Bytes, BytesMut};
use futures::{
    StreamExt,
    channel::mpsc,
    stream::{self, BoxStream},
};
use tonic::{Status, Streaming, transport::Channel};
use types::{AttemptId, Outcome, Refusal};
use wire::peer::{BodyChunk, DeliverReply, peer_client::PeerClient};

use super::{LocalGate, TransportError, convert, fault::classify_error};

/// Size of a chunk: 13 ms of a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks of one body that are on the way at a time, so that the link doesn't idle for a round trip after
/// each.
const WINDOW_CHUNKS: usize = 2;
/// Largest body that is taken, as for other messages between nodes.
const MAX_BODY_BYTES: u64 = 68 << 20;

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
    id: AttemptId,
    body: Bytes,
    handover: &Handover,
) -> Result<Reply, TransportError> {
    let mut rest = chunks(id, body);
    let (sender, receiver) = mpsc::unbounded();
    let send_next = |rest: &mut VecDeque<BodyChunk>| {
        let Some(chunk) = rest.pop_front() else {
            return;
        };
        if rest.is_empty() {
            handover.complete();
        }
        // The receiver is gone if the connection is, which its reply tells.
        let _ = sender.unbounded_send(chunk);
    };
    for _ in 0..WINDOW_CHUNKS {
        send_next(&mut rest);
    }
    let mut replies = match client.deliver(receiver).await {
        Ok(response) => response.into_inner(),
        Err(status) => return Err(cut_or_lost(&status, &rest)),
    };
    loop {
        match replies.message().await {
            Ok(Some(reply)) => match reply.outcome {
                Some(outcome) if rest.is_empty() => return Ok(convert::from_outcome(outcome)),
                Some(outcome) => return Ok(without_body(convert::from_outcome(outcome))),
                None => send_next(&mut rest),
            },
            Ok(None) => return Err(cut_or_lost(&Status::cancelled("no outcome"), &rest)),
            Err(status) => return Err(cut_or_lost(&status, &rest)),
        }
    }
}

fn chunks(id: AttemptId, mut body: Bytes) -> VecDeque<BodyChunk> {
    let mut chunks = VecDeque::from([BodyChunk {
        attempt: Some(id.into()),
        body_bytes: body.len() as u64,
        data: body.split_to(CHUNK_BYTES.min(body.len())),
    }]);
    while !body.is_empty() {
        chunks.push_back(BodyChunk {
            data: body.split_to(CHUNK_BYTES.min(body.len())),
            ..BodyChunk::default()
        });
    }
    chunks
}

fn cut_or_lost(status: &Status, rest: &VecDeque<BodyChunk>) -> TransportError {
    match classify_error(status) {
        TransportError::ConnectionLost if !rest.is_empty() => TransportError::BodyCut,
        other => other,
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
    /// Receives the next chunk, or takes the `first` one. Returns the reply to it, `None` after the outcome.
    async fn advance(&mut self, first: Option<Bytes>) -> Option<Result<DeliverReply, Status>> {
        if !self.is_open {
            return None;
        }
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
        if self.received.len() < self.size && self.gate.extend(self.id).await == Ok(true) {
            return Some(Ok(DeliverReply::default()));
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
