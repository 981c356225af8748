//! Schedule of the health probes of a backend server.
//!
//! Only its own gate probes a backend server, so the cost doesn't grow with the number of nodes. A
//! good response to a request postpones the next probe, unless the backend server has a cold rate
//! limit: the gate learns only from probes how cold it is. The remaining probes keep to a
//! configured maximum rate.

use types::{Moment, Rate, Span};

/// Time after the last request for which a backend server counts as busy: longer than the gaps
/// between requests at the users' load.
const BUSY_TIME: Span = Span::from_millis(500);
/// Periods between two probes of a backend server with a cold rate limit that isn't busy. With the
/// users' rate of twenty probes a second that makes four a second, so that a report on coldness
/// stays valid between probes.
const IDLE_PERIODS: u64 = 5;

/// Probes of one backend server, limited to a maximum rate.
#[derive(Debug)]
pub(crate) struct Probes {
    /// Time between two probes, `None` if probing is off.
    period: Option<Span>,
    last: Option<Moment>,
    /// When the latest response that replaces a probe arrived.
    last_response: Moment,
    /// When the latest request arrived, if the backend server is also probed while busy.
    last_offer: Option<Moment>,
    /// Minimum time between two probes of a backend server that limits its requests.
    min_interval: Span,
    sent: u64,
}

impl Probes {
    pub(crate) fn new(rate: Rate) -> Self {
        Self {
            period: period(rate),
            last: None,
            last_response: Moment(0),
            last_offer: None,
            min_interval: Span::default(),
            sent: 0,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: Rate) {
        self.period = period(rate);
    }

    pub(crate) fn set_min_interval(&mut self, interval: Span) {
        self.min_interval = interval;
    }

    /// Records a response, which postpones the next probe.
    pub(crate) fn observe_response(&mut self, now: Moment) {
        self.last_response = now;
    }

    /// Records a request for a backend server that is also probed while busy.
    pub(crate) fn observe_offer(&mut self, now: Moment) {
        self.last_offer = Some(now);
    }

    /// Makes the next probe due as soon as the maximum rate allows.
    pub(crate) fn expedite(&mut self) {
        (self.last_response, self.last_offer) = (Moment(0), None);
    }

    /// Time of the next probe.
    pub(crate) fn next(&self) -> Option<Moment> {
        let last = self.last.unwrap_or_default().max(self.last_response);
        let periods = match self.last_offer {
            Some(offer) if offer + BUSY_TIME < last => IDLE_PERIODS,
            _ => 1,
        };
        let interval = |period: Span| Span(period.0 * periods).max(self.min_interval);
        self.period.map(|period| last + interval(period))
    }

    /// Whether a probe is due at `now`. A due probe counts as sent.
    pub(crate) fn take_due(&mut self, now: Moment) -> bool {
        let due = self.next().is_some_and(|next| next <= now);
        if due {
            let since = self.last.map_or(Span(u64::MAX), |last| now.since(last));
            assert!(
                Some(since) >= self.period,
                "invariant: probes stay within their maximum rate"
            );
            self.last = Some(now);
            self.sent += 1;
        }
        due
    }

    /// Number of probes sent.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }
}

fn period(rate: Rate) -> Option<Span> {
    let per_second = rate.per_second();
    (per_second > 0.0).then(|| Span((1e6 / per_second).ceil() as u64))
}
