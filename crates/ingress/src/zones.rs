//! What an ingress keeps of the availability zones for all services.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use route::{Balancer, ByteCost, Links, Spill};
use types::{ServerId, ServiceId, Span, ZoneId};

/// Change of a service's share that is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// The zone of an ingress that computes shares, and its links to the others.
#[derive(Debug)]
pub struct ZoneShares {
    pub(crate) home: ZoneId,
    pub(crate) cost: ByteCost,
    pub(crate) only_far: bool,
    links: Mutex<Links>,
}

impl ZoneShares {
    /// Creates the shares of an ingress in the zone `home`, for other zones that are far, or for all.
    pub fn new(home: ZoneId, cost: ByteCost, only_far: bool) -> Self {
        Self {
            home,
            cost,
            only_far,
            links: Mutex::default(),
        }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Records a message that was answered, and tells the balancer what that changes. Returns the zone and what a
    /// round trip there adds at least if the balancer uses shares from now on, or no longer.
    pub(crate) fn record(
        &self,
        server: &ServerId,
        took: Span,
        served: Span,
        balancer: &mut Balancer,
    ) -> Option<(ZoneId, Span)> {
        let zone = balancer.server(server)?.member.zone.clone();
        let mut links = self.links();
        links.record(&zone, server, took, served);
        let least = links.least(&self.home, &zone)?;
        let is_changed = balancer.record_least(&zone, least);
        if balancer.uses_shares() && zone != self.home {
            let set = |zone: &ZoneId| {
                let added = links.added(&self.home, zone);
                added
                    .into_iter()
                    .for_each(|added| balancer.set_added(zone, added));
            };
            match is_changed {
                true => links.zones().for_each(set),
                false => [&zone].into_iter().for_each(set),
            }
        }
        is_changed.then_some((zone, least))
    }

    /// Forgets the servers that `keep` doesn't hold for.
    pub(crate) fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        self.links().retain(keep);
    }

    /// The round trips to all zones that are known.
    pub(crate) fn round_trips(&self) -> BTreeMap<ZoneId, Span> {
        self.links().round_trips()
    }

    /// Logs the shares of a service if they have changed since `logged`. Returns what was logged.
    pub(crate) fn log(&self, service: &ServiceId, spill: &Spill, logged: f64) -> Option<f64> {
        let total = spill.total();
        if (total - logged).abs() < LOGGED_CHANGE {
            return None;
        }
        let to: Vec<String> = spill
            .shares()
            .map(|(zone, share)| format!("{zone}:{share:.2}"))
            .collect();
        log::info!(
            service:% = service, from:% = self.home, leaving:% = format_args!("{total:.2}"),
            to:% = to.join(","), wait_us = spill.wait().0, saved_us = spill.saved().0;
            "zone_shares"
        );
        Some(total)
    }
}
