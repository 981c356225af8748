//! State of the gate actor, and how it executes the gate's actions.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use attempt::{RequestIdentity, ServerRequest, outcome_name};
use backend::{Backend, RequestResult, Target};
use board::Board;
use futures::future::BoxFuture;
use gate::{Action, Completion, Gate, Query, Rank, RetentionLimits, RouteProfiles};
use kameo::actor::WeakActorRef;
use metrics::Metrics;
use note::{Limits, Server, Service, State};
use smol_str::SmolStr;
use support::timer::WakeTimer;
use tokio::sync::oneshot;
use types::{AttemptId, Boot, CallId, Moment, Outcome, Revision, ServerId, ServiceId, Span};

use super::{
    GateDump, GateOptions, OpenedSession, ProbeFinished, QueryAttempt, Refresh, Reply, RunFinished,
    apply_board, evidence::Evidence,
};

/// An attempt that waits or runs, or whose outcome an ingress queries.
pub(super) struct PendingAttempt {
    /// The call that the attempt belongs to, `None` if only a query about it arrived.
    pub(super) call: Option<CallId>,
    pub(super) received_at: Moment,
    /// `None` once the attempt has started, or if only a query about it arrived.
    pub(super) request: Option<ServerRequest>,
    pub(super) idempotent: bool,
    /// Whether the ingress repeats the request after a broken connection, or knows it as a suspect.
    pub(super) trial: bool,
    pub(super) waiters: Vec<oneshot::Sender<Reply>>,
    /// Dropping the sender cancels the running request.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// When the attempt was sent to the backend server.
    pub(super) started_at: Option<Moment>,
    pub(super) rank: Rank,
    pub(super) route: SmolStr,
}

impl PendingAttempt {
    /// An attempt that only a query has named.
    pub(super) fn queried(now: Moment) -> Self {
        Self {
            call: None,
            received_at: now,
            request: None,
            idempotent: false,
            trial: false,
            waiters: Vec::new(),
            cancel: None,
            started_at: None,
            rank: Rank::default(),
            route: SmolStr::default(),
        }
    }
}

/// The actor that runs one gate.
pub struct GateActor {
    pub(super) board: Arc<Board>,
    backend: Arc<dyn Backend>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) gate: Gate,
    pub(super) routes: RouteProfiles,
    /// Revision of the view that the hosts in `routes` were counted in.
    pub(super) hosts_revision: Revision,
    cold_factor: f64,
    server: Option<(Server, Service)>,
    pub(super) attempts: HashMap<AttemptId, PendingAttempt>,
    pub(super) evidence: Evidence,
    /// Whether a malformed limit of this backend server has been logged.
    pub(super) malformed_logged: bool,
    actor: Option<WeakActorRef<Self>>,
    timer: WakeTimer,
}

impl GateActor {
    pub(super) fn new(
        board: Arc<Board>,
        backend: Arc<dyn Backend>,
        metrics: Arc<Metrics>,
        options: GateOptions,
    ) -> Self {
        let gate = Gate::new(
            board.identity.boot,
            Limits::default(),
            RetentionLimits::default(),
        );
        let gate = match options.full_resets {
            true => gate.with_learned_room(),
            false => gate,
        };
        let gate = match options.nested_waits {
            true => gate.with_nested_waits(),
            false => gate,
        };
        Self {
            board,
            backend,
            metrics,
            gate,
            routes: RouteProfiles::default(),
            hosts_revision: Revision::default(),
            cold_factor: options.cold_factor,
            server: None,
            attempts: HashMap::new(),
            evidence: Evidence::default(),
            malformed_logged: false,
            actor: None,
            timer: WakeTimer::default(),
        }
    }

    pub(super) fn attach(&mut self, actor: WeakActorRef<Self>) {
        self.actor = Some(actor);
    }

    /// Applies the current state of the board, and advances the gate to the current time.
    pub(super) fn refresh(&mut self) {
        let view = self.board.view();
        if self.hosts_revision != view.revision {
            self.hosts_revision = view.revision;
            self.routes.set_hosts(&hosts_by_service(&view.state));
        }
        let server = view.state.server_on(&self.board.identity.host).cloned();
        let current = server.and_then(|server| {
            let service = effective_service(&view.state, &server, self.cold_factor)?;
            Some((server, service))
        });
        let old_limits = self.server.as_ref().map(|(_, service)| &service.limits);
        match &current {
            Some((_, service)) if old_limits != Some(&service.limits) => {
                let now = self.board.clock.now();
                self.gate.set_limits(service.limits.clone(), now);
            }
            _ => {}
        }
        let identity = |pair: &(Server, Service)| (pair.0.id.clone(), pair.0.boot, pair.0.address);
        if self.server.as_ref().map(identity) != current.as_ref().map(identity) {
            let now = self.board.clock.now();
            if let Some(previous) = self.server_id().cloned() {
                self.server_ended(&previous);
            }
            let actions = self.gate.replace_server(now);
            self.malformed_logged = false;
            self.execute(actions);
        }
        self.server = current;
        let id = self.server.as_ref().map(|(server, _)| server.id.clone());
        let actions = apply_board(&self.board, &mut self.gate, id.as_ref());
        self.execute(actions);
        let now = self.board.clock.now();
        self.timer.clear_expired(now);
        let actions = self.gate.tick(now);
        self.execute(actions);
    }

    pub(super) fn open_session(&mut self, ingress: Boot) -> OpenedSession {
        let now = self.board.clock.now();
        let session = self.gate.open_session(ingress, now);
        OpenedSession {
            boot: self.gate.boot(),
            session,
            gate_time: now,
        }
    }

    pub(super) fn query(&mut self, msg: QueryAttempt) {
        let now = self.board.clock.now();
        let queried = || PendingAttempt::queried(now);
        let attempt = self.attempts.entry(msg.id).or_insert_with(queried);
        attempt.waiters.push(msg.reply);
        let actions = self.gate.query(msg.id, msg.query, now);
        self.execute(actions);
    }

    /// Stops an idempotent attempt that nobody waits for. An attempt that isn't idempotent
    /// continues, as its ingress may only have lost the connection and will query the outcome.
    pub(super) fn waiter_dropped(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.waiters.retain(|waiter| !waiter.is_closed());
        if attempt.idempotent && attempt.waiters.is_empty() {
            let now = self.board.clock.now();
            let actions = self.gate.query(id, Query::Cancel, now);
            self.execute(actions);
        }
    }

    pub(super) fn run_finished(&mut self, id: AttemptId, result: RequestResult) {
        let RequestResult {
            completion,
            metadata,
            refused,
        } = result;
        let now = self.board.clock.now();
        if let Some(boot) = metadata.boot
            && self.gate.observe_boot(boot, now)
            && let Some(server) = self.server_id().cloned()
        {
            self.server_ended(&server);
        }
        self.observe_load(metadata.load, now);
        if let Some(started_at) = self.attempts.get(&id).and_then(|a| a.started_at) {
            self.observe_statements(&completion, &metadata, started_at);
        }
        self.record_evidence(id, &completion, refused);
        let was_replaced = self.gate.is_replaced(now);
        let room = self.gate.learned_room();
        let actions = self.gate.complete(id, completion, now);
        self.log_identity(was_replaced, None);
        self.log_room(room);
        self.execute(actions);
    }

    pub(super) fn dump(&self) -> GateDump {
        let (sessions, fates, answer_bytes) = self.gate.sizes();
        let (reserved, reserved_bytes) = self.gate.reserved();
        GateDump {
            server: self.server_id().cloned(),
            load: self.gate.load(self.board.clock.now()),
            limit: self.gate.named_limit(self.board.clock.now()),
            leaving: self.is_leaving(),
            sessions,
            fates,
            answer_bytes,
            reserved,
            reserved_bytes,
            ingresses: self.gate.ingresses(),
            probes: self.gate.probes_sent(),
            idle: self.gate.is_idle(),
            open: self.gate.is_open(self.board.clock.now()),
        }
    }

    pub(super) fn server_id(&self) -> Option<&ServerId> {
        self.server.as_ref().map(|(server, _)| &server.id)
    }

    /// Whether the backend server has said that it is leaving.
    fn is_leaving(&self) -> bool {
        let view = self.board.view.borrow();
        let leaving = |id| self.board.has_said_leaving(&view.state, id);
        self.server_id().is_some_and(leaving)
    }

    /// Incarnation of the backend server, zero if there is none.
    pub(super) fn incarnation(&self) -> Boot {
        let view = self.board.view.borrow();
        let incarnation = self
            .server_id()
            .and_then(|id| view.state.incarnation_of(id));
        incarnation.unwrap_or_default()
    }

    fn build_reply(&self, outcome: Outcome, started_at: Option<Moment>) -> Reply {
        let gate_time = self.board.clock.now();
        Reply {
            outcome,
            load: self.gate.load(gate_time),
            revision: self.board.view.borrow().revision,
            boot: self.gate.boot(),
            gate_time,
            service_time: started_at
                .map_or(Span::default(), |started_at| gate_time.since(started_at)),
            incarnation: self.incarnation(),
            leaving: self.is_leaving(),
        }
    }

    pub(super) fn execute(&mut self, actions: Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Start(id, deadline) => queue.extend(self.start(id, deadline)),
                Action::Reply(id, outcome) => self.reply_to_waiters(id, outcome),
                Action::Cancel(id) => self.cancel(id),
                Action::Probe => self.probe(),
            }
        }
        self.set_timer();
    }

    /// Sends an attempt to the backend server, unless it has become a suspect while it was queued.
    fn start(&mut self, id: AttemptId, deadline: Moment) -> Vec<Action> {
        let target = self
            .target()
            .expect("invariant: an open gate has a backend server");
        let attempt = self
            .attempts
            .get_mut(&id)
            .expect("invariant: only a known attempt is started");
        let request = attempt
            .request
            .take()
            .expect("invariant: an attempt starts once");
        let now = self.board.clock.now();
        let identity = RequestIdentity::new(&request);
        let refusal = self
            .evidence
            .refusal(&identity, attempt.trial, &self.board, now);
        if refusal.is_some() {
            return self.gate.complete(id, Completion::Quarantined, now);
        }
        let trial = attempt.trial && !self.evidence.has_trial(now);
        self.metrics.record_suspects("trial", usize::from(trial));
        self.evidence.record_start(id, identity, trial, now);
        let running = self
            .backend
            .run(request, target, self.board.clock.instant(deadline));
        let (cancel, cancelled) = oneshot::channel();
        attempt.cancel = Some(cancel);
        attempt.started_at = Some(self.board.clock.now());
        self.log_run("run_started", id, "started");
        tokio::spawn(await_run(self.actor.clone(), id, running, cancelled));
        Vec::new()
    }

    /// Logs a decision on an attempt with the values that it depended on.
    pub(super) fn log_run(&self, event: &'static str, id: AttemptId, outcome: &str) {
        let now = self.board.clock.now();
        let load = self.gate.load(now);
        let attempt = self.attempts.get(&id);
        let call = attempt
            .and_then(|a| a.call.as_ref())
            .map(ToString::to_string);
        let age = attempt.map_or(0, |a| now.since(a.received_at).0);
        let rank = attempt.map(|a| a.rank).unwrap_or_default();
        log::info!(
            call, attempt:% = id, server = self.server_id().map(ToString::to_string), outcome,
            age_us = age, objective_us = rank.objective.since(now).0,
            expected_us = rank.service_time.0, priority = rank.priority, nested = rank.nested,
            running = load.running, waiting = load.waiting, allowed = load.allowed,
            pace = load.slowdown_percent, cold = self.gate.is_cold(now),
            view:% = self.board.view.borrow().revision;
            "{event}"
        );
    }

    fn reply_to_waiters(&mut self, id: AttemptId, outcome: Outcome) {
        self.log_run("run_ended", id, outcome_name(&outcome));
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.metrics.record_attempt(outcome_name(&outcome));
        match (&outcome, attempt.started_at) {
            (Outcome::Answer(answer), Some(started_at)) if !answer.is_failure() => {
                let service_time = self.board.clock.now().since(started_at);
                self.routes
                    .record_service_time(&attempt.route, service_time);
            }
            _ => {}
        }
        let reply = self.build_reply(outcome, attempt.started_at);
        for waiter in attempt.waiters {
            let _ = waiter.send(reply.clone());
        }
    }

    /// Cancels a running attempt by closing its connection to the backend server.
    fn cancel(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cancel = None;
        }
    }

    fn target(&self) -> Option<Target> {
        let (server, service) = self.server.as_ref()?;
        Some(Target {
            server: server.id.clone(),
            address: server.address,
            health_path: service.limits.health.clone(),
            shed_statuses: service.sheds.clone(),
            answer_limit: service.limits.body.0,
        })
    }

    fn probe(&self) {
        let Some(target) = self.target() else {
            return;
        };
        self.metrics.record_control_message("probe");
        let server = target.server.clone();
        let probing = self.backend.probe(target);
        let actor = self.actor.clone();
        let sent_at = self.board.clock.now();
        tokio::spawn(async move {
            let result = probing.await;
            if let Some(actor) = actor.and_then(|a| a.upgrade()) {
                let finished = ProbeFinished {
                    server,
                    sent_at,
                    result,
                };
                let _ = actor.tell(finished).await;
            }
        });
    }

    fn set_timer(&mut self) {
        let Some(at) = self.gate.next_tick(self.board.clock.now()) else {
            return;
        };
        let actor = self.actor.clone();
        self.timer.set(at, self.board.clock, async move {
            if let Some(actor) = actor.and_then(|a| a.upgrade()) {
                let _ = actor.tell(Refresh).await;
            }
        });
    }
}

/// The service of a backend server, with the limits that apply to this backend server: its own
/// slots, and a cold rate multiplied by `cold_factor`.
pub(super) fn effective_service(
    state: &State,
    server: &Server,
    cold_factor: f64,
) -> Option<Service> {
    let mut service = state.service(&server.service)?.clone();
    service.limits = state.limits_of(server)?;
    service.limits.cold_rate = service.limits.cold_rate.scale(cold_factor);
    Some(service)
}

/// Counts the hosts by the service of their backend server.
fn hosts_by_service(state: &State) -> BTreeMap<ServiceId, usize> {
    let mut hosts = BTreeMap::new();
    for entry in state.servers.values() {
        *hosts.entry(entry.item.service.clone()).or_default() += 1;
    }
    hosts
}

/// Waits until a request ends or is cancelled, and reports to the actor how it ended.
async fn await_run(
    actor: Option<WeakActorRef<GateActor>>,
    id: AttemptId,
    running: BoxFuture<'static, RequestResult>,
    cancelled: oneshot::Receiver<()>,
) {
    let result = tokio::select! {
        ended = running => ended,
        _ = cancelled => Completion::Cancelled.into(),
    };
    if let Some(actor) = actor.and_then(|a| a.upgrade()) {
        let _ = actor.tell(RunFinished { id, result }).await;
    }
}
