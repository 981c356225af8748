//! Carries the decisions of the gate.
//!
//! The actor's mailbox puts all events of one backend server in one order, which is the order that
//! the gate decides in. A message is stamped with the moment at which the actor *handles* it, so a
//! request that waited in a buffer while the process was paused is judged by the time it is now.
//!
//! Each started request runs in a task of its own that reports back with [`Done`]; the actor itself
//! never waits.

#[cfg(test)]
mod tests;

mod carry;

use std::sync::Arc;

use board::{Board, Phase};
use dialect::Facts;
use gate::{Completion, Gate, Load, Offer};
use kameo::{
    actor::{ActorRef, Spawn, WeakActorRef},
    error::Infallible,
    mailbox,
    message::{Context, Message},
};
use serde::Serialize;
use tokio::sync::oneshot;
use types::{AttemptId, Boot, Moment, Outcome, Revision, ServerId, SessionId, Span};

use crate::{
    backend::{Backend, ServerRequest},
    metrics::Metrics,
};

pub(crate) use carry::Gatekeeper;

/// Messages that may wait for the actor.
const MAILBOX_MESSAGES: usize = 8_192;

/// What an ingress learns with each outcome.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    pub(crate) load: Load,
    pub(crate) revision: Revision,
    pub(crate) boot: Boot,
    pub(crate) clock: Moment,
    /// Time that the request spent at the backend server.
    pub(crate) ran: Span,
}

/// Opens a session for an ingress.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) ingress: Boot,
}

/// A session that was opened.
#[derive(Debug, Clone, Copy, kameo::Reply)]
pub(crate) struct Opened {
    pub(crate) boot: Boot,
    pub(crate) session: SessionId,
    pub(crate) clock: Moment,
}

/// An attempt comes.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) offer: Offer,
    pub(crate) server: ServerId,
    pub(crate) idempotent: bool,
    pub(crate) request: ServerRequest,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// An ingress asks about an attempt.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) id: AttemptId,
    pub(crate) cancel: bool,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// The ingress no longer waits for the reply to an attempt.
#[derive(Debug)]
pub(crate) struct Unwatched {
    pub(crate) id: AttemptId,
}

/// A started request ended.
#[derive(Debug)]
struct Done {
    id: AttemptId,
    finish: Completion,
    facts: Facts,
}

/// A probe ended.
#[derive(Debug)]
struct Probed {
    asked: Moment,
    /// What the health endpoint said, if it answered.
    facts: Option<Facts>,
}

/// Time passed, or the board changed.
#[derive(Debug)]
struct Tick;

/// Wants to know what the gate holds.
#[derive(Debug)]
pub(crate) struct Dump;

/// What the gate holds.
#[derive(Debug, Clone, Serialize, kameo::Reply)]
pub(crate) struct Dumped {
    server: Option<ServerId>,
    load: Load,
    sessions: usize,
    fates: usize,
    answer_bytes: u64,
    ingresses: Vec<Boot>,
    probes: u64,
    pub(crate) idle: bool,
    open: bool,
}

/// Starts the actor and the task that wakes it. A cold backend server may be sent `cold_over` times the
/// rate that its service names.
pub(crate) fn spawn(
    board: &Arc<Board>,
    backend: Arc<dyn Backend>,
    meter: &Arc<Metrics>,
    cold_over: f64,
) -> ActorRef<Gatekeeper> {
    let keeper = Gatekeeper::new(Arc::clone(board), backend, Arc::clone(meter), cold_over);
    let actor = Gatekeeper::spawn_with_mailbox(keeper, mailbox::bounded(MAILBOX_MESSAGES));
    tokio::spawn(wake(Arc::clone(board), actor.downgrade()));
    actor
}

/// Wakes the actor when the board changes.
async fn wake(board: Arc<Board>, actor: WeakActorRef<Gatekeeper>) {
    let mut view = board.view.subscribe();
    let mut lease = board.lease.subscribe();
    let mut hosts = board.hosts.subscribe();
    let mut phase = board.phase.subscribe();
    loop {
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = lease.changed() => changed,
            changed = hosts.changed() => changed,
            changed = phase.changed() => changed,
        };
        let Some(actor) = actor.upgrade() else { return };
        if changed.is_err() || actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

impl kameo::Actor for Gatekeeper {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut keeper: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        keeper.attach(actor.downgrade());
        keeper.refresh();
        Ok(keeper)
    }
}

impl Message<Open> for Gatekeeper {
    type Reply = Opened;

    async fn handle(&mut self, msg: Open, _ctx: &mut Context<Self, Opened>) -> Opened {
        self.open(msg.ingress)
    }
}

impl Message<Run> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Run, _ctx: &mut Context<Self, ()>) {
        self.run(msg);
    }
}

impl Message<Ask> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Ask, _ctx: &mut Context<Self, ()>) {
        self.ask(msg);
    }
}

impl Message<Unwatched> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Unwatched, _ctx: &mut Context<Self, ()>) {
        self.unwatched(msg.id);
    }
}

impl Message<Done> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Done, _ctx: &mut Context<Self, ()>) {
        self.done(msg.id, msg.finish, &msg.facts);
    }
}

impl Message<Probed> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Probed, _ctx: &mut Context<Self, ()>) {
        self.probed(msg.asked, msg.facts);
    }
}

impl Message<Tick> for Gatekeeper {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.refresh();
    }
}

impl Message<Dump> for Gatekeeper {
    type Reply = Dumped;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, Dumped>) -> Dumped {
        self.dump()
    }
}

/// Puts what the board says in force at the gate.
fn follow(board: &Board, gate: &mut Gate, server: Option<&ServerId>) -> Vec<gate::Action> {
    gate.extend_lease(board.lease.borrow().until());
    let open =
        server.is_some_and(|id| board.accepts_requests(id)) && board.phase() != Phase::Joining;
    if board.phase() == Phase::Stopping {
        gate.stop();
    }
    gate.set_open(open)
}

/// Short name of an outcome, for logs and metrics.
pub(crate) fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Unknown => "unknown",
        Outcome::Expired => "expired",
        Outcome::NotRun { refusal, .. } => refusal.name(),
    }
}
