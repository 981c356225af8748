//! A view that is a whole state, read from a registry that keeps newest values only.
//!
//! A snapshot has two parts, the listing of backend servers and the orders of operators. Nodes read
//! them at different moments and give them to each other, so each part carries the registry's
//! revision and is taken only if it is newer. Neither ever goes back.
//!
//! # What isn't taken at its word
//!
//! - *An old entry.* A heartbeat that was delayed on its way may overwrite a newer one. Within one
//!   incarnation an entry with a lower number is passed over, and a backend server that was leaving
//!   stays so.
//! - *An entry that vanished around an outage.* Entries expire while their owners can't reach the
//!   registry. A node whose own read failed lately keeps what was listed, in its own view only: peers
//!   get the listing as it was read.

use std::{collections::BTreeMap, sync::Arc};

use note::{Digest, ListedServer, Listing, OperatorConfig, ServerStatus, State, View};
use serde::{Deserialize, Serialize};
use types::{Boot, Moment, Revision, ServerId, Span};

/// Time after a failed read for which entries that vanish are kept: up to a second until the registry
/// is back and read again, and two in which the platform promises that live backend servers are listed
/// again.
const HOLD: Span = Span::from_millis(3_000);
/// Backend servers that are gone and remembered, so that a late entry doesn't bring them back: several
/// times the fleet of two years from now.
const MOST_GONE: usize = 4_096;

/// What a peer lacks, as nodes give it to each other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    /// Revision of the giver's view.
    pub revision: Revision,
    /// The backend servers, unless the peer knows the same.
    pub listing: Option<Listing>,
    /// What operators want, unless the peer knows the same. It may be large.
    pub orders: Option<OperatorConfig>,
}

/// Digests of both parts, without what changes with each heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digests {
    /// Of the backend servers.
    pub listing: Digest,
    /// Of what operators want.
    pub orders: Digest,
}

/// The view in force and the parts that it was made of.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    view: Arc<View>,
    listing: Listing,
    /// Entries that vanished from the listing and are kept for now.
    held: Vec<ListedServer>,
    orders: OperatorConfig,
    digests: Digests,
    gone: BTreeMap<ServerId, (Boot, u64)>,
    /// Until when entries that vanish are kept.
    hold: Moment,
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

    /// The parts that a peer with these digests lacks.
    pub fn parts(&self, theirs: Digests) -> Parts {
        let own = self.digests;
        Parts {
            revision: self.view.revision,
            listing: (own.listing != theirs.listing).then(|| self.listing.clone()),
            orders: (own.orders != theirs.orders).then(|| self.orders.clone()),
        }
    }

    /// Whether anything of both parts is known.
    pub fn is_complete(&self) -> bool {
        self.orders.version > 0 && self.listing.revision > Revision(0)
    }

    /// A read of the registry failed at `now`.
    pub fn on_read_failure(&mut self, now: Moment) {
        self.hold = now + HOLD;
    }

    /// Takes a listing if it is newer, and tells whether the view changed.
    pub fn update_listing(&mut self, mut listing: Listing, now: Moment) -> bool {
        if listing.revision <= self.listing.revision {
            return false;
        }
        let before = std::mem::take(&mut self.listing.servers);
        let held = std::mem::take(&mut self.held);
        let known: BTreeMap<&ServerId, &ListedServer> = before
            .iter()
            .chain(&held)
            .map(|l| (&l.server.id, l))
            .collect();
        listing.servers.retain(|new| !is_ghost(&self.gone, new));
        for new in &mut listing.servers {
            if let Some(old) = known.get(&new.server.id) {
                keep_newer(old, new);
            }
        }
        listing
            .servers
            .sort_by(|a, b| a.server.id.cmp(&b.server.id));
        let listed = |id: &ServerId| {
            let servers = &listing.servers;
            servers.binary_search_by(|l| l.server.id.cmp(id)).is_ok()
        };
        let vanished: Vec<ListedServer> = before
            .iter()
            .chain(&held)
            .filter(|old| !listed(&old.server.id))
            .cloned()
            .collect();
        let same = before.len() == listing.servers.len()
            && before
                .iter()
                .zip(&listing.servers)
                .all(|(a, b)| a.server == b.server);
        self.listing = listing;
        let dropped = match now < self.hold {
            true => {
                self.held = vanished;
                false
            }
            false => {
                self.bury(&vanished);
                !held.is_empty()
            }
        };
        if !same {
            let servers: Vec<_> = self.listing.servers.iter().map(|l| &l.server).collect();
            self.digests.listing = Digest::of(&servers);
        }
        if !same || dropped {
            self.rebuild(self.listing.revision);
        }
        !same || dropped
    }

    /// Drops what was kept long enough, and tells whether the view changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        if self.held.is_empty() || now < self.hold {
            return false;
        }
        let held = std::mem::take(&mut self.held);
        self.bury(&held);
        self.rebuild(self.listing.revision);
        true
    }

    /// The moment at which [`expire`](Self::expire) has something to do, if any.
    pub fn next_expiry(&self) -> Option<Moment> {
        (!self.held.is_empty()).then_some(self.hold)
    }

    /// Takes orders if they are newer, and tells whether the view changed.
    pub fn update_orders(&mut self, orders: OperatorConfig) -> bool {
        let own = &mut self.orders;
        if orders.revision <= own.revision || orders.version < own.version {
            return false;
        }
        own.revision = orders.revision;
        let same = *own == orders;
        self.orders = orders;
        if !same {
            self.digests.orders = Digest::of(&OperatorConfig {
                revision: Revision(0),
                ..self.orders.clone()
            });
            self.rebuild(self.orders.revision);
        }
        !same
    }

    /// Takes what is newer of a peer's parts, and tells whether the view changed.
    pub fn merge(&mut self, parts: Parts, now: Moment) -> bool {
        let orders = parts.orders.is_some_and(|o| self.update_orders(o));
        let listing = parts.listing.is_some_and(|l| self.update_listing(l, now));
        orders || listing
    }

    /// A peer has the same view under a newer revision. Tells whether the own revision changed.
    pub fn raise_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.view.revision;
        if newer {
            Arc::make_mut(&mut self.view).revision = revision;
        }
        newer
    }

    fn bury(&mut self, vanished: &[ListedServer]) {
        for old in vanished {
            let mark = (old.server.boot, old.beat);
            self.gone.insert(old.server.id.clone(), mark);
        }
        while self.gone.len() > MOST_GONE {
            self.gone.pop_first();
        }
    }

    fn rebuild(&mut self, revision: Revision) {
        // Both parts may have been read at the same revision, but each makes another view.
        let revision = revision.max(self.view.revision.next());
        let digests = [self.digests.listing, self.digests.orders];
        let listing = Listing {
            servers: [&self.listing.servers[..], &self.held[..]].concat(),
            ..Listing::default()
        };
        self.view = Arc::new(View {
            revision,
            digest: Digest::of(&digests),
            state: State::assemble(&listing, &self.orders, revision),
            ..View::default()
        });
    }
}

/// Whether an entry was written before its backend server went.
fn is_ghost(gone: &BTreeMap<ServerId, (Boot, u64)>, new: &ListedServer) -> bool {
    let mark = gone.get(&new.server.id);
    mark.is_some_and(|(boot, beat)| {
        new.server.boot < *boot || (new.server.boot == *boot && new.beat <= *beat)
    })
}

/// Puts the older entry back in place of one that was delayed, and keeps a leaving server leaving.
fn keep_newer(old: &ListedServer, new: &mut ListedServer) {
    match old.server.boot.cmp(&new.server.boot) {
        std::cmp::Ordering::Greater => *new = old.clone(),
        std::cmp::Ordering::Equal if new.beat < old.beat => *new = old.clone(),
        std::cmp::Ordering::Equal if old.server.status == ServerStatus::Leaving => {
            new.server.status = ServerStatus::Leaving;
        }
        _ => {}
    }
}
