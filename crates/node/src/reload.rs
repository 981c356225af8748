//! Reload of settings while the node runs.
//!
//! The file is read again on SIGHUP and when its modification time changes. `log`, `stop_ms` and
//! `linger_ms` take effect at once. Other settings take effect at startup only; the node logs the
//! changed ones that [`needs_restart`] names. If the file is unreadable or invalid, the error is
//! logged and the previous settings stay in force.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    logs,
    settings::{self, Settings},
};

/// Time between two checks of the file's modification time. It adds little to the time that an
/// operator waits after an edit.
const POLL_PERIOD: Duration = Duration::from_millis(1_000);

/// The settings in force and the file that they were loaded from.
#[derive(Debug)]
pub(crate) struct Reload {
    settings: Settings,
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl Reload {
    pub(crate) fn new(settings: Settings, path: &Path) -> Self {
        Self {
            settings,
            modified: modified(path),
            path: path.to_owned(),
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reloads the file on each change and each SIGHUP. Never returns.
    pub(crate) async fn watch(&mut self, hup: &mut Signal) {
        loop {
            tokio::select! {
                _ = hup.recv() => self.reload("signal"),
                () = sleep(POLL_PERIOD) => {
                    if modified(&self.path) != self.modified {
                        self.reload("file");
                    }
                }
            }
        }
    }

    fn reload(&mut self, cause: &str) {
        self.modified = modified(&self.path);
        match settings::load(&self.path) {
            Ok(new) => self.apply(new, cause),
            Err(error) => {
                let reason = std::error::Error::source(&error).map(ToString::to_string);
                log::error!(cause, error:% = error, reason; "settings_refused");
            }
        }
    }

    fn apply(&mut self, new: Settings, cause: &str) {
        let restart = needs_restart(&self.settings, &new);
        let unchanged = self.settings == new;
        logs::set_level(new.log);
        let old = &mut self.settings;
        (old.log, old.stop_ms, old.linger_ms) = (new.log, new.stop_ms, new.linger_ms);
        match restart.is_empty() {
            true => log::info!(cause, changed = !unchanged; "settings_reloaded"),
            false => log::warn!(cause, fields:? = restart; "settings_need_restart"),
        }
    }
}

/// Returns the file's modification time, `None` if it can't be read, for example while the file is
/// being replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}

/// Returns the names of changed settings that only take effect at startup.
fn needs_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let fields = [
        ("host", old.host != new.host),
        ("zone", old.zone != new.zone),
        ("listen", old.listen != new.listen),
        ("node", old.node != new.node),
        ("admin", old.admin != new.admin),
        ("platform", old.platform != new.platform),
        ("conventions", old.conventions != new.conventions),
        ("service", old.service != new.service),
        ("readiness", old.readiness != new.readiness),
        ("seeds", old.seeds != new.seeds),
        ("reads", old.reads != new.reads),
        ("repeats", old.repeats != new.repeats),
        ("offer_bytes", old.offer_bytes != new.offer_bytes),
        ("lease_ms", old.lease_ms != new.lease_ms),
        // Unset in the file if the command line sets it.
        (
            "key_lease_ms",
            new.key_lease_ms.is_some() && old.key_lease_ms != new.key_lease_ms,
        ),
        ("threads", old.threads != new.threads),
        ("policy", old.policy != new.policy),
        ("zones", old.zones != new.zones),
        ("zone_cost", old.zone_cost != new.zone_cost),
    ];
    let changed = fields.into_iter().filter(|(_, changed)| *changed);
    changed.map(|(field, _)| field).collect()
}
