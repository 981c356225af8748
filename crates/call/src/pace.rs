//! How long the answers of a service take.

use types::Span;

/// Quantile that is followed.
const QUANTILE: f64 = 0.95;
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

/// Follows the 95th percentile of the times that a service's answers take.
///
/// The estimate moves up on a slower answer and down on a faster one, in proportion 19 to 1, which
/// balances at the quantile (the stochastic approximation of Robbins and Monro).
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    estimate: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            estimate: FIRST_ESTIMATE.0 as f64,
        }
    }
}

impl Pace {
    /// An answer took this time.
    pub fn learn(&mut self, took: Span) {
        let part = if took.0 as f64 > self.estimate {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.estimate = (self.estimate * (1.0 + STEP * part)).max(1.0);
    }

    /// The 95th percentile.
    pub fn estimate(&self) -> Span {
        Span(self.estimate as u64)
    }

    /// When calls of the service become impatient.
    pub fn timing(&self) -> crate::Timing {
        let patience = self.estimate().scale(PATIENCE_FACTOR);
        crate::Timing {
            patience: patience.clamp(LEAST_PATIENCE, MOST_PATIENCE),
            hedge: self.estimate().max(LEAST_HEDGE),
            pause: PAUSE,
        }
    }
}
