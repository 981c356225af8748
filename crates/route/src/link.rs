//! Round trips to the availability zones, measured from messages that are exchanged anyway.

use std::collections::BTreeMap;

use types::{ServerId, Span, ZoneId};

/// Part of the difference by which a shorter sample lowers a server's round trip.
const FALL: f64 = 0.5;
/// Part of the difference by which a longer sample raises it. Most longer samples contain a wait
/// for a slot or for a busy host, which the link doesn't add.
const RISE: f64 = 0.02;

/// Round trips to backend servers, by availability zone.
#[derive(Debug, Default)]
pub struct Links {
    zones: BTreeMap<ZoneId, BTreeMap<ServerId, f64>>,
}

impl Links {
    /// Records a message that was answered `took` after it was sent, of which the backend server
    /// spent `served` on the request.
    pub fn record(&mut self, zone: &ZoneId, server: &ServerId, took: Span, served: Span) {
        let sample = took.0.saturating_sub(served.0) as f64;
        let servers = self.zones.entry(zone.clone()).or_default();
        let known = servers.entry(server.clone()).or_insert(sample);
        let step = match sample < *known {
            true => FALL,
            false => RISE,
        };
        *known += step * (sample - *known);
    }

    /// Forgets the servers that `keep` doesn't hold for.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        for servers in self.zones.values_mut() {
            servers.retain(|id, _| keep(id));
        }
        self.zones.retain(|_, servers| !servers.is_empty());
    }

    /// The round trip to a zone: the median over its servers, so that a few slow ones don't count.
    /// `None` before the first message.
    pub fn round_trip(&self, zone: &ZoneId) -> Option<Span> {
        let mut known: Vec<f64> = self.zones.get(zone)?.values().copied().collect();
        known.sort_by(f64::total_cmp);
        let median = known.get((known.len().max(1) - 1) / 2)?;
        Some(Span(*median as u64))
    }

    /// The round trips to all zones that are known.
    pub fn round_trips(&self) -> BTreeMap<ZoneId, Span> {
        let known = |zone: &ZoneId| Some((zone.clone(), self.round_trip(zone)?));
        self.zones.keys().filter_map(known).collect()
    }

    /// How much longer a round trip to `zone` is than one within `home`. `None` while either is
    /// unknown.
    pub fn added(&self, home: &ZoneId, zone: &ZoneId) -> Option<Span> {
        let far = self.round_trip(zone)?;
        let near = self.round_trip(home)?;
        Some(Span(far.0.saturating_sub(near.0)))
    }
}
