//! How many requests a backend server bears now.
//!
//! Two bounds hold at once, and the smaller one counts:
//!
//! - the *bound*, from the release note: a cold backend server bears `cold` requests, until it has
//!   answered for `warm_ms`; then it bears `slots`;
//! - the *level*, from evidence: it starts at `cold`, rises with good answers once the bound allows it
//!   and falls when answers become slow or fail, in the manner of additive increase and
//!   multiplicative decrease.
//!
//! The backend server's own answers are the evidence. Its load report isn't asked: it lags or lies.

use note::Limits;
use types::{Moment, Span};

/// Weight of one answer in the fast mean of latencies.
const FAST_WEIGHT: f64 = 0.125;
/// Weight of one answer in the slow mean of latencies.
const SLOW_WEIGHT: f64 = 0.01;
/// Ratio of the fast to the slow mean from which a backend server counts as slowed down.
const SLOW_RATIO: f64 = 2.5;
/// Factor by which the level falls on trouble.
const DECREASE: f64 = 0.7;
/// Smallest change of latency that counts as slowing down.
const SLOW_MARGIN: Span = Span::from_millis(5);

/// What one finished request says about its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A whole answer after this time.
    Good(Span),
    /// The backend server shed the request, or gave no answer by its deadline.
    Overload,
    /// The connection broke or could not be made, or the backend server named another incarnation:
    /// it is down or was started anew, and so is cold.
    Restarted,
    /// Nothing, as for a cancelled request.
    None,
}

/// The number of requests that a backend server bears, learned from its answers.
#[derive(Debug, Clone)]
pub struct Allowance {
    limits: Limits,
    level: f64,
    /// When the backend server began to answer after it turned cold.
    answering: Option<Moment>,
    fast: f64,
    slow: f64,
    /// Whether an answer came since the backend server may have been started anew unseen.
    known: bool,
    /// Until when further trouble is the same trouble.
    pardoned: Moment,
}

impl Allowance {
    /// An allowance for a backend server about which nothing is known, so that it counts as cold.
    pub fn new(limits: Limits) -> Self {
        let level = f64::from(limits.cold.0);
        Self {
            limits,
            level,
            answering: None,
            fast: 0.0,
            slow: 0.0,
            known: false,
            pardoned: Moment(0),
        }
    }

    /// Puts other limits in force. What was learned stays, within the new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let (cold, slots) = (self.limits.cold.0, self.limits.slots.0);
        self.level = self.level.max(f64::from(cold)).min(f64::from(slots));
    }

    /// Requests that may run at `now`, at least one and at most the slots.
    ///
    /// After an idle time only as many as a cold backend server bears: the first answer tells
    /// whether it is still the same.
    pub fn allowed(&self, now: Moment) -> usize {
        match self.known {
            true => self.expected(now),
            false => self.expected(now).min(self.limits.cold.0.max(1) as usize),
        }
    }

    /// Requests that may run as soon as an idle backend server has shown that it is the same.
    pub fn expected(&self, now: Moment) -> usize {
        let bound = self.level.min(self.bound(now));
        let most = f64::from(self.limits.slots.0) * self.limits.usable;
        (bound as usize).clamp(1, (most as usize).max(1))
    }

    /// Mean time of late answers.
    pub fn typical(&self) -> Span {
        Span(self.fast as u64)
    }

    /// No request runs any more. The backend server may turn cold unseen from now on: a running
    /// request would be cut, and show it.
    pub fn set_idle(&mut self) {
        self.known = false;
    }

    /// Learns from a request that finished at `now`.
    pub fn learn(&mut self, evidence: Evidence, now: Moment) {
        match evidence {
            Evidence::Good(took) => self.learn_good(took, now),
            Evidence::Overload => self.decrease(now),
            Evidence::Restarted => self.turn_cold(),
            Evidence::None => {}
        }
    }

    /// What the release note lets a backend server be given at `now`.
    fn bound(&self, now: Moment) -> f64 {
        let warm = self
            .answering
            .is_some_and(|began| now.since(began) >= self.limits.warm_up());
        match warm {
            true => f64::from(self.limits.slots.0),
            false => f64::from(self.limits.cold.0),
        }
    }

    fn learn_good(&mut self, took: Span, now: Moment) {
        self.answering.get_or_insert(now);
        self.known = true;
        let took = took.0 as f64;
        let first = self.slow == 0.0;
        self.fast = if first {
            took
        } else {
            self.fast + FAST_WEIGHT * (took - self.fast)
        };
        match self.is_slow() {
            true if !first => self.decrease(now),
            _ => self.increase(took, first, now),
        }
    }

    fn increase(&mut self, took: f64, first: bool, now: Moment) {
        self.slow = if first {
            took
        } else {
            self.slow + SLOW_WEIGHT * (took - self.slow)
        };
        self.level = (self.level + 1.0 / self.level).min(self.bound(now));
    }

    fn decrease(&mut self, now: Moment) {
        if now < self.pardoned {
            return;
        }
        self.pardoned = now + self.typical();
        self.level = (self.level * DECREASE).max(f64::from(self.limits.cold.0));
        // A change that lasts becomes the new normal.
        self.slow += (self.fast - self.slow).max(0.0) * FAST_WEIGHT;
    }

    fn is_slow(&self) -> bool {
        self.fast > self.slow * SLOW_RATIO && self.fast - self.slow > SLOW_MARGIN.0 as f64
    }

    fn turn_cold(&mut self) {
        self.level = f64::from(self.limits.cold.0);
        self.answering = None;
        self.known = false;
    }
}
