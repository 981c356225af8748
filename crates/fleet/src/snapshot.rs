//! A view made from a registry, which stores only current values.
//!
//! A snapshot has two parts, the listing of backend servers and the operators' configuration. Nodes
//! read them at different times and exchange them, so each part has the stamp of the registry, its
//! era and revision, and replaces only an older one.
//!
//! The listing is small, and is read as a whole. The configuration may be so large that a node needs
//! more than a second to receive it, so it is read only if it has changed since the stamp at which the
//! fleet last compared it with the registry. Peers with the same view exchange that stamp, since the
//! registry knows the changes of the last seconds only.
//!
//! # Corrections to the listing
//!
//! - *Delayed entries.* A delayed heartbeat may overwrite a newer one in the registry. Within one
//!   incarnation, an entry with a lower sequence number is ignored, and a backend server that is
//!   leaving remains so.
//! - *Entries that disappear during an outage.* Entries expire while their owners can't reach the
//!   registry. A node whose own read failed recently retains the entries, but only in its own view:
//!   peers get the listing as it was read.
//!
//! # Changes of era
//!
//! The registry may come back from an older copy of its contents. It then lacks what it had
//! acknowledged since, until operators and backend servers write it again, and it names a higher
//! era. The copy says less than the nodes know, so what they know is kept until it is written again
//! or the time for that has passed:
//!
//! - Entries that the copy lacks are retained as after an outage.
//! - A removed backend server that the copy still lists returns only with a further heartbeat.
//! - An older configuration doesn't replace a newer one. Versions order it, not stamps.
//! - Zones that were out of service remain so, in addition to those that the copy names. A node that
//!   starts meanwhile adopts them from its peers. Once operators have written a zone again, the nodes
//!   that have read it differ from the others in their digest, so all learn of it from peers in time.
//!
//! An answer of an older era changes nothing but a configuration with a newer version, whichever
//! way it comes.

mod parts;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use note::{Digest, ListedServer, Listing, OperatorConfig, ServerStatus, State, View};
use types::{Boot, Era, Moment, Revision, ServerId, Span, Stamp, ZoneId};

pub use parts::{Digests, EraChange, HeldZones, Parts};

/// Time after a failed read during which entries that disappear are retained: up to one second
/// until the registry recovers and is read again, and two seconds within which the platform
/// guarantees that live backend servers are listed again.
const RETENTION: Span = Span::from_millis(3_000);
/// Time after a change of era during which zones that were out of service remain so, within which
/// operators write again what the registry lost.
const HOLD: Span = Span::from_millis(3_000);
/// Maximum number of tombstones, which keep delayed entries from restoring removed backend servers:
/// several times the fleet size that is expected in two years.
const MAX_TOMBSTONES: usize = 4_096;

/// What is known of a removed backend server.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    boot: Boot,
    /// Highest sequence number that doesn't show that it is alive.
    seq: u64,
    /// Era in which that is known.
    era: Era,
}

/// The view in force and the parts from which it was made.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    view: Arc<View>,
    listing: Listing,
    /// Entries that disappeared from the listing and are retained temporarily.
    retained: Vec<ListedServer>,
    config: OperatorConfig,
    /// Zones that were out of service before the last change of era.
    held_zones: Vec<ZoneId>,
    /// Time until which they are kept out of service.
    hold_until: Moment,
    /// Latest era whose held zones are known.
    held_era: Era,
    digests: Digests,
    tombstones: BTreeMap<ServerId, Tombstone>,
    /// Time until which entries that disappear are retained.
    retain_until: Moment,
    era_change: Option<EraChange>,
}

impl Snapshot {
    /// The view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Digests of both parts.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Stamp of the listing.
    pub fn stamp(&self) -> Stamp {
        self.listing.stamp
    }

    /// Returns the last change of era, once.
    pub fn take_era_change(&mut self) -> Option<EraChange> {
        self.era_change.take()
    }

    /// Returns the parts that a peer with the digests `theirs` lacks at `now`.
    pub fn parts(&self, theirs: Digests, now: Moment) -> Parts {
        let own = self.digests;
        let held = HeldZones {
            era: self.held_era,
            zones: self.held_zones.clone(),
            left: self.hold_until.since(now),
        };
        Parts {
            revision: self.view.revision,
            listing: (own.listing != theirs.listing).then(|| self.listing.clone()),
            config: (own.config != theirs.config).then(|| self.config.clone()),
            held: (!held.zones.is_empty()).then_some(held),
        }
    }

    /// Whether both parts have been received.
    pub fn is_complete(&self) -> bool {
        self.config.version > 0 && self.listing.stamp.revision > Revision(0)
    }

    /// Handles a read of the registry that failed at `now`.
    pub fn on_read_failure(&mut self, now: Moment) {
        self.retain_until = now + RETENTION;
    }

    /// Replaces the listing if the new one is newer, and returns whether the view changed.
    pub fn update_listing(&mut self, mut listing: Listing, now: Moment) -> bool {
        if listing.stamp <= self.listing.stamp || !listing.stamp.is_valid() {
            return false;
        }
        let before = self.listing.stamp;
        let new_era = before.revision > Revision(0) && listing.stamp.era > before.era;
        if new_era {
            self.retain_until = self.retain_until.max(now + RETENTION);
        }
        self.raise_tombstones(&listing);
        let previous = std::mem::take(&mut self.listing.servers);
        let retained = std::mem::take(&mut self.retained);
        let known: BTreeMap<&ServerId, &ListedServer> = previous
            .iter()
            .chain(&retained)
            .map(|l| (&l.server.id, l))
            .collect();
        listing
            .servers
            .retain(|new| !is_removed(&self.tombstones, new));
        for new in &mut listing.servers {
            if let Some(old) = known.get(&new.server.id) {
                keep_newest(old, new);
            }
        }
        listing
            .servers
            .sort_by(|a, b| a.server.id.cmp(&b.server.id));
        let listed = |id: &ServerId| {
            let servers = &listing.servers;
            servers.binary_search_by(|l| l.server.id.cmp(id)).is_ok()
        };
        let missing: Vec<ListedServer> = previous
            .iter()
            .chain(&retained)
            .filter(|old| !listed(&old.server.id))
            .cloned()
            .collect();
        let unchanged = previous.len() == listing.servers.len()
            && previous
                .iter()
                .zip(&listing.servers)
                .all(|(a, b)| a.server == b.server);
        if new_era {
            let added = listing.servers.iter();
            self.era_change = Some(EraChange {
                before,
                after: listing.stamp,
                retained: missing.len(),
                added: added.filter(|l| !known.contains_key(&l.server.id)).count(),
            });
        }
        self.listing = listing;
        let expired = match now < self.retain_until {
            true => {
                self.retained = missing;
                false
            }
            false => {
                self.add_tombstones(&missing);
                !retained.is_empty()
            }
        };
        if !unchanged {
            let servers: Vec<_> = self.listing.servers.iter().map(|l| &l.server).collect();
            self.digests.listing = Digest::of(&servers);
        }
        if !unchanged || expired {
            self.rebuild(self.listing.stamp.revision);
        }
        !unchanged || expired
    }

    /// Removes entries whose retention has ended, and zones that are no longer held. Returns
    /// whether the view changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        let servers = !self.retained.is_empty() && now >= self.retain_until;
        let held = !self.held_zones.is_empty() && now >= self.hold_until;
        if servers {
            let retained = std::mem::take(&mut self.retained);
            self.add_tombstones(&retained);
        }
        if held {
            self.held_zones.clear();
        }
        let zones = held && self.update_config_digest();
        if servers || zones {
            self.rebuild(self.listing.stamp.revision);
        }
        servers || zones
    }

    /// Time at which [`expire`](Self::expire) must be called, if anything is kept temporarily.
    pub fn next_expiry(&self) -> Option<Moment> {
        let servers = (!self.retained.is_empty()).then_some(self.retain_until);
        let zones = (!self.held_zones.is_empty()).then_some(self.hold_until);
        servers.into_iter().chain(zones).min()
    }

    /// Version of the configuration in force, 0 if there is none yet.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Stamp at which the configuration was current for sure.
    pub fn proven(&self) -> Stamp {
        self.config.proven
    }

    /// Stamp up to which the configuration has been compared with the registry, `None` if there is no
    /// configuration yet.
    pub fn checked(&self) -> Option<Stamp> {
        let checked = self.config.checked;
        (checked.revision > Revision(0)).then_some(checked)
    }

    /// Records that the registry at `stamp` has no newer configuration, as a read or a peer with the
    /// same view showed.
    pub fn confirm_config(&mut self, stamp: Stamp) {
        if self.config.version > 0 && stamp.is_valid() {
            self.config.checked = self.config.checked.max(stamp);
        }
    }

    /// Replaces the zones out of service if those read at `stamp` are newer, and returns whether the
    /// view changed.
    pub fn update_zones(&mut self, zones_out: Vec<ZoneId>, stamp: Stamp, now: Moment) -> bool {
        if stamp <= self.config.stamp || !stamp.is_valid() {
            return false;
        }
        let new_era = self.config.version > 0 && stamp.era > self.config.stamp.era;
        if new_era {
            self.hold_zones(stamp.era, now);
        }
        let changed = new_era || self.config.zones_out != zones_out;
        (self.config.stamp, self.config.zones_out) = (stamp, zones_out);
        changed && self.apply_config()
    }

    /// Applies a configuration as the registry had it at `config.checked`, without zones. Returns
    /// whether the view changed.
    pub fn update_from_registry(&mut self, config: OperatorConfig, now: Moment) -> bool {
        let checked = config.checked;
        let zoned = OperatorConfig {
            stamp: self.config.stamp,
            zones_out: self.config.zones_out.clone(),
            ..config
        };
        let changed = self.update_config(zoned, now);
        self.confirm_config(checked);
        changed
    }

    /// Replaces what is older than in the new configuration, and returns whether the view changed.
    ///
    /// Services, routes and limits are ordered by the version alone, which the operators assign,
    /// and the zones out of service by the stamp.
    pub fn update_config(&mut self, config: OperatorConfig, now: Moment) -> bool {
        let own = &self.config;
        let newer_stamp = config.stamp > own.stamp;
        let newer_version = config.version > own.version;
        let valid = config.stamp.is_valid() && Revision(config.version).is_valid();
        if !valid || (!newer_stamp && !newer_version) {
            return false;
        }
        if own.version > 0 && config.stamp.era > own.stamp.era {
            self.hold_zones(config.stamp.era, now);
        }
        let own = &self.config;
        let mut merged = match newer_version || config.version == own.version {
            true => config.clone(),
            false => own.clone(),
        };
        if config.version == own.version {
            merged.checked = config.checked.max(own.checked);
        }
        (merged.stamp, merged.zones_out) = match newer_stamp {
            true => (config.stamp, config.zones_out),
            false => (own.stamp, own.zones_out.clone()),
        };
        self.config = merged;
        self.apply_config()
    }

    /// Applies the newer parts of a peer, and returns whether the view changed.
    pub fn merge(&mut self, parts: Parts, now: Moment) -> bool {
        let config = parts.config.is_some_and(|c| self.update_config(c, now));
        let listing = parts.listing.is_some_and(|l| self.update_listing(l, now));
        let held = parts.held.is_some_and(|h| self.adopt_held(h, now));
        config || listing || held
    }

    /// Adopts a peer's revision of the same view if it is newer, and returns whether it was.
    pub fn raise_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.view.revision && revision.is_valid();
        if newer {
            Arc::make_mut(&mut self.view).revision = revision;
        }
        newer
    }

    /// Keeps the zones that are out of service at a change of era.
    fn hold_zones(&mut self, era: Era, now: Moment) {
        self.held_zones = self.zones_out();
        self.held_era = era;
        self.hold_until = now + HOLD;
    }

    /// Adopts the zones that a peer holds since a change of era which this node hasn't seen, because
    /// it started later.
    fn adopt_held(&mut self, held: HeldZones, now: Moment) -> bool {
        if held.era <= self.held_era || held.era < self.config.stamp.era {
            return false;
        }
        self.held_zones = held.zones;
        self.held_era = held.era;
        self.hold_until = now + held.left.min(HOLD);
        self.apply_config()
    }

    /// Zones out of service: those in the registry, and those held after a change of era.
    fn zones_out(&self) -> Vec<ZoneId> {
        let all = self.config.zones_out.iter().chain(&self.held_zones);
        let distinct: BTreeSet<&ZoneId> = all.collect();
        distinct.into_iter().cloned().collect()
    }

    /// Rebuilds the view if the effective configuration changed, and returns whether it did.
    fn apply_config(&mut self) -> bool {
        let changed = self.update_config_digest();
        if changed {
            self.rebuild(self.config.stamp.revision);
        }
        changed
    }

    /// Zones that are out of service only because they are held.
    fn unconfirmed_zones(&self) -> Vec<&ZoneId> {
        let is_listed = |zone: &&ZoneId| self.config.zones_out.contains(zone);
        let held = self.held_zones.iter();
        held.filter(|zone| !is_listed(zone)).collect()
    }

    /// Updates the digest of the configuration, and returns whether it changed.
    ///
    /// It covers the zones that are held only. A node that knows that operators have written them again
    /// therefore differs from the others until these know it too, although the same zones are out.
    fn update_config_digest(&mut self) -> bool {
        let effective = OperatorConfig {
            stamp: Stamp::default(),
            checked: Stamp::default(),
            proven: Stamp::default(),
            zones_out: self.zones_out(),
            ..self.config.clone()
        };
        let unconfirmed = self.unconfirmed_zones();
        let digest = match unconfirmed.is_empty() {
            true => Digest::of(&effective),
            false => Digest::of(&(&effective, unconfirmed)),
        };
        let before = std::mem::replace(&mut self.digests.config, digest);
        before != digest
    }

    /// Raises the tombstones of removed backend servers to the entries that are first seen in a new
    /// era. They may come from the older copy, so they don't show that a backend server is alive.
    /// The next heartbeat does.
    fn raise_tombstones(&mut self, listing: &Listing) {
        for listed in &listing.servers {
            let tombstone = self.tombstones.get_mut(&listed.server.id);
            if let Some(tombstone) = tombstone
                && tombstone.boot == listed.server.boot
                && tombstone.era < listing.stamp.era
            {
                tombstone.seq = listed.seq.max(tombstone.seq);
                tombstone.era = listing.stamp.era;
            }
        }
    }

    fn add_tombstones(&mut self, missing: &[ListedServer]) {
        for old in missing {
            let tombstone = Tombstone {
                boot: old.server.boot,
                seq: old.seq,
                era: self.listing.stamp.era,
            };
            self.tombstones.insert(old.server.id.clone(), tombstone);
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_first();
        }
    }

    fn rebuild(&mut self, revision: Revision) {
        // Both parts may come from the same registry revision, but each change needs a new one.
        let revision = revision.max(self.view.revision.next());
        let digests = [self.digests.listing, self.digests.config];
        let listing = Listing {
            servers: [&self.listing.servers[..], &self.retained[..]].concat(),
            ..Listing::default()
        };
        let config = OperatorConfig {
            zones_out: self.zones_out(),
            ..self.config.clone()
        };
        self.view = Arc::new(View {
            revision,
            digest: Digest::of(&digests),
            state: State::assemble(&listing, &config, revision),
            ..View::default()
        });
    }
}

/// Whether an entry was written before its backend server was removed.
fn is_removed(tombstones: &BTreeMap<ServerId, Tombstone>, new: &ListedServer) -> bool {
    let tombstone = tombstones.get(&new.server.id);
    tombstone.is_some_and(|t| {
        new.server.boot < t.boot || (new.server.boot == t.boot && new.seq <= t.seq)
    })
}

/// Replaces a delayed entry by the known newer one, and keeps the status of a leaving backend
/// server.
fn keep_newest(old: &ListedServer, new: &mut ListedServer) {
    match old.server.boot.cmp(&new.server.boot) {
        std::cmp::Ordering::Greater => *new = old.clone(),
        std::cmp::Ordering::Equal if new.seq < old.seq => *new = old.clone(),
        std::cmp::Ordering::Equal if old.server.status == ServerStatus::Leaving => {
            new.server.status = ServerStatus::Leaving;
        }
        _ => {}
    }
}
