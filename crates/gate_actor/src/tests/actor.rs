//! How the gate actor hears that its backend server has ended, and what it withholds.

use std::sync::Arc;

use attempt::{OpenedSession, Reply, RequestIdentity, ServerRequest};
use backend::{Backend, ProbeError, RequestResult, Target};
use bytes::Bytes;
use dialect::ResponseMetadata;
use fixtures::board;
use fleet::{Lease, ServerEnd, Verdict};
use futures::{
    FutureExt,
    future::{BoxFuture, pending},
};
use gate::{Completion, Offer, Rank};
use metrics::Metrics;
use smol_str::SmolStr;
use tokio::{sync::oneshot, time::Instant};
use types::{AttemptId, Boot, Outcome, Refusal, Seq, ServerId, Size, Span};

use super::{attempt, request, server, server_request, view};
use crate::{BodyLost, DeliverBody, GateActor, GateOptions, OfferBody, ProbeFinished, RunAttempt};

/// A backend server whose requests run until the test ends them.
struct PendingBackend;

impl Backend for PendingBackend {
    fn run(&self, _: ServerRequest, _: Target, _: Instant) -> BoxFuture<'static, RequestResult> {
        pending().boxed()
    }

    fn probe(&self, _: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>> {
        pending().boxed()
    }
}

/// A gate with an open lease, whose backend server has one slot.
fn actor() -> GateActor {
    let board = board();
    let mut lease = Lease::new(Span::from_millis(60_000));
    lease.renew(board.clock.now());
    board.lease.send_replace(lease);
    board.join();
    board.view.send_replace(view(2, &server()));
    let metrics = Arc::new(Metrics::new());
    let mut actor = GateActor::new(
        board,
        Arc::new(PendingBackend),
        metrics,
        GateOptions::default(),
    );
    actor.refresh();
    actor
}

fn probed(actor: &mut GateActor, result: Result<ResponseMetadata, ProbeError>) {
    actor.probe_finished(ProbeFinished {
        server: server(),
        sent_at: actor.board.clock.now(),
        result,
    });
}

/// The response of an incarnation of the backend server to a probe.
fn response(boot: u64) -> ResponseMetadata {
    ResponseMetadata {
        boot: Some(Boot(boot)),
        ..ResponseMetadata::default()
    }
}

/// A request that is sent to the backend server, and whose connection breaks.
fn break_request(actor: &mut GateActor, trial: bool) {
    let now = actor.board.clock.now();
    actor
        .evidence
        .record_start(attempt(1), request("/rare"), trial, now);
    actor.record_evidence(attempt(1), &Completion::Incomplete, false);
}

fn verdict(actor: &GateActor) -> Verdict {
    request("/rare").verdict(&actor.board, actor.board.clock.now())
}

#[tokio::test]
async fn a_server_that_is_back_before_the_next_probe_has_ended() {
    let mut actor = actor();
    probed(&mut actor, Ok(response(1)));
    break_request(&mut actor, false);
    probed(&mut actor, Ok(response(2)));
    assert_eq!(verdict(&actor), Verdict::Suspect);
}

#[tokio::test]
async fn a_server_that_answers_the_next_probe_has_not_ended() {
    let mut actor = actor();
    probed(&mut actor, Ok(response(1)));
    break_request(&mut actor, false);
    probed(&mut actor, Ok(response(1)));
    probed(&mut actor, Err(ProbeError::Refused));
    assert_eq!(verdict(&actor), Verdict::Clear);
}

#[tokio::test]
async fn a_server_has_ended_if_another_one_answers_at_its_address() {
    let mut actor = actor();
    break_request(&mut actor, false);
    let other: ServerId = "other".parse().expect("a valid id");
    let metadata = ResponseMetadata {
        server: Some(other),
        ..ResponseMetadata::default()
    };
    probed(&mut actor, Ok(metadata));
    assert_eq!(verdict(&actor), Verdict::Suspect);
}

#[tokio::test]
async fn a_server_has_ended_if_the_view_names_another_one() {
    let mut actor = actor();
    break_request(&mut actor, false);
    let other: ServerId = "other".parse().expect("a valid id");
    actor.board.view.send_replace(view(3, &other));
    actor.refresh();
    let quarantine = actor.board.quarantine.borrow();
    let evidence = quarantine.evidence(request("/rare").fingerprint());
    let ended: Vec<_> = evidence.into_iter().flat_map(|e| &e.ends).collect();
    assert_eq!(ended.first().map(|end| &end.server), Some(&server()));
}

#[tokio::test]
async fn a_trial_before_a_probe_without_an_answer_has_ended_its_server() {
    let mut actor = actor();
    break_request(&mut actor, true);
    probed(&mut actor, Err(ProbeError::NoAnswer));
    assert!(matches!(verdict(&actor), Verdict::Held(_)));
}

#[tokio::test]
async fn a_trial_that_was_cancelled_or_expired_may_have_ended_its_server() {
    for completion in [Completion::Cancelled, Completion::Expired] {
        let mut actor = actor();
        let now = actor.board.clock.now();
        actor
            .evidence
            .record_start(attempt(1), request("/rare"), true, now);
        actor.record_evidence(attempt(1), &completion, false);
        probed(&mut actor, Err(ProbeError::Refused));
        assert!(
            matches!(verdict(&actor), Verdict::Held(_)),
            "{completion:?}"
        );
    }
}

/// Offers a request to the gate in a new session. Returns its attempt and the reply to it.
fn offer(actor: &mut GateActor, seq: u64) -> (AttemptId, oneshot::Receiver<Reply>) {
    let opened = actor.open_session(Boot(9));
    offer_in(actor, opened, seq, 1)
}

/// Offers a request whose ingress has settled all attempts of the session below `floor`.
fn offer_in(
    actor: &mut GateActor,
    opened: OpenedSession,
    seq: u64,
    floor: u64,
) -> (AttemptId, oneshot::Receiver<Reply>) {
    offer_to(actor, opened, server(), (seq, floor))
}

/// Offers a request that is meant for `server`.
fn offer_to(
    actor: &mut GateActor,
    opened: OpenedSession,
    server: ServerId,
    (seq, floor): (u64, u64),
) -> (AttemptId, oneshot::Receiver<Reply>) {
    let id = AttemptId {
        boot: opened.boot,
        session: opened.session,
        seq: Seq(seq),
    };
    let (reply, replied) = oneshot::channel();
    actor.run(run_attempt(opened, server, (id, floor), reply));
    (id, replied)
}

fn run_attempt(
    opened: OpenedSession,
    server: ServerId,
    (id, floor): (AttemptId, u64),
    reply: oneshot::Sender<Reply>,
) -> RunAttempt {
    RunAttempt {
        offer: Offer {
            id,
            floor: Seq(floor),
            deadline: opened.gate_time + Span::from_millis(10_000),
            fail_fast: false,
            refusal: None,
            rank: Rank::default(),
        },
        server,
        route: SmolStr::default(),
        idempotent: true,
        known_limit: None,
        trial: false,
        request: server_request("/rare", None),
        reply,
    }
}

/// Offers a request whose body of three bytes follows.
fn offer_body(actor: &mut GateActor) -> (AttemptId, oneshot::Receiver<()>) {
    let opened = actor.open_session(Boot(9));
    let id = AttemptId {
        boot: opened.boot,
        session: opened.session,
        seq: Seq(1),
    };
    let (admitted, is_admitted) = oneshot::channel();
    actor.offer_body(OfferBody {
        attempt: run_attempt(opened, server(), (id, 1), oneshot::channel().0),
        body: Size(3),
        admitted,
    });
    (id, is_admitted)
}

fn deliver(actor: &mut GateActor, id: AttemptId, body: &'static [u8]) -> oneshot::Receiver<Reply> {
    let (reply, replied) = oneshot::channel();
    let body = Bytes::from_static(body);
    actor.deliver_body(DeliverBody { id, body, reply });
    replied
}

/// Records that a server has ended under a request.
fn suspect(actor: &GateActor, request: &RequestIdentity) {
    let end = ServerEnd {
        id: 7,
        server: "other".parse().expect("a valid id"),
        at: actor.board.clock.now(),
        trial: false,
        cleared: false,
    };
    actor.board.quarantine.send_modify(|quarantine| {
        quarantine.record_end(request.fingerprint(), end);
    });
}

#[tokio::test]
async fn a_request_whose_body_shows_that_it_is_a_suspect_is_not_started() {
    for (body, is_started) in [(b"abc", false), (b"xyz", true)] {
        let mut actor = actor();
        let deadly = ServerRequest {
            body: Bytes::from_static(b"abc"),
            ..server_request("/rare", None)
        };
        suspect(&actor, &RequestIdentity::new(&deadly));
        let (id, mut admitted) = offer_body(&mut actor);
        assert_eq!(admitted.try_recv(), Ok(()));
        let mut replied = deliver(&mut actor, id, body);
        assert_eq!(replied.try_recv().is_err(), is_started);
        let running = actor.gate.load(actor.board.clock.now()).running;
        assert_eq!(running == 1, is_started);
    }
}

#[tokio::test]
async fn a_body_that_breaks_off_frees_its_place() {
    let mut actor = actor();
    let (id, _admitted) = offer_body(&mut actor);
    assert!(actor.extend_reservation(id));
    actor.body_lost(&BodyLost { id });
    assert!(!actor.extend_reservation(id));
    assert!(actor.gate.is_idle());
    let reply = deliver(&mut actor, id, b"abc").try_recv().expect("a reply");
    assert_eq!(reply.outcome, Outcome::refused(Refusal::Barred));
}

#[tokio::test]
async fn a_body_that_comes_twice_runs_once() {
    let mut actor = actor();
    let (id, _admitted) = offer_body(&mut actor);
    let mut first = deliver(&mut actor, id, b"abc");
    let mut second = deliver(&mut actor, id, b"abc");
    actor.body_lost(&BodyLost { id });
    assert_eq!(actor.gate.load(actor.board.clock.now()).running, 1);
    actor.run_finished(id, Completion::Incomplete.into());
    for reply in [&mut first, &mut second] {
        let reply = reply.try_recv().expect("a reply");
        assert_eq!(reply.outcome, Outcome::Unknown);
    }
}

#[tokio::test]
async fn a_request_that_becomes_a_suspect_in_the_queue_is_not_started() {
    let mut actor = actor();
    let (first, _) = offer(&mut actor, 1);
    let (_, mut queued) = offer(&mut actor, 2);
    assert!(queued.try_recv().is_err(), "it waits for the slot");
    suspect(&actor, &request("/rare"));
    actor.run_finished(first, Completion::Shed.into());
    let reply = queued.try_recv().expect("a reply");
    let refused = Outcome::NotRun {
        refusal: Refusal::Quarantined,
        retry_after: Span::default(),
    };
    assert_eq!(reply.outcome, refused);
}

/// After a freeze, the gate started a queued attempt that the actor had forgotten, and the process aborted.
#[tokio::test]
async fn an_attempt_that_is_settled_and_dropped_while_queued_never_starts() {
    let mut actor = actor();
    let opened = actor.open_session(Boot(9));
    let (first, _waiter) = offer_in(&mut actor, opened, 1, 1);
    let (queued, waiter) = offer_in(&mut actor, opened, 2, 1);
    let (_, _last_waiter) = offer_in(&mut actor, opened, 3, 3);
    drop(waiter);
    actor.waiter_dropped(queued);
    actor.run_finished(first, Completion::Shed.into());
    let load = actor.gate.load(actor.board.clock.now());
    assert_eq!((load.running, load.waiting), (1, 0), "the last one runs");
}

#[tokio::test]
async fn a_request_that_overtakes_the_news_of_a_view_is_judged_by_that_view() {
    let mut actor = actor();
    let opened = actor.open_session(Boot(9));
    let other: ServerId = "other".parse().expect("a valid id");
    actor.board.view.send_replace(view(3, &other));
    let (_, mut replied) = offer_to(&mut actor, opened, other, (1, 1));
    assert!(replied.try_recv().is_err(), "it runs");
    assert_eq!(actor.gate.load(actor.board.clock.now()).running, 1);
}
