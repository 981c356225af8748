//! Bounds on the steps of a soak, so that one that is held up names itself.

use std::{
    error::Error,
    fmt, io,
    time::{Duration, Instant},
};

use tokio::time::timeout;

use super::schedule::Fault;

/// Time that a step may take: faults that begin later than that aren't those of the seed any more.
pub(super) const STEP: Duration = Duration::from_secs(5);
/// That of one made of several.
pub(super) const LONG_STEP: Duration = Duration::from_secs(12);

/// What a soak does next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Step {
    /// Waits until a fault begins or ends, and copies the store.
    Wait(Fault),
    /// Begins a fault.
    Begin(Fault),
    /// Ends a fault.
    End(Fault),
    /// Waits for the operators' change in progress.
    Operators(Fault),
    /// Writes again what the operators wrote.
    Repeat(Fault),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wait(fault) => write!(f, "wait for {fault}"),
            Self::Begin(fault) => write!(f, "begin of {fault}"),
            Self::End(fault) => write!(f, "end of {fault}"),
            Self::Operators(fault) => write!(f, "wait for the operators' change at {fault}"),
            Self::Repeat(fault) => write!(f, "repeated writes at {fault}"),
        }
    }
}

/// A step that took too long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Stalled {
    step: Step,
    took: Duration,
}

impl fmt::Display for Stalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the soak stood still for {:?}: {}", self.took, self.step)
    }
}

impl Error for Stalled {}

impl From<Stalled> for io::Error {
    fn from(stalled: Stalled) -> Self {
        Self::new(io::ErrorKind::TimedOut, stalled)
    }
}

/// Waits for a step, for `limit` at most. One that blocks its thread is noticed once it is done.
pub(super) async fn within<T>(
    step: Step,
    limit: Duration,
    work: impl Future<Output = T>,
) -> Result<T, Stalled> {
    let start = Instant::now();
    let done = timeout(limit, work).await;
    let took = start.elapsed();
    match done {
        Ok(done) if took <= limit => Ok(done),
        _ => Err(Stalled { step, took }),
    }
}
