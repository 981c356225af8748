//! Repeats are paid for by first attempts.

/// Repeats that may be saved up.
const MOST_SAVED: f64 = 20.0;

/// Whether a repeat is allowed now.
pub trait Budget {
    /// Takes one repeat out of the budget and tells whether there was one.
    fn spend(&mut self) -> bool;
}

/// A budget that each first attempt adds a part of a repeat to.
///
/// With a ratio of 0.1 the repeats of a service add at most a tenth to its load over time, whatever
/// goes wrong.
#[derive(Debug, Clone)]
pub struct Bucket {
    saved: f64,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            saved: MOST_SAVED / 2.0,
        }
    }
}

impl Bucket {
    /// A first attempt was sent: adds `ratio` of a repeat.
    pub fn earn(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(MOST_SAVED);
    }
}

impl Budget for Bucket {
    fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
