//! Room of a backend server that resets connections when it is full.
//!
//! Load: more requests than the backend server has room for, although its slots are respected: the number of slots
//! is stated wrongly, or requests of a former gate are still running. A reset without a response may have
//! run, so each one costs a caller whose request can't be sent twice.
//!
//! A reset may be that of a full server if it comes well before the service time and other requests are
//! running. Single ones have other causes, such as an idle connection that was closed, so the limit is
//! lowered only by a streak: resets in succession, between which no request that was sent at their occupancy or
//! above was accepted. A report of free slots makes the streak that is needed longer, but as reports can be
//! wrong, it doesn't rule it out. The requests that were running decide whether the lowered limit stays: if
//! none of them is answered, the backend server has crashed, and if one is answered that was sent
//! beyond the limit in the course of the streak, the backend server wasn't full.
//!
//! From time to time one request is tried beyond the limit. Each success allows the next trial after one round of
//! requests, so that the limit rises quickly once there is room.
//!
//! A server that resets nearly all requests for seconds can't be told from a full one, so the gate learns only if it
//! is asked to.

use std::collections::BTreeMap;

use types::{AttemptId, Moment, Span};

use crate::event::Completion;

/// Length of the streak that lowers the limit.
const STREAK_LEN: u32 = 4;
/// Length of the streak that lowers the limit although a report says that slots are free.
const DOUBTED_STREAK_LEN: u32 = 10;
/// Time after which another reset begins a new streak: a long service time.
const STREAK_TTL: Span = Span::from_millis(1_000);
/// Requests from a lowered limit to the first trial, and from a reset trial to the next one at most. The number doubles
/// with each trial that is reset, so that a server that wasn't full has its room back soon, and trials at a full one
/// reset half a percent of the requests.
const TRIAL_STARTS: [u64; 2] = [10, 200];
/// Rounds of requests for which a raised limit is tentative: a request that ended meanwhile may have made the
/// room for the trial.
const TENTATIVE_ROUNDS: u64 = 2;
/// Share of the service time within which a reset counts as prompt.
const PROMPT_SHARE: f64 = 0.5;
/// Time within which a reset counts as prompt whatever the service time, which is unknown at first.
const MIN_PROMPT: Span = Span::from_millis(5);
/// A request counts as accepted once it has been running for so many times as long as the slowest reset of the
/// streak took.
const ACCEPTED_FACTOR: f64 = 2.0;
/// Longest time that a request or an answer is on its way, as the backend server runs on the same host.
const DELIVERY: Span = Span::from_millis(1);
/// Time by which responses of a backend server that has crashed may be processed after its resets.
const REORDERING: Span = Span::from_millis(5);
/// Time for which a report of the occupancy is valid: three probe periods at twenty probes a second.
const REPORT_TTL: Span = Span::from_millis(150);

/// What the end of a request says about the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// A complete response arrived.
    Answered,
    /// The connection broke.
    Broken,
    /// Nothing.
    Other,
}

impl End {
    /// What this completion says.
    pub(crate) fn of(completion: &Completion) -> Self {
        match completion {
            Completion::Answered(_) => Self::Answered,
            Completion::Incomplete => Self::Broken,
            _ => Self::Other,
        }
    }
}

/// A request at the backend server.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// Position among all requests.
    order: u64,
    at: Moment,
    /// Requests at the backend server when it was sent, itself included: at most without those that were reset,
    /// and at least without those whose answers were on their way.
    occupancy: usize,
    min_occupancy: usize,
    service_time: Span,
}

/// Resets in succession that a full server may have caused.
#[derive(Debug, Clone, Copy)]
struct Streak {
    len: u32,
    /// Lowest occupancy at which one of them was sent.
    occupancy: usize,
    /// Longest time that one of them took.
    slowest: Span,
    /// Order of the first request.
    first: u64,
    /// When the first and the last one came.
    began: Moment,
    last: Moment,
    /// Whether another request was answered in its course, so that it isn't a crash.
    answered: bool,
}

/// A limit that was lowered while requests were running that have not all ended.
#[derive(Debug, Clone, Copy)]
struct Unconfirmed {
    since: Moment,
    streak: Streak,
    /// The limit before.
    before: Option<usize>,
}

/// Learned limit on the requests at a backend server.
#[derive(Debug, Default)]
pub(crate) struct Room {
    limit: Option<usize>,
    /// Requests at the backend server.
    sent: BTreeMap<AttemptId, Sent>,
    /// Number of requests sent.
    total: u64,
    /// Number of requests sent at which the next trial is due.
    trial_at: u64,
    trial: Option<AttemptId>,
    /// Number of requests between two trials.
    trial_starts: u64,
    /// Number of requests sent up to which a single reset takes back that the limit was raised.
    tentative_until: u64,
    streak: Option<Streak>,
    unconfirmed: Option<Unconfirmed>,
    /// When the backend server reported a free slot, if that was its last report.
    free_at: Option<Moment>,
}

impl Room {
    /// The learned limit, if any.
    pub(crate) fn learned(&self) -> Option<usize> {
        self.limit
    }

    /// Requests that may be at the backend server, apart from trials.
    pub(crate) fn limit(&self) -> usize {
        self.limit.unwrap_or(usize::MAX)
    }

    /// Whether one more request may be sent while `used` are at the backend server.
    pub(crate) fn allows(&self, used: usize) -> bool {
        let trial_due = self.trial.is_none() && self.total >= self.trial_at;
        used < self.limit() || (used == self.limit() && trial_due)
    }

    /// Records a request that is sent at this occupancy, itself included.
    pub(crate) fn record_start(
        &mut self,
        id: AttemptId,
        occupancy: usize,
        service_time: Span,
        now: Moment,
    ) {
        self.total += 1;
        let sent = Sent {
            order: self.total,
            at: now,
            occupancy,
            min_occupancy: occupancy,
            service_time,
        };
        self.sent.insert(id, sent);
        if occupancy > self.limit() {
            self.trial = Some(id);
            self.schedule_trial(self.trial_starts);
        }
    }

    /// Records the backend server's report of its occupancy, and of its slots.
    pub(crate) fn observe_occupancy(&mut self, occupancy: u32, slots: u32, now: Moment) {
        self.free_at = (occupancy < slots).then_some(now);
    }

    /// Records the end of a request. Returns whether it was reset by a full server.
    pub(crate) fn record_end(&mut self, id: AttemptId, end: End, now: Moment) -> bool {
        let Some(sent) = self.sent.remove(&id) else {
            return false;
        };
        let was_trial = self.trial.take_if(|trial| *trial == id).is_some();
        let by_full = match end {
            End::Answered => {
                self.record_answer(&sent, was_trial, now);
                false
            }
            End::Broken => self.record_reset(&sent, was_trial, now),
            End::Other => false,
        };
        self.settle();
        by_full
    }

    fn record_answer(&mut self, sent: &Sent, was_trial: bool, now: Moment) {
        let is_later = |s: &&mut Sent| s.order > sent.order && now.since(s.at) <= DELIVERY;
        let later = self.sent.values_mut().filter(is_later);
        later.for_each(|s| s.min_occupancy -= 1);
        if was_trial && let Some(limit) = &mut self.limit {
            let is_raised = sent.min_occupancy > *limit;
            *limit = (*limit).max(sent.min_occupancy);
            let round = *limit as u64;
            match is_raised {
                true => {
                    self.schedule_trial(round * TENTATIVE_ROUNDS);
                    self.tentative_until = self.trial_at;
                }
                false => self.schedule_trial(round),
            }
        }
        self.streak.take_if(|streak| streak.is_refuted_by(sent));
        if let Some(streak) = &mut self.streak {
            streak.answered |= now >= streak.began + REORDERING;
        }
        match &mut self.unconfirmed {
            Some(lowered) if sent.at > lowered.since => {}
            Some(lowered) if lowered.streak.is_refuted_by(sent) => self.withdraw(),
            Some(lowered) => lowered.streak.answered |= now >= lowered.since + REORDERING,
            None => {}
        }
    }

    fn record_reset(&mut self, sent: &Sent, was_trial: bool, now: Moment) -> bool {
        let took = now.since(sent.at);
        if took >= sent.service_time.scale(PROMPT_SHARE).max(MIN_PROMPT) {
            return false;
        }
        let occupancy = self.max_occupancy(sent);
        // It had no place at the backend server while the later ones were sent.
        let later = self.sent.values_mut().filter(|s| s.order > sent.order);
        for s in later {
            s.occupancy -= 1;
            s.min_occupancy -= 1;
        }
        match () {
            () if self.sent.is_empty() || occupancy == 1 => false,
            // Others beyond the limit were sent before it was lowered.
            () if was_trial || occupancy > self.limit() => {
                self.end_trial();
                true
            }
            () if occupancy == self.limit() && sent.order <= self.tentative_until => {
                self.limit = Some(occupancy - 1);
                self.tentative_until = 0;
                self.end_trial();
                true
            }
            () => self.extend_streak(sent.order, occupancy, took, now),
        }
    }

    /// Requests that were at most at the backend server when it got this one: those that are sent at the same time
    /// may arrive in another order.
    fn max_occupancy(&self, sent: &Sent) -> usize {
        let is_near = |s: &&Sent| s.at.since(sent.at).max(sent.at.since(s.at)) <= DELIVERY;
        let near = self.sent.values().filter(is_near);
        near.map(|s| s.occupancy).fold(sent.occupancy, usize::max)
    }

    /// Adds a reset to the streak. Returns whether the streak lowers the limit.
    fn extend_streak(&mut self, order: u64, occupancy: usize, took: Span, now: Moment) -> bool {
        self.streak
            .take_if(|streak| now.since(streak.last) >= STREAK_TTL);
        let accepted = |streak: &mut Streak| {
            let accepted_after = streak.slowest.max(took).scale(ACCEPTED_FACTOR);
            let is_accepted = |s: &&Sent| now.since(s.at) > accepted_after;
            let mut accepted = self.sent.values().filter(is_accepted);
            accepted.any(|s| streak.is_refuted_by(s))
        };
        self.streak.take_if(accepted);
        let streak = self.streak.get_or_insert(Streak {
            len: 0,
            occupancy,
            slowest: took,
            first: order,
            began: now,
            last: now,
            answered: false,
        });
        streak.len += 1;
        streak.occupancy = streak.occupancy.min(occupancy);
        streak.slowest = streak.slowest.max(took);
        streak.last = now;
        // Where a limit was learned, reports have been wrong.
        let is_doubted =
            self.limit.is_none() && self.free_at.is_some_and(|at| now.since(at) < REPORT_TTL);
        let needed = match is_doubted {
            true => DOUBTED_STREAK_LEN,
            false => STREAK_LEN,
        };
        if streak.len < needed {
            return false;
        }
        self.unconfirmed = Some(Unconfirmed {
            since: now,
            streak: *streak,
            before: self.unconfirmed.map_or(self.limit, |u| u.before),
        });
        self.limit = Some(streak.occupancy - 1);
        self.streak = None;
        self.tentative_until = 0;
        self.trial = None;
        self.trial_starts = TRIAL_STARTS[0];
        self.schedule_trial(self.trial_starts);
        true
    }

    /// Ends the present trial, whose answer says nothing once another request was reset in its place.
    fn end_trial(&mut self) {
        self.trial = None;
        self.trial_starts = (self.trial_starts * 2).min(TRIAL_STARTS[1]);
        self.schedule_trial(self.trial_starts);
    }

    fn schedule_trial(&mut self, starts: u64) {
        self.trial_at = self.total + starts;
    }

    /// Decides on a lowered limit once the requests that were running have ended.
    fn settle(&mut self) {
        let oldest = self.sent.values().map(|s| s.at).min();
        let is_settled = |u: &Unconfirmed| oldest.is_none_or(|oldest| oldest > u.since);
        match self.unconfirmed.filter(is_settled) {
            Some(lowered) if lowered.streak.answered => self.unconfirmed = None,
            Some(_) => self.withdraw(),
            None => {}
        }
    }

    /// Takes back a lowered limit.
    fn withdraw(&mut self) {
        if let Some(lowered) = self.unconfirmed.take() {
            self.limit = lowered.before;
            self.schedule_trial(self.trial_starts);
        }
    }

    /// Starts over for a backend server without history.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}

impl Streak {
    /// Whether the backend server accepted this request although it was sent in the course of the streak, at its
    /// occupancy or above.
    fn is_refuted_by(&self, accepted: &Sent) -> bool {
        accepted.order > self.first && accepted.min_occupancy >= self.occupancy
    }
}
