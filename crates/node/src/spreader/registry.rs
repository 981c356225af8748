//! Reads a registry, in the node's turns.

use std::sync::Arc;

use kameo::message::{Context, Message};
use platform::{PlatformError, RegistryContents};
use types::{Moment, Revision};

use super::{Source, Spreader, tell};

/// How far reading has come since the start.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    /// Whether all was read once.
    complete: bool,
    /// Whether the last read failed.
    failing: bool,
    /// Number of entries that couldn't be used in the last listing.
    unusable: usize,
}

#[derive(Debug)]
struct ReadRegistry {
    asked: Moment,
    contents: Result<RegistryContents, PlatformError>,
}

impl Message<ReadRegistry> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: ReadRegistry, _ctx: &mut Context<Self, ()>) {
        match msg.contents {
            Ok(contents) => {
                self.note_answer();
                self.take_contents(contents);
                self.renew(msg.asked);
                self.publish();
            }
            Err(error) => self.note_failure(&error),
        }
        self.try_ready();
    }
}

impl Spreader {
    fn take_contents(&mut self, contents: RegistryContents) {
        let now = self.board.clock.now();
        let Source::Registry {
            snapshot, reading, ..
        } = &mut self.source
        else {
            return;
        };
        let RegistryContents { listing, orders } = contents;
        if listing.unusable.len() != reading.unusable {
            reading.unusable = listing.unusable.len();
            log::warn!(keys:? = listing.unusable, revision:% = listing.revision; "entries_unusable");
        }
        snapshot.take_listing(listing, now);
        match orders {
            Ok(orders) => {
                let (version, out) = (orders.version, orders.out.clone());
                reading.complete = true;
                if snapshot.take_orders(orders) {
                    log::info!(version, zones_out:? = out; "orders_read");
                }
            }
            Err(error) => {
                let cause = std::error::Error::source(&error).map(ToString::to_string);
                log::error!(error:% = error, cause; "registry_unusable");
            }
        }
    }

    /// The registry answered a read.
    fn note_answer(&mut self) {
        self.reads += 1;
        self.spread.set_reaching(true);
        if let Source::Registry { reading, .. } = &mut self.source
            && std::mem::take(&mut reading.failing)
        {
            log::info!(reads = self.reads; "registry_regained");
        }
    }

    /// The registry didn't answer a read, or with what can't be understood.
    fn note_failure(&mut self, error: &PlatformError) {
        self.reads += 1;
        self.failed_reads += 1;
        self.spread.set_reaching(false);
        self.set_timer();
        let now = self.board.clock.now();
        if let Source::Registry {
            snapshot, reading, ..
        } = &mut self.source
        {
            snapshot.failed(now);
            if !std::mem::replace(&mut reading.failing, true) {
                let cause = std::error::Error::source(error).map(ToString::to_string);
                log::warn!(error:% = error, cause; "registry_lost");
            }
        }
    }

    /// Whether the view is as new as the registry's: read from there, or from peers that are ready.
    pub(super) fn is_known(&self) -> bool {
        let Source::Registry {
            snapshot, reading, ..
        } = &self.source
        else {
            return false;
        };
        let compared = self.join.is_ready(self.spread.is_behind());
        snapshot.is_complete() && (reading.complete || compared)
    }

    /// A peer has the same view under a newer revision.
    pub(super) fn raise(&mut self, revision: Revision) {
        let Source::Registry { snapshot, .. } = &mut self.source else {
            return;
        };
        if snapshot.view().digest == self.board.view.borrow().digest && snapshot.raise(revision) {
            self.board.view.send_replace(Arc::clone(snapshot.view()));
        }
    }

    /// Drops entries that were kept long enough.
    pub(super) fn expire(&mut self, now: Moment) {
        if let Source::Registry { snapshot, .. } = &mut self.source
            && snapshot.expire(now)
        {
            self.publish();
        }
    }

    pub(super) fn read_registry(&self) {
        let Source::Registry { registry, .. } = &self.source else {
            return;
        };
        self.meter.control("read");
        let (registry, actor) = (Arc::clone(registry), self.actor.clone());
        let asked = self.board.clock.now();
        tokio::spawn(async move {
            let contents = registry.read().await;
            tell(actor, ReadRegistry { asked, contents }).await;
        });
    }
}
