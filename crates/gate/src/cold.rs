//! Rate limit on the requests to a cold backend server.
//!
//! A cold backend server can take requests at a certain rate, and crashes well above it. It reports
//! how long it stays cold, and may turn cold again at any moment, so a report that it is warm is
//! valid for a short time only. Without a valid report it counts as cold.
//!
//! The limit holds over any sliding window of one second: a request is sent only if fewer than the
//! rate were sent in the second before. A gate that has just started doesn't know what was sent
//! before, so it sends nothing for one second. It needn't wait if the backend server started no
//! earlier than the gate, as after a power loss of their host, since then nobody can have sent
//! anything.

use std::collections::VecDeque;

use types::{Moment, Rate, Span};

/// Time for which a report is valid. At the usual four probes a second, it expires after two lost
/// probes.
const REPORT_TTL: Span = Span::from_millis(600);
/// Time by which the backend server may have started before the gate and still count as started
/// with it. The requests sent in that time are uncounted, at most about a third of those of a
/// window.
const START_TOLERANCE: Span = Span::from_millis(300);
/// Sliding window of the rate.
const WINDOW: Span = Span::from_millis(1_000);

/// Sliding-window rate limit, in force while the backend server is cold.
#[derive(Debug, Clone)]
pub(crate) struct ColdLimit {
    /// Requests allowed in any window, `None` for no limit.
    window_max: Option<usize>,
    /// When the latest requests were sent, as many as the limit allows in one window.
    sent: VecDeque<Moment>,
    /// When the gate began to count.
    began: Moment,
    /// Until when requests that the gate hasn't counted may fall into the window.
    uncounted_until: Moment,
    /// When the backend server becomes warm, by its latest report.
    warm_at: Moment,
    /// Until when that report is valid.
    valid_until: Moment,
}

impl ColdLimit {
    pub(crate) fn new(rate: Rate) -> Self {
        let mut limit = Self {
            window_max: None,
            sent: VecDeque::new(),
            began: Moment(0),
            uncounted_until: Moment(0),
            warm_at: Moment::MAX,
            valid_until: Moment(0),
        };
        limit.set_rate(rate);
        limit
    }

    pub(crate) fn set_rate(&mut self, rate: Rate) {
        let per_second = rate.per_second();
        self.window_max = (per_second > 0.0).then(|| (per_second as usize).max(1));
    }

    /// Whether there is a limit at all.
    pub(crate) fn is_set(&self) -> bool {
        self.window_max.is_some()
    }

    /// Begins to count. Requests sent within the second before `now` are unknown.
    pub(crate) fn begin(&mut self, now: Moment) {
        self.began = now;
        self.uncounted_until = now + WINDOW;
    }

    /// Records the backend server's report that it stays cold for `left`, of the `total` time that
    /// it is cold after a start. The report was requested at `asked`.
    pub(crate) fn observe(&mut self, left: Span, total: Span, asked: Moment, now: Moment) {
        self.valid_until = self.valid_until.max(asked + REPORT_TTL);
        self.warm_at = now + left;
        let age = Span(total.0.saturating_sub(left.0));
        if left > Span::default() && age <= now.since(self.began) + START_TOLERANCE {
            self.uncounted_until = self.uncounted_until.min(now);
        }
    }

    /// Invalidates the report, since the backend server may have restarted.
    pub(crate) fn invalidate(&mut self) {
        self.valid_until = Moment(0);
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now > self.valid_until || now < self.warm_at
    }

    /// Earliest time at which the next request may be sent, as known at `now`.
    pub(crate) fn next_send(&self, now: Moment) -> Moment {
        match self.window_max {
            Some(max) if self.is_cold(now) => {
                let full = self.sent.len() >= max;
                let oldest = full.then(|| self.sent[self.sent.len() - max] + WINDOW);
                oldest.unwrap_or(now).max(self.uncounted_until)
            }
            _ => now,
        }
    }

    /// Time until a request behind `ahead` others may be sent.
    pub(crate) fn wait(&self, ahead: usize, now: Moment) -> Span {
        match self.window_max {
            Some(max) if self.is_cold(now) => {
                let behind = Span((WINDOW.0 / max as u64) * ahead as u64);
                self.next_send(now).since(now) + behind
            }
            _ => Span::default(),
        }
    }

    /// Counts a request sent at `now`.
    pub(crate) fn record(&mut self, now: Moment) {
        let Some(max) = self.window_max else { return };
        self.sent.push_back(now);
        while self.sent.len() > max {
            self.sent.pop_front();
        }
    }
}
