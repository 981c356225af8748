//! Latency estimates for one kind of request.

use types::Span;

/// Quantile of the answer times that the timeouts are derived from.
const TAIL: f64 = 0.95;
/// Quantile of the service times that is taken as the usual one.
const MEDIAN: f64 = 0.5;
/// Maximum relative change of an estimate by one sample.
const STEP: f64 = 0.1;
/// Estimate before the first sample.
const INITIAL_ESTIMATE: Span = Span::from_millis(50);
/// Reply timeout as a multiple of the tail latency, and its bounds.
const REPLY_TIMEOUT_FACTOR: f64 = 4.0;
const MIN_REPLY_TIMEOUT: Span = Span::from_millis(100);
const MAX_REPLY_TIMEOUT: Span = Span::from_millis(1_000);
/// Minimum delay before an idempotent request is hedged.
const MIN_HEDGE_DELAY: Span = Span::from_millis(2);
/// Time between a failed query and the next one.
const QUERY_INTERVAL: Span = Span::from_millis(100);

/// Tracks one quantile of a stream of durations.
///
/// The estimate moves up on a larger sample and down on a smaller one, with step sizes in the ratio
/// of the quantile to its complement. The moves balance at the quantile (the stochastic
/// approximation of Robbins and Monro).
#[derive(Debug, Clone, Copy)]
struct Quantile {
    quantile: f64,
    estimate: f64,
}

impl Quantile {
    fn new(quantile: f64) -> Self {
        let estimate = INITIAL_ESTIMATE.0 as f64;
        Self { quantile, estimate }
    }

    fn record(&mut self, sample: Span) {
        let direction = match sample.0 as f64 > self.estimate {
            true => self.quantile,
            false => self.quantile - 1.0,
        };
        self.estimate = (self.estimate * (1.0 + STEP * direction)).max(1.0);
    }
}

/// Estimates of how long one kind of request takes.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    tail: Quantile,
    service: Quantile,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            tail: Quantile::new(TAIL),
            service: Quantile::new(MEDIAN),
        }
    }
}

impl LatencyEstimate {
    /// Records an answer that took `latency`. `service_time` is the part spent at the backend
    /// server, zero if unknown.
    pub fn record(&mut self, latency: Span, service_time: Span) {
        self.tail.record(latency);
        if service_time > Span::default() {
            self.service.record(service_time);
        }
    }

    /// The 95th percentile of the answer times.
    pub fn tail_latency(&self) -> Span {
        Span(self.tail.estimate as u64)
    }

    /// The median of the service times at the backend servers.
    pub fn service_time(&self) -> Span {
        Span(self.service.estimate as u64)
    }

    /// The timeouts for calls of this kind.
    pub fn timeouts(&self) -> crate::Timeouts {
        let reply_timeout = self.tail_latency().scale(REPLY_TIMEOUT_FACTOR);
        crate::Timeouts {
            reply_timeout: reply_timeout.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT),
            hedge_delay: self.tail_latency().max(MIN_HEDGE_DELAY),
            query_interval: QUERY_INTERVAL,
        }
    }
}
