//! A registry whose watch reports no changes for a while, and then has forgotten them.

use std::sync::{Mutex, MutexGuard};

use tokio::time::sleep;

use super::*;

/// Time for which the watch of the users' registry may report nothing.
const SILENT_TIME: Duration = Duration::from_millis(1_000);
/// Time within which the users require a change to be in force.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A registry whose revision increases with each read, as backend servers send heartbeats.
#[derive(Default)]
struct WatchedRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Default)]
struct RegistryState {
    revision: u64,
    version: u64,
    /// Revision of the configuration.
    written_at: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    silent: bool,
}

impl WatchedRegistry {
    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().expect("no test panics with the lock")
    }

    fn write_config(&self, version: u64) {
        let mut state = self.state();
        state.revision += 1;
        (state.version, state.written_at) = (version, state.revision);
    }
}

impl Registry for WatchedRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        let mut state = self.state();
        state.revision += 1;
        let listing = Listing {
            stamp: Stamp::without_era(Revision(state.revision)),
            ..Listing::default()
        };
        async {
            Ok(RegistryEntries {
                listing,
                ..RegistryEntries::default()
            })
        }
        .boxed()
    }

    fn config(&self, known: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        let state = self.state();
        let stamp = Stamp::without_era(Revision(state.revision));
        let known = known.map_or(0, |stamp| stamp.revision.0);
        let watched = known >= state.forgotten.max(1);
        let unchanged = watched && (state.silent || state.written_at <= known);
        let read = match unchanged {
            true => ConfigRead::Unchanged(stamp),
            false => ConfigRead::Changed(Box::new(OperatorConfig {
                version: state.version,
                checked: stamp,
                ..OperatorConfig::default()
            })),
        };
        async { Ok(read) }.boxed()
    }
}

#[tokio::test]
async fn a_change_that_the_watch_never_reports_is_in_force_in_time() {
    let registry = Arc::new(WatchedRegistry::default());
    registry.write_config(7);
    let board = board();
    let mut phases = board.phase.subscribe();
    let _view_sync = spawn(
        &board,
        Source::registry(Arc::clone(&registry) as _),
        &Arc::new(Metrics::new()),
        SyncOptions {
            seeds: Vec::new(),
            reads: Rate::new(4.0).expect("a valid rate"),
            lease: Span::from_millis(3_000),
        },
    );
    let ready = phases.wait_for(|phase| *phase == Phase::Ready);
    let ready = timeout(Duration::from_secs(5), ready).await;
    ready.expect("ready in time").expect("a phase");
    sleep(CHANGE_TIMEOUT).await;

    let mut views = board.view.subscribe();
    views.mark_unchanged();
    registry.state().silent = true;
    registry.write_config(8);
    sleep(SILENT_TIME).await;
    {
        let mut state = registry.state();
        (state.silent, state.forgotten) = (false, state.written_at);
    }
    let changed = timeout(CHANGE_TIMEOUT, views.changed()).await;
    changed.expect("version 8 in time").expect("a view");
}
