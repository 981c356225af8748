//! A view made from a registry, which stores only current values.
//!
//! A snapshot has two parts, the listing of backend servers and the operators' configuration. Nodes
//! read them at different times and exchange them, so each part has the revision of the registry
//! and replaces only an older one.
//!
//! # Corrections to the listing
//!
//! - *Delayed entries.* A delayed heartbeat may overwrite a newer one in the registry. Within one
//!   incarnation, an entry with a lower sequence number is ignored, and a backend server that is
//!   leaving remains so.
//! - *Entries that disappear during an outage.* Entries expire while their owners can't reach the
//!   registry. A node whose own read failed recently retains the entries, but only in its own view:
//!   peers get the listing as it was read.

use std::{collections::BTreeMap, sync::Arc};

use note::{Digest, ListedServer, Listing, OperatorConfig, ServerStatus, State, View};
use serde::{Deserialize, Serialize};
use types::{Boot, Moment, Revision, ServerId, Span};

/// Time after a failed read during which entries that disappear are retained: up to one second
/// until the registry recovers and is read again, and two seconds within which the platform
/// guarantees that live backend servers are listed again.
const RETENTION: Span = Span::from_millis(3_000);
/// Maximum number of tombstones, which keep delayed entries from restoring removed backend servers:
/// several times the fleet size that is expected in two years.
const MAX_TOMBSTONES: usize = 4_096;

/// The parts of a snapshot that a peer lacks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    /// Revision of the sender's view.
    pub revision: Revision,
    /// The backend servers, unless the peer has the same ones.
    pub listing: Option<Listing>,
    /// The operators' configuration, unless the peer has the same one. It may be large.
    #[serde(rename = "orders")]
    pub config: Option<OperatorConfig>,
}

/// Digests of both parts, without the values that change with each heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digests {
    /// Digest of the backend servers.
    pub listing: Digest,
    /// Digest of the operators' configuration.
    pub config: Digest,
}

/// The view in force and the parts from which it was made.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    view: Arc<View>,
    listing: Listing,
    /// Entries that disappeared from the listing and are retained temporarily.
    retained: Vec<ListedServer>,
    config: OperatorConfig,
    digests: Digests,
    /// Incarnation and last sequence number of removed backend servers.
    tombstones: BTreeMap<ServerId, (Boot, u64)>,
    /// Time until which entries that disappear are retained.
    retain_until: Moment,
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

    /// Returns the parts that a peer with the digests `theirs` lacks.
    pub fn parts(&self, theirs: Digests) -> Parts {
        let own = self.digests;
        Parts {
            revision: self.view.revision,
            listing: (own.listing != theirs.listing).then(|| self.listing.clone()),
            config: (own.config != theirs.config).then(|| self.config.clone()),
        }
    }

    /// Whether both parts have been received.
    pub fn is_complete(&self) -> bool {
        self.config.version > 0 && self.listing.revision > Revision(0)
    }

    /// Handles a read of the registry that failed at `now`.
    pub fn on_read_failure(&mut self, now: Moment) {
        self.retain_until = now + RETENTION;
    }

    /// Replaces the listing if the new one is newer, and returns whether the view changed.
    pub fn update_listing(&mut self, mut listing: Listing, now: Moment) -> bool {
        if listing.revision <= self.listing.revision {
            return false;
        }
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
            self.rebuild(self.listing.revision);
        }
        !unchanged || expired
    }

    /// Removes entries whose retention has ended, and returns whether the view changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        if self.retained.is_empty() || now < self.retain_until {
            return false;
        }
        let retained = std::mem::take(&mut self.retained);
        self.add_tombstones(&retained);
        self.rebuild(self.listing.revision);
        true
    }

    /// Time at which [`expire`](Self::expire) must be called, if any entries are retained.
    pub fn next_expiry(&self) -> Option<Moment> {
        (!self.retained.is_empty()).then_some(self.retain_until)
    }

    /// Replaces the operators' configuration if the new one is newer, and returns whether the view
    /// changed.
    pub fn update_config(&mut self, config: OperatorConfig) -> bool {
        let own = &mut self.config;
        if config.revision <= own.revision || config.version < own.version {
            return false;
        }
        own.revision = config.revision;
        let unchanged = *own == config;
        self.config = config;
        if !unchanged {
            self.digests.config = Digest::of(&OperatorConfig {
                revision: Revision(0),
                ..self.config.clone()
            });
            self.rebuild(self.config.revision);
        }
        !unchanged
    }

    /// Applies the newer parts of a peer, and returns whether the view changed.
    pub fn merge(&mut self, parts: Parts, now: Moment) -> bool {
        let config = parts.config.is_some_and(|c| self.update_config(c));
        let listing = parts.listing.is_some_and(|l| self.update_listing(l, now));
        config || listing
    }

    /// Adopts a peer's revision of the same view if it is newer, and returns whether it was.
    pub fn raise_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.view.revision;
        if newer {
            Arc::make_mut(&mut self.view).revision = revision;
        }
        newer
    }

    fn add_tombstones(&mut self, missing: &[ListedServer]) {
        for old in missing {
            let tombstone = (old.server.boot, old.seq);
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
        self.view = Arc::new(View {
            revision,
            digest: Digest::of(&digests),
            state: State::assemble(&listing, &self.config, revision),
            ..View::default()
        });
    }
}

/// Whether an entry was written before its backend server was removed.
fn is_removed(tombstones: &BTreeMap<ServerId, (Boot, u64)>, new: &ListedServer) -> bool {
    let tombstone = tombstones.get(&new.server.id);
    tombstone.is_some_and(|(boot, seq)| {
        new.server.boot < *boot || (new.server.boot == *boot && new.seq <= *seq)
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
