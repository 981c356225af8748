//! The gate itself: a state machine without clock, randomness or I/O.

mod admission;

use std::{collections::BTreeMap, sync::Arc};

use note::Limits;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, SessionId, Span};

use crate::{
    allowance::{Allowance, Evidence},
    cold::ColdLimit,
    event::{Action, Bounds, Finish, Load, Offer},
    failing::Failing,
    probe::Probes,
    queue::{Queue, Waiting},
    session::{Fate, Gap, Sessions},
};

/// Pace from which a backend server counts as slow. Its spells of slowness are four times that.
const SLOW_PACE: u32 = 150;
/// Times that the work of a cold backend server takes, in usual times: a cold one isn't declined for
/// that alone, as the others are often cold for the same reason.
const COLD_PACE: u32 = 2;
/// The usual pace.
const USUAL_PACE: u32 = 100;
/// Time for which a word on the pace holds: three probes.
const PACE_AGE: Span = Span::from_millis(150);

/// Bounds of the time that a backend server takes to notice that a request was cancelled.
const LEAST_NOTICE: Span = Span::from_millis(10);
const MOST_NOTICE: Span = Span::from_millis(200);

#[derive(Debug)]
struct Run {
    began: Moment,
    /// Time that its work usually takes.
    expected: Span,
}

/// The gate of one backend server. See the crate's documentation.
#[derive(Debug)]
pub struct Gate {
    boot: Boot,
    limits: Limits,
    sessions: Sessions,
    allowance: Allowance,
    cold: ColdLimit,
    queue: Queue,
    probes: Probes,
    failing: Failing,
    running: BTreeMap<AttemptId, Run>,
    /// Moments until which a cancelled request may still hold its slot at the backend server.
    leaving: Vec<Moment>,
    /// Whether operators let the backend server take new work.
    open: bool,
    stopping: bool,
    /// Last moment at which the node's view may be acted on.
    fresh: Moment,
    /// Incarnation that the backend server named last.
    server: Option<Boot>,
    /// The pace that the backend server named last, and when.
    pace: (u32, Moment),
    /// Until when the gate counts as pressed.
    pressed: Moment,
}

impl Gate {
    /// A gate that takes no work until [`set_open`](Self::set_open) and
    /// [`set_fresh`](Self::set_fresh) say so.
    pub fn new(boot: Boot, limits: Limits, bounds: Bounds) -> Self {
        Self {
            boot,
            sessions: Sessions::new(boot, bounds.sessions, bounds.fates, bounds.answers),
            allowance: Allowance::new(limits.clone()),
            cold: ColdLimit::new(limits.cold_rate),
            probes: Probes::new(limits.probes),
            failing: Failing::default(),
            limits,
            queue: Queue::default(),
            running: BTreeMap::new(),
            leaving: Vec::new(),
            open: false,
            stopping: false,
            fresh: Moment(0),
            server: None,
            pace: (USUAL_PACE, Moment(0)),
            pressed: Moment(0),
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

    /// Puts other limits in force at `now`. What was sent before isn't known if there was no limit on
    /// cold requests until now.
    pub fn set_limits(&mut self, limits: Limits, now: Moment) {
        let counted = self.cold.is_set();
        self.cold.set_rate(limits.cold_rate);
        if !counted {
            self.cold.begin(now);
        }
        self.allowance.set_limits(limits.clone());
        self.probes.set_rate(limits.probes);
        self.limits = limits;
    }

    /// Operators let the backend server take new work, or no more. What waits is refused then.
    pub fn set_open(&mut self, open: bool) -> Vec<Action> {
        self.open = open;
        match open {
            true => Vec::new(),
            false => self.refuse_waiting(Refusal::Leaving),
        }
    }

    /// The node's view may be acted on until `fresh`.
    pub fn set_fresh(&mut self, fresh: Moment) {
        self.fresh = self.fresh.max(fresh);
    }

    /// The node stops: nothing new is taken, and what waits or runs is finished.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether new work may be taken at `now`, as far as operators and the node's view say.
    pub fn is_open(&self, now: Moment) -> bool {
        self.closed(Moment::MAX, now).is_none()
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// An attempt comes.
    pub fn offer(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        self.leaving.retain(|until| *until > now);
        if self.cold.is_set() {
            self.probes.offered(now);
        }
        let id = offer.id;
        self.sessions.raise(id, offer.floor, now);
        match self.sessions.fate(id) {
            Err(Gap::Elsewhere) => reply(id, Outcome::refused(Refusal::Session)),
            Err(Gap::Forgotten) => reply(id, Outcome::Unknown),
            Err(Gap::Settled) => reply(id, Outcome::refused(Refusal::Barred)),
            Ok(Some(fate)) => repeat(id, fate),
            Ok(None) => self.admit(offer, now),
        }
    }

    /// An ingress asks what became of an attempt that gave it no word.
    ///
    /// If the attempt never came it is barred. With `cancel` it is stopped if it waits or runs.
    pub fn ask(&mut self, id: AttemptId, cancel: bool, now: Moment) -> Vec<Action> {
        match self.sessions.fate(id) {
            Err(_) => reply(id, Outcome::Unknown),
            Ok(None) => self.refuse(id, Refusal::Barred, Span::default()),
            Ok(Some(Fate::Open)) if cancel => self.cancel(id, now),
            Ok(Some(fate)) => repeat(id, fate),
        }
    }

    /// A started attempt ended.
    ///
    /// # Panics
    ///
    /// If the attempt isn't running: the carrier reported it twice.
    pub fn done(&mut self, id: AttemptId, finish: Finish, now: Moment) -> Vec<Action> {
        let run = self.running.remove(&id).expect("an attempt ends once");
        let took = now.since(run.began);
        if matches!(finish, Finish::Aborted | Finish::Expired) {
            let notice = self.allowance.typical().clamp(LEAST_NOTICE, MOST_NOTICE);
            self.leaving.push(now + notice);
        }
        match &finish {
            Finish::Answered(answer) => self.failing.learn(answer.is_failure()),
            Finish::Shed | Finish::Broken => self.failing.learn(true),
            _ => {}
        }
        let (evidence, outcome) = match finish {
            Finish::Answered(answer) if answer.is_failure() => {
                (Evidence::Overload, Outcome::Answer(answer))
            }
            Finish::Answered(answer) => (Evidence::Good(took), Outcome::Answer(answer)),
            Finish::Expired => (Evidence::Overload, Outcome::Expired),
            Finish::Shed => (Evidence::Overload, self.refusal(Refusal::Shed, now)),
            Finish::Misplaced => (Evidence::Restarted, self.refusal(Refusal::Misplaced, now)),
            Finish::Unsent => (Evidence::Restarted, self.refusal(Refusal::Down, now)),
            Finish::Broken => (Evidence::Restarted, Outcome::Unknown),
            Finish::Aborted => (Evidence::None, Outcome::Unknown),
        };
        if matches!(evidence, Evidence::Good(_)) && !self.cold.is_set() {
            self.probes.heard(now);
        }
        if evidence == Evidence::Restarted {
            self.cold.forget();
        }
        self.allowance.learn(evidence, now);
        if self.running.is_empty() {
            self.allowance.set_idle();
        }
        self.sessions.record(id, fate_of(&outcome));
        let mut actions = reply(id, outcome);
        actions.extend(self.start_waiting(now));
        actions
    }

    /// The backend server named its incarnation. Another one than before is cold.
    pub fn heard_server(&mut self, server: Boot, now: Moment) {
        let before = self.server.replace(server);
        if before.is_some_and(|b| b != server) {
            self.cold.forget();
            self.allowance.learn(Evidence::Restarted, now);
        }
    }

    /// Asked at `asked`, the backend server said that it stays cold for `left`.
    pub fn heard_cold(&mut self, left: Span, asked: Moment, now: Moment) -> Vec<Action> {
        self.cold.heard(left, self.limits.warm_up(), asked, now);
        self.start_waiting(now)
    }

    /// The backend server named the present time of its work, in percent of the usual one.
    pub fn heard_pace(&mut self, pace: u32, now: Moment) {
        self.pace = (pace, now);
    }

    /// The pace as far as it is known now.
    fn pace(&self, now: Moment) -> u32 {
        match self.pace {
            (pace, heard) if heard + PACE_AGE >= now => pace,
            _ => USUAL_PACE,
        }
    }

    /// Whether work takes clearly longer now than it usually does.
    fn is_slow(&self, now: Moment) -> bool {
        let usual = if self.is_cold(now) { COLD_PACE } else { 1 };
        self.pace(now) >= SLOW_PACE * usual
    }

    /// Whether the backend server counts as cold by its own word, or for want of it.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_set() && self.cold.is_cold(now)
    }

    /// Another backend server takes the place of the one before. Nothing is known of it, and what
    /// waits was meant for the other, which may even have been of another service.
    pub fn replace_server(&mut self, now: Moment) -> Vec<Action> {
        self.pace = (USUAL_PACE, Moment(0));
        self.failing.forget();
        self.server = None;
        self.cold.forget();
        self.allowance.learn(Evidence::Restarted, now);
        self.refuse_waiting(Refusal::Misplaced)
    }

    /// Time passes: what waited too long is refused, and the allowance may have grown.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.start_waiting(now);
        if self.is_probing() && self.probes.take(now) {
            actions.push(Action::Probe);
        }
        actions
    }

    /// A probe ended. `server` is the incarnation that the backend server named, if it answered.
    pub fn probed(&mut self, server: Option<Boot>, now: Moment) {
        if let Some(server) = server {
            self.heard_server(server, now);
        }
    }

    /// Number of probes so far.
    pub fn probes(&self) -> u64 {
        self.probes.sent()
    }

    /// The moment at which [`tick`](Self::tick) has something to do, if any.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let freed = self
            .leaving
            .iter()
            .min()
            .copied()
            .filter(|_| self.queue.len() > 0);
        let probe = self.probes.next().filter(|_| self.is_probing());
        let cold = self.cold.next(now);
        let cold = (self.queue.len() > 0 && cold > now).then_some(cold);
        let kept = (self.queue.len() > 0 && self.pressed > now).then_some(self.pressed);
        [self.queue.earliest(), freed, probe, cold, kept]
            .into_iter()
            .flatten()
            .min()
    }

    /// The load now.
    pub fn load(&self, now: Moment) -> Load {
        Load {
            running: self.taken() as u32,
            waiting: self.queue.len() as u32,
            allowed: self.allowance.expected(now) as u32,
            typical: self.allowance.typical(),
            pace: self.pace(now),
        }
    }

    /// Number of sessions, number of fates remembered, and bytes of answers kept.
    pub fn sizes(&self) -> (usize, usize, u64) {
        self.sessions.sizes()
    }

    /// Incarnations of the ingresses that hold sessions.
    pub fn ingresses(&self) -> Vec<Boot> {
        self.sessions.ingresses().collect()
    }

    fn admit(&mut self, offer: Offer, now: Moment) -> Vec<Action> {
        match self.closed(offer.deadline, now) {
            _ if offer.misplaced => self.refuse(offer.id, Refusal::Misplaced, Span::default()),
            Some(refusal) => self.refuse(offer.id, refusal, self.wait_behind_all(now)),
            None if offer.choosy && self.failing.declines(now) => {
                self.refuse(offer.id, Refusal::Failing, Span::default())
            }
            None if offer.choosy && self.is_slow(now) => {
                self.refuse(offer.id, Refusal::Slow, Span::default())
            }
            None if self.has_slot(&offer, now) => self.start(&self.waiting(&offer), now),
            None => self.enqueue(offer, now),
        }
    }

    fn closed(&self, deadline: Moment, now: Moment) -> Option<Refusal> {
        match () {
            () if self.stopping => Some(Refusal::Stopping),
            () if !self.open => Some(Refusal::Leaving),
            () if now > self.fresh => Some(Refusal::Stale),
            () if now >= deadline => Some(Refusal::Late),
            () => None,
        }
    }

    /// A backend server that tells how cold it is, is asked all the time, another only while idle.
    fn is_probing(&self) -> bool {
        self.open && (self.cold.is_set() || self.running.is_empty())
    }

    /// Slots that are taken at the backend server, as far as can be told.
    fn taken(&self) -> usize {
        self.running.len() + self.leaving.len()
    }

    fn start(&mut self, waiting: &Waiting, now: Moment) -> Vec<Action> {
        let Waiting { id, deadline, rank } = *waiting;
        self.sessions.record(id, Fate::Open);
        let run = Run {
            began: now,
            expected: rank.expected,
        };
        let before = self.running.insert(id, run);
        assert!(before.is_none(), "invariant: an attempt starts once, {id}");
        let most = self.allowance.allowed(now);
        assert!(
            self.taken() <= most,
            "invariant: no more runs than is borne, {id}"
        );
        assert!(
            now < deadline,
            "invariant: nothing starts past its deadline, {id}"
        );
        let may = self.open && now <= self.fresh;
        assert!(
            may,
            "invariant: no new work where operators want none, {id}"
        );
        assert!(
            self.cold.next(now) <= now,
            "invariant: a cold backend server gets no more than its rate, {id}"
        );
        self.cold.send(now);
        vec![Action::Start(id, deadline)]
    }

    fn refuse(&mut self, id: AttemptId, refusal: Refusal, retry_after: Span) -> Vec<Action> {
        assert!(
            !self.running.contains_key(&id),
            "invariant: a true refusal, {id}"
        );
        self.sessions.record(id, Fate::Barred);
        reply(
            id,
            Outcome::NotRun {
                refusal,
                retry_after,
            },
        )
    }

    fn refusal(&self, refusal: Refusal, now: Moment) -> Outcome {
        Outcome::NotRun {
            refusal,
            retry_after: self.wait_behind_all(now),
        }
    }

    fn cancel(&mut self, id: AttemptId, now: Moment) -> Vec<Action> {
        match self.queue.remove(id) {
            true => {
                let mut actions = self.refuse(id, Refusal::Cancelled, Span::default());
                actions.extend(self.start_waiting(now));
                actions
            }
            false => vec![Action::Abort(id)],
        }
    }
}

fn reply(id: AttemptId, outcome: Outcome) -> Vec<Action> {
    vec![Action::Reply(id, outcome)]
}

/// The same word again for an attempt that came before. What is open replies when it ends.
fn repeat(id: AttemptId, fate: Fate) -> Vec<Action> {
    match fate {
        Fate::Open => Vec::new(),
        Fate::Barred => reply(id, Outcome::refused(Refusal::Barred)),
        Fate::Ran(answer) => reply(id, Outcome::Answer(answer)),
        Fate::Lost => reply(id, Outcome::Unknown),
    }
}

fn fate_of(outcome: &Outcome) -> Fate {
    match outcome {
        Outcome::NotRun { .. } => Fate::Barred,
        Outcome::Answer(answer) => Fate::Ran(Arc::clone(answer)),
        Outcome::Unknown | Outcome::Expired => Fate::Lost,
    }
}
