//! Settings that change while the node runs.
//!
//! The file is read again on SIGHUP, and when its time of change shows that somebody wrote it. Some
//! settings are put in force at once; a change of another one is logged and needs a restart. A file
//! that can't be used is logged, and the settings before it stay.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::{signal::unix::Signal, time::sleep};

use crate::{logs, settings, settings::Settings};

/// Time between two looks whether the file changed: well within what operators wait for.
const LOOK_PERIOD: Duration = Duration::from_millis(1_000);

/// The settings in force, and the file that they came from.
#[derive(Debug)]
pub(crate) struct Reload {
    settings: Settings,
    path: PathBuf,
    written: Option<SystemTime>,
}

impl Reload {
    pub(crate) fn new(settings: Settings, path: &Path) -> Self {
        Self {
            settings,
            written: written(path),
            path: path.to_owned(),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Follows the file for as long as it is polled.
    pub(crate) async fn follow(&mut self, hup: &mut Signal) {
        loop {
            tokio::select! {
                _ = hup.recv() => self.reload("signal"),
                () = sleep(LOOK_PERIOD) => {
                    if written(&self.path) != self.written {
                        self.reload("file");
                    }
                }
            }
        }
    }

    fn reload(&mut self, cause: &str) {
        self.written = written(&self.path);
        match settings::load(&self.path) {
            Ok(new) => self.take(new, cause),
            Err(error) => {
                let reason = std::error::Error::source(&error).map(ToString::to_string);
                log::error!(cause, error:% = error, reason; "settings_refused");
            }
        }
    }

    fn take(&mut self, new: Settings, cause: &str) {
        let restart = needs_restart(&self.settings, &new);
        let same = self.settings == new;
        logs::set_level(new.log);
        let old = &mut self.settings;
        (old.log, old.stop_ms, old.linger_ms) = (new.log, new.stop_ms, new.linger_ms);
        match restart.is_empty() {
            true => log::info!(cause, changed = !same; "settings_reloaded"),
            false => log::warn!(cause, fields:? = restart; "settings_need_restart"),
        }
    }
}

/// When the file was written last, `None` if that can't be told, as for a file that is just replaced.
fn written(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}

/// Changed settings that are read at the start only.
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
        ("lease_ms", old.lease_ms != new.lease_ms),
        ("threads", old.threads != new.threads),
        ("policy", old.policy != new.policy),
    ];
    let changed = fields.into_iter().filter(|(_, changed)| *changed);
    changed.map(|(field, _)| field).collect()
}
