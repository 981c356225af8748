//! Watches how a future is polled, for bounds that hold however busy the machine is.

use std::{
    fs,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::time::Instant;

/// Resolution of the processor time that the kernel counts for a thread.
const TICK: Duration = Duration::from_millis(10);

/// Processor time that this thread has used.
pub(super) fn thread_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/stat").expect("the kernel counts it");
    // The name of the thread may have spaces.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks = ticks.map(|field| field.parse().unwrap_or(0));
    TICK * ticks.sum::<u32>()
}

/// A future, and the number of polls that began after a moment.
pub(super) struct Watched<F> {
    future: Pin<Box<F>>,
    after: Instant,
    late_polls: usize,
}

impl<F: Future> Watched<F> {
    pub(super) fn new(future: F, after: Instant) -> Self {
        Self {
            future: Box::pin(future),
            after,
            late_polls: 0,
        }
    }
}

impl<F: Future> Future for Watched<F> {
    /// Output of the future, and the number of its polls that began after the moment.
    type Output = (F::Output, usize);

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if Instant::now() > self.after {
            self.late_polls += 1;
        }
        let late_polls = self.late_polls;
        let polled = self.future.as_mut().poll(context);
        polled.map(|output| (output, late_polls))
    }
}
