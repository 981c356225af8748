//! Reads of a registry, which stores only current values.

use std::sync::Arc;

use fleet::Parts;
use kameo::message::{Context, Message};
use note::{Fault, OperatorConfig};
use platform::{ConfigRead, PlatformError, RefusedVersion, RegistryEntries, UnusableItem};
use types::{Moment, Revision, Stamp};

use super::{Source, ViewSync, keys::proven_at, tell};

/// Maximum number of unusable items that one line of the log shows.
const MAX_LOGGED_ITEMS: usize = 20;
/// Maximum number of faults of a configuration that one line of the log shows.
const MAX_LOGGED_FAULTS: usize = 20;

/// The first part of a read has ended.
#[derive(Debug)]
struct EntriesRead {
    sent_at: Moment,
    entries: Result<RegistryEntries, PlatformError>,
}

/// The second part of a read has ended.
#[derive(Debug)]
struct ConfigEnded {
    sent_at: Moment,
    /// When the configuration was current, if it was read.
    proven_at: Moment,
    /// Stamp of the entries that were read before.
    entries: Stamp,
    config: Result<ConfigRead, PlatformError>,
}

impl Message<EntriesRead> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: EntriesRead, _ctx: &mut Context<Self, ()>) {
        match msg.entries {
            Ok(entries) => {
                self.apply_entries(entries);
                self.publish();
            }
            Err(error) => self.record_failure(&error, msg.sent_at),
        }
        self.try_join();
    }
}

impl Message<ConfigEnded> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: ConfigEnded, _ctx: &mut Context<Self, ()>) {
        match msg.config {
            Ok(config) => {
                self.record_success(msg.sent_at);
                self.apply_config(config, Some(msg.entries));
                self.renew_lease(msg.sent_at);
                self.publish();
                self.publish_checked();
                self.confirm_keys(msg.proven_at);
            }
            Err(error @ (PlatformError::NotFound { .. } | PlatformError::Decode { .. })) => {
                self.record_success(msg.sent_at);
                self.renew_lease(msg.sent_at);
                self.record_config_error(&error);
            }
            Err(error) => self.record_failure(&error, msg.sent_at),
        }
        self.try_join();
    }
}

impl ViewSync {
    fn apply_entries(&mut self, entries: RegistryEntries) {
        let now = self.board.clock.now();
        let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        else {
            return;
        };
        let RegistryEntries {
            listing,
            zones_out,
            unusable,
        } = entries;
        let stamp = listing.stamp;
        if !has_same_keys(&progress.unusable, &unusable) {
            let shown = unusable.iter().take(MAX_LOGGED_ITEMS);
            let shown: Vec<String> = shown.map(ToString::to_string).collect();
            log::warn!(
                count = unusable.len(), items = shown.join("; "), revision:% = stamp.revision;
                "entries_unusable"
            );
        }
        self.metrics.record_unusable_items(unusable.len());
        progress.unusable = unusable;
        snapshot.update_listing(listing, now);
        let out = zones_out.clone();
        if snapshot.update_zones(zones_out, stamp, now) {
            log::info!(zones_out:? = out; "orders_read");
        }
        self.log_era_change();
    }

    /// Applies the result of a read of the configuration. If entries were read before it, it holds at their
    /// stamp too.
    pub(super) fn apply_config(&mut self, config: ConfigRead, entries: Option<Stamp>) {
        let now = self.board.clock.now();
        let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        else {
            return;
        };
        progress.complete |= entries.is_some();
        progress.config_error = None;
        let (checked, changed, refused) = match config {
            ConfigRead::Unchanged(stamp) => (stamp, None, Vec::new()),
            ConfigRead::Changed(config) => (config.checked, Some(*config), Vec::new()),
            ConfigRead::Refused(read) => (read.checked, read.valid, read.refused),
        };
        let checked = checked.max(entries.unwrap_or_default());
        progress.watch.on_unchanged(checked, now);
        if let Some(config) = changed {
            let version = config.version;
            if !config.unusable.is_empty() {
                let (count, faults) = (config.unusable.len(), shown_faults(&config.unusable));
                log::warn!(version, count, faults; "config_entries_unusable");
            }
            progress.watch.on_read(config.proven);
            let config = OperatorConfig { checked, ..config };
            if snapshot.update_from_registry(config, now) {
                log::info!(version; "orders_read");
            }
        }
        snapshot.confirm_config(checked);
        refused.into_iter().for_each(|r| self.record_refused(r));
        self.log_era_change();
    }

    /// Logs and counts a refused version of the configuration, once while it is the last one.
    fn record_refused(&mut self, refused: RefusedVersion) {
        let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        else {
            return;
        };
        if progress.refused.as_ref() == Some(&refused) {
            return;
        }
        self.metrics
            .record_refused_config(refused.version.unwrap_or_default());
        log::error!(
            version = refused.version.unwrap_or_default(), in_force = snapshot.config_version(),
            count = refused.faults.len(), faults = shown_faults(&refused.faults);
            "config_refused"
        );
        progress.refused = Some(refused);
    }

    /// Logs a read that found no configuration, once until it changes.
    fn record_config_error(&mut self, error: &PlatformError) {
        let Source::Registry { progress, .. } = &mut self.source else {
            return;
        };
        let text = format!("{error}: {}", cause_chain(error));
        if progress.config_error.as_ref() != Some(&text) {
            log::error!(error:% = error, cause = cause_chain(error); "registry_unusable");
            progress.config_error = Some(text);
        }
    }

    /// Adopts the stamp up to which a peer with the same view has compared the configuration.
    pub(super) fn confirm_config(&mut self, checked: Stamp) {
        let now = self.board.clock.now();
        if let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        {
            snapshot.confirm_config(checked);
            progress.watch.on_unchanged(checked, now);
            self.publish_checked();
        }
    }

    /// Merges what a peer's snapshot has newer.
    pub(super) fn merge_parts(&mut self, parts: Parts) {
        let now = self.board.clock.now();
        if let Source::Registry {
            snapshot, progress, ..
        } = &mut self.source
        {
            let before = snapshot.config_version();
            snapshot.merge(parts, now);
            if snapshot.config_version() != before {
                progress.watch.on_read(snapshot.proven());
            }
        }
        self.log_era_change();
    }

    /// Publishes the stamp up to which the configuration in the published view has been compared.
    pub(super) fn publish_checked(&self) {
        self.board.checked.send_replace(self.source.checked());
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
        if let Source::Registry { progress, .. } = &mut self.source {
            progress.reading = false;
            if std::mem::take(&mut progress.failing) {
                log::info!(reads = self.reads; "registry_regained");
            }
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
            progress.reading = false;
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

    /// Starts a read of the registry, unless one is in progress.
    ///
    /// The entries come first and are applied at once: a change of the configuration may take more than
    /// a second to receive.
    pub(super) fn read_registry(&mut self) {
        let Source::Registry {
            registry, progress, ..
        } = &mut self.source
        else {
            return;
        };
        if std::mem::replace(&mut progress.reading, true) {
            return;
        }
        self.metrics.record_control_message("read");
        let (registry, actor) = (Arc::clone(registry), self.actor.clone());
        let sent_at = self.board.clock.now();
        let known = progress.known_config(sent_at);
        let clock = self.board.clock;
        tokio::spawn(async move {
            let entries = registry.entries().await;
            let stamp = entries.as_ref().map(|e| e.listing.stamp).ok();
            tell(actor.clone(), EntriesRead { sent_at, entries }).await;
            if let Some(entries) = stamp {
                let proven_at = proven_at(known.is_some(), clock.now());
                let config = registry.config(known).await;
                let ended = ConfigEnded {
                    sent_at,
                    proven_at,
                    entries,
                    config,
                };
                tell(actor, ended).await;
            }
        });
    }
}

/// The first faults, as logs show them.
fn shown_faults(faults: &[Fault]) -> String {
    let shown = faults.iter().take(MAX_LOGGED_FAULTS);
    shown
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

fn has_same_keys(before: &[UnusableItem], now: &[UnusableItem]) -> bool {
    let keys = |items: &[UnusableItem]| items.iter().map(|i| i.key.clone()).collect::<Vec<_>>();
    keys(before) == keys(now)
}

/// The causes of an error, the outermost first. A timeout is only named by an inner one.
fn cause_chain(error: &PlatformError) -> String {
    let causes = std::iter::successors(std::error::Error::source(error), |e| e.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
