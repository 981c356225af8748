//! Reads of a registry, which stores only current values.

use std::sync::Arc;

use kameo::message::{Context, Message};
use platform::{PlatformError, RegistryContents};
use types::{Moment, Revision};

use super::{Source, ViewSync, tell};

/// State of reading the registry since startup.
#[derive(Debug, Default)]
pub(crate) struct ReadProgress {
    /// Whether the registry was read completely at least once.
    complete: bool,
    /// Whether the last read failed.
    failing: bool,
    /// Number of unusable entries in the last listing.
    unusable: usize,
}

#[derive(Debug)]
struct RegistryRead {
    sent_at: Moment,
    contents: Result<RegistryContents, PlatformError>,
}

impl Message<RegistryRead> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: RegistryRead, _ctx: &mut Context<Self, ()>) {
        match msg.contents {
            Ok(contents) => {
                self.record_success(msg.sent_at);
                self.apply_contents(contents);
                self.renew_lease(msg.sent_at);
                self.publish();
            }
            Err(error) => self.record_failure(&error, msg.sent_at),
        }
        self.try_become_ready();
    }
}

impl ViewSync {
    fn apply_contents(&mut self, contents: RegistryContents) {
        let now = self.board.clock.now();
        let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        else {
            return;
        };
        let RegistryContents {
            listing,
            operator_config,
        } = contents;
        if listing.unusable.len() != progress.unusable {
            progress.unusable = listing.unusable.len();
            log::warn!(
                keys:? = listing.unusable, revision:% = listing.stamp.revision;
                "entries_unusable"
            );
        }
        snapshot.update_listing(listing, now);
        match operator_config {
            Ok(config) => {
                let (version, out) = (config.version, config.zones_out.clone());
                progress.complete = true;
                if snapshot.update_config(config, now) {
                    log::info!(version, zones_out:? = out; "orders_read");
                }
            }
            Err(error) => {
                let cause = std::error::Error::source(&error).map(ToString::to_string);
                log::error!(error:% = error, cause; "registry_unusable");
            }
        }
        self.log_era_change();
    }

    /// Logs and counts a change of the registry's era, if one was just learned from a read or a
    /// peer.
    pub(super) fn log_era_change(&mut self) {
        let Source::Registry { snapshot, .. } = &mut self.source else {
            return;
        };
        if let Some(change) = snapshot.take_era_change() {
            self.metrics.record_control_message("era_change");
            log::warn!(
                before:% = change.before, after:% = change.after, kept = change.retained,
                added = change.added;
                "era_risen"
            );
        }
    }

    /// Records a successful read that started at `sent_at`.
    fn record_success(&mut self, sent_at: Moment) {
        self.reads += 1;
        self.gossip.set_platform_reachable(true);
        if let Source::Registry { progress, .. } = &mut self.source
            && std::mem::take(&mut progress.failing)
        {
            log::info!(reads = self.reads; "registry_regained");
        }
        let took = self.board.clock.now().since(sent_at);
        log::info!(took_us = took.0, revision:% = self.source.view().revision; "registry_read");
    }

    /// Records a failed read: the registry didn't answer, or its answer is malformed.
    fn record_failure(&mut self, error: &PlatformError, sent_at: Moment) {
        self.reads += 1;
        self.failed_reads += 1;
        self.gossip.set_platform_reachable(false);
        self.set_timer();
        let now = self.board.clock.now();
        if let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        {
            snapshot.on_read_failure(now);
            if !std::mem::replace(&mut progress.failing, true) {
                let took = now.since(sent_at);
                log::warn!(error:% = error, cause = cause_chain(error), took_us = took.0; "registry_lost");
            }
        }
    }

    /// Returns whether the snapshot is complete and was read from the registry or compared with
    /// ready peers.
    pub(super) fn is_snapshot_current(&self) -> bool {
        let Source::Registry {
            snapshot, progress, ..
        } = &self.source
        else {
            return false;
        };
        let compared = self.readiness.is_ready(self.gossip.is_behind());
        snapshot.is_complete() && (progress.complete || compared)
    }

    /// Adopts the newer revision that a peer has for the same view.
    pub(super) fn raise_revision(&mut self, revision: Revision) {
        let Source::Registry { snapshot, .. } = &mut self.source else {
            return;
        };
        if snapshot.view().digest == self.board.view.borrow().digest
            && snapshot.raise_revision(revision)
        {
            self.board.view.send_replace(Arc::clone(snapshot.view()));
        }
    }

    /// Drops entries that vanished from the registry and whose retention time has passed.
    pub(super) fn drop_expired(&mut self, now: Moment) {
        if let Source::Registry { snapshot, .. } = &mut self.source
            && snapshot.expire(now)
        {
            self.publish();
        }
    }

    /// Starts a read of the registry.
    pub(super) fn read_registry(&self) {
        let Source::Registry { registry, .. } = &self.source else {
            return;
        };
        self.metrics.record_control_message("read");
        let (registry, actor) = (Arc::clone(registry), self.actor.clone());
        let sent_at = self.board.clock.now();
        tokio::spawn(async move {
            let contents = registry.read().await;
            tell(actor, RegistryRead { sent_at, contents }).await;
        });
    }
}

/// The causes of an error, the outermost first. A timeout is only named by an inner one.
fn cause_chain(error: &PlatformError) -> String {
    let causes = std::iter::successors(std::error::Error::source(error), |e| e.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
