//! Decides which part of a service's requests leaves the availability zone, and where it goes.
//!
//! Each ingress computes the shares for itself from load reports. The shares are parts of its own
//! requests, and what they are computed from is the load of whole zones, so the shares of all
//! ingresses of a zone converge to the same values, however many there are.

use std::collections::BTreeMap;

use rand::{RngExt, rngs::SmallRng};
use types::{Moment, Size, Span, ZoneId};

use crate::{
    cost::ByteCost,
    server::{FULL, Member},
    zone_load::ZoneLoad,
};

/// Time between two computations of the shares.
const PERIOD: Span = Span::from_millis(100);
/// Time constants with which the shares approach their targets. Load reports are up to 500 ms old, and a
/// loop with that delay swings if it is much faster. A late rise costs callers time, a late fall only
/// bytes, so shares fall slowly.
const RISE: Span = Span::from_millis(500);
const FALL: Span = Span::from_millis(1_000);
/// Longest time since the last computation that counts, as the reports are as old then.
const MAX_ELAPSED: Span = Span::from_millis(500);
/// Shares below this are zero.
const MIN_SHARE: f64 = 0.005;
/// Largest share by which the load at home is scaled up to the demand.
const MAX_SCALED_SHARE: f64 = 0.95;
/// Weight of one request in the share of requests with time to spare.
const MIX_WEIGHT: f64 = 0.02;

/// What a request loses by leaving its zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trip {
    /// Bytes that would pass between the zones.
    pub bytes: Size,
    /// Time until its objective, beyond the time that such a request usually takes.
    pub slack: Span,
    /// Whether it can afford to wait as long again as it usually takes, and nothing waits for it
    /// elsewhere.
    pub spare: bool,
}

/// Where a first attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Direction {
    /// To a server of the ingress's zone.
    Home,
    /// To a server of another zone.
    Zone(ZoneId),
}

impl Direction {
    pub(crate) fn is_to(&self, member: &Member) -> bool {
        match self {
            Self::Home => member.local,
            Self::Zone(zone) => member.zone == *zone,
        }
    }
}

/// A zone's part of the requests.
#[derive(Debug, Clone)]
struct Flow {
    share: f64,
    added: Span,
}

/// The shares of one service's requests that leave the zone of an ingress.
#[derive(Debug)]
pub struct Spill {
    flows: BTreeMap<ZoneId, Flow>,
    cost: ByteCost,
    /// When the shares are computed next.
    due: Moment,
    /// Whether the zone has servers that can be used.
    homeless: bool,
    /// Share of the requests that have time to spare.
    spare: f64,
    /// Time that a request would wait at home if none left, and what it saves by leaving.
    wait: Span,
    saved: Span,
}

impl Spill {
    /// Creates shares of zero.
    pub fn new(cost: ByteCost) -> Self {
        Self {
            flows: BTreeMap::new(),
            cost,
            due: Moment(0),
            homeless: false,
            spare: 1.0,
            wait: Span::default(),
            saved: Span::default(),
        }
    }

    /// Whether the shares are to be computed again.
    pub fn is_due(&self, now: Moment) -> bool {
        self.due <= now
    }

    /// The share of the requests that goes to each other zone.
    pub fn shares(&self) -> impl Iterator<Item = (&ZoneId, f64)> {
        self.flows.iter().map(|(zone, flow)| (zone, flow.share))
    }

    /// The share of the requests that leaves the zone.
    pub fn total(&self) -> f64 {
        self.flows.values().map(|flow| flow.share).sum()
    }

    /// Time that a request would wait in the zone if none left.
    pub fn wait(&self) -> Span {
        self.wait
    }

    /// Time that a request saves by leaving the zone, without that of the way.
    pub fn saved(&self) -> Span {
        self.saved
    }

    /// Moves the shares towards those at which the zones are evenly full, where that saves time.
    /// `service` is the time that a request takes at an idle server. `home` is `None` if the zone has no
    /// server.
    pub fn update(
        &mut self,
        home: Option<&ZoneLoad>,
        others: &[ZoneLoad],
        service: Span,
        now: Moment,
    ) {
        let elapsed = (now.since(self.due) + PERIOD).min(MAX_ELAPSED);
        self.due = now + PERIOD;
        let usable: Vec<&ZoneLoad> = others.iter().filter(|zone| zone.capacity > 0.0).collect();
        self.drop_lost(&usable);
        let home = home.filter(|home| home.capacity > 0.0);
        self.homeless = home.is_none();
        match home {
            _ if usable.is_empty() => self.flows.clear(),
            Some(home) => self.step(home, &usable, service, elapsed),
            None => self.spread_all(&usable),
        }
    }

    /// Spreads the shares of zones that are gone over the others, at once.
    fn drop_lost(&mut self, usable: &[&ZoneLoad]) {
        let is_usable = |id: &ZoneId| usable.iter().any(|zone| zone.zone == *id);
        let before = self.total();
        self.flows.retain(|id, _| is_usable(id));
        let (kept, lost) = (self.total(), before - self.total());
        if lost > 0.0 && kept > 0.0 {
            let factor = before / kept;
            self.flows
                .values_mut()
                .for_each(|flow| flow.share *= factor);
        }
    }

    /// Sends everything to the other zones: in proportion to their room, or to their capacity if
    /// none has room.
    fn spread_all(&mut self, usable: &[&ZoneLoad]) {
        let level = level_of(usable.iter().copied());
        let rooms: f64 = usable.iter().map(|zone| zone.room(level)).sum();
        let capacity: f64 = usable.iter().map(|zone| zone.capacity).sum();
        let share = |zone: &ZoneLoad| match rooms > 0.0 {
            true => zone.room(level) / rooms,
            false => zone.capacity / capacity,
        };
        let flow = |zone: &&ZoneLoad| {
            let (share, added) = (share(zone), zone.added);
            (zone.zone.clone(), Flow { share, added })
        };
        self.flows = usable.iter().map(flow).collect();
    }

    fn step(&mut self, home: &ZoneLoad, usable: &[&ZoneLoad], service: Span, elapsed: Span) {
        let demand = home.load / (1.0 - self.total().min(MAX_SCALED_SHARE));
        let flow_to = |zone: &ZoneLoad| {
            let flow = self.flows.get(&zone.zone);
            flow.map_or(0.0, |flow| flow.share * demand)
        };
        // What a request saves is judged by the load without this zone's flow, as it would no
        // longer seem worth it once the zones are even.
        let saved = |zone: &ZoneLoad| {
            let there = (zone.load - flow_to(zone)).max(0.0) / zone.capacity;
            service.scale((demand / home.capacity - there).max(0.0))
        };
        let pays = |zone: &ZoneLoad| saved(zone) > zone.added;
        let paying: Vec<&ZoneLoad> = usable.iter().copied().filter(|z| pays(z)).collect();
        let level = level_of(paying.iter().copied().chain([home]));
        let rooms: f64 = paying.iter().map(|zone| zone.room(level)).sum();
        let excess = home.load - level * home.capacity;
        let flows: f64 = paying.iter().map(|zone| flow_to(zone)).sum();
        let returned = match excess < 0.0 && flows > 0.0 {
            true => (-excess / flows).min(1.0),
            false => 0.0,
        };
        let target = |zone: &ZoneLoad| {
            let sent = match rooms > 0.0 {
                true => excess.clamp(0.0, rooms) * zone.room(level) / rooms,
                false => 0.0,
            };
            let over = (zone.load - level * zone.capacity).max(0.0);
            let flow = flow_to(zone) * (1.0 - returned) + sent - over;
            match pays(zone) {
                true => flow.max(0.0) / demand.max(f64::MIN_POSITIVE),
                false => 0.0,
            }
        };
        let moved = |zone: &&ZoneLoad| {
            let old = self.flows.get(&zone.zone).map_or(0.0, |flow| flow.share);
            let distance = target(zone) - old;
            let constant = match distance > 0.0 {
                true => RISE,
                false => FALL,
            };
            let share = old + distance * (1.0 - (-(elapsed.0 as f64) / constant.0 as f64).exp());
            let added = zone.added;
            (share >= MIN_SHARE).then(|| (zone.zone.clone(), Flow { share, added }))
        };
        let flows = usable.iter().filter_map(moved).collect();
        self.wait = service.scale((demand / home.capacity - 1.0).max(0.0));
        self.saved = paying.iter().map(|z| saved(z)).max().unwrap_or_default();
        self.flows = flows;
        let total = self.total();
        if total > 1.0 {
            self.flows.values_mut().for_each(|flow| flow.share /= total);
        }
    }

    /// Whether a request stays whatever the shares are: what it would save is worth less than its
    /// bytes, and it isn't lost by staying.
    pub fn keeps(&self, trip: &Trip) -> bool {
        let is_lost = self.homeless || self.wait > trip.slack;
        !is_lost && self.cost.of(trip.bytes) > self.saved
    }

    /// Chooses where a request's first attempt goes. Requests with time to spare leave first.
    pub fn choose(&mut self, trip: &Trip, rng: &mut SmallRng) -> Direction {
        let seen = f64::from(u8::from(trip.spare));
        self.spare += MIX_WEIGHT * (seen - self.spare);
        let total = self.total();
        if total <= 0.0 || self.keeps(trip) {
            return Direction::Home;
        }
        let leaving = match trip.spare {
            true => total / self.spare.max(f64::MIN_POSITIVE),
            false => (total - self.spare) / (1.0 - self.spare).max(f64::MIN_POSITIVE),
        };
        if !self.homeless && rng.random::<f64>() >= leaving {
            return Direction::Home;
        }
        let mut left = rng.random::<f64>() * total;
        let picked = self.flows.iter().find(|(_, flow)| {
            left -= flow.share;
            left < 0.0
        });
        match picked {
            Some((_, flow)) if self.is_too_far(flow, trip) => Direction::Home,
            Some((zone, _)) => Direction::Zone(zone.clone()),
            None => Direction::Home,
        }
    }

    /// Whether the way alone would make the request late that the wait at home wouldn't.
    fn is_too_far(&self, flow: &Flow, trip: &Trip) -> bool {
        !self.homeless && flow.added > trip.slack && self.wait <= trip.slack
    }
}

/// The utilization at which all zones together bear the load, at least [`FULL`].
fn level_of<'a>(zones: impl Iterator<Item = &'a ZoneLoad>) -> f64 {
    let sum = |(load, capacity): (f64, f64), zone: &ZoneLoad| {
        (load + zone.load, capacity + zone.capacity)
    };
    match zones.fold((0.0, 0.0), sum) {
        (load, capacity) if capacity > 0.0 => (load / capacity).max(FULL),
        _ => FULL,
    }
}
