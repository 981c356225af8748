//! The state machine of one call.

use types::{Moment, Outcome, Refusal, ServerId, Span};

use crate::{
    budget::Budget,
    event::{Action, AttemptIndex, CallOutcome, CallRequest, Selection, ServerSelector, Timeouts},
};

/// Maximum attempts of one call that add load: the first one, hedges, and retries after a refusal
/// for load, a rejection by the backend server, or an unknown outcome.
const MAX_LOAD_ATTEMPTS: u32 = 3;
/// Maximum attempts of one call, whatever the reason for each.
const MAX_ATTEMPTS: usize = 6;
/// Number of [`Refusal::Failing`] after which the call's attempts, apart from a hedge, are no
/// longer fail-fast. The remaining gates likely see the same failures, so further declined attempts
/// would only add latency.
const MAX_FAILING_REFUSALS: u32 = 2;
/// Number of attempts with an unknown outcome after which a call isn't retried. Its request may be what
/// ends the backend servers.
const MAX_UNKNOWN_ATTEMPTS: u32 = 2;
/// Delay suggested to the caller if the gate suggested none.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Why another attempt is sent that adds load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// The first attempt takes long.
    Hedge,
    /// An attempt was refused, or its gate was lost.
    Failed,
    /// The gate doesn't know whether the backend server ran an attempt.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Sent. The gate is asked for the outcome if no reply arrives by this time.
    Sent(Moment),
    /// The gate was queried, and its reply is pending.
    Queried,
    /// The query failed. The gate is queried again at this time.
    QueryDelayed(Moment),
    /// The outcome is known, or no longer needed.
    Settled,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    phase: Phase,
    /// Whether the gate has confirmed that the request was not run.
    not_run: bool,
    /// Whether the backend server may be selected again, as the refusal says nothing against it.
    reusable: bool,
    /// Whether the gate hasn't got the attempt, or not its body to its end, without which it starts nothing.
    unsent: bool,
    /// Whether the request certainly never reached the backend server.
    undelivered: bool,
    /// Whether the gate should refuse it rather than queue it or run it slowly.
    fail_fast: bool,
    /// Whether the gate declined it.
    declined: bool,
}

/// The state machine of one call. See the crate's documentation.
#[derive(Debug)]
pub struct Call {
    request: CallRequest,
    timeouts: Timeouts,
    attempts: Vec<Attempt>,
    /// Hedges and retries that count as load.
    load_retries: u32,
    /// Number of [`Refusal::Failing`] received.
    failing_refusals: u32,
    /// Number of attempts that ended with an unknown outcome.
    unknown_attempts: u32,
    hedge_at: Moment,
    /// The reason and the suggested delay of the last refusal.
    last_refusal: (Refusal, Span),
    /// Whether no more attempts are sent, as the process is about to exit.
    is_ending: bool,
    finished: bool,
}

impl Call {
    /// Creates a call that has not sent anything yet.
    pub fn new(request: CallRequest, timeouts: Timeouts) -> Self {
        Self {
            request,
            timeouts,
            attempts: Vec::new(),
            load_retries: 0,
            failing_refusals: 0,
            unknown_attempts: 0,
            hedge_at: Moment::MAX,
            last_refusal: (Refusal::Down, DEFAULT_RETRY_AFTER),
            is_ending: false,
            finished: false,
        }
    }

    /// Whether the caller has received an outcome or has gone away.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Sends the first attempt, or finishes the call if its deadline has passed.
    pub fn start(&mut self, now: Moment, selector: &mut dyn ServerSelector) -> Vec<Action> {
        self.hedge_at = match self.request.idempotent && !self.request.is_retry {
            true => now + self.timeouts.hedge_delay,
            false => Moment::MAX,
        };
        match now >= self.request.deadline {
            true => self.finish(CallOutcome::NotRun {
                refusal: Refusal::Late,
                retry_after: Span::default(),
            }),
            false => self.send_or_finish(now, selector),
        }
    }

    /// Handles the outcome of an attempt, received in reply to the attempt or to a query.
    pub fn on_outcome(
        &mut self,
        attempt: AttemptIndex,
        outcome: Outcome,
        now: Moment,
        selector: &mut dyn ServerSelector,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        if self.attempts[attempt].phase == Phase::Settled {
            return Vec::new();
        }
        let outcome = match outcome {
            Outcome::Unknown if self.attempts[attempt].unsent => Outcome::refused(Refusal::Down),
            known => known,
        };
        let mut actions = self.settle(attempt);
        match outcome {
            _ if self.finished => {}
            Outcome::Answer(answer) => actions.extend(self.finish(CallOutcome::Answer(answer))),
            Outcome::NotRun {
                refusal,
                retry_after,
            } => {
                self.attempts[attempt].not_run = true;
                self.record_refusal(attempt, refusal, retry_after);
                let fail_fast = self.attempts[attempt].fail_fast;
                self.failing_refusals += u32::from(refusal == Refusal::Failing);
                let declined = fail_fast
                    && matches!(
                        refusal,
                        Refusal::Slow | Refusal::Failing | Refusal::Busy | Refusal::Limited
                    );
                self.attempts[attempt].declined = declined;
                // An equal request is on trial, and no other server may run this one meanwhile.
                if refusal == Refusal::Quarantined {
                    if self.open_count() == 0 {
                        actions.extend(self.give_up(false));
                    }
                    return actions;
                }
                let adds_load = refusal.is_overload() || refusal.is_from_server();
                let retry = (adds_load && !declined).then_some(Retry::Failed);
                actions.extend(self.retry_or_finish(retry, now, selector, budget));
            }
            Outcome::Unknown => {
                actions.extend(self.handle_unknown(Retry::Unknown, now, selector, budget));
            }
            // The gate's copy of the deadline may pass slightly before the call's own.
            Outcome::Expired => actions.extend(self.give_up(true)),
        }
        actions
    }

    /// Notes that the gate can't start an attempt yet: nothing is sent, or its body follows once the gate has
    /// admitted it.
    pub fn mark_unsent(&mut self, attempt: AttemptIndex) {
        self.attempts[attempt].unsent = true;
    }

    /// Notes that the last part of what the gate needs to start an attempt is about to be sent.
    pub fn on_sent(&mut self, attempt: AttemptIndex) {
        self.attempts[attempt].unsent = false;
    }

    /// Handles a broken connection under an attempt, or a node that can't be reached. An idempotent
    /// request is retried; for any other, the gate is asked for the outcome. An attempt that the gate can't start
    /// is known as not run.
    pub fn on_disconnect(
        &mut self,
        attempt: AttemptIndex,
        now: Moment,
        selector: &mut dyn ServerSelector,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        match self.attempts[attempt].phase {
            Phase::Sent(_) if self.attempts[attempt].unsent => {
                let outcome = Outcome::refused(Refusal::Down);
                self.on_outcome(attempt, outcome, now, selector, budget)
            }
            Phase::Sent(_) if self.request.idempotent && !self.finished => {
                let mut actions = self.settle(attempt);
                actions.extend(self.handle_unknown(Retry::Failed, now, selector, budget));
                actions
            }
            Phase::Sent(_) => self.query(attempt),
            _ => Vec::new(),
        }
    }

    /// Handles a query that got no reply although the gate may still be running.
    pub fn on_query_failed(&mut self, attempt: AttemptIndex, now: Moment) -> Vec<Action> {
        match self.attempts[attempt].phase {
            Phase::Queried if self.finished => self.settle(attempt),
            Phase::Queried => {
                self.attempts[attempt].phase =
                    Phase::QueryDelayed(now + self.timeouts.query_interval);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles the timeouts that have expired at `now`.
    pub fn tick(
        &mut self,
        now: Moment,
        selector: &mut dyn ServerSelector,
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
                Phase::Sent(at) | Phase::QueryDelayed(at) if at <= now => {
                    actions.extend(self.query(attempt));
                }
                _ => {}
            }
        }
        if self.hedge_at <= now {
            self.hedge_at = Moment::MAX;
            actions.extend(
                self.try_retry(Retry::Hedge, now, selector, budget)
                    .unwrap_or_default(),
            );
        }
        actions
    }

    /// Ends the call by `deadline` at the latest, since the process is about to exit: sends no more attempts, and
    /// withdraws those that no backend server has got yet.
    pub fn wind_down(&mut self, deadline: Moment) -> Vec<Action> {
        self.is_ending = true;
        self.hedge_at = Moment::MAX;
        self.request.deadline = self.request.deadline.min(deadline);
        let is_open = |(_, attempt): &(usize, &Attempt)| attempt.phase != Phase::Settled;
        let open = self.attempts.iter().enumerate().filter(is_open);
        open.map(|(index, _)| Action::Withdraw(index)).collect()
    }

    /// Cancels all open attempts, since the caller has gone away.
    pub fn abandon(&mut self) -> Vec<Action> {
        self.finished = true;
        self.cancel_open()
    }

    /// The earliest time at which [`tick`](Self::tick) has something to do.
    pub fn next_tick(&self) -> Moment {
        let timers = self.attempts.iter().filter_map(|a| match a.phase {
            Phase::Sent(at) | Phase::QueryDelayed(at) => Some(at),
            _ => None,
        });
        timers.fold(self.request.deadline.min(self.hedge_at), Moment::min)
    }

    fn open_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.phase != Phase::Settled)
            .count()
    }

    /// Number of attempts that reached a backend server or may still do so.
    fn delivered(&self) -> u32 {
        self.attempts.iter().filter(|a| !a.undelivered).count() as u32
    }

    fn settle(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        self.attempts[attempt].phase = Phase::Settled;
        vec![Action::Settle(attempt)]
    }

    fn query(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        self.attempts[attempt].phase = Phase::Queried;
        vec![Action::Query(attempt)]
    }

    fn record_refusal(&mut self, attempt: AttemptIndex, refusal: Refusal, retry_after: Span) {
        self.last_refusal = (
            refusal,
            if retry_after.0 == 0 {
                DEFAULT_RETRY_AFTER
            } else {
                retry_after
            },
        );
        self.attempts[attempt].reusable = matches!(refusal, Refusal::Session | Refusal::Barred);
        self.attempts[attempt].undelivered = !refusal.is_from_server();
    }

    /// Backend servers that the next attempt avoids, except for those in [`Self::declined`].
    fn tried(&self) -> Vec<ServerId> {
        let tried = self.attempts.iter().filter(|a| !a.reusable);
        tried.map(|a| a.server.clone()).collect()
    }

    /// Backend servers whose gates have only declined attempts so far, and may accept one that
    /// isn't fail-fast.
    fn declined(&self) -> Vec<ServerId> {
        let refused = |id: &ServerId| {
            let mut attempts = self.attempts.iter();
            attempts.any(|a| a.server == *id && !a.declined)
        };
        let declined = self.attempts.iter().filter(|a| a.declined);
        let eligible = declined.filter(|a| !refused(&a.server));
        eligible.map(|a| a.server.clone()).collect()
    }

    /// Sends another attempt or finishes the call, unless an attempt is still open. The budget
    /// limits those that add load.
    fn retry_or_finish(
        &mut self,
        retry: Option<Retry>,
        now: Moment,
        selector: &mut dyn ServerSelector,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        if self.open_count() > 0 {
            return Vec::new();
        }
        if now >= self.request.deadline {
            return self.give_up(true);
        }
        match retry {
            Some(retry) => match self.try_retry(retry, now, selector, budget) {
                Some(actions) => actions,
                None => self.give_up(false),
            },
            None => self.send_or_finish(now, selector),
        }
    }

    fn handle_unknown(
        &mut self,
        retry: Retry,
        now: Moment,
        selector: &mut dyn ServerSelector,
        budget: &mut dyn Budget,
    ) -> Vec<Action> {
        self.unknown_attempts += 1;
        match self.request.idempotent {
            true if self.unknown_attempts < MAX_UNKNOWN_ATTEMPTS => {
                self.retry_or_finish(Some(retry), now, selector, budget)
            }
            true if self.open_count() > 0 => Vec::new(),
            _ => self.give_up(false),
        }
    }

    /// Sends one more attempt if limits and budget allow it and a backend server is available.
    fn try_retry(
        &mut self,
        retry: Retry,
        now: Moment,
        selector: &mut dyn ServerSelector,
        budget: &mut dyn Budget,
    ) -> Option<Vec<Action>> {
        let allowed = !self.request.is_retry && self.load_retries + 1 < MAX_LOAD_ATTEMPTS;
        let delivered = self.delivered();
        if self.is_ending
            || !allowed
            || self.attempts.len() >= MAX_ATTEMPTS
            || delivered >= self.request.max_attempts
        {
            return None;
        }
        let selection = selector.select(&self.tried(), &self.declined())?;
        // Attempts that never reached a backend server added no load, so their retry is free.
        let covered = match retry {
            _ if delivered == 0 => true,
            Retry::Unknown => budget.try_withdraw_for_unknown(),
            Retry::Hedge | Retry::Failed => budget.try_withdraw(),
        };
        if !covered {
            return None;
        }
        self.load_retries += 1;
        Some(self.send(selection, retry == Retry::Hedge, now))
    }

    fn send_or_finish(&mut self, now: Moment, selector: &mut dyn ServerSelector) -> Vec<Action> {
        let allowed = !self.is_ending
            && self.attempts.len() < MAX_ATTEMPTS
            && self.delivered() < self.request.max_attempts;
        let selection = match allowed {
            true => selector.select(&self.tried(), &self.declined()),
            false => None,
        };
        match selection {
            Some(selection) => self.send(selection, false, now),
            None => self.give_up(false),
        }
    }

    fn send(&mut self, selection: Selection, hedge: bool, now: Moment) -> Vec<Action> {
        let none_ran = self.attempts.iter().all(|a| a.not_run);
        assert!(
            self.request.idempotent || none_ran,
            "invariant: only an idempotent request is sent again while an earlier attempt may run",
        );
        let attempt = self.attempts.len();
        let query_at = now + self.timeouts.reply_timeout;
        let phase = Phase::Sent(query_at);
        let last = self.attempts.len() + 1 >= MAX_ATTEMPTS;
        let fail_fast = hedge
            || (selection.has_alternatives
                && !last
                && self.failing_refusals < MAX_FAILING_REFUSALS);
        let server = selection.server;
        self.attempts.push(Attempt {
            server: server.clone(),
            phase,
            not_run: false,
            unsent: false,
            reusable: false,
            undelivered: false,
            fail_fast,
            declined: false,
        });
        vec![Action::Send {
            attempt,
            server,
            is_retry: self.load_retries > 0,
            fail_fast,
        }]
    }

    /// Finishes the call without an answer. An open attempt that the gate can't start yet never runs, as it is
    /// cancelled and no more of it is sent.
    fn give_up(&mut self, late: bool) -> Vec<Action> {
        let none_ran = self.attempts.iter().all(|a| a.not_run || a.unsent);
        let (refusal, retry_after) = match self.last_refusal {
            // Other nodes may serve it at once.
            _ if self.is_ending => (Refusal::Stopping, Span::default()),
            (_, retry_after) if late => (Refusal::Late, retry_after),
            last => last,
        };
        match none_ran {
            true => self.finish(CallOutcome::NotRun {
                refusal,
                retry_after,
            }),
            false => self.finish(CallOutcome::Unknown { late }),
        }
    }

    fn finish(&mut self, outcome: CallOutcome) -> Vec<Action> {
        assert!(!self.finished, "invariant: a call finishes once");
        self.finished = true;
        let mut actions = vec![Action::Finish(outcome)];
        actions.extend(self.cancel_open());
        actions
    }

    fn cancel_open(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.phase != Phase::Settled {
                attempt.phase = Phase::Queried;
                actions.push(Action::Cancel(index));
            }
        }
        actions
    }
}
