//! How a stand-in of a backend server behaves.

use std::time::Duration;

/// What a server does with a request beyond its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WhenFull {
    /// Answers that it didn't run the request.
    #[default]
    Rejects,
    /// Resets the connection.
    Resets,
    /// Never answers on that connection.
    IsSilent,
}

/// How a server behaves; it may change while the server runs.
#[derive(Debug, Clone)]
pub struct Behavior {
    /// Largest number of queued requests.
    pub queue: usize,
    /// Largest number of requests, in progress or queued, whatever its slots.
    pub room: usize,
    /// Time that a request takes, unless its path has a segment such as `work-300` with the milliseconds.
    pub work: Duration,
    /// Whether answers tell the load. Health probes are then answered at once.
    pub tells_load: bool,
    /// What becomes of requests beyond the queue.
    pub when_full: WhenFull,
    /// Share of the answers that are sent once more, where the next answer is expected.
    pub late_copies: f64,
    /// Share of the successes that are cut within their body.
    pub cut_answers: f64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            queue: 4,
            room: usize::MAX,
            work: Duration::from_millis(5),
            tells_load: true,
            when_full: WhenFull::Rejects,
            late_copies: 0.0,
            cut_answers: 0.0,
        }
    }
}
