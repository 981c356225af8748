//! Limit on the memory that bodies use in the whole process while they are read: those of callers'
//! requests, and of the backend server's answers.
//!
//! A single body may take a large part of a node's memory, and many may arrive at once. Memory for
//! a body is reserved before the body is read. If too little is left, a request is refused at once
//! and not run, and an answer is given up. Small bodies need no reservation, as the number of
//! connections limits them.

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use dialect::Rejection;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum bytes reserved at once: a quarter of the memory of the smallest node. A body is copied
/// into two more buffers of its size on its way.
const MAX_RESERVED_BYTES: usize = 40 << 20;
/// Largest body that is admitted, alone: with its copies it takes three quarters of that memory.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Largest body that needs no reservation.
const MAX_UNRESERVED_BYTES: u64 = 64 << 10;
/// Size beyond which the buffer of a body without a length gets room for the largest body. Its pages take memory
/// only as they are filled, while a buffer that grows step by step is copied each time, and the smaller ones that it
/// leaves behind fragment the heap.
const MAX_GROWN_BYTES: u64 = 1 << 20;
/// Granularity of reservations.
const UNIT_BYTES: u64 = 64 << 10;

/// The memory that bodies may use in this process.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    available: Arc<Semaphore>,
}

/// Memory reserved for one body, released on drop.
#[derive(Debug, Default)]
pub struct BodyReservation {
    permit: Option<OwnedSemaphorePermit>,
    units: u64,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// It exceeds the size limit.
    TooLarge,
    /// Other bodies use the memory that it needs.
    NoBufferSpace,
    /// The connection broke, or what came was no body.
    Cut(hyper::Error),
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
    /// A body larger than the whole budget is admitted if no other reservation exists, up to the
    /// largest one that the process can hold.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoBufferSpace`] if other reservations leave too little, or the body is larger.
    pub fn reserve(&self, bytes: u64, reservation: &mut BodyReservation) -> Result<(), Rejection> {
        if bytes <= MAX_UNRESERVED_BYTES {
            return Ok(());
        }
        if bytes > MAX_BODY_BYTES {
            return Err(Rejection::NoBufferSpace);
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
    /// Reads a body of at most `limit` bytes, for which `reservation` is extended as it arrives.
    ///
    /// # Errors
    ///
    /// Why it was not read to its end.
    pub async fn collect(
        &self,
        mut body: Incoming,
        limit: u64,
        reservation: &mut BodyReservation,
    ) -> Result<Bytes, BodyError> {
        let length = body.size_hint().lower();
        // A body that comes in one part isn't copied.
        let mut first = Bytes::new();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(BodyError::Cut)?.into_data() else {
                continue;
            };
            let size = (first.len() + whole.len() + part.len()) as u64;
            if size.max(length) > limit {
                return Err(BodyError::TooLarge);
            }
            self.reserve(size.max(length), reservation)
                .map_err(|_| BodyError::NoBufferSpace)?;
            if first.is_empty() && whole.is_empty() {
                first = part;
                continue;
            }
            make_room(&mut whole, size.max(length));
            whole.put(std::mem::take(&mut first));
            whole.put(part);
        }
        match whole.is_empty() {
            true => Ok(first),
            false => Ok(whole.freeze()),
        }
    }
}

/// Makes room for a body of at least `size` bytes, which is its length if it has one.
fn make_room(buffer: &mut BytesMut, size: u64) {
    let is_first = buffer.is_empty();
    let capacity = match size {
        size if size <= buffer.capacity() as u64 => return,
        size if is_first || size <= MAX_GROWN_BYTES => size,
        _ => MAX_BODY_BYTES,
    };
    buffer.reserve(capacity as usize - buffer.len());
}
