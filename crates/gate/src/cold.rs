//! How fast a cold backend server may be given requests.
//!
//! A cold backend server bears a rate, and crashes well above it. It tells how long it stays cold, and
//! may turn cold again at any moment, so its word that it is warm is believed for a moment only.
//! Without a word it counts as cold.
//!
//! The rate holds over any second: a request is sent only if fewer than the rate were sent within the
//! second before. The window starts full, since a gate that starts anew doesn't know what was sent
//! just before.

use std::collections::VecDeque;

use types::{Moment, Rate, Span};

/// Time for which a word about coldness is believed: two lost probes at the usual four a second.
const BELIEF: Span = Span::from_millis(600);
/// The window of the rate.
const WINDOW: Span = Span::from_millis(1_000);

/// The limit on requests to a cold backend server.
#[derive(Debug, Clone)]
pub(crate) struct ColdLimit {
    /// Requests in any window, `None` without a limit.
    most: Option<usize>,
    /// The last of the moments at which requests were sent, as many as the limit.
    sent: VecDeque<Moment>,
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

    /// The gate starts, or loses count: the second before `now` counts as full.
    pub(crate) fn fill(&mut self, now: Moment) {
        let most = self.most.unwrap_or_default();
        self.sent = std::iter::repeat_n(now, most).collect();
    }

    /// Asked at `asked`, the backend server said that it stays cold for `left`.
    pub(crate) fn heard(&mut self, left: Span, asked: Moment, now: Moment) {
        self.believed = self.believed.max(asked + BELIEF);
        self.warm = now + left;
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
            Some(most) if self.is_cold(now) && self.sent.len() >= most => {
                self.sent[self.sent.len() - most] + WINDOW
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
