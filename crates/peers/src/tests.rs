//! When a peer keeps its session with a gate and when it opens a new one.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use attempt::{OpenedSession, Reply};
use fixtures::board;
use futures::{FutureExt, future::BoxFuture};
use gate::Load;
use tokio::time::{Duration, timeout};
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Revision, SessionId, Span};
use wire::peer;

use super::{
    Attempt, GateClient, Peer, TransportError, bodies::without_body, convert::from_outcome,
};

/// A gate that opens sessions with increasing numbers and answers nothing else.
#[derive(Default)]
struct FakeGate {
    opened: AtomicU64,
    /// Whether its host is down, so that cancellations get no reply.
    silent: bool,
}

impl GateClient for FakeGate {
    fn open(&self, _: Boot) -> BoxFuture<'_, Result<OpenedSession, TransportError>> {
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

    fn run(&self, _: Attempt) -> BoxFuture<'_, Result<Reply, TransportError>> {
        async { Err(TransportError::ConnectionLost) }.boxed()
    }

    fn cancel(&self, _: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        match self.silent {
            true => futures::future::pending().boxed(),
            false => async { Ok(reply(Outcome::Unknown, Boot(1))) }.boxed(),
        }
    }

    fn withdraw(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.cancel(id)
    }

    fn query(&self, _: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        async { Err(TransportError::ConnectionLost) }.boxed()
    }
}

fn reply(outcome: Outcome, boot: Boot) -> Reply {
    let load = Load::default();
    Reply {
        outcome,
        load,
        revision: Revision(0),
        boot,
        gate_time: Moment(0),
        service_time: Span::default(),
        incarnation: Boot(0),
        leaving: false,
    }
}

/// Returns the sessions of two attempts, the second of which is registered after this reply to the
/// first.
async fn sessions_around_reply(outcome: Outcome, boot: Boot) -> (SessionId, SessionId) {
    let board = board();
    let peer = Peer::new(
        "127.0.0.1:2".parse().expect("a valid address"),
        Arc::new(FakeGate::default()),
    );
    let first = peer
        .register_attempt(&board, Moment::MAX)
        .await
        .expect("a session was opened")
        .id;
    let now = board.clock.now();
    peer.record_reply(first, &reply(outcome, boot), now, now);
    peer.settle(first);
    let second = peer
        .register_attempt(&board, Moment::MAX)
        .await
        .expect("a session was opened")
        .id;
    (first.session, second.session)
}

#[tokio::test]
async fn unknown_outcome_opens_a_new_session() {
    let (first, second) = sessions_around_reply(Outcome::Unknown, Boot(1)).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn restarted_gate_gets_a_new_session() {
    let (first, second) = sessions_around_reply(Outcome::refused(Refusal::Session), Boot(9)).await;
    assert_ne!(first, second);
}

#[tokio::test]
async fn other_refusals_keep_the_session() {
    let (first, second) = sessions_around_reply(Outcome::refused(Refusal::Busy), Boot(1)).await;
    assert_eq!(first, second);
}

/// Whether a cancellation is found unanswered within 200 ms.
async fn is_found_silent(silent: bool) -> bool {
    let gate = FakeGate {
        silent,
        ..FakeGate::default()
    };
    let peer = Peer::new(
        "127.0.0.1:2".parse().expect("a valid address"),
        Arc::new(gate),
    );
    let registered = peer.register_attempt(&board(), Moment::MAX).await;
    let id = registered.expect("a session was opened").id;
    let found = AtomicBool::new(false);
    let cancelling = peer.cancel(id, || found.store(true, Ordering::Relaxed));
    let _ = timeout(Duration::from_millis(200), cancelling).await;
    found.load(Ordering::Relaxed)
}

#[tokio::test]
async fn a_gate_that_does_not_reply_to_a_cancellation_is_found_silent() {
    assert!(is_found_silent(true).await);
    assert!(!is_found_silent(false).await);
}

#[test]
fn an_answer_with_an_impossible_status_is_no_answer() {
    // The first one has the bits of 200 in its lower half.
    for status in [(1 << 16) + 200, 0, 99, 101, 199, 1_000, u32::MAX] {
        let answer = peer::Answer {
            status,
            ..peer::Answer::default()
        };
        let reply = from_outcome(peer::Outcome {
            result: Some(peer::outcome::Result::Answer(answer)),
            ..peer::Outcome::default()
        });
        assert_eq!(reply.outcome, Outcome::Unknown, "{status}");
    }
}

#[test]
fn a_gate_that_forgot_an_attempt_before_its_body_was_whole_has_not_run_it() {
    let forgotten = without_body(reply(Outcome::Unknown, Boot(1)));
    assert_eq!(forgotten.outcome, Outcome::refused(Refusal::Session));
    let refused = without_body(reply(Outcome::refused(Refusal::Busy), Boot(1)));
    assert_eq!(refused.outcome, Outcome::refused(Refusal::Busy));
}

#[test]
fn an_answer_of_another_node_whose_status_is_no_final_one_is_unknown() {
    let outcome = |status| {
        let answer = peer::Answer {
            status,
            ..peer::Answer::default()
        };
        let result = Some(peer::outcome::Result::Answer(answer));
        from_outcome(peer::Outcome {
            result,
            ..peer::Outcome::default()
        })
        .outcome
    };
    for status in [0, 99, 100, 199, 600, 999, 1_000, 65_736, u32::MAX] {
        assert_eq!(outcome(status), Outcome::Unknown, "{status}");
    }
    for status in [200, 599] {
        assert!(
            matches!(outcome(status), Outcome::Answer(answer) if u32::from(answer.status) == status)
        );
    }
}
