//! Retry budget: first attempts earn the tokens that retries spend.

/// Maximum stored tokens of a bucket whose size isn't derived from a limit for the whole fleet.
const DEFAULT_CAPACITY: f64 = 20.0;
/// Share of the fleet's burst that is divided among its nodes. The rest allows for nodes that join
/// or restart, each of which fills a new bucket.
const BURST_SHARE: f64 = 0.5;
/// Share of the deposits that may be spent on requests that may have run.
const UNKNOWN_SHARE: f64 = 0.5;

/// Decides whether a retry is allowed.
pub trait Budget {
    /// Withdraws the cost of one retry. Returns whether the budget covered it.
    fn try_withdraw(&mut self) -> bool;

    /// Withdraws the cost of one retry of a request that may have run. Only a part of the budget may be spent on
    /// these: backend servers that reset all connections while they are full would else use it up.
    fn try_withdraw_for_unknown(&mut self) -> bool {
        self.try_withdraw()
    }
}

/// A token bucket that each first attempt adds a fraction of a token to. A retry costs one token.
///
/// With a ratio of 0.1, retries add at most a tenth to the load of a service over time, whatever
/// fails. Retries of requests that may have run add at most half of that.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    /// How many of the tokens may be spent on requests that may have run.
    unknown_tokens: f64,
    capacity: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self {
            tokens: DEFAULT_CAPACITY / 2.0,
            unknown_tokens: DEFAULT_CAPACITY / 2.0,
            capacity: DEFAULT_CAPACITY,
        }
    }
}

impl TokenBucket {
    /// Creates an empty bucket for one of `nodes`. Its capacity is the node's part of `burst`, the
    /// retries beyond the ratio that all nodes together may send, but at least one token.
    pub fn for_fleet(burst: f64, nodes: usize) -> Self {
        let mut bucket = Self {
            tokens: 0.0,
            unknown_tokens: 0.0,
            capacity: 0.0,
        };
        bucket.resize(burst, nodes);
        bucket
    }

    /// Adjusts the capacity to another number of nodes. Tokens beyond it are dropped.
    pub fn resize(&mut self, burst: f64, nodes: usize) {
        self.capacity = (burst * BURST_SHARE / nodes.max(1) as f64).max(1.0);
        self.tokens = self.tokens.min(self.capacity);
        self.unknown_tokens = self.unknown_tokens.min(self.capacity);
    }

    /// Adds the `ratio` of a token that one first attempt earns.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.capacity);
        let unknown_tokens = self.unknown_tokens + ratio * UNKNOWN_SHARE;
        self.unknown_tokens = unknown_tokens.min(self.capacity);
    }
}

impl Budget for TokenBucket {
    fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    fn try_withdraw_for_unknown(&mut self) -> bool {
        let allowed = self.unknown_tokens >= 1.0 && self.try_withdraw();
        if allowed {
            self.unknown_tokens -= 1.0;
        }
        allowed
    }
}
