//! Limit on the requests that run concurrently at a backend server.
//!
//! The limit is the smaller of two values:
//!
//! - the *configured limit*, from a release note or the registry: `cold` requests until the backend
//!   server has answered for `warm_ms`, and `slots` from then on;
//! - the *adaptive limit*: it starts at `cold`, rises by additive increase with each good response
//!   as far as the configured limit allows, and falls by multiplicative decrease when responses
//!   become slow or fail.
//!
//! Only the results of requests count. The backend server's load report isn't used, since it can be
//! outdated or wrong.

use note::Limits;
use types::{Moment, Span};

/// Weight of a new response in the fast moving average of latency.
const FAST_WEIGHT: f64 = 0.125;
/// Weight of a new response in the slow moving average of latency.
const SLOW_WEIGHT: f64 = 0.01;
/// Ratio of the fast to the slow average above which latency counts as risen.
const SLOW_RATIO: f64 = 2.5;
/// Factor of the multiplicative decrease.
const DECREASE: f64 = 0.7;
/// Difference of the averages up to which latency doesn't count as risen, whatever their ratio.
const SLOW_MARGIN: Span = Span::from_millis(5);

/// What one finished request says about its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feedback {
    /// A complete response after this latency.
    Success(Span),
    /// The backend server shed the request, failed it, or sent no response by the deadline.
    Overload,
    /// The connection failed or broke, or another incarnation or another backend server responded.
    /// The backend server is down, restarted or replaced, and counts as cold.
    Restarted,
    /// Nothing, as for a cancelled request.
    None,
}

/// Adaptive limit on concurrent requests (AIMD), driven by latency and failures.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limits: Limits,
    adaptive: f64,
    /// First good response since the backend server turned cold.
    answering_since: Option<Moment>,
    fast_mean: f64,
    slow_mean: f64,
    /// Whether a good response has arrived since the backend server was last idle.
    confirmed: bool,
    /// Until when overload counts as part of the same episode and doesn't lower the limit again.
    hold_until: Moment,
}

impl ConcurrencyLimit {
    /// Creates the limit for a backend server without history, which counts as cold.
    pub fn new(limits: Limits) -> Self {
        let adaptive = f64::from(limits.cold.0);
        Self {
            limits,
            adaptive,
            answering_since: None,
            fast_mean: 0.0,
            slow_mean: 0.0,
            confirmed: false,
            hold_until: Moment(0),
        }
    }

    /// Applies new limits. The adaptive limit is kept, clamped to them.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let (cold, slots) = (self.limits.cold.0, self.limits.slots.0);
        self.adaptive = self.adaptive.max(f64::from(cold)).min(f64::from(slots));
    }

    /// Requests that may run at `now`, at least one.
    ///
    /// After an idle period the limit is that of a cold backend server until the first good
    /// response shows that it hasn't restarted.
    pub fn current(&self, now: Moment) -> usize {
        match self.confirmed {
            true => self.nominal(now),
            false => self.nominal(now).min(self.limits.cold.0.max(1) as usize),
        }
    }

    /// Requests that may run at `now` if the backend server hasn't restarted while idle.
    pub fn nominal(&self, now: Moment) -> usize {
        let limit = self.adaptive.min(self.configured(now));
        let usable = f64::from(self.limits.slots.0) * self.limits.usable;
        (limit as usize).clamp(1, (usable as usize).max(1))
    }

    /// Moving average of the latency of recent responses.
    pub fn mean_latency(&self) -> Span {
        Span(self.fast_mean as u64)
    }

    /// Records that no request is running. A restart stays unnoticed from now on, since only a
    /// running request would fail with it.
    pub fn set_idle(&mut self) {
        self.confirmed = false;
    }

    /// Updates the limit with a request that finished at `now`.
    pub fn record(&mut self, feedback: Feedback, now: Moment) {
        match feedback {
            Feedback::Success(latency) => self.record_success(latency, now),
            Feedback::Overload => self.decrease(now),
            Feedback::Restarted => self.reset_cold(),
            Feedback::None => {}
        }
    }

    /// The configured limit at `now`.
    fn configured(&self, now: Moment) -> f64 {
        let warm = self
            .answering_since
            .is_some_and(|since| now.since(since) >= self.limits.warmup());
        match warm {
            true => f64::from(self.limits.slots.0),
            false => f64::from(self.limits.cold.0),
        }
    }

    fn record_success(&mut self, latency: Span, now: Moment) {
        self.answering_since.get_or_insert(now);
        self.confirmed = true;
        let latency = latency.0 as f64;
        let first = self.slow_mean == 0.0;
        self.fast_mean = if first {
            latency
        } else {
            self.fast_mean + FAST_WEIGHT * (latency - self.fast_mean)
        };
        match self.is_slow() {
            true if !first => self.decrease(now),
            _ => self.increase(latency, first, now),
        }
    }

    fn increase(&mut self, latency: f64, first: bool, now: Moment) {
        self.slow_mean = if first {
            latency
        } else {
            self.slow_mean + SLOW_WEIGHT * (latency - self.slow_mean)
        };
        self.adaptive = (self.adaptive + 1.0 / self.adaptive).min(self.configured(now));
    }

    fn decrease(&mut self, now: Moment) {
        if now < self.hold_until {
            return;
        }
        self.hold_until = now + self.mean_latency();
        self.adaptive = (self.adaptive * DECREASE).max(f64::from(self.limits.cold.0));
        // A lasting change of latency becomes the new baseline.
        self.slow_mean += (self.fast_mean - self.slow_mean).max(0.0) * FAST_WEIGHT;
    }

    fn is_slow(&self) -> bool {
        self.fast_mean > self.slow_mean * SLOW_RATIO
            && self.fast_mean - self.slow_mean > SLOW_MARGIN.0 as f64
    }

    fn reset_cold(&mut self) {
        self.adaptive = f64::from(self.limits.cold.0);
        self.answering_since = None;
        self.confirmed = false;
    }
}
