//! A link between two hosts that carries a limited number of bytes a second.
//!
//! Bytes pass in the order in which they arrive at the link, whichever connection they are on, as in a router
//! with one queue. A sender can't overtake what it has on the link already.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

/// Resolution of the timer. Shorter waits are left out, as they would take a multiple of their time; the rate
/// holds over all bytes.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// One direction of a link.
#[derive(Debug)]
pub struct Link {
    /// Bytes a second. 0 for a link without a limit.
    rate: u64,
    /// When all bytes have passed that are on the link.
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link for `rate` bytes a second, 0 for no limit.
    pub fn new(rate: u64) -> Self {
        Self {
            rate,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until this number of bytes has passed, behind those that are on the link.
    pub async fn pass(&self, bytes: usize) {
        if self.rate == 0 {
            return;
        }
        let took = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        let end = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + took;
            *free_at
        };
        if end.saturating_duration_since(Instant::now()) > TIMER_RESOLUTION {
            sleep_until(end.into()).await;
        }
    }
}
