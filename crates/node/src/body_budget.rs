//! Limit on the memory that bodies use in the whole process while they are read: those of callers'
//! requests, and of the backend server's answers.
//!
//! A single body may take a large part of a node's memory, and many may arrive at once. Memory for
//! a body is reserved before the body is read. If too little is left, a request is refused at once
//! and not run, and an answer is given up. Small bodies need no reservation, as the number of
//! connections limits them.

use std::sync::Arc;

use dialect::Rejection;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum bytes reserved at once: a quarter of the memory of the smallest node. A body is copied
/// into two more buffers of its size on its way.
const MAX_RESERVED_BYTES: usize = 40 << 20;
/// Largest body that needs no reservation.
const MAX_UNRESERVED_BYTES: u64 = 64 << 10;
/// Granularity of reservations.
const UNIT_BYTES: u64 = 64 << 10;

/// The memory that bodies may use in this process.
#[derive(Debug, Clone)]
pub(crate) struct BodyBudget {
    available: Arc<Semaphore>,
}

/// Memory reserved for one body, released on drop.
#[derive(Debug, Default)]
pub(crate) struct BodyReservation {
    permit: Option<OwnedSemaphorePermit>,
    units: u64,
}

impl Default for BodyBudget {
    fn default() -> Self {
        Self {
            available: Arc::new(Semaphore::new(MAX_RESERVED_BYTES / UNIT_BYTES as usize)),
        }
    }
}

impl BodyBudget {
    /// Extends `reservation` to a body of at least `bytes`.
    ///
    /// A body larger than the whole budget is admitted if no other reservation exists.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoBufferSpace`] if other reservations leave too little.
    pub(crate) fn reserve(
        &self,
        bytes: u64,
        reservation: &mut BodyReservation,
    ) -> Result<(), Rejection> {
        if bytes <= MAX_UNRESERVED_BYTES {
            return Ok(());
        }
        let max_units = MAX_RESERVED_BYTES as u64 / UNIT_BYTES;
        let units = bytes.div_ceil(UNIT_BYTES).min(max_units);
        let missing = units.saturating_sub(reservation.units);
        if missing == 0 {
            return Ok(());
        }
        let added = Arc::clone(&self.available).try_acquire_many_owned(missing as u32);
        let added = added.map_err(|_| Rejection::NoBufferSpace)?;
        match &mut reservation.permit {
            Some(permit) => permit.merge(added),
            None => reservation.permit = Some(added),
        }
        reservation.units = units;
        Ok(())
    }
}
