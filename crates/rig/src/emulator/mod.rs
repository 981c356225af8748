//! Emulator of a fleet under overload, without processes, network and clock.
//!
//! Callers send *orders*, which call the second service twice in the course of their work, and
//! *lookups*, which go to the second service directly and are more urgent than the nested *checks*.
//! Calls, balancers and gates are those of the product; messages take a millisecond. A quarter of
//! the time each backend server works at a quarter of its speed. A run of seconds takes a fraction
//! of one and is repeated exactly by its seed, so policies can be compared on one load.

mod host;
mod kind;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
};

use call::{
    Action as CallAction, AttemptIndex, Call, CallOutcome, CallRequest, Selection, ServerSelector,
    TokenBucket,
};
use gate::{Action, Completion, Offer, Query, Rank};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport};
use types::{Answer, AttemptId, Moment, Outcome, Seq, ServerId, Span};

use host::{Host, Run, service};

pub use kind::{Counts, Kind};

const START: Moment = Moment(10_000_000);
/// Backend servers of the first and of the second service.
const SERVERS: [usize; 2] = [12, 12];
const SLOTS: u32 = 4;
/// Slow periods: length, time from one to the next, and slowdown.
const SLOW_MS: u64 = 75;
const SLOW_PERIOD_MS: u64 = 300;
const SLOWDOWN: u64 = 4;

/// The load, and what the gates do about it.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all randomness.
    pub seed: u64,
    /// Time for which callers send requests.
    pub duration: Span,
    /// Orders per second.
    pub orders: u64,
    /// Lookups per second.
    pub lookups: u64,
    /// Whether gates learn about routes, see [`gate::RouteProfiles`].
    pub learns: bool,
    /// Whether nested requests may wait at full gates, see [`gate::Gate::with_nested_waits`].
    pub nested_waits: bool,
}

/// Plays a load and returns what callers got, by kind of request.
pub fn play(options: &Options) -> BTreeMap<Kind, Counts> {
    let mut fleet = Fleet::new(options);
    fleet.play(options);
    fleet.counts
}

/// Formats the counts as a table.
pub fn render(counts: &BTreeMap<Kind, Counts>) -> String {
    let mut text = format!(
        "{:<8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9}\n",
        "kind", "asked", "in time", "late", "refused", "failed", "refusals"
    );
    for (kind, c) in counts {
        let _ = writeln!(
            text,
            "{:<8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9}",
            format!("{kind:?}"),
            c.asked,
            c.in_time,
            c.late,
            c.refused,
            c.failed,
            c.refusals
        );
    }
    text
}

struct Caller {
    call: Call,
    kind: Kind,
    /// Host at which the request entered the fleet.
    ingress: usize,
    began: Moment,
    deadline: Moment,
    /// Host and id of each attempt.
    attempts: Vec<(usize, AttemptId)>,
    /// For a nested call, the host and the attempt that wait for it.
    parent: Option<(usize, AttemptId)>,
    ended: bool,
}

struct Select<'a>(&'a mut Balancer, Moment);

impl ServerSelector for Select<'_> {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let route::Selection {
            server,
            has_alternatives,
            ..
        } = self.0.select(tried, declined, self.1)?;
        Some(Selection {
            server,
            has_alternatives,
        })
    }
}

/// Messages that are due after one hop.
enum Event {
    Offer(usize, AttemptIndex, bool),
    Outcome(usize, AttemptIndex, Outcome),
}

struct Fleet {
    hosts: Vec<Host>,
    callers: Vec<Caller>,
    attempts: BTreeMap<(usize, AttemptId), (usize, AttemptIndex)>,
    events: BTreeMap<(Moment, usize), Event>,
    next_event: usize,
    counts: BTreeMap<Kind, Counts>,
    budget: TokenBucket,
    rng: SmallRng,
    now: Moment,
    /// Whether gates learn about routes.
    learns: bool,
}

impl Fleet {
    fn new(options: &Options) -> Self {
        let services = SERVERS.iter().enumerate();
        let services: Vec<usize> = services
            .flat_map(|(service, count)| vec![service; *count])
            .collect();
        Self {
            hosts: Host::all(&services, options),
            callers: Vec::new(),
            attempts: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            counts: BTreeMap::new(),
            budget: TokenBucket::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            now: START,
            learns: options.learns,
        }
    }

    fn schedule(&mut self, event: Event) {
        self.next_event += 1;
        let at = self.now + Span::from_millis(1);
        self.events.insert((at, self.next_event), event);
    }

    fn begin(&mut self, kind: Kind, ingress: usize, parent: Option<(usize, AttemptId)>) {
        let parent_deadline = parent.map(|(host, id)| {
            let run = &self.hosts[host].runs[&id];
            self.callers[run.call].deadline
        });
        let deadline = (self.now + kind.deadline()).min(parent_deadline.unwrap_or(Moment::MAX));
        let latency = self.hosts[ingress].latencies.entry(kind).or_default();
        let request = CallRequest {
            idempotent: kind == Kind::Check,
            is_retry: false,
            deadline,
            max_attempts: 2,
        };
        let call = self.callers.len();
        self.callers.push(Caller {
            call: Call::new(request, latency.timeouts()),
            kind,
            ingress,
            began: self.now,
            deadline,
            attempts: Vec::new(),
            parent,
            ended: false,
        });
        self.counts.entry(kind).or_default().asked += 1;
        self.step_call(call, |call, selector, _, now| call.start(now, selector));
    }

    fn step_call(
        &mut self,
        index: usize,
        step: impl FnOnce(
            &mut Call,
            &mut dyn ServerSelector,
            &mut TokenBucket,
            Moment,
        ) -> Vec<CallAction>,
    ) {
        let caller = &mut self.callers[index];
        let balancer = &mut self.hosts[caller.ingress].balancers[caller.kind.service()];
        let mut selector = Select(balancer, self.now);
        let actions = step(&mut caller.call, &mut selector, &mut self.budget, self.now);
        for action in actions {
            match action {
                CallAction::Send {
                    attempt,
                    server,
                    fail_fast,
                    ..
                } => self.send(index, attempt, &server, fail_fast),
                CallAction::Cancel(attempt) => {
                    let (host, id) = self.callers[index].attempts[attempt];
                    let actions = self.hosts[host].gate.query(id, Query::Cancel, self.now);
                    self.carry_out(host, actions);
                }
                CallAction::Finish(outcome) => self.finish(index, &outcome),
                CallAction::Settle(_) | CallAction::Query(_) | CallAction::Withdraw(_) => {}
            }
        }
    }

    fn send(&mut self, index: usize, attempt: AttemptIndex, server: &ServerId, fail_fast: bool) {
        let caller = &self.callers[index];
        self.hosts[caller.ingress].balancers[caller.kind.service()].on_sent(server);
        let target = self.hosts.iter().position(|h| h.id == *server);
        let target = target.expect("a backend server of the fleet");
        let host = &mut self.hosts[target];
        host.next_seq += 1;
        let id = AttemptId {
            boot: host.gate.boot(),
            session: host.session,
            seq: Seq(host.next_seq),
        };
        self.callers[index].attempts.push((target, id));
        self.attempts.insert((target, id), (index, attempt));
        self.schedule(Event::Offer(index, attempt, fail_fast));
    }

    fn offer(&mut self, index: usize, attempt: AttemptIndex, fail_fast: bool) {
        let caller = &self.callers[index];
        let (target, id) = caller.attempts[attempt];
        let origin = service(self.hosts[caller.ingress].service);
        let ingress = &self.hosts[caller.ingress];
        let usual = ingress.latencies.get(&caller.kind).copied();
        let rank = Rank {
            objective: caller.began + caller.kind.objective(),
            service_time: usual.unwrap_or_default().service_time(),
            priority: caller.kind.priority(),
            nested: false,
        };
        let (route, deadline) = (caller.kind.route(), caller.deadline);
        let host = &mut self.hosts[target];
        host.profiles.observe_origin(&route, &origin);
        let rank = match self.learns {
            true => host.profiles.refine(&route, rank),
            false => rank,
        };
        let offer = Offer {
            id,
            floor: Seq(0),
            deadline,
            fail_fast,
            refusal: None,
            rank,
        };
        let actions = host.gate.offer(offer, self.now);
        self.carry_out(target, actions);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, _) => self.start(host, id),
                Action::Reply(id, outcome) => {
                    let Some(&(call, attempt)) = self.attempts.get(&(host, id)) else {
                        continue;
                    };
                    self.schedule(Event::Outcome(call, attempt, outcome));
                }
                Action::Cancel(id) => {
                    self.hosts[host].runs.remove(&id);
                    self.complete(host, id, Completion::Cancelled);
                }
                Action::Probe => {}
            }
        }
    }

    fn start(&mut self, host: usize, id: AttemptId) {
        let (call, _) = self.attempts[&(host, id)];
        let kind = self.callers[call].kind;
        let factor = self.rng.random_range(0.7..1.3);
        let run = Run {
            call,
            started: self.now,
            remaining: kind.work().scale(factor),
            calls_left: if kind == Kind::Order { 2 } else { 0 },
            waiting: false,
        };
        self.hosts[host].runs.insert(id, run);
    }

    fn complete(&mut self, host: usize, id: AttemptId, completion: Completion) {
        let actions = self.hosts[host].gate.complete(id, completion, self.now);
        self.carry_out(host, actions);
    }

    fn finish(&mut self, index: usize, outcome: &CallOutcome) {
        let (now, caller) = (self.now, &mut self.callers[index]);
        if std::mem::replace(&mut caller.ended, true) {
            return;
        }
        let counts = self.counts.entry(caller.kind).or_default();
        let answered = matches!(outcome, CallOutcome::Answer(answer) if !answer.is_failure());
        match outcome {
            _ if answered && now.since(caller.began) <= caller.kind.objective() => {
                counts.in_time += 1;
            }
            _ if answered => counts.late += 1,
            CallOutcome::NotRun { .. } => counts.refused += 1,
            _ => counts.failed += 1,
        }
        if let Some((host, id)) = caller.parent {
            self.end_nested(host, id, answered);
        }
    }

    /// Continues the parent of a nested call, or ends it with a failure.
    fn end_nested(&mut self, host: usize, id: AttemptId, answered: bool) {
        let Some(run) = self.hosts[host].runs.get_mut(&id) else {
            return;
        };
        run.waiting = false;
        if !answered {
            self.hosts[host].runs.remove(&id);
            self.complete(host, id, Completion::Answered(answer(500)));
        }
    }

    fn outcome(&mut self, index: usize, attempt: AttemptIndex, outcome: Outcome) {
        let caller = &self.callers[index];
        let (target, _) = caller.attempts[attempt];
        let load = self.hosts[target].gate.load(self.now);
        let server = self.hosts[target].id.clone();
        let ingress = &mut self.hosts[caller.ingress];
        let balancer = &mut ingress.balancers[caller.kind.service()];
        balancer.on_closed(&server);
        let report = LoadReport {
            load: load.running + load.waiting,
            allowed: load.allowed,
            mean_latency: load.mean_latency,
            slowdown_percent: load.slowdown_percent,
            room_after: load.room_after,
        };
        balancer.on_report(&server, report, self.now);
        let refused = matches!(outcome, Outcome::NotRun { .. });
        self.counts.entry(caller.kind).or_default().refusals += u64::from(refused);
        match &outcome {
            Outcome::NotRun {
                refusal,
                retry_after,
            } => balancer.on_refused(&server, *refusal, *retry_after, self.now),
            Outcome::Answer(answer) if !answer.is_failure() => {
                let latency = self.now.since(caller.began);
                let estimate = ingress.latencies.entry(caller.kind).or_default();
                estimate.record(latency, latency);
            }
            _ => {}
        }
        self.step_call(index, |call, selector, budget, now| {
            call.on_outcome(attempt, outcome, now, selector, budget)
        });
    }

    /// Lets the backend servers work for one millisecond.
    fn work(&mut self, ms: u64) {
        for host in 0..self.hosts.len() {
            let phase = (ms + host as u64 * 37) % SLOW_PERIOD_MS;
            let slowdown = if phase < SLOW_MS { SLOWDOWN } else { 1 };
            let gate = &mut self.hosts[host].gate;
            gate.observe_slowdown(100 * slowdown as u32, self.now);
            let progress = Span(1_000 / slowdown);
            let mut done = BTreeSet::new();
            for (id, run) in &mut self.hosts[host].runs {
                if run.waiting {
                    continue;
                }
                run.remaining = Span(run.remaining.0.saturating_sub(progress.0));
                if run.remaining == Span(0) {
                    done.insert(*id);
                }
            }
            for id in done {
                self.advance(host, id);
            }
            let actions = self.hosts[host].gate.tick(self.now);
            self.carry_out(host, actions);
        }
    }

    /// Sends the next nested call of a request whose own work is done, or ends the request.
    fn advance(&mut self, host: usize, id: AttemptId) {
        let Some(run) = self.hosts[host].runs.get_mut(&id) else {
            return;
        };
        if run.calls_left > 0 {
            (run.calls_left, run.waiting) = (run.calls_left - 1, true);
            self.begin(Kind::Check, host, Some((host, id)));
            return;
        }
        let run = self.hosts[host]
            .runs
            .remove(&id)
            .expect("a running request");
        let caller = &self.callers[run.call];
        let late = self.now >= caller.deadline;
        let route = caller.kind.route();
        let service_time = self.now.since(run.started);
        self.hosts[host]
            .profiles
            .record_service_time(&route, service_time);
        let completion = match late {
            true => Completion::Expired,
            false => Completion::Answered(answer(200)),
        };
        self.complete(host, id, completion);
    }

    fn play(&mut self, options: &Options) {
        for ms in 0..options.duration.as_millis() {
            self.now = START + Span::from_millis(ms);
            for (kind, rate) in [
                (Kind::Order, options.orders),
                (Kind::Lookup, options.lookups),
            ] {
                let due = rate * (ms + 1) / 1_000 - rate * ms / 1_000;
                for _ in 0..due {
                    let ingress = self.rng.random_range(0..self.hosts.len());
                    self.begin(kind, ingress, None);
                }
            }
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                match entry.remove() {
                    Event::Offer(call, attempt, fail_fast) => self.offer(call, attempt, fail_fast),
                    Event::Outcome(call, attempt, outcome) => self.outcome(call, attempt, outcome),
                }
            }
            self.work(ms);
            for call in 0..self.callers.len() {
                let caller = &self.callers[call];
                if !caller.ended && caller.call.next_tick() <= self.now {
                    self.step_call(call, |call, selector, budget, now| {
                        call.tick(now, selector, budget)
                    });
                }
            }
        }
    }
}

fn answer(status: u16) -> Arc<Answer> {
    Arc::new(Answer {
        status,
        ..Answer::default()
    })
}
