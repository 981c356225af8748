//! The users' rule for requests around a planned stop.

use std::time::{Duration, Instant};

use super::{
    caller::{Answer, Sample},
    journal::Arrival,
};

/// Time that a process has after SIGTERM.
pub const GRACE: Duration = Duration::from_millis(6_000);
/// Time after the grace period in which an ended connection still counts as cut by the stop.
const AFTER_GRACE: Duration = Duration::from_millis(1_000);
/// Time after its last byte by which a request is known to be read.
pub(super) const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time before its deadline at which an answer may say that the deadline has passed, as nodes compare clocks over
/// the network.
const CLOCK_SLACK: Duration = Duration::from_millis(20);
/// Time after SIGTERM up to which a request may be cut in the last sixth of the grace period.
const EARLY: Duration = Duration::from_millis(3_000);

/// A planned stop of a node.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// Index of the node.
    pub node: usize,
    /// When its process got the first SIGTERM.
    pub at: Instant,
}

impl Stop {
    /// Whether the stop cut the connection of a request that deserved an answer. `arrivals` are those of the
    /// request at backend servers.
    pub fn has_cut(&self, sample: &Sample, arrivals: &[&Arrival]) -> bool {
        let was_read = sample.ended > sample.sent + LOSS_SLACK;
        let was_passed = arrivals.iter().any(|a| !a.misdirected);
        sample.answer == Answer::Cut
            && self.concerns(sample)
            && !has_broken_off(arrivals)
            && !self.is_excused(sample, arrivals)
            && (was_passed || was_read)
    }

    /// Whether the node answered a request itself while a backend server was at work on it. Holds only if no
    /// backend server breaks off.
    pub fn has_replaced(&self, sample: &Sample, arrivals: &[&Arrival]) -> bool {
        let is_own = matches!(sample.answer, Answer::Failed { signed: false, .. });
        let mut ran = arrivals.iter().filter(|a| a.run_at.is_some());
        is_own
            && self.concerns(sample)
            && !self.is_excused(sample, arrivals)
            && ran.any(|a| a.answered.is_none())
    }

    fn concerns(&self, sample: &Sample) -> bool {
        sample.node == self.node
            && (self.at..=self.at + GRACE + AFTER_GRACE).contains(&sample.ended)
            && sample.ended + CLOCK_SLACK < sample.sent + sample.request.timeout
    }

    /// Whether a backend server was at work in the last sixth of the grace period, on a request that was sent
    /// early in it or before.
    fn is_excused(&self, sample: &Sample, arrivals: &[&Arrival]) -> bool {
        let last_sixth = self.at + GRACE * 5 / 6;
        let is_at_work =
            |a: &&Arrival| a.run_at.is_some() && a.ended.is_none_or(|end| end >= last_sixth);
        sample.sent <= self.at + EARLY && arrivals.iter().any(is_at_work)
    }
}

/// Whether a backend server ended while it worked on the request.
fn has_broken_off(arrivals: &[&Arrival]) -> bool {
    let is_open = |a: &&Arrival| a.run_at.is_some() && a.ended.is_none();
    arrivals.iter().any(is_open)
}
