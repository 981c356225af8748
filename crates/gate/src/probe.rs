//! When a backend server is probed.
//!
//! Only its own gate probes a backend server, so the cost doesn't grow with the fleet, and requests
//! that are answered make a probe superfluous. What is left keeps to a hard budget.

use types::{Moment, Rate, Span};

/// Time after the last request for which a backend server counts as having work: longer than the gaps
/// between requests at the users' load.
const WORKING: Span = Span::from_millis(500);
/// Periods between two probes of a backend server that has none: four a second of the users' twenty, so
/// that its word on coldness doesn't lapse in between.
const IDLE_PERIODS: u64 = 5;

/// Probes of one backend server, never more often than a rate allows.
#[derive(Debug)]
pub(crate) struct Probes {
    /// Time between two probes, `None` for no probes at all.
    period: Option<Span>,
    last: Option<Moment>,
    /// When something was heard of the backend server.
    heard: Moment,
    /// When a request came, for one that is probed while it works.
    offered: Option<Moment>,
    sent: u64,
}

impl Probes {
    pub(crate) fn new(rate: Rate) -> Self {
        Self {
            period: period(rate),
            last: None,
            heard: Moment(0),
            offered: None,
            sent: 0,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: Rate) {
        self.period = period(rate);
    }

    /// An answer made a probe superfluous for a while.
    pub(crate) fn heard(&mut self, now: Moment) {
        self.heard = now;
    }

    /// A request came for a backend server that is probed while it works.
    pub(crate) fn offered(&mut self, now: Moment) {
        self.offered = Some(now);
    }

    /// The moment of the next probe.
    pub(crate) fn next(&self) -> Option<Moment> {
        let last = self.last.unwrap_or_default().max(self.heard);
        let periods = match self.offered {
            Some(offered) if offered + WORKING < last => IDLE_PERIODS,
            _ => 1,
        };
        self.period.map(|period| last + Span(period.0 * periods))
    }

    /// Whether to probe at `now`, which is counted then.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        let due = self.next().is_some_and(|next| next <= now);
        if due {
            let since = self.last.map_or(Span(u64::MAX), |last| now.since(last));
            assert!(
                Some(since) >= self.period,
                "invariant: probes keep to their budget"
            );
            self.last = Some(now);
            self.sent += 1;
        }
        due
    }

    /// Number of probes so far.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }
}

fn period(rate: Rate) -> Option<Span> {
    let per_second = rate.per_second();
    (per_second > 0.0).then(|| Span((1e6 / per_second).ceil() as u64))
}
