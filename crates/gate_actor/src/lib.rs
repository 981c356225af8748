//! The actor that runs a gate: it feeds events to the gate's state machine and executes its
//! actions.
//!
//! The actor's mailbox serializes all events of one backend server, and the gate decides in that
//! order. Each event is timestamped when the actor handles its message, not when it was sent. The
//! deadline of a request that waited in a buffer while the process was paused is therefore compared
//! with the current time.
//!
//! Each started request runs in its own task, which reports back with [`RunFinished`]. The actor
//! never blocks on a request.

#[cfg(test)]
mod tests;

mod arrivals;
mod evidence;
mod observations;
mod state;

use std::sync::Arc;

use attempt::{KnownLimit, OpenedSession, Reply, ServerRequest};
use backend::{Backend, ProbeError, RequestResult};
use board::{Board, Phase};
use bytes::Bytes;
use dialect::ResponseMetadata;
use gate::{Gate, LimitState, Load, Offer, Query};
use kameo::{
    actor::{ActorRef, Spawn, WeakActorRef},
    error::Infallible,
    mailbox,
    message::{Context, Message},
};
use metrics::Metrics;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use types::{AttemptId, Boot, Moment, ServerId, Size};

pub use state::GateActor;

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_MESSAGES: usize = 8_192;

/// Request to open a session for an ingress.
#[derive(Debug)]
pub struct OpenSession {
    /// Incarnation of the ingress.
    pub ingress: Boot,
}

/// Request to run an attempt.
#[derive(Debug)]
pub struct RunAttempt {
    /// Id, deadline and rank of the attempt, on the clock of the gate.
    pub offer: Offer,
    /// Backend server that the attempt is meant for.
    pub server: ServerId,
    /// Name of the route, or of the service if there is no route. Empty if unknown.
    pub route: SmolStr,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Limit that the ingress knows of the backend server.
    pub known_limit: Option<KnownLimit>,
    /// Whether the request may end its backend server, see [`fleet::Quarantine`].
    pub trial: bool,
    /// Request for the backend server.
    pub request: ServerRequest,
    /// Gets the reply once the outcome is known.
    pub reply: oneshot::Sender<Reply>,
}

/// Request to admit an attempt whose body follows.
#[derive(Debug)]
pub struct OfferBody {
    /// The attempt, with an empty body. Its outcome is sent if it isn't admitted.
    pub attempt: RunAttempt,
    /// Size of the body.
    pub body: Size,
    /// Notified if the attempt is admitted.
    pub admitted: oneshot::Sender<()>,
}

/// Notice that a part of a body has arrived. Replies whether the rest is still wanted.
#[derive(Debug)]
pub struct BodyPart {
    /// Id of the attempt.
    pub id: AttemptId,
}

/// Notice that no more of a body arrives, although it isn't whole.
#[derive(Debug)]
pub struct BodyLost {
    /// Id of the attempt.
    pub id: AttemptId,
}

/// Request to run an attempt whose body is whole.
#[derive(Debug)]
pub struct DeliverBody {
    /// Id of the attempt.
    pub id: AttemptId,
    /// The whole body.
    pub body: Bytes,
    /// Gets the reply once the outcome is known.
    pub reply: oneshot::Sender<Reply>,
}

/// Request for the outcome of an attempt.
#[derive(Debug)]
pub struct QueryAttempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// What is asked, and whether the attempt is to go on.
    pub query: Query,
    /// Gets the reply once the outcome is known.
    pub reply: oneshot::Sender<Reply>,
}

/// Notice that an ingress no longer waits for the reply to an attempt.
#[derive(Debug)]
pub struct WaiterDropped {
    /// Id of the attempt.
    pub id: AttemptId,
}

/// Notice that a started request ended.
#[derive(Debug)]
struct RunFinished {
    id: AttemptId,
    result: RequestResult,
}

/// Notice that a probe ended.
#[derive(Debug)]
struct ProbeFinished {
    /// The backend server that was listed when the probe was sent.
    server: ServerId,
    sent_at: Moment,
    /// Metadata of the health endpoint's answer.
    result: Result<ResponseMetadata, ProbeError>,
}

/// Notice that the timer fired or the board changed.
#[derive(Debug)]
struct Refresh;

/// Request for a dump of the gate's state.
#[derive(Debug)]
pub struct Dump;

/// The gate's part of the state dump.
#[derive(Debug, Clone, Serialize, kameo::Reply)]
pub struct GateDump {
    server: Option<ServerId>,
    load: Load,
    /// Limit that the backend server has named, and the room left under it.
    limit: Option<LimitState>,
    /// Whether the backend server has said that it is leaving.
    leaving: bool,
    sessions: usize,
    /// Attempts whose outcome is remembered.
    fates: usize,
    /// Size in bytes of the answers kept for ingresses that may query them.
    answer_bytes: u64,
    /// Attempts whose bodies are on their way, and the size of these bodies.
    reserved: usize,
    reserved_bytes: Size,
    /// Incarnations of the ingresses that hold a session.
    ingresses: Vec<Boot>,
    probes: u64,
    /// Whether no attempt waits or runs.
    pub idle: bool,
    /// Whether the gate accepts new attempts.
    open: bool,
}

/// What settings say of the backend server beside the gate.
#[derive(Debug, Clone, Copy)]
pub struct GateOptions {
    /// Factor on the rate that a service sets for a cold backend server.
    pub cold_factor: f64,
    /// Whether it resets connections when it is full, see [`Gate::with_learned_room`].
    pub full_resets: bool,
    /// Whether fail-fast nested requests may wait for the next slots, see [`Gate::with_nested_waits`].
    pub nested_waits: bool,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            cold_factor: 1.0,
            full_resets: false,
            nested_waits: false,
        }
    }
}

/// Starts the actor and the task that notifies it of changes on the board.
pub fn spawn(
    board: &Arc<Board>,
    backend: Arc<dyn Backend>,
    metrics: &Arc<Metrics>,
    options: GateOptions,
) -> ActorRef<GateActor> {
    let state = GateActor::new(Arc::clone(board), backend, Arc::clone(metrics), options);
    let actor = GateActor::spawn_with_mailbox(state, mailbox::bounded(MAILBOX_MESSAGES));
    tokio::spawn(watch_board(Arc::clone(board), actor.downgrade()));
    actor
}

/// Sends the actor a [`Refresh`] whenever the board changes.
async fn watch_board(board: Arc<Board>, actor: WeakActorRef<GateActor>) {
    let mut view = board.view.subscribe();
    let mut lease = board.lease.subscribe();
    let mut hosts = board.hosts.subscribe();
    let mut leaving = board.leaving.subscribe();
    let mut joined = board.joined.subscribe();
    let mut phase = board.phase.subscribe();
    loop {
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = lease.changed() => changed,
            changed = hosts.changed() => changed,
            changed = leaving.changed() => changed,
            changed = joined.changed() => changed,
            changed = phase.changed() => changed,
        };
        let Some(actor) = actor.upgrade() else { return };
        if changed.is_err() || actor.tell(Refresh).await.is_err() {
            return;
        }
    }
}

impl kameo::Actor for GateActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut state: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        state.attach(actor.downgrade());
        state.refresh();
        Ok(state)
    }
}

impl Message<OpenSession> for GateActor {
    type Reply = OpenedSession;

    async fn handle(
        &mut self,
        msg: OpenSession,
        _ctx: &mut Context<Self, OpenedSession>,
    ) -> OpenedSession {
        self.open_session(msg.ingress)
    }
}

impl Message<RunAttempt> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: RunAttempt, _ctx: &mut Context<Self, ()>) {
        self.run(msg);
    }
}

impl Message<OfferBody> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: OfferBody, _ctx: &mut Context<Self, ()>) {
        self.offer_body(msg);
    }
}

impl Message<BodyPart> for GateActor {
    type Reply = bool;

    async fn handle(&mut self, msg: BodyPart, _ctx: &mut Context<Self, bool>) -> bool {
        self.extend_reservation(msg.id)
    }
}

impl Message<BodyLost> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: BodyLost, _ctx: &mut Context<Self, ()>) {
        self.body_lost(&msg);
    }
}

impl Message<DeliverBody> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: DeliverBody, _ctx: &mut Context<Self, ()>) {
        self.deliver_body(msg);
    }
}

impl Message<QueryAttempt> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: QueryAttempt, _ctx: &mut Context<Self, ()>) {
        self.query(msg);
    }
}

impl Message<WaiterDropped> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: WaiterDropped, _ctx: &mut Context<Self, ()>) {
        self.waiter_dropped(msg.id);
    }
}

impl Message<RunFinished> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: RunFinished, _ctx: &mut Context<Self, ()>) {
        self.run_finished(msg.id, msg.result);
    }
}

impl Message<ProbeFinished> for GateActor {
    type Reply = ();

    async fn handle(&mut self, msg: ProbeFinished, _ctx: &mut Context<Self, ()>) {
        self.probe_finished(msg);
    }
}

impl Message<Refresh> for GateActor {
    type Reply = ();

    async fn handle(&mut self, _msg: Refresh, _ctx: &mut Context<Self, ()>) {
        self.refresh();
    }
}

impl Message<Dump> for GateActor {
    type Reply = GateDump;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, GateDump>) -> GateDump {
        self.dump()
    }
}

/// Applies the lease, the phase and the status of the backend server to the gate.
fn apply_board(board: &Board, gate: &mut Gate, server: Option<&ServerId>) -> Vec<gate::Action> {
    gate.extend_lease(board.lease.borrow().until());
    let open = server.is_some_and(|id| board.accepts_requests(id)) && board.has_joined();
    let mut actions = gate.set_open(open);
    let (exit_at, now) = (*board.stop_at.borrow(), board.clock.now());
    match board.phase() {
        Phase::Joining | Phase::Ready => {}
        Phase::Leaving => actions.extend(gate.announce_exit(exit_at, now)),
        Phase::Stopping | Phase::Exiting => actions.extend(gate.stop(exit_at, now)),
    }
    if board.phase() == Phase::Exiting {
        actions.extend(gate.drain_queue());
    }
    actions
}
