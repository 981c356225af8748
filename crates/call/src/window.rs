//! How much of large bodies may be on the way to one host at a time.
//!
//! The load it answers: uploads that fill a slow link, beside small requests that have little time. What is on
//! the way beyond the link's capacity waits in front of the link, and every other message waits behind it. So
//! the window follows the delay that its chunks meet, as in LEDBAT (RFC 6817): it grows while they meet little,
//! and shrinks when it, or anybody else, fills the link.

use types::{Moment, Size, Span};

/// Smallest and largest chunk. The smallest takes 3 ms of a link of 10 Mbit/s, the largest keeps the number of
/// acknowledgements low on links of 200 Mbit/s and more.
const CHUNK_BYTES: [u64; 2] = [4 << 10, 32 << 10];
/// Smallest and largest window. The smallest keeps a slow link busy while a chunk is acknowledged, the largest
/// one of 1 Gbit/s with a round trip of 4 ms.
const WINDOW_BYTES: [f64; 2] = [8_192.0, 524_288.0];
/// Chunks in a window that is neither smallest nor largest.
const CHUNKS: f64 = 4.0;
/// Time that a chunk may wait for others: half of the users' 10 ms for a refusal.
const TARGET_DELAY: Span = Span::from_millis(5);
/// Round trips of which the shortest counts: a single long one is a busy processor rather than a full link.
const RECENT: usize = 4;
/// Round trips of chunks that are alone on the way by which the idle link is measured.
const PROBES: u32 = 2;
/// Time after which the idle link is measured anew, since the way to a host may change.
const PROBE_INTERVAL: Span = Span::from_millis(10_000);
/// Largest part of the acknowledged bytes by which the window shrinks.
const MAX_DECREASE: f64 = 0.5;

/// The window of all bodies that are sent to one host.
#[derive(Debug)]
pub struct BodyWindow {
    bytes: f64,
    in_flight: Size,
    /// Whether no delay has been met yet, so that the window grows by all that is acknowledged.
    is_starting: bool,
    /// Round trip on the idle link.
    base: Span,
    /// Round trips that are still to be measured on the idle link, with one chunk at a time.
    probes: u32,
    probe_at: Moment,
    recent: [Span; RECENT],
}

impl Default for BodyWindow {
    fn default() -> Self {
        Self {
            bytes: WINDOW_BYTES[0],
            in_flight: Size::default(),
            is_starting: true,
            base: Span(u64::MAX),
            probes: PROBES,
            probe_at: Moment(0),
            recent: [Span(u64::MAX); RECENT],
        }
    }
}

impl BodyWindow {
    /// Bytes that may be on the way at present.
    pub fn size(&self) -> Size {
        Size(self.bytes as u64)
    }

    /// Size of the chunk that may be sent now, `None` if enough is on the way.
    pub fn next_chunk(&self) -> Option<Size> {
        let [smallest, largest] = CHUNK_BYTES;
        let chunk = match self.probes {
            0 => Size(((self.bytes / CHUNKS) as u64).clamp(smallest, largest)),
            _ => Size(smallest),
        };
        let fits = self.probes == 0 && (self.in_flight.0 + chunk.0) as f64 <= self.bytes;
        (fits || self.in_flight == Size(0)).then_some(chunk)
    }

    /// Notes that a chunk of this size is sent.
    pub fn on_sent(&mut self, chunk: Size) {
        self.in_flight = Size(self.in_flight.0 + chunk.0);
    }

    /// Notes that a chunk won't be acknowledged, as its body has ended.
    pub fn on_abandoned(&mut self, chunk: Size) {
        self.in_flight = Size(self.in_flight.0.saturating_sub(chunk.0));
    }

    /// Notes that a chunk was acknowledged this time after it was sent.
    pub fn on_acknowledged(&mut self, chunk: Size, round_trip: Span, now: Moment) {
        let was_alone = self.in_flight <= chunk;
        let was_full = self.next_chunk().is_none();
        self.on_abandoned(chunk);
        if self.probes > 0 && was_alone {
            self.probe(round_trip, now);
            return;
        }
        self.base = self.base.min(round_trip);
        self.recent.rotate_left(1);
        self.recent[RECENT - 1] = round_trip;
        if self.probes == 0 {
            self.resize(chunk, was_full);
        }
        if now >= self.probe_at && self.probes == 0 {
            self.probes = PROBES;
            self.base = Span(u64::MAX);
        }
    }

    fn probe(&mut self, round_trip: Span, now: Moment) {
        self.base = self.base.min(round_trip);
        self.probes -= 1;
        self.probe_at = now + PROBE_INTERVAL;
        self.recent = [Span(u64::MAX); RECENT];
    }

    fn resize(&mut self, acknowledged: Size, was_full: bool) {
        let shortest = self.recent.iter().min().copied().unwrap_or_default();
        let delay = shortest.0.saturating_sub(self.base.0) as f64;
        let target = TARGET_DELAY.0 as f64;
        let acknowledged = acknowledged.0 as f64;
        let change = match () {
            () if delay > target => {
                self.is_starting = false;
                -acknowledged * MAX_DECREASE * ((delay - target) / target).min(1.0)
            }
            () if !was_full => 0.0,
            () if self.is_starting && delay * 2.0 < target => acknowledged,
            () => CHUNK_BYTES[0] as f64 * acknowledged / self.bytes,
        };
        self.bytes = (self.bytes + change).clamp(WINDOW_BYTES[0], WINDOW_BYTES[1]);
    }
}
