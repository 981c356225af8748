//! How long the answers to one kind of request take.

use types::Span;

/// Quantile of the answer times that says when to become impatient.
const TAIL: f64 = 0.95;
/// Quantile of the times at backend servers that says how much work a request is.
const MIDDLE: f64 = 0.5;
/// Part of the estimate by which one answer moves it at most.
const STEP: f64 = 0.1;
/// Estimate before the first answer.
const FIRST_ESTIMATE: Span = Span::from_millis(50);
/// Silence after which a gate is asked, in multiples of the estimate, and its bounds.
const PATIENCE_FACTOR: f64 = 4.0;
const LEAST_PATIENCE: Span = Span::from_millis(100);
const MOST_PATIENCE: Span = Span::from_millis(1_000);
/// Shortest wait before an idempotent request is sent a second time.
const LEAST_HEDGE: Span = Span::from_millis(2);
/// Time between two tries to ask a gate.
const PAUSE: Span = Span::from_millis(100);

/// Follows one quantile of a series of times.
///
/// The estimate moves up on a larger value and down on a smaller one, in proportion of the quantile
/// to its rest, which balances at the quantile (the stochastic approximation of Robbins and Monro).
#[derive(Debug, Clone, Copy)]
struct Quantile {
    part: f64,
    estimate: f64,
}

impl Quantile {
    fn new(part: f64) -> Self {
        let estimate = FIRST_ESTIMATE.0 as f64;
        Self { part, estimate }
    }

    fn learn(&mut self, took: Span) {
        let part = match took.0 as f64 > self.estimate {
            true => self.part,
            false => self.part - 1.0,
        };
        self.estimate = (self.estimate * (1.0 + STEP * part)).max(1.0);
    }
}

/// What is known of how long one kind of request takes.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    tail: Quantile,
    work: Quantile,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            tail: Quantile::new(TAIL),
            work: Quantile::new(MIDDLE),
        }
    }
}

impl LatencyEstimate {
    /// An answer took this time, of which the request spent `ran` at the backend server.
    pub fn record(&mut self, took: Span, ran: Span) {
        self.tail.learn(took);
        if ran > Span::default() {
            self.work.learn(ran);
        }
    }

    /// The 95th percentile of the answer times.
    pub fn tail_latency(&self) -> Span {
        Span(self.tail.estimate as u64)
    }

    /// The median of the times at backend servers.
    pub fn service_time(&self) -> Span {
        Span(self.work.estimate as u64)
    }

    /// When calls of the service become impatient.
    pub fn timeouts(&self) -> crate::Timeouts {
        let patience = self.tail_latency().scale(PATIENCE_FACTOR);
        crate::Timeouts {
            reply_timeout: patience.clamp(LEAST_PATIENCE, MOST_PATIENCE),
            hedge_delay: self.tail_latency().max(LEAST_HEDGE),
            ask_interval: PAUSE,
        }
    }
}
