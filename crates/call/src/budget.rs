//! Repeats are paid for by first attempts.

/// Repeats that may be saved up, unless the fleet shares a bound.
const MOST_SAVED: f64 = 20.0;
/// Part of the fleet's bound that is given out. The rest is for nodes that come and go, each of which
/// may save anew.
const SHARED: f64 = 0.5;

/// Whether a repeat is allowed now.
pub trait Budget {
    /// Takes one repeat out of the budget and tells whether there was one.
    fn try_withdraw(&mut self) -> bool;
}

/// A budget that each first attempt adds a part of a repeat to.
///
/// With a ratio of 0.1 the repeats of a service add at most a tenth to its load over time, whatever
/// goes wrong.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    saved: f64,
    most: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self {
            saved: MOST_SAVED / 2.0,
            most: MOST_SAVED,
        }
    }
}

impl TokenBucket {
    /// An empty budget. It saves up the node's share of `slack`, the repeats beyond the ratio that all
    /// `nodes` together may send, and one at least.
    pub fn for_fleet(slack: f64, nodes: usize) -> Self {
        let mut bucket = Self {
            saved: 0.0,
            most: 0.0,
        };
        bucket.resize(slack, nodes);
        bucket
    }

    /// The fleet has another size.
    pub fn resize(&mut self, slack: f64, nodes: usize) {
        self.most = (slack * SHARED / nodes.max(1) as f64).max(1.0);
        self.saved = self.saved.min(self.most);
    }

    /// A first attempt was sent: adds `ratio` of a repeat.
    pub fn deposit(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(self.most);
    }
}

impl Budget for TokenBucket {
    fn try_withdraw(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
