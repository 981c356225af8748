//! Counts of arrivals in sliding windows.

use std::time::{Duration, Instant};

/// Largest number of arrivals in a window of this length, of those from `from` on.
pub fn most_in_window(arrivals: &[Instant], from: Instant, window: Duration) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window = |first: &Instant| {
        let in_reach = |at: &&Instant| **at >= *first && **at < *first + window;
        counted.iter().filter(in_reach).count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}
