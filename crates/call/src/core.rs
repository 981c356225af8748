//! The state machine of one call.

use std::sync::Arc;

use types::{Answer, Moment, Outcome, Refusal, ServerId, Span};

use crate::budget::Budget;

/// Attempts of one call that are refused for load, or hedged, at most.
const MOST_LOADED: u32 = 3;
/// Attempts of one call at most, whatever the reason.
const MOST_TRIES: usize = 6;
/// Gates that may decline a call since most answers of their backend servers fail. If more say so, the
/// others likely do as well, and every further try would cost time for nothing.
const MOST_FAILING: u32 = 2;
/// Time after which to come back if nothing better is known.
const DEFAULT_AFTER: Span = Span::from_millis(1_000);

/// A backend server for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub server: ServerId,
    /// Whether others are left that may be better.
    pub others: bool,
}

/// Picks backend servers.
pub trait Choose {
    /// A backend server for the next attempt: one that isn't in `tried`, or, if none of those looks
    /// any better, the best of `declined`, who would have made it wait or run slowly.
    fn choose(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Choice>;
}

/// What is known of a call when it begins.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a call above this one is a repeat already. Then this one isn't repeated for load, so
    /// that repeats don't multiply over levels of nested calls.
    pub repeat: bool,
    /// Last moment at which the answer is wanted.
    pub deadline: Moment,
    /// Backend servers that it may be sent to at most.
    pub attempts: u32,
}

/// When a call becomes impatient.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Silence after which the gate is asked.
    pub patience: Span,
    /// Time after which an idempotent request is sent to a second backend server.
    pub hedge: Span,
    /// Time between two tries to ask.
    pub pause: Span,
}

/// Number of an attempt within its call.
pub type Try = usize;

/// How a call ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer.
    Answer(Arc<Answer>),
    /// Refused, and true: it was not run.
    NotRun {
        /// Why not.
        refusal: Refusal,
        /// Time after which to come back.
        after: Span,
    },
    /// Without an answer, and nobody can tell whether it ran.
    Unknown {
        /// Whether the deadline has passed.
        late: bool,
    },
}

/// What the carrier is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request as this attempt to the gate of this backend server.
    Send {
        /// Number of the attempt.
        attempt: Try,
        /// The backend server.
        server: ServerId,
        /// Whether it repeats another one.
        repeat: bool,
        /// Whether it is worth nothing if it must wait or runs slowly: it is sent in case another one
        /// is slow, or others may be better.
        choosy: bool,
    },
    /// Ask over a fresh connection what became of the attempt.
    Ask(Try),
    /// Ask as well, and stop the attempt.
    Cancel(Try),
    /// The attempt is settled: nobody will ask about it any more.
    Settle(Try),
    /// Tell the caller. Nothing follows but cancellations.
    Finish(Ending),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Sent, and asked about if there is no word until the moment.
    Sent(Moment),
    /// Asked, and no reply yet.
    Asked,
    /// To be asked again at the moment.
    Pausing(Moment),
    /// Nothing more is to be learned about it.
    Settled,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    phase: Phase,
    /// Whether it is known that it was not run.
    barred: bool,
    /// Whether the refusal leaves the backend server as good as before.
    revisit: bool,
    /// Whether the backend server can't have seen it: the gate refused it.
    withheld: bool,
    /// Whether it was to be refused rather than made to wait or run slowly.
    choosy: bool,
    /// Whether it was refused for that.
    declined: bool,
}

/// One call. See the crate's documentation.
#[derive(Debug)]
pub struct Call {
    request: Request,
    timing: Timing,
    attempts: Vec<Attempt>,
    loaded: u32,
    /// Refusals of gates whose backend servers fail.
    failing: u32,
    hedge: Moment,
    last: (Refusal, Span),
    finished: bool,
}

impl Call {
    /// A call that has done nothing yet.
    pub fn new(request: Request, timing: Timing) -> Self {
        Self {
            request,
            timing,
            attempts: Vec::new(),
            loaded: 0,
            failing: 0,
            hedge: Moment::MAX,
            last: (Refusal::Down, DEFAULT_AFTER),
            finished: false,
        }
    }

    /// Whether the caller has been told.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Sends the first attempt.
    pub fn begin(&mut self, now: Moment, choose: &mut dyn Choose) -> Vec<Action> {
        self.hedge = match self.request.idempotent && !self.request.repeat {
            true => now + self.timing.hedge,
            false => Moment::MAX,
        };
        match now >= self.request.deadline {
            true => self.finish(Ending::NotRun {
                refusal: Refusal::Late,
                after: Span::default(),
            }),
            false => self.send_or_finish(now, choose),
        }
    }

    /// The gate told the outcome of an attempt, in reply to it or to a question about it.
    pub fn heard(
        &mut self,
        attempt: Try,
        outcome: Outcome,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        if self.attempts[attempt].phase == Phase::Settled {
            return Vec::new();
        }
        let mut actions = self.settle(attempt);
        match outcome {
            _ if self.finished => {}
            Outcome::Answer(answer) => actions.extend(self.finish(Ending::Answer(answer))),
            Outcome::NotRun {
                refusal,
                retry_after,
            } => {
                self.attempts[attempt].barred = true;
                self.note_refusal(attempt, refusal, retry_after);
                let choosy = self.attempts[attempt].choosy;
                self.failing += u32::from(refusal == Refusal::Failing);
                let declined =
                    choosy && matches!(refusal, Refusal::Slow | Refusal::Failing | Refusal::Busy);
                self.attempts[attempt].declined = declined;
                let loaded = refusal.is_overload() && !declined;
                actions.extend(self.go_on(loaded, now, choose, budget));
            }
            Outcome::Unknown => actions.extend(self.after_unknown(now, choose, budget)),
            // The gate's reading of the deadline comes a little early.
            Outcome::Expired => actions.extend(self.give_up(true)),
        }
        actions
    }

    /// The connection that carried an attempt broke, or the node at its end can't be reached.
    pub fn broken(
        &mut self,
        attempt: Try,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        match self.attempts[attempt].phase {
            Phase::Sent(_) if self.request.idempotent && !self.finished => {
                let mut actions = self.settle(attempt);
                actions.extend(self.after_unknown(now, choose, budget));
                actions
            }
            Phase::Sent(_) => self.ask(attempt),
            _ => Vec::new(),
        }
    }

    /// A question got no reply, though somebody may still listen there.
    pub fn unasked(&mut self, attempt: Try, now: Moment) -> Vec<Action> {
        match self.attempts[attempt].phase {
            Phase::Asked if self.finished => self.settle(attempt),
            Phase::Asked => {
                self.attempts[attempt].phase = Phase::Pausing(now + self.timing.pause);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Time passes.
    pub fn tick(
        &mut self,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        if self.finished {
            return Vec::new();
        }
        if now >= self.request.deadline {
            return self.give_up(true);
        }
        let mut actions = Vec::new();
        for attempt in 0..self.attempts.len() {
            match self.attempts[attempt].phase {
                Phase::Sent(at) | Phase::Pausing(at) if at <= now => {
                    actions.extend(self.ask(attempt));
                }
                _ => {}
            }
        }
        if self.hedge <= now {
            self.hedge = Moment::MAX;
            actions.extend(self.repeat(true, now, choose, budget).unwrap_or_default());
        }
        actions
    }

    /// The caller went away: everything that is open is stopped.
    pub fn abandon(&mut self) -> Vec<Action> {
        self.finished = true;
        self.cancel_open()
    }

    /// The moment at which [`tick`](Self::tick) has something to do.
    pub fn next_tick(&self) -> Moment {
        let waits = self.attempts.iter().filter_map(|a| match a.phase {
            Phase::Sent(at) | Phase::Pausing(at) => Some(at),
            _ => None,
        });
        waits.fold(self.request.deadline.min(self.hedge), Moment::min)
    }

    fn open(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.phase != Phase::Settled)
            .count()
    }

    /// Attempts that a backend server saw or may see.
    fn arrived(&self) -> u32 {
        self.attempts.iter().filter(|a| !a.withheld).count() as u32
    }

    fn settle(&mut self, attempt: Try) -> Vec<Action> {
        self.attempts[attempt].phase = Phase::Settled;
        vec![Action::Settle(attempt)]
    }

    fn ask(&mut self, attempt: Try) -> Vec<Action> {
        self.attempts[attempt].phase = Phase::Asked;
        vec![Action::Ask(attempt)]
    }

    fn note_refusal(&mut self, attempt: Try, refusal: Refusal, after: Span) {
        self.last = (refusal, if after.0 == 0 { DEFAULT_AFTER } else { after });
        self.attempts[attempt].revisit = matches!(refusal, Refusal::Session | Refusal::Barred);
        self.attempts[attempt].withheld = !refusal.is_from_server();
    }

    /// Backend servers that the next attempt doesn't go to.
    fn tried(&self) -> Vec<ServerId> {
        let tried = self.attempts.iter().filter(|a| !a.revisit);
        tried.map(|a| a.server.clone()).collect()
    }

    /// Backend servers that would have made an attempt wait or run slowly, and didn't refuse one that
    /// would have put up with that.
    fn declined(&self) -> Vec<ServerId> {
        let refused = |id: &ServerId| {
            let mut sent = self.attempts.iter();
            sent.any(|a| a.server == *id && !a.declined)
        };
        let declined = self.attempts.iter().filter(|a| a.declined);
        let left = declined.filter(|a| !refused(&a.server));
        left.map(|a| a.server.clone()).collect()
    }

    /// An attempt wasn't run: tries elsewhere, or ends if nothing else is open.
    fn go_on(
        &mut self,
        loaded: bool,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        if self.open() > 0 {
            return Vec::new();
        }
        if now >= self.request.deadline {
            return self.give_up(true);
        }
        match loaded {
            true => match self.repeat(false, now, choose, budget) {
                Some(actions) => actions,
                None => self.give_up(false),
            },
            false => self.send_or_finish(now, choose),
        }
    }

    fn after_unknown(
        &mut self,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        match self.request.idempotent {
            true => self.go_on(true, now, choose, budget),
            false => self.give_up(false),
        }
    }

    /// Sends one more attempt if the budget allows it and somewhere is left to go.
    fn repeat(
        &mut self,
        hedge: bool,
        now: Moment,
        choose: &mut dyn Choose,
        budget: &mut dyn Budget,
    ) -> Option<Vec<Action>> {
        let allowed = !self.request.repeat && self.loaded + 1 < MOST_LOADED;
        let arrived = self.arrived();
        if !allowed || self.attempts.len() >= MOST_TRIES || arrived >= self.request.attempts {
            return None;
        }
        let choice = choose.choose(&self.tried(), &self.declined())?;
        // What no backend server saw adds nothing to their load.
        if arrived > 0 && !budget.spend() {
            return None;
        }
        self.loaded += 1;
        Some(self.send(choice, hedge, now))
    }

    fn send_or_finish(&mut self, now: Moment, choose: &mut dyn Choose) -> Vec<Action> {
        let more = self.attempts.len() < MOST_TRIES && self.arrived() < self.request.attempts;
        let choice = match more {
            true => choose.choose(&self.tried(), &self.declined()),
            false => None,
        };
        match choice {
            Some(choice) => self.send(choice, false, now),
            None => self.give_up(false),
        }
    }

    fn send(&mut self, choice: Choice, hedge: bool, now: Moment) -> Vec<Action> {
        let sole = self.attempts.iter().all(|a| a.barred);
        assert!(
            self.request.idempotent || sole,
            "invariant: only an idempotent request is sent again while it may run",
        );
        let attempt = self.attempts.len();
        let impatient = now + self.timing.patience;
        let phase = Phase::Sent(impatient);
        let last = self.attempts.len() + 1 >= MOST_TRIES;
        let choosy = hedge || (choice.others && !last && self.failing < MOST_FAILING);
        let server = choice.server;
        self.attempts.push(Attempt {
            server: server.clone(),
            phase,
            barred: false,
            revisit: false,
            withheld: false,
            choosy,
            declined: false,
        });
        vec![Action::Send {
            attempt,
            server,
            repeat: self.loaded > 0,
            choosy,
        }]
    }

    /// Ends without an answer.
    fn give_up(&mut self, late: bool) -> Vec<Action> {
        let barred = self.attempts.iter().all(|a| a.barred);
        let (refusal, after) = self.last;
        let refusal = if late { Refusal::Late } else { refusal };
        match barred {
            true => self.finish(Ending::NotRun { refusal, after }),
            false => self.finish(Ending::Unknown { late }),
        }
    }

    fn finish(&mut self, ending: Ending) -> Vec<Action> {
        assert!(!self.finished, "invariant: a call ends once");
        self.finished = true;
        let mut actions = vec![Action::Finish(ending)];
        actions.extend(self.cancel_open());
        actions
    }

    fn cancel_open(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.phase != Phase::Settled {
                attempt.phase = Phase::Asked;
                actions.push(Action::Cancel(number));
            }
        }
        actions
    }
}
