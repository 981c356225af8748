//! The gate as a deterministic state machine, without clock, randomness or I/O.

mod admission;
mod arrived;
mod lifecycle;
mod observations;
mod reservation;

use std::{collections::BTreeMap, sync::Arc};

use arrived::reply_again;
use note::Limits;
use reservation::Reservations;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, SessionId, Size, Span};

use crate::{
    breaker::CircuitBreaker,
    cold::ColdLimit,
    concurrency::{ConcurrencyLimit, Feedback},
    event::{Action, Completion, Load, Offer, RetentionLimits},
    probe::Probes,
    queue::{Queue, Queued},
    rate_limit::RateLimit,
    room::{End, Room},
    session::{AttemptState, LookupError, Sessions},
};

/// Service time, in percent of the usual one, from which a backend server counts as slow. In slow
/// phases it reaches four times the usual one.
const SLOW_PERCENT: u32 = 150;
/// Factor by which the threshold rises for a cold backend server. Attempts aren't refused for
/// coldness alone, since the other backend servers are often cold for the same reason.
const COLD_FACTOR: u32 = 2;
/// Slowdown of a backend server that works at its usual speed.
const NO_SLOWDOWN_PERCENT: u32 = 100;
/// Time for which a report of the service time is valid: three probe periods at the users' rate of
/// twenty probes a second.
const SLOWDOWN_TTL: Span = Span::from_millis(150);

/// Shortest time assumed until a backend server stops running a cancelled request.
const MIN_CANCEL_DELAY: Span = Span::from_millis(10);
/// Longest time assumed until a backend server stops running a cancelled request.
const MAX_CANCEL_DELAY: Span = Span::from_millis(200);

#[derive(Debug)]
struct Run {
    began: Moment,
    /// Usual or estimated service time.
    service_time: Span,
}

/// Admission control for one backend server. See the crate documentation.
#[derive(Debug)]
pub struct Gate {
    boot: Boot,
    limits: Limits,
    sessions: Sessions,
    concurrency: ConcurrencyLimit,
    /// Set if the backend server may reset connections when it is full.
    room: Option<Room>,
    /// Whether fail-fast nested requests may wait for the next slots.
    nested_waits: bool,
    cold: ColdLimit,
    rate: RateLimit,
    queue: Queue,
    reservations: Reservations,
    probes: Probes,
    breaker: CircuitBreaker,
    running: BTreeMap<AttemptId, Run>,
    /// For each cancelled request, the time until which it may still hold a slot.
    cancelling: Vec<Moment>,
    /// Whether the backend server may get new work, as last passed to [`set_open`](Self::set_open).
    open: bool,
    /// When the process exits, whether or not its attempts are completed, if that is known.
    exit_at: Option<Moment>,
    /// Whether all new attempts are refused, since the process is stopping.
    stopping: bool,
    /// Time until which the node's view is valid.
    lease_end: Moment,
    /// Incarnation that the backend server last named.
    server_boot: Option<Boot>,
    /// When the listed backend server last changed.
    listed_at: Moment,
    /// Until when another backend server than the listed one is assumed to be at the address.
    replaced_until: Moment,
    /// Service time in percent of the usual one, as last reported, and the time of the report.
    slowdown_report: (u32, Moment),
    /// Until when the gate counts as overloaded.
    overloaded_until: Moment,
}

impl Gate {
    /// Creates a gate that refuses work until it is opened by [`set_open`](Self::set_open) and has
    /// a lease from [`extend_lease`](Self::extend_lease).
    pub fn new(boot: Boot, limits: Limits, retention: RetentionLimits) -> Self {
        Self {
            boot,
            sessions: Sessions::new(
                boot,
                retention.sessions,
                retention.attempts,
                retention.answer_bytes,
            ),
            concurrency: ConcurrencyLimit::new(limits.clone()),
            room: None,
            nested_waits: false,
            cold: ColdLimit::new(limits.cold_rate),
            rate: RateLimit::default(),
            probes: Probes::new(limits.probes),
            breaker: CircuitBreaker::default(),
            limits,
            queue: Queue::default(),
            reservations: Reservations::default(),
            running: BTreeMap::new(),
            cancelling: Vec::new(),
            open: false,
            exit_at: None,
            stopping: false,
            lease_end: Moment(0),
            server_boot: None,
            listed_at: Moment(0),
            replaced_until: Moment(0),
            slowdown_report: (NO_SLOWDOWN_PERCENT, Moment(0)),
            overloaded_until: Moment(0),
        }
    }

    /// Has the gate learn the room of a backend server that resets connections when it is full. One that resets
    /// them for another reason, over seconds, is taken for full.
    pub fn with_learned_room(self) -> Self {
        let room = Some(Room::default());
        Self { room, ..self }
    }

    /// Has fail-fast nested requests wait at a full gate where they get one of the next slots, for half of their service
    /// time at most. They rank like requests of callers, and are refused as busy if the slot comes later.
    pub fn with_nested_waits(self) -> Self {
        Self {
            nested_waits: true,
            ..self
        }
    }

    /// Incarnation of this gate.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Opens a session for an ingress.
    pub fn open_session(&mut self, ingress: Boot, now: Moment) -> SessionId {
        self.sessions.open(ingress, now)
    }

    /// Applies new limits at `now`. If there was no cold rate limit before, the requests sent until
    /// now weren't counted.
    pub fn set_limits(&mut self, limits: Limits, now: Moment) {
        let was_set = self.cold.is_set();
        self.cold.set_rate(limits.cold_rate);
        if !was_set {
            self.cold.begin(now);
        }
        self.concurrency.set_limits(limits.clone());
        self.probes.set_rate(limits.probes);
        self.limits = limits;
    }

    /// Starts, queues or refuses an attempt, or repeats the reply to one that arrived before.
    pub fn offer(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        self.arrive(offer, None, now)
    }

    /// Handles an attempt that arrives, without its `body` if that has a size.
    fn arrive(&mut self, offer: Offer, body: Option<Size>, now: Moment) -> Vec<Action> {
        self.cancelling.retain(|until| *until > now);
        if self.cold.is_set() {
            self.probes.observe_offer(now);
        }
        let id = offer.id;
        let settled = self.sessions.raise_floor(id, offer.floor, now);
        let mut actions = self.abandon(settled, now);
        actions.extend(match self.state(id) {
            Err(LookupError::WrongBoot) => reply(id, Outcome::refused(Refusal::Session)),
            Err(LookupError::Evicted) => reply(id, Outcome::Unknown),
            Err(LookupError::Settled) => reply(id, Outcome::refused(Refusal::Barred)),
            Ok(Some(state)) => reply_again(id, state),
            Ok(None) => match body {
                Some(body) => self.reserve(offer, body, now),
                None => self.admit(offer, now),
            },
        });
        actions
    }

    /// Records the end of a started attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt isn't running, since the driver then reported its end twice.
    pub fn complete(&mut self, id: AttemptId, completion: Completion, now: Moment) -> Vec<Action> {
        let run = self.running.remove(&id).expect("an attempt ends once");
        let latency = now.since(run.began);
        if matches!(completion, Completion::Cancelled | Completion::Expired) {
            let delay = self
                .concurrency
                .mean_latency()
                .clamp(MIN_CANCEL_DELAY, MAX_CANCEL_DELAY);
            self.cancelling.push(now + delay);
        }
        match &completion {
            Completion::Answered(answer) => self.breaker.record(answer.is_failure()),
            Completion::Shed | Completion::Incomplete => self.breaker.record(true),
            _ => {}
        }
        let end = End::of(&completion);
        let is_full = self
            .room
            .as_mut()
            .is_some_and(|room| room.record_end(id, end, now));
        let (feedback, outcome) = match completion {
            Completion::Answered(answer) if answer.is_failure() => {
                (Feedback::Overload, Outcome::Answer(answer))
            }
            Completion::Answered(answer) => (Feedback::Success(latency), Outcome::Answer(answer)),
            Completion::Expired => (Feedback::Overload, Outcome::Expired),
            Completion::Shed => (Feedback::Overload, self.not_run(Refusal::Shed, now)),
            Completion::Misdirected => {
                (Feedback::Restarted, self.not_run(Refusal::Misdirected, now))
            }
            Completion::Unsent => (Feedback::Restarted, self.not_run(Refusal::Down, now)),
            Completion::Quarantined => (Feedback::None, self.not_run(Refusal::Quarantined, now)),
            Completion::Incomplete if is_full => (Feedback::None, Outcome::Unknown),
            Completion::Incomplete => (Feedback::Restarted, Outcome::Unknown),
            Completion::Cancelled => (Feedback::None, Outcome::Unknown),
        };
        if matches!(feedback, Feedback::Success(_)) && !self.cold.is_set() {
            self.probes.observe_response(now);
        }
        if feedback == Feedback::Restarted {
            self.cold.invalidate();
        }
        self.concurrency.record(feedback, now);
        self.sessions.record(id, state_after(&outcome));
        let misdirected = matches!(
            outcome,
            Outcome::NotRun {
                refusal: Refusal::Misdirected,
                ..
            }
        );
        let mut actions = reply(id, outcome);
        if misdirected && run.began >= self.listed_at {
            actions.extend(self.observe_identity(false, now));
        }
        actions.extend(self.start_queued(now));
        // A backend server whose next request starts at the same time hasn't been idle.
        if self.running.is_empty() {
            self.concurrency.set_idle();
        }
        actions
    }

    /// Reported service time in percent of the usual one, 100 without a valid report.
    fn slowdown_percent(&self, now: Moment) -> u32 {
        match self.slowdown_report {
            (percent, at) if at + SLOWDOWN_TTL >= now => percent,
            _ => NO_SLOWDOWN_PERCENT,
        }
    }

    /// Whether the service time is clearly above the usual one.
    fn is_slow(&self, now: Moment) -> bool {
        let factor = if self.is_cold(now) { COLD_FACTOR } else { 1 };
        self.slowdown_percent(now) >= SLOW_PERCENT * factor
    }

    /// Whether the backend server reports that it is cold, or has no valid report.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_set() && self.cold.is_cold(now)
    }

    /// Starts over for another backend server, which has no history. Refuses the queued requests:
    /// they were addressed to the former one, which may have belonged to another service.
    pub fn replace_server(&mut self, now: Moment) -> Vec<Action> {
        self.listed_at = now;
        self.replaced_until = Moment(0);
        self.slowdown_report = (NO_SLOWDOWN_PERCENT, Moment(0));
        self.breaker.reset();
        self.reset_room();
        self.rate.reset();
        self.probes.set_min_interval(Span::default());
        self.server_boot = None;
        self.cold.invalidate();
        self.concurrency.record(Feedback::Restarted, now);
        self.refuse_queued(Refusal::Misplaced)
    }

    /// Refuses expired queued requests, starts others that may run now, and probes if due.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.start_queued(now);
        if self.is_probing() && self.probes.take_due(now) {
            self.rate.record(now);
            actions.push(Action::Probe);
        }
        actions
    }

    /// Records the end of a probe. `server` is the incarnation that the response named, if any. Returns whether
    /// it is a new one.
    pub fn probed(&mut self, server: Option<Boot>, now: Moment) -> bool {
        server.is_some_and(|server| self.observe_boot(server, now))
    }

    /// Makes a probe due as soon as their maximum rate allows.
    pub fn expedite_probe(&mut self) {
        self.probes.expedite();
    }

    /// Number of probes sent.
    pub fn probes_sent(&self) -> u64 {
        self.probes.sent()
    }

    /// Time at which [`tick`](Self::tick) next has something to do, if any.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let released = self
            .cancelling
            .iter()
            .min()
            .copied()
            .filter(|_| self.queue.len() > 0);
        let probe = self.probes.next().filter(|_| self.is_probing());
        let sendable = self.next_send(now);
        let sendable = (self.queue.len() > 0 && sendable > now).then_some(sendable);
        let reserved =
            (self.queue.len() > 0 && self.overloaded_until > now).then_some(self.overloaded_until);
        [
            self.queue.next_expiry(),
            self.reservations.next_expiry(),
            released,
            probe,
            sendable,
            reserved,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// The load at `now`.
    pub fn load(&self, now: Moment) -> Load {
        Load {
            running: self.used_slots() as u32,
            waiting: (self.queue.len() + self.reservations.len()) as u32,
            allowed: self.concurrency.nominal(now).min(self.room_limit()) as u32,
            mean_latency: self.concurrency.mean_latency(),
            slowdown_percent: self.slowdown_percent(now),
            limit: self.rate.state(now).map(|limit| limit.rate),
            room_after: self.rate.wait(self.queue.len(), now),
        }
    }

    /// Numbers of sessions and of recorded attempts, and bytes of the answer bodies that are kept.
    pub fn sizes(&self) -> (usize, usize, u64) {
        self.sessions.sizes()
    }

    /// Incarnations of the ingresses that hold sessions.
    pub fn ingresses(&self) -> Vec<Boot> {
        self.sessions.ingresses().collect()
    }

    fn admit(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        match self.early_refusal(&offer, now) {
            Some((refusal, retry_after)) => self.refuse(offer.id, refusal, retry_after),
            None if self.starts_now(&offer, now) => self.start(&self.queued(&offer), now),
            None => self.enqueue(offer, now),
        }
    }

    /// Why an attempt is refused whatever the load, if it is, and when to come back.
    fn early_refusal(&mut self, offer: &Offer, now: Moment) -> Option<(Refusal, Span)> {
        if let Some(refusal) = offer.refusal {
            return Some((refusal, Span::default()));
        }
        match self.closed_reason(offer.deadline, now) {
            Some(refusal) => Some((refusal, self.queue_wait(now))),
            None if self.may_be_cut(&self.queued(offer), now) => {
                Some((Refusal::Stopping, Span::default()))
            }
            None if offer.fail_fast && self.breaker.refuses(now) => {
                Some((Refusal::Failing, Span::default()))
            }
            None if offer.fail_fast && self.is_slow(now) => Some((Refusal::Slow, Span::default())),
            None => None,
        }
    }

    fn closed_reason(&self, deadline: Moment, now: Moment) -> Option<Refusal> {
        match () {
            () if self.is_replaced(now) => Some(Refusal::Misplaced),
            () if self.stopping => Some(Refusal::Stopping),
            () if !self.open => Some(Refusal::Leaving),
            () if now > self.lease_end => Some(Refusal::Stale),
            () if now >= deadline => Some(Refusal::Late),
            () => None,
        }
    }

    /// Whether probes are sent. While the gate is open, a backend server with a cold rate limit is
    /// always probed, and any other one only while no request is running.
    fn is_probing(&self) -> bool {
        self.open && (self.cold.is_set() || self.running.is_empty())
    }

    /// Slots in use, including those that cancelled requests may still hold.
    fn used_slots(&self) -> usize {
        self.running.len() + self.cancelling.len()
    }

    fn start(&mut self, queued: &Queued, now: Moment) -> Vec<Action> {
        let Queued {
            id, deadline, rank, ..
        } = *queued;
        self.sessions.record(id, AttemptState::Pending);
        let run = Run {
            began: now,
            service_time: rank.service_time,
        };
        let occupancy = self.used_slots() + 1;
        if let Some(room) = &mut self.room {
            room.record_start(id, occupancy, rank.service_time, now);
        }
        let before = self.running.insert(id, run);
        assert!(before.is_none(), "invariant: an attempt starts once, {id}");
        let max = self.concurrency.current(now);
        assert!(
            self.used_slots() <= max,
            "invariant: the concurrency limit holds, {id}"
        );
        assert!(
            now < deadline,
            "invariant: an attempt starts before its deadline, {id}"
        );
        let may_start = self.open && now <= self.lease_end;
        assert!(
            may_start,
            "invariant: an attempt starts only at an open gate with a valid view, {id}"
        );
        assert!(
            self.cold.next_send(now) <= now,
            "invariant: the cold rate limit holds, {id}"
        );
        assert!(
            self.rate.next_send(now) <= now,
            "invariant: the named rate limit holds, {id}"
        );
        self.cold.record(now);
        self.rate.record(now);
        vec![Action::Start(id, deadline)]
    }

    fn refuse(&mut self, id: AttemptId, refusal: Refusal, retry_after: Span) -> Vec<Action> {
        assert!(
            !self.running.contains_key(&id),
            "invariant: a running attempt isn't refused, {id}"
        );
        self.sessions.record(id, AttemptState::NotRun);
        reply(
            id,
            Outcome::NotRun {
                refusal,
                retry_after,
            },
        )
    }

    fn not_run(&self, refusal: Refusal, now: Moment) -> Outcome {
        Outcome::NotRun {
            refusal,
            retry_after: self.queue_wait(now),
        }
    }
}

fn reply(id: AttemptId, outcome: Outcome) -> Vec<Action> {
    vec![Action::Reply(id, outcome)]
}

fn state_after(outcome: &Outcome) -> AttemptState {
    match outcome {
        Outcome::NotRun { .. } => AttemptState::NotRun,
        Outcome::Answer(answer) => AttemptState::Answered(Arc::clone(answer)),
        Outcome::Unknown | Outcome::Expired => AttemptState::Unknown,
    }
}
