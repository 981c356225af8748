//! A call whose attempts no gate can start ends as not run, and goes to another gate while there is one.

use call::{
    Action, Call, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts, TokenBucket,
};
use proptest::{collection::vec, prelude::*};
use types::{Moment, Outcome, Refusal, ServerId, Span};

const DEADLINE: Moment = Moment(500_000);
const EXIT_AT: Moment = Moment(300_000);
const SERVERS: [&str; 3] = ["a", "b", "c"];

/// Selects the first server that wasn't tried.
struct Untried;

impl ServerSelector for Untried {
    fn select(&mut self, tried: &[ServerId], _: &[ServerId]) -> Option<Selection> {
        let ids = SERVERS.map(|id| id.parse().expect("a valid id"));
        let server = ids.into_iter().find(|id| !tried.contains(id))?;
        Some(Selection {
            server,
            has_alternatives: true,
        })
    }
}

/// What happens to a call. A number selects one of its attempts.
#[derive(Debug, Clone)]
enum Event {
    /// The last part of what the gate needs to start the attempt is sent.
    Send(usize),
    Refuse(usize, Refusal),
    /// The gate has lost the session or the process.
    Forget(usize),
    Disconnect(usize),
    FailQuery(usize),
    Wait(u64),
    WindDown,
}

fn event() -> impl Strategy<Value = Event> {
    let attempt = || 0..6_usize;
    let refusal = prop_oneof![
        Just(Refusal::Busy),
        Just(Refusal::Down),
        Just(Refusal::Session)
    ];
    prop_oneof![
        2 => attempt().prop_map(Event::Send),
        2 => (attempt(), refusal).prop_map(|(attempt, refusal)| Event::Refuse(attempt, refusal)),
        2 => attempt().prop_map(Event::Forget),
        2 => attempt().prop_map(Event::Disconnect),
        2 => attempt().prop_map(Event::FailQuery),
        4 => (1..200_u64).prop_map(Event::Wait),
        1 => Just(Event::WindDown),
    ]
}

/// What is true of an attempt.
#[derive(Debug, Default, Clone, Copy)]
struct Attempt {
    /// Whether the gate may have all that it needs to start it.
    is_sent: bool,
    is_refused: bool,
    /// Whether the call has no further interest in it, so that nothing more of it is sent.
    is_closed: bool,
}

impl Attempt {
    fn may_run(self) -> bool {
        self.is_sent && !self.is_refused
    }
}

struct Play {
    call: Call,
    attempts: Vec<Attempt>,
    now: Moment,
    outcome: Option<CallOutcome>,
    is_ending: bool,
    budget: TokenBucket,
}

impl Play {
    fn start(idempotent: bool) -> Self {
        let request = CallRequest {
            idempotent,
            is_retry: false,
            deadline: DEADLINE,
            max_attempts: 6,
        };
        let timeouts = Timeouts {
            reply_timeout: Span::from_millis(150),
            hedge_delay: Span::from_millis(100),
            query_interval: Span::from_millis(20),
        };
        let mut play = Self {
            call: Call::new(request, timeouts),
            attempts: Vec::new(),
            now: Moment(0),
            outcome: None,
            is_ending: false,
            budget: TokenBucket::default(),
        };
        let actions = play.call.start(play.now, &mut Untried);
        play.carry_out(actions);
        play
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { attempt, .. } => {
                    self.attempts.push(Attempt::default());
                    self.call.mark_unsent(attempt);
                }
                Action::Cancel(attempt) | Action::Settle(attempt) => {
                    self.attempts[attempt].is_closed = true;
                }
                Action::Finish(outcome) => self.outcome = Some(outcome),
                Action::Query(_) | Action::Withdraw(_) => {}
            }
        }
    }

    /// Plays an event. Returns the attempt that ended by it though its gate can't have started it.
    fn play(&mut self, event: &Event) -> Option<usize> {
        let (now, count) = (self.now, self.attempts.len());
        let budget = &mut self.budget;
        let mut unsent = None;
        let actions = match *event {
            Event::Wait(ms) => {
                self.now = now + Span::from_millis(ms);
                self.call.tick(self.now, &mut Untried, budget)
            }
            Event::WindDown => {
                self.is_ending = true;
                self.call.wind_down(EXIT_AT)
            }
            Event::Send(attempt) => {
                let attempt = attempt % count;
                if !self.attempts[attempt].is_closed {
                    self.attempts[attempt].is_sent = true;
                    self.call.on_sent(attempt);
                }
                Vec::new()
            }
            Event::Refuse(attempt, refusal) => {
                let attempt = attempt % count;
                self.attempts[attempt].is_refused |= !self.attempts[attempt].is_closed;
                let outcome = Outcome::refused(refusal);
                self.call
                    .on_outcome(attempt, outcome, now, &mut Untried, budget)
            }
            Event::Forget(attempt) | Event::Disconnect(attempt) => {
                let attempt = attempt % count;
                let Attempt {
                    is_sent, is_closed, ..
                } = self.attempts[attempt];
                unsent = (!is_sent && !is_closed).then_some(attempt);
                match event {
                    Event::Forget(_) => {
                        let outcome = Outcome::Unknown;
                        self.call
                            .on_outcome(attempt, outcome, now, &mut Untried, budget)
                    }
                    _ => self.call.on_disconnect(attempt, now, &mut Untried, budget),
                }
            }
            Event::FailQuery(attempt) => self.call.on_query_failed(attempt % count, now),
        };
        self.carry_out(actions);
        unsent
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn what_no_gate_can_start_is_not_run_or_goes_elsewhere(
        idempotent: bool,
        events in vec(event(), 1..30),
    ) {
        let mut play = Play::start(idempotent);
        for event in events.iter().chain([&Event::Wait(500)]) {
            let unsent = play.play(event);
            if let Some(outcome) = &play.outcome {
                let may_run = play.attempts.iter().any(|attempt| attempt.may_run());
                match outcome {
                    CallOutcome::Unknown { .. } => prop_assert!(may_run, "{event:?}: {outcome:?}"),
                    CallOutcome::NotRun { .. } => prop_assert!(!may_run, "{event:?}: {outcome:?}"),
                    CallOutcome::Answer(_) => {}
                }
            }
            if unsent.is_some() && play.now < DEADLINE && !play.is_ending {
                let is_open = play.attempts.iter().any(|attempt| !attempt.is_closed);
                let has_ended = play.outcome.is_some();
                prop_assert!(is_open || play.attempts.len() >= SERVERS.len(), "{event:?}: {has_ended}");
            }
            if play.outcome.is_some() {
                return Ok(());
            }
        }
        prop_assert!(false, "the call never ended");
    }
}
