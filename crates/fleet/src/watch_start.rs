//! Where the registry's watch of the configuration starts.
//!
//! An answer of the watch without changes isn't proof that there are none: the registry may report a
//! change late, or forget it before it has reported it. So the watch starts before the last answers, and
//! never before the configuration in force, whose change would be sent again.

use std::collections::VecDeque;

use types::{Moment, Span, Stamp};

/// Time after which an answer without changes counts: several times the second for which the users'
/// registry may report nothing.
const SETTLE_TIME: Span = Span::from_millis(5_000);
/// Minimum time between two answers that are kept, which bounds their number.
const MIN_INTERVAL: Span = Span::from_millis(250);

/// Stamps from which the watch may start, as known to one node.
#[derive(Debug, Default)]
pub struct WatchStart {
    /// Stamp of the configuration in force when it was last read as a whole or changed.
    read_at: Option<Stamp>,
    /// Stamps up to which no change was reported, with the times at which they were learned. All but
    /// the first were learned within [`SETTLE_TIME`].
    reported: VecDeque<(Moment, Stamp)>,
}

impl WatchStart {
    /// Records that the configuration in force is that of the registry at `stamp`.
    pub fn on_read(&mut self, stamp: Stamp) {
        self.read_at = self.read_at.max(Some(stamp));
    }

    /// Records that no change was reported up to `stamp`, to this node or to a peer with the same view.
    pub fn on_unchanged(&mut self, stamp: Stamp, now: Moment) {
        let newest = self.reported.back();
        if newest.is_some_and(|(at, last)| now < *at + MIN_INTERVAL || stamp <= *last) {
            return;
        }
        self.reported.push_back((now, stamp));
        let is_settled = |(at, _): &(Moment, Stamp)| *at + SETTLE_TIME <= now;
        while self.reported.get(1).is_some_and(is_settled) {
            self.reported.pop_front();
        }
    }

    /// Stamp after which the changes are read at `now`, `None` if there is no configuration yet.
    pub fn at(&self, now: Moment) -> Option<Stamp> {
        let mut latest_first = self.reported.iter().rev();
        let settled = latest_first.find(|(at, _)| *at + SETTLE_TIME <= now);
        self.read_at.max(settled.map(|(_, stamp)| *stamp))
    }
}
