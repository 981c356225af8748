//! Circuit breaker that opens at a high failure rate of the backend server.
//!
//! A backend server can fail some or all of its requests while its health endpoint reports that it
//! is healthy. Its fast failures make it look idle, and a single ingress sends it too few requests
//! to notice. The gate sees all of its responses.
//!
//! While the breaker is open, the gate refuses fail-fast attempts, which can go to other backend
//! servers. There is no half-open state: one fail-fast attempt per period is let through, and so
//! are all other attempts, and the breaker closes once their results lower the failure rate. If all
//! backend servers of a service fail, all gates refuse fail-fast attempts, and the call ends with
//! an attempt that isn't fail-fast.

use types::{Moment, Span};

/// Weight of a new result in the exponential moving average of failures: about the last 10 results
/// count.
const WEIGHT: f64 = 0.1;
/// Failure rate from which the breaker is open. Below it, trying another backend server, which
/// costs an attempt and may be slower, isn't worth it.
const OPEN_RATE: f64 = 0.4;
/// Time between two fail-fast attempts that an open breaker lets through: four a second, about a
/// tenth of the usual load of a backend server.
const TRIAL_PERIOD: Span = Span::from_millis(250);

/// The breaker's failure rate and its next trial.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    failure_rate: f64,
    /// When the next fail-fast attempt is let through.
    next_trial: Moment,
}

impl CircuitBreaker {
    /// Counts the result of a request. It has `failed` if the response was a failure, the request
    /// was shed, or the connection broke.
    pub(crate) fn record(&mut self, failed: bool) {
        let result = f64::from(u8::from(failed));
        self.failure_rate += WEIGHT * (result - self.failure_rate);
    }

    /// Whether a fail-fast attempt is refused at `now`. While the breaker is open, an attempt that
    /// isn't refused counts as the trial of this period.
    pub(crate) fn refuses(&mut self, now: Moment) -> bool {
        if self.failure_rate < OPEN_RATE {
            return false;
        }
        let refuses = now < self.next_trial;
        if !refuses {
            self.next_trial = now + TRIAL_PERIOD;
        }
        refuses
    }

    /// Closes the breaker, for a backend server without history.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
