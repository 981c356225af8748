//! Round trips to the availability zones, measured from messages that are exchanged anyway.

use std::collections::BTreeMap;

use types::{ServerId, Span, ZoneId};

/// Part of the difference by which a shorter sample lowers a server's round trip.
const FALL: f64 = 0.5;
/// Part of the difference by which a longer sample raises it. Most longer samples contain a wait
/// for a slot or for a busy host, which the link doesn't add.
const RISE: f64 = 0.02;
/// Messages to a zone in each of two periods, of which the shortest counts as the way without any wait. They are
/// many, as a host that is out of processor time delays nearly all.
const PERIOD: u32 = 256;

/// Round trips to one zone.
#[derive(Debug)]
struct Zone {
    servers: BTreeMap<ServerId, f64>,
    /// Messages of the present period, and the shortest ones of it and of the one before.
    messages: u32,
    shortest: [Span; 2],
}

impl Default for Zone {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            messages: 0,
            shortest: [Span(u64::MAX); 2],
        }
    }
}

impl Zone {
    fn record_shortest(&mut self, sample: Span) {
        if self.messages == PERIOD {
            self.messages = 0;
            self.shortest = [Span(u64::MAX), self.shortest[0]];
        }
        self.messages += 1;
        self.shortest[0] = self.shortest[0].min(sample);
    }

    fn least(&self) -> Span {
        self.shortest[0].min(self.shortest[1])
    }
}

/// Round trips to backend servers, by availability zone.
#[derive(Debug, Default)]
pub struct Links {
    zones: BTreeMap<ZoneId, Zone>,
}

impl Links {
    /// Records a message that was answered `took` after it was sent, of which the backend server
    /// spent `served` on the request.
    pub fn record(&mut self, zone: &ZoneId, server: &ServerId, took: Span, served: Span) {
        let sample = took.0.saturating_sub(served.0) as f64;
        let known = self.zones.entry(zone.clone()).or_default();
        known.record_shortest(Span(sample as u64));
        let known = known.servers.entry(server.clone()).or_insert(sample);
        let step = match sample < *known {
            true => FALL,
            false => RISE,
        };
        *known += step * (sample - *known);
    }

    /// Forgets the servers that `keep` doesn't hold for.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        for zone in self.zones.values_mut() {
            zone.servers.retain(|id, _| keep(id));
        }
        self.zones.retain(|_, zone| !zone.servers.is_empty());
    }

    /// The zones that are known.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// The round trip to a zone: the median over its servers, so that a few slow ones don't count.
    /// `None` before the first message.
    pub fn round_trip(&self, zone: &ZoneId) -> Option<Span> {
        let mut known: Vec<f64> = self.zones.get(zone)?.servers.values().copied().collect();
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

    /// The same without any wait, from the shortest of many round trips.
    pub fn least(&self, home: &ZoneId, zone: &ZoneId) -> Option<Span> {
        let far = self.zones.get(zone)?.least();
        let near = self.zones.get(home)?.least();
        Some(Span(far.0.saturating_sub(near.0)))
    }
}
