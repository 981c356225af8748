//! When an offer without a reply is sent once more.
//!
//! The load it answers: a link that loses a packet now and then, beside uploads. The system sends a lost packet
//! again after 200 ms at the earliest, and all messages of its connection wait for that long. An offer is small,
//! and a gate that knows its id starts nothing more by it, so it goes over another connection as well.

use types::Span;

use crate::LatencyEstimate;

/// Time that usual replies are exceeded by, as a multiple of the slowest twentieth of them.
const FACTOR: f64 = 1.5;
/// Shortest delay: a round trip to another availability zone, and the turns of the processes at both ends.
const MIN_DELAY: Span = Span::from_millis(15);
/// Longest delay: half of the shortest time after which a lost packet is sent again.
const MAX_DELAY: Span = Span::from_millis(100);

/// Chooses the delay before an offer to one gate is repeated, by how long replies took before.
#[derive(Debug, Default)]
pub struct RepeatTimer {
    replies: LatencyEstimate,
}

impl RepeatTimer {
    /// Records after which time the first reply to an offer came, repeated or not.
    pub fn record(&mut self, took: Span) {
        self.replies.record(took, Span::default());
    }

    /// Time without a reply after which an offer is sent once more.
    pub fn delay(&self) -> Span {
        let usual = self.replies.tail_latency().scale(FACTOR);
        usual.clamp(MIN_DELAY, MAX_DELAY)
    }
}
