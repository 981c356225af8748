//! Memory for callers' bodies, bounded for the whole process.
//!
//! A body may be as large as a large part of a node's memory, and many may come at once. Each takes
//! its room before it is read in, and is refused at once, as not run, if there is none. Small bodies
//! are free: the number of connections bounds them.

use std::sync::Arc;

use dialect::Rejection;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of bodies held at once, a quarter of the smallest memory that a node has. A body passes on
/// its way through two more buffers of its size.
const MOST_HELD: usize = 40 << 20;
/// Largest body that needs no room.
const FREE: u64 = 64 << 10;
/// Bytes that are taken together.
const UNIT: u64 = 64 << 10;

/// The memory for bodies of one process.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    free: Arc<Semaphore>,
}

/// The part of the memory that one request holds.
#[derive(Debug, Default)]
pub(super) struct Held {
    permit: Option<OwnedSemaphorePermit>,
    units: u64,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            free: Arc::new(Semaphore::new(MOST_HELD / UNIT as usize)),
        }
    }
}

impl Room {
    /// Takes room for a body of which `bytes` are known to come, besides what `held` has already.
    ///
    /// A body larger than the whole memory is let in alone.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoBufferSpace`] if others hold too much.
    pub(super) fn take(&self, bytes: u64, held: &mut Held) -> Result<(), Rejection> {
        if bytes <= FREE {
            return Ok(());
        }
        let most = MOST_HELD as u64 / UNIT;
        let units = bytes.div_ceil(UNIT).min(most);
        let more = units.saturating_sub(held.units);
        if more == 0 {
            return Ok(());
        }
        let taken = Arc::clone(&self.free).try_acquire_many_owned(more as u32);
        let taken = taken.map_err(|_| Rejection::NoBufferSpace)?;
        match &mut held.permit {
            Some(permit) => permit.merge(taken),
            None => held.permit = Some(taken),
        }
        held.units = units;
        Ok(())
    }
}
