//! Whether the other availability zones are far, by the measured round trips.
//!
//! A comparison for each request assumes a way of [`ASSUMED`] to another zone, and reacts within milliseconds.
//! Shares know the way, but follow load reports, which are up to 500 ms old. So shares pay only where the way
//! takes longer than the comparison assumes.

use std::collections::BTreeMap;

use types::{Span, ZoneId};

/// Latency that a round trip to another availability zone adds, unless it is measured.
pub(crate) const ASSUMED: Span = Span::from_millis(3);
/// Least added latency from which zones count as far: twice what is assumed, as a busy host measures some
/// milliseconds too many. They count as near again below [`ASSUMED`], so that the decision doesn't swing.
const FAR: Span = Span::from_millis(6);
/// Messages to a zone before its measured latency counts. The first ones contain the time in which
/// connections are opened.
const MIN_MESSAGES: u32 = 32;

/// The measured ways to the other zones, and what is decided from them.
#[derive(Debug, Default)]
pub(crate) struct Distances {
    /// What a round trip to each zone adds at least, and the number of messages there.
    ways: BTreeMap<ZoneId, (Span, u32)>,
    /// Whether a zone is far, `None` until that is known.
    far: Option<bool>,
}

impl Distances {
    /// Records what a message to a zone has shown. `zones` is the number of other zones. Returns whether the
    /// decision has changed.
    pub(crate) fn record(&mut self, zone: &ZoneId, least: Span, zones: usize) -> bool {
        let (known, messages) = self.ways.entry(zone.clone()).or_default();
        (*known, *messages) = (least, messages.saturating_add(1));
        let is_measured = |(_, messages): &&(Span, u32)| *messages >= MIN_MESSAGES;
        let measured = self.ways.values().filter(is_measured);
        let (count, farthest) = measured.fold((0, Span::default()), |(count, farthest), known| {
            (count + 1, farthest.max(known.0))
        });
        let before = self.far;
        self.far = match before {
            _ if farthest >= FAR => Some(true),
            None if count < zones => None,
            Some(true) if farthest >= ASSUMED => before,
            _ => Some(false),
        };
        self.far != before
    }

    /// Forgets the zones that `keep` doesn't hold for. What was decided stays.
    pub(crate) fn retain(&mut self, keep: impl Fn(&ZoneId) -> bool) {
        self.ways.retain(|zone, _| keep(zone));
    }

    /// Whether a zone is far, `None` until that is known.
    pub(crate) fn is_far(&self) -> Option<bool> {
        self.far
    }
}
