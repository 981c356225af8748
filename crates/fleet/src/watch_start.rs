//! Where the registry's watch of the configuration starts.
//!
//! An answer of the watch without changes isn't proof that there are none: the registry may report a
//! change late, or forget it before it has reported it. So the watch starts before the last answers, and
//! never before the configuration in force, whose change would be sent again.

use std::collections::VecDeque;

use types::{Moment, Revision, Span, Stamp};

/// Longest time for which the watch of a registry may report nothing though there are changes.
pub const MAX_SILENCE: Span = Span::from_millis(1_000);
/// Time after which an answer without changes counts: several times [`MAX_SILENCE`].
const SETTLE_TIME: Span = Span::from_millis(5_000);
/// Minimum time between two answers that are kept, which bounds their number.
const MIN_INTERVAL: Span = Span::from_millis(250);

/// Stamps from which the watch may start, as known to one node.
#[derive(Debug, Default)]
pub struct WatchStart {
    /// Stamp at which the configuration in force was current for sure.
    proven: Option<Stamp>,
    /// Stamps up to which no change was reported, with the times at which they were learned. All but
    /// the first were learned within [`SETTLE_TIME`].
    reported: VecDeque<(Moment, Stamp)>,
}

impl WatchStart {
    /// Records that the configuration in force is that of the registry at `proven`, as its change or a
    /// read of the value shows.
    pub fn on_read(&mut self, proven: Stamp) {
        if proven.revision > Revision(0) && proven.is_valid() {
            self.proven = self.proven.max(Some(proven));
        }
    }

    /// Records that no change was reported up to `stamp`, to this node or to a peer with the same view.
    pub fn on_unchanged(&mut self, stamp: Stamp, now: Moment) {
        let newest = self.reported.back();
        let is_late = |(at, last): &(Moment, Stamp)| now < *at + MIN_INTERVAL || stamp <= *last;
        if !stamp.is_valid() || newest.is_some_and(is_late) {
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
        self.proven.max(settled.map(|(_, stamp)| *stamp))
    }
}
