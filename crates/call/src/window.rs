//! How much of large bodies may be on the way at a time, to one host and to all.
//!
//! The load it answers: uploads that fill a slow link, beside small requests that have little time. What is on
//! the way beyond the link's capacity waits in front of the link, and every other message waits behind it. So
//! the window follows the delay that its chunks meet, as in LEDBAT (RFC 6817): it grows while they meet little,
//! and shrinks when it, or anybody else, fills the link. The windows of many hosts add up in front of the link
//! that they share, so their sum has a window as well.

use std::collections::VecDeque;

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

/// Largest sum of the windows of all hosts: a link of 1 Gbit/s with a round trip of 30 ms.
const MAX_SUM_BYTES: f64 = 4_194_304.0;
/// Time after which a chunk isn't waiting in front of this host's link any more, whoever holds it up: a link of
/// 10 Mbit/s carries the smallest window many times over. Else a host that is cut off would stop the bodies to
/// all others.
const MAX_LINK_TIME: Span = Span::from_millis(100);

/// A number of bytes that follows the delay which they meet.
#[derive(Debug)]
struct DelayWindow {
    bytes: f64,
    most: f64,
    /// Whether no delay has been met yet, so that the window grows by all that is acknowledged.
    is_starting: bool,
    recent: [Span; RECENT],
}

impl DelayWindow {
    fn new(most: f64) -> Self {
        Self {
            bytes: WINDOW_BYTES[0],
            most,
            is_starting: true,
            recent: [Span(u64::MAX); RECENT],
        }
    }

    fn forget_delays(&mut self) {
        self.recent = [Span(u64::MAX); RECENT];
    }

    fn record(&mut self, delay: Span) {
        self.recent.rotate_left(1);
        self.recent[RECENT - 1] = delay;
    }

    fn resize(&mut self, acknowledged: Size, was_full: bool) {
        let delay = self.recent.iter().min().copied().unwrap_or_default().0 as f64;
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
        self.bytes = (self.bytes + change).clamp(WINDOW_BYTES[0], self.most);
    }
}

/// The window of all bodies that are sent to one host.
#[derive(Debug)]
pub struct BodyWindow {
    window: DelayWindow,
    in_flight: Size,
    /// Round trip on the idle link.
    base: Span,
    /// Round trips that are still to be measured on the idle link, with one chunk at a time.
    probes: u32,
    probe_at: Moment,
}

impl Default for BodyWindow {
    fn default() -> Self {
        Self {
            window: DelayWindow::new(WINDOW_BYTES[1]),
            in_flight: Size::default(),
            base: Span(u64::MAX),
            probes: PROBES,
            probe_at: Moment(0),
        }
    }
}

impl BodyWindow {
    /// Bytes that may be on the way at present.
    pub fn size(&self) -> Size {
        Size(self.window.bytes as u64)
    }

    /// Size of the chunk that may be sent now, `None` if enough is on the way.
    pub fn next_chunk(&self) -> Option<Size> {
        let [smallest, largest] = CHUNK_BYTES;
        let bytes = self.window.bytes;
        let chunk = match self.probes {
            0 => Size(((bytes / CHUNKS) as u64).clamp(smallest, largest)),
            _ => Size(smallest),
        };
        let fits = self.probes == 0 && (self.in_flight.0 + chunk.0) as f64 <= bytes;
        (fits || self.in_flight == Size(0)).then_some(chunk)
    }

    /// What a chunk takes of the window of all hosts: all of it while the idle link is measured.
    pub fn share(&self, chunk: Size) -> Size {
        match self.probes {
            0 => chunk,
            _ => Size(u64::MAX),
        }
    }

    /// Notes that a chunk of this size is sent.
    pub fn on_sent(&mut self, chunk: Size) {
        self.in_flight = Size(self.in_flight.0 + chunk.0);
    }

    /// Notes that a chunk won't be acknowledged, as its body has ended.
    pub fn on_abandoned(&mut self, chunk: Size) {
        self.in_flight = Size(self.in_flight.0.saturating_sub(chunk.0));
    }

    /// Notes that a chunk was acknowledged this time after it was sent. Returns by how much that is longer than on
    /// the idle link, `None` while that is measured.
    pub fn on_acknowledged(&mut self, chunk: Size, round_trip: Span, now: Moment) -> Option<Span> {
        let was_alone = self.in_flight <= chunk;
        let was_full = self.next_chunk().is_none();
        self.on_abandoned(chunk);
        self.base = self.base.min(round_trip);
        if self.probes > 0 && was_alone {
            self.probes -= 1;
            self.probe_at = now + PROBE_INTERVAL;
            self.window.forget_delays();
            return None;
        }
        let delay = Span(round_trip.0 - self.base.0);
        self.window.record(delay);
        if self.probes > 0 {
            return None;
        }
        self.window.resize(chunk, was_full);
        if now >= self.probe_at {
            self.probes = PROBES;
            self.base = Span(u64::MAX);
        }
        Some(delay)
    }
}

/// The window of all bodies that are sent to any host.
#[derive(Debug)]
pub struct LinkWindow {
    window: DelayWindow,
    /// When the chunks on the way were sent, and what they take of the window, in order.
    in_flight: VecDeque<(Moment, Size)>,
}

impl Default for LinkWindow {
    fn default() -> Self {
        Self {
            window: DelayWindow::new(MAX_SUM_BYTES),
            in_flight: VecDeque::new(),
        }
    }
}

impl LinkWindow {
    /// Size of the chunk that may be sent of one of this size.
    pub fn limit_chunk(&self, chunk: Size) -> Size {
        chunk.min(Size((self.window.bytes / CHUNKS) as u64).max(Size(CHUNK_BYTES[0])))
    }

    /// When a chunk that takes this much may be sent if none is acknowledged until then, `now` at the earliest.
    pub fn open_at(&self, share: Size, now: Moment) -> Moment {
        let mut sum = share.0;
        let blocker = self.in_flight.iter().rev().find(|(_, other)| {
            sum = sum.saturating_add(other.0);
            sum as f64 > self.window.bytes
        });
        blocker.map_or(now, |(sent_at, _)| now.max(*sent_at + MAX_LINK_TIME))
    }

    /// Notes that a chunk is sent.
    pub fn on_sent(&mut self, share: Size, now: Moment) {
        self.in_flight.push_back((now, share));
    }

    /// Notes that a chunk won't be acknowledged, as its body has ended.
    pub fn on_abandoned(&mut self, share: Size, sent_at: Moment) {
        let is_it = |entry: &(Moment, Size)| *entry == (sent_at, share);
        if let Some(index) = self.in_flight.iter().position(is_it) {
            self.in_flight.remove(index);
        }
    }

    /// Notes that a chunk was acknowledged, and the delay that it met if that is known.
    pub fn on_acknowledged(
        &mut self,
        share: Size,
        sent_at: Moment,
        delay: Option<Span>,
        now: Moment,
    ) {
        let was_full = self.open_at(Size(CHUNK_BYTES[0]), now) > now;
        self.on_abandoned(share, sent_at);
        if let Some(delay) = delay {
            self.window.record(delay);
            self.window.resize(share, was_full);
        }
    }
}
