//! Sessions with a fake gate.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use board::{Board, Identity};
use futures::{FutureExt, future::BoxFuture};
use gate::Load;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Revision, SessionId, Span};

use super::{Attempt, Fault, GateClient, Peer};
use crate::gate_actor::{OpenedSession, Reply};

/// Opens one session after the other.
#[derive(Default)]
struct FakeGate {
    opened: AtomicU64,
}

impl GateClient for FakeGate {
    fn open(&self, _: Boot) -> BoxFuture<'_, Result<OpenedSession, Fault>> {
        let session = SessionId(self.opened.fetch_add(1, Ordering::Relaxed) + 1);
        async move {
            Ok(OpenedSession {
                boot: Boot(1),
                session,
                gate_time: Moment(0),
            })
        }
        .boxed()
    }

    fn run(&self, _: Attempt) -> BoxFuture<'_, Result<Reply, Fault>> {
        async { Err(Fault::Broken) }.boxed()
    }

    fn cancel(&self, _: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        async { Err(Fault::Broken) }.boxed()
    }

    fn ask(&self, _: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        async { Err(Fault::Broken) }.boxed()
    }
}

fn board() -> Arc<Board> {
    Board::new(Identity {
        host: "host".parse().expect("a name"),
        zone: "zone".parse().expect("a name"),
        node: "127.0.0.1:1".parse().expect("an address"),
        boot: Boot(2),
    })
}

fn reply(outcome: Outcome, boot: Boot) -> Reply {
    let load = Load::default();
    Reply {
        outcome,
        load,
        revision: Revision(0),
        boot,
        gate_time: Moment(0),
        backend_time: Span::default(),
    }
}

/// Sessions of two attempts with this reply to the first in between.
async fn sessions(outcome: Outcome, boot: Boot) -> (SessionId, SessionId) {
    let board = board();
    let peer = Peer::new(
        "127.0.0.1:2".parse().expect("an address"),
        Arc::new(FakeGate::default()),
    );
    let first = peer.name(&board, Moment::MAX).await.expect("a session").id;
    let now = board.clock.now();
    peer.hear(first, &reply(outcome, boot), now, now);
    peer.settle(first);
    let second = peer.name(&board, Moment::MAX).await.expect("a session").id;
    (first.session, second.session)
}

#[tokio::test]
async fn a_session_that_the_gate_may_have_forgotten_is_not_used_again() {
    let (first, second) = sessions(Outcome::Unknown, Boot(1)).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn a_gate_that_was_started_anew_gets_another_session() {
    let (first, second) = sessions(Outcome::refused(Refusal::Session), Boot(9)).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn other_refusals_keep_the_session() {
    let (first, second) = sessions(Outcome::refused(Refusal::Busy), Boot(1)).await;
    assert_eq!(first, second);
}
