//! How fast a cold backend server may be given requests.
//!
//! A cold backend server bears a rate, and crashes well above it. It tells how long it stays cold, and
//! may turn cold again at any moment, so its word that it is warm is believed for a moment only.
//! Without a word it counts as cold.
//!
//! The rate holds over any second: a request is sent only if fewer than the rate were sent within the
//! second before. A gate that starts anew doesn't know what was sent just before, so it sends nothing
//! for a second, unless the backend server turns out to have started no earlier than the gate, as
//! after a loss of power of their host. Then nobody can have sent it anything.

use std::collections::VecDeque;

use types::{Moment, Rate, Span};

/// Time for which a word about coldness is believed: two lost probes at the usual four a second.
const BELIEF: Span = Span::from_millis(600);
/// Time by which a backend server may have started earlier than the gate and still have got nothing to
/// speak of: a third of the window, in which the rate allows a third of what the window does.
const HEAD_START: Span = Span::from_millis(300);
/// The window of the rate.
const WINDOW: Span = Span::from_millis(1_000);

/// The limit on requests to a cold backend server.
#[derive(Debug, Clone)]
pub(crate) struct ColdLimit {
    /// Requests in any window, `None` without a limit.
    most: Option<usize>,
    /// The last of the moments at which requests were sent, as many as the limit.
    sent: VecDeque<Moment>,
    /// When the gate began to count.
    began: Moment,
    /// Until when requests may count that the gate doesn't know of.
    blind: Moment,
    /// When the backend server stops being cold, as it said itself.
    warm: Moment,
    /// Until when that is believed.
    believed: Moment,
}

impl ColdLimit {
    pub(crate) fn new(rate: Rate) -> Self {
        let mut limit = Self {
            most: None,
            sent: VecDeque::new(),
            began: Moment(0),
            blind: Moment(0),
            warm: Moment::MAX,
            believed: Moment(0),
        };
        limit.set_rate(rate);
        limit
    }

    pub(crate) fn set_rate(&mut self, rate: Rate) {
        let per_second = rate.per_second();
        self.most = (per_second > 0.0).then(|| (per_second as usize).max(1));
    }

    /// Whether there is a limit at all.
    pub(crate) fn is_set(&self) -> bool {
        self.most.is_some()
    }

    /// The gate begins to count: what was sent in the second before isn't known.
    pub(crate) fn begin(&mut self, now: Moment) {
        self.began = now;
        self.blind = now + WINDOW;
    }

    /// Asked at `asked`, the backend server said that it stays cold for `left` of the `whole` time
    /// that a start is cold for.
    pub(crate) fn heard(&mut self, left: Span, whole: Span, asked: Moment, now: Moment) {
        self.believed = self.believed.max(asked + BELIEF);
        self.warm = now + left;
        let age = Span(whole.0.saturating_sub(left.0));
        if left > Span::default() && age <= now.since(self.began) + HEAD_START {
            self.blind = self.blind.min(now);
        }
    }

    /// The backend server may have been started anew.
    pub(crate) fn forget(&mut self) {
        self.believed = Moment(0);
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now > self.believed || now < self.warm
    }

    /// The moment from which a request may be sent, as things are at `now`.
    pub(crate) fn next(&self, now: Moment) -> Moment {
        match self.most {
            Some(most) if self.is_cold(now) => {
                let full = self.sent.len() >= most;
                let oldest = full.then(|| self.sent[self.sent.len() - most] + WINDOW);
                oldest.unwrap_or(now).max(self.blind)
            }
            _ => now,
        }
    }

    /// Time until a request may be sent that comes after `ahead` others.
    pub(crate) fn wait(&self, ahead: usize, now: Moment) -> Span {
        match self.most {
            Some(most) if self.is_cold(now) => {
                let rounds = Span((WINDOW.0 / most as u64) * ahead as u64);
                self.next(now).since(now) + rounds
            }
            _ => Span::default(),
        }
    }

    /// A request is sent.
    pub(crate) fn send(&mut self, now: Moment) {
        let Some(most) = self.most else { return };
        self.sent.push_back(now);
        while self.sent.len() > most {
            self.sent.pop_front();
        }
    }
}
