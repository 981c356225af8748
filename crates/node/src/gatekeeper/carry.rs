//! The actor's state and what it does with the gate's actions.

use std::{collections::HashMap, sync::Arc};

use board::Board;
use dialect::Facts;
use futures::future::BoxFuture;
use gate::{Action, Completion, Gate, Offer, Rank, RetentionLimits};
use kameo::actor::WeakActorRef;
use note::{Limits, Server, Service, State};
use tokio::sync::oneshot;
use types::{AttemptId, Boot, CallId, Moment, Outcome, ServerId, Span};

use super::{Ask, Done, Dumped, Opened, Probed, Reply, Run, Tick, follow, outcome_name};
use crate::{
    backend::{Backend, Ended, ServerRequest, Target},
    metrics::Metrics,
    timer::WakeTimer,
};

/// An attempt that waits or runs.
struct Work {
    /// The call that the attempt belongs to, unknown if only a question about it came.
    call: Option<CallId>,
    came: Moment,
    /// Taken when the attempt starts.
    request: Option<ServerRequest>,
    idempotent: bool,
    listeners: Vec<oneshot::Sender<Reply>>,
    /// Dropped to cancel the running request.
    running: Option<oneshot::Sender<()>>,
    /// When it was started.
    began: Option<Moment>,
    rank: Rank,
}

/// The actor that carries one gate.
pub(crate) struct Gatekeeper {
    board: Arc<Board>,
    backend: Arc<dyn Backend>,
    meter: Arc<Metrics>,
    gate: Gate,
    cold_over: f64,
    server: Option<(Server, Service)>,
    work: HashMap<AttemptId, Work>,
    actor: Option<WeakActorRef<Self>>,
    alarm: WakeTimer,
}

impl Gatekeeper {
    pub(super) fn new(
        board: Arc<Board>,
        backend: Arc<dyn Backend>,
        meter: Arc<Metrics>,
        cold_over: f64,
    ) -> Self {
        let gate = Gate::new(
            board.identity.boot,
            Limits::default(),
            RetentionLimits::default(),
        );
        Self {
            board,
            backend,
            meter,
            gate,
            cold_over,
            server: None,
            work: HashMap::new(),
            actor: None,
            alarm: WakeTimer::default(),
        }
    }

    pub(super) fn attach(&mut self, actor: WeakActorRef<Self>) {
        self.actor = Some(actor);
    }

    /// Takes over what the board says now.
    pub(super) fn refresh(&mut self) {
        let view = self.board.view();
        let server = view.state.server_on(&self.board.identity.host).cloned();
        let both = server.and_then(|server| {
            let service = in_force(&view.state, &server, self.cold_over)?;
            Some((server, service))
        });
        let before = self.server.as_ref().map(|(_, service)| &service.limits);
        match &both {
            Some((_, service)) if before != Some(&service.limits) => {
                let now = self.board.clock.now();
                self.gate.set_limits(service.limits.clone(), now);
            }
            _ => {}
        }
        let place = |both: &(Server, Service)| (both.0.id.clone(), both.0.boot, both.0.address);
        if self.server.as_ref().map(place) != both.as_ref().map(place) {
            let actions = self.gate.replace_server(self.board.clock.now());
            self.carry_out(actions);
        }
        self.server = both;
        let id = self.server.as_ref().map(|(server, _)| server.id.clone());
        let actions = follow(&self.board, &mut self.gate, id.as_ref());
        self.carry_out(actions);
        let now = self.board.clock.now();
        self.alarm.clear_expired(now);
        let actions = self.gate.tick(now);
        self.carry_out(actions);
    }

    pub(super) fn open(&mut self, ingress: Boot) -> Opened {
        let now = self.board.clock.now();
        let session = self.gate.open_session(ingress, now);
        Opened {
            boot: self.gate.boot(),
            session,
            clock: now,
        }
    }

    pub(super) fn run(&mut self, msg: Run) {
        let id = msg.offer.id;
        let wrong_server = self.server_id() != Some(&msg.server);
        let offer = Offer {
            wrong_server,
            ..msg.offer
        };
        let now = self.board.clock.now();
        let work = self.work.entry(id).or_insert_with(|| Work {
            call: Some(msg.request.call.clone()),
            came: now,
            request: Some(msg.request),
            idempotent: msg.idempotent,
            listeners: Vec::new(),
            running: None,
            began: None,
            rank: offer.rank,
        });
        work.listeners.push(msg.reply);
        let actions = self.gate.offer(offer, now);
        if actions.is_empty() {
            self.log_run("run_waits", id, "queued");
        }
        self.carry_out(actions);
    }

    pub(super) fn ask(&mut self, msg: Ask) {
        let now = self.board.clock.now();
        let work = self.work.entry(msg.id).or_insert_with(|| Work {
            call: None,
            came: now,
            request: None,
            idempotent: false,
            listeners: Vec::new(),
            running: None,
            began: None,
            rank: Rank::default(),
        });
        work.listeners.push(msg.reply);
        let actions = self.gate.ask(msg.id, msg.cancel, now);
        self.carry_out(actions);
    }

    /// An idempotent attempt that nobody waits for is stopped. Another runs on: its ingress may
    /// have lost the connection only, and ask.
    pub(super) fn unwatched(&mut self, id: AttemptId) {
        let Some(work) = self.work.get_mut(&id) else {
            return;
        };
        work.listeners.retain(|listener| !listener.is_closed());
        if work.idempotent && work.listeners.is_empty() {
            let now = self.board.clock.now();
            let actions = self.gate.ask(id, true, now);
            self.carry_out(actions);
        }
    }

    pub(super) fn done(&mut self, id: AttemptId, finish: Completion, facts: &Facts) {
        let now = self.board.clock.now();
        if let Some(server) = facts.boot {
            self.gate.observe_boot(server, now);
        }
        if let Some(load) = facts.load {
            self.gate.observe_slowdown(load.pace, now);
        }
        let actions = self.gate.complete(id, finish, now);
        self.carry_out(actions);
    }

    pub(super) fn dump(&self) -> Dumped {
        let (sessions, fates, answer_bytes) = self.gate.sizes();
        Dumped {
            server: self.server_id().cloned(),
            load: self.gate.load(self.board.clock.now()),
            sessions,
            fates,
            answer_bytes,
            ingresses: self.gate.ingresses(),
            probes: self.gate.probes_sent(),
            idle: self.gate.is_idle(),
            open: self.gate.is_open(self.board.clock.now()),
        }
    }

    fn server_id(&self) -> Option<&ServerId> {
        self.server.as_ref().map(|(server, _)| &server.id)
    }

    fn reply(&self, outcome: Outcome, began: Option<Moment>) -> Reply {
        let clock = self.board.clock.now();
        Reply {
            outcome,
            load: self.gate.load(clock),
            revision: self.board.view.borrow().revision,
            boot: self.gate.boot(),
            clock,
            ran: began.map_or(Span::default(), |began| clock.since(began)),
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, deadline) => self.start(id, deadline),
                Action::Reply(id, outcome) => self.answer(id, outcome),
                Action::Abort(id) => self.abort(id),
                Action::Probe => self.probe(),
            }
        }
        self.set_timer();
    }

    fn start(&mut self, id: AttemptId, deadline: Moment) {
        let target = self.target().expect("an open gate has a server");
        let work = self.work.get_mut(&id).expect("a started attempt has come");
        let request = work.request.take().expect("an attempt starts once");
        let running = self
            .backend
            .run(request, target, self.board.clock.instant(deadline));
        let (keep, cancelled) = oneshot::channel();
        work.running = Some(keep);
        work.began = Some(self.board.clock.now());
        self.log_run("run_started", id, "started");
        tokio::spawn(finish(self.actor.clone(), id, running, cancelled));
    }

    /// One line for a decision on an attempt, with what decided it.
    fn log_run(&self, event: &'static str, id: AttemptId, outcome: &str) {
        let now = self.board.clock.now();
        let load = self.gate.load(now);
        let work = self.work.get(&id);
        let call = work.and_then(|w| w.call.as_ref()).map(ToString::to_string);
        let age = work.map_or(0, |w| now.since(w.came).0);
        let rank = work.map(|w| w.rank).unwrap_or_default();
        log::info!(
            call, attempt:% = id, server = self.server_id().map(ToString::to_string), outcome,
            age_us = age, objective_us = rank.objective.since(now).0, expected_us = rank.service_time.0,
            priority = rank.priority, nested = rank.nested, running = load.running, waiting = load.waiting, allowed = load.allowed,
            pace = load.slowdown, cold = self.gate.is_cold(now),
            view:% = self.board.view.borrow().revision;
            "{event}"
        );
    }

    fn answer(&mut self, id: AttemptId, outcome: Outcome) {
        self.log_run("run_ended", id, outcome_name(&outcome));
        let Some(work) = self.work.remove(&id) else {
            return;
        };
        self.meter.record_attempt(outcome_name(&outcome));
        let reply = self.reply(outcome, work.began);
        for listener in work.listeners {
            let _ = listener.send(reply.clone());
        }
    }

    /// Cancels a running attempt, which closes its connection to the backend server.
    fn abort(&mut self, id: AttemptId) {
        if let Some(work) = self.work.get_mut(&id) {
            work.running = None;
        }
    }

    fn target(&self) -> Option<Target> {
        let (server, service) = self.server.as_ref()?;
        Some(Target {
            server: server.id.clone(),
            address: server.address,
            health: service.limits.health.clone(),
            sheds: service.sheds.clone(),
            most: service.limits.body.0,
        })
    }

    fn probe(&self) {
        let Some(target) = self.target() else {
            return;
        };
        self.meter.record_control_message("probe");
        let probing = self.backend.probe(target);
        let actor = self.actor.clone();
        let asked = self.board.clock.now();
        tokio::spawn(async move {
            let facts = probing.await;
            if let Some(actor) = actor.and_then(|a| a.upgrade()) {
                let _ = actor.tell(Probed { asked, facts }).await;
            }
        });
    }

    pub(super) fn probed(&mut self, asked: Moment, facts: Option<Facts>) {
        let now = self.board.clock.now();
        let cold = self.gate.is_cold(now);
        self.gate.probed(facts.as_ref().and_then(|f| f.boot), now);
        if let Some(load) = facts.as_ref().and_then(|f| f.load) {
            self.gate.observe_slowdown(load.pace, now);
        }
        let left = facts.as_ref().map(|f| f.cold.unwrap_or_default());
        let actions = match left {
            Some(left) => self.gate.observe_cold(left, asked, now),
            None => Vec::new(),
        };
        if self.gate.is_cold(now) != cold {
            let server = self.server_id().map(ToString::to_string);
            let left_ms = left.map(Span::as_millis);
            log::info!(server, cold = !cold, left_ms, asked_us = now.since(asked).0; "warmth_changed");
        }
        self.carry_out(actions);
    }

    fn set_timer(&mut self) {
        let Some(at) = self.gate.next_tick(self.board.clock.now()) else {
            return;
        };
        let actor = self.actor.clone();
        self.alarm.set(at, self.board.clock, async move {
            if let Some(actor) = actor.and_then(|a| a.upgrade()) {
                let _ = actor.tell(Tick).await;
            }
        });
    }
}

/// The service of a backend server with the limits that hold for it.
pub(super) fn in_force(state: &State, server: &Server, cold_over: f64) -> Option<Service> {
    let mut service = state.service(&server.service)?.clone();
    service.limits = state.limits_of(server)?;
    service.limits.cold_rate = service.limits.cold_rate.scale(cold_over);
    Some(service)
}

/// Waits for a running request, or for its cancellation, and reports how it ended, once.
async fn finish(
    actor: Option<WeakActorRef<Gatekeeper>>,
    id: AttemptId,
    running: BoxFuture<'static, Ended>,
    cancelled: oneshot::Receiver<()>,
) {
    let Ended { finish, facts } = tokio::select! {
        ended = running => ended,
        _ = cancelled => Completion::Aborted.into(),
    };
    if let Some(actor) = actor.and_then(|a| a.upgrade()) {
        let _ = actor.tell(Done { id, finish, facts }).await;
    }
}
