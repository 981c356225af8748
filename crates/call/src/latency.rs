//! Latency estimates for one kind of request.

use types::Span;

/// Quantile of the answer times that the timeouts are derived from.
const TAIL: f64 = 0.95;
/// Quantile of the service times that is taken as the usual one.
const MEDIAN: f64 = 0.5;
/// Maximum relative change of an estimate by one sample, once there are enough samples.
const STEP: f64 = 0.1;
/// Maximum relative change by the first sample after the initial one. It falls with the number of
/// samples until it reaches [`STEP`].
const FIRST_STEP: f64 = 0.5;
/// Ratio of the tail of the answer times to the first sample, until there are more samples.
const FIRST_TAIL_FACTOR: f64 = 2.0;
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
/// approximation of Robbins and Monro). The first sample sets the estimate, and the steps are larger
/// at first: one of hundreds of ingresses sees few requests of a route in a second, and would
/// otherwise work with the initial estimate for many seconds.
#[derive(Debug, Clone, Copy)]
struct Quantile {
    quantile: f64,
    estimate: f64,
    samples: u32,
}

impl Quantile {
    fn new(quantile: f64) -> Self {
        let estimate = INITIAL_ESTIMATE.0 as f64;
        Self {
            quantile,
            estimate,
            samples: 0,
        }
    }

    fn record(&mut self, sample: Span, first_factor: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.estimate = (sample.0 as f64 * first_factor).max(1.0);
            return;
        }
        let step = STEP.max(FIRST_STEP / f64::from(self.samples - 1));
        let direction = match sample.0 as f64 > self.estimate {
            true => self.quantile,
            false => self.quantile - 1.0,
        };
        self.estimate = (self.estimate * (1.0 + step * direction)).max(1.0);
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
        self.tail.record(latency, FIRST_TAIL_FACTOR);
        if service_time > Span::default() {
            self.service.record(service_time, 1.0);
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
