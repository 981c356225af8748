//! Whether most of a backend server's answers fail.
//!
//! This answers a backend server that fails part of its requests, or all of them, while its health
//! endpoint says that it is well. It fails fast, which looks like idleness, and each ingress alone meets
//! it too seldom to tell. Its gate meets all of its answers. While most fail it declines attempts that
//! have other places to go, but lets one through now and then, and all that have nowhere else to go, so
//! that a backend server that is well again is found. If all backend servers of a service fail alike, all
//! decline, and the last place that a call tries takes it.

use types::{Moment, Span};

/// Weight of one outcome in the share of failures: the last ten or so count.
const WEIGHT: f64 = 0.1;
/// Share of failures from which attempts are declined. Below it a place elsewhere, which costs a try and
/// may be slower, isn't worth it.
const MOST_FAILURES: f64 = 0.4;
/// Time between two attempts that are let through nevertheless: four a second, a tenth or so of what a
/// backend server usually gets.
const RETRY_PERIOD: Span = Span::from_millis(250);

/// The share of failures, and what follows from it.
#[derive(Debug, Default)]
pub(crate) struct Failing {
    share: f64,
    /// When the next attempt is let through.
    retry: Moment,
}

impl Failing {
    /// An answer came, or should have.
    pub(crate) fn learn(&mut self, failed: bool) {
        let outcome = f64::from(u8::from(failed));
        self.share += WEIGHT * (outcome - self.share);
    }

    /// Whether an attempt that has other places to go is declined at `now`. One that isn't declined is
    /// taken for the next that is let through.
    pub(crate) fn declines(&mut self, now: Moment) -> bool {
        if self.share < MOST_FAILURES {
            return false;
        }
        let declines = now < self.retry;
        if !declines {
            self.retry = now + RETRY_PERIOD;
        }
        declines
    }

    /// Nothing is known of the backend server any more.
    pub(crate) fn forget(&mut self) {
        *self = Self::default();
    }
}
