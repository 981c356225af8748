//! A registry whose watch reports no changes for a while, and then has forgotten them.

use std::sync::{Mutex, MutexGuard};

use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::{super::ViewSync, *};

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
    /// Revision and version of each configuration.
    written: Vec<(u64, u64)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    /// The watch doesn't report changes after this revision yet.
    silent_after: Option<u64>,
}

impl WatchedRegistry {
    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().expect("no test panics with the lock")
    }

    fn write_config(&self, version: u64) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.written.push((revision, version));
    }

    /// Lets the watch report no further changes.
    fn silence(&self) {
        let mut state = self.state();
        state.silent_after = Some(state.revision);
    }
}

impl RegistryState {
    /// The newest change after `known` that the watch reports.
    fn reported(&self, known: u64) -> Option<(u64, u64)> {
        let last = self.silent_after.unwrap_or(u64::MAX);
        let written = self.written.iter().rev();
        let mut reported = written.filter(|(revision, _)| (known + 1..=last).contains(revision));
        reported.next().copied()
    }
}

impl Registry for WatchedRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        let mut state = self.state();
        state.revision += 1;
        let entries = no_entries(state.revision);
        async { Ok(entries) }.boxed()
    }

    fn config(&self, known: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        let state = self.state();
        let stamp = Stamp::without_era(Revision(state.revision));
        let known = known.map_or(0, |stamp| stamp.revision.0);
        let is_watched = known >= state.forgotten.max(1);
        let newest = match is_watched {
            true => state.reported(known),
            false => state
                .written
                .last()
                .map(|(_, version)| (state.revision, *version)),
        };
        let read = match newest {
            None => ConfigRead::Unchanged(stamp),
            Some((revision, version)) => ConfigRead::Changed(Box::new(OperatorConfig {
                version,
                checked: stamp,
                proven: Stamp::without_era(Revision(revision)),
                ..OperatorConfig::default()
            })),
        };
        async { Ok(read) }.boxed()
    }
}

/// Starts a node that has version 7, and waits until a read without changes counts as settled.
async fn start(registry: &Arc<WatchedRegistry>) -> (Arc<Board>, ActorRef<ViewSync>) {
    registry.write_config(7);
    let board = board();
    let view_sync = spawn(
        &board,
        Source::registry(Arc::clone(registry) as _),
        &Arc::new(Metrics::new()),
        options(Vec::new(), 4.0),
    );
    wait_until_ready(&board).await;
    sleep(CHANGE_TIMEOUT).await;
    (board, view_sync)
}

#[tokio::test]
async fn a_change_that_the_watch_never_reports_is_in_force_in_time() {
    let registry = Arc::new(WatchedRegistry::default());
    let (board, _view_sync) = start(&registry).await;
    let mut views = board.view.subscribe();
    registry.silence();
    registry.write_config(8);
    sleep(SILENT_TIME).await;
    {
        let mut state = registry.state();
        state.silent_after = None;
        state.forgotten = state.written.last().map_or(0, |(revision, _)| *revision);
    }
    let changed = timeout(CHANGE_TIMEOUT, views.changed()).await;
    changed.expect("version 8 in time").expect("a view");
}

#[tokio::test]
async fn a_change_behind_a_reported_one_is_in_force_in_time() {
    let registry = Arc::new(WatchedRegistry::default());
    let (board, _view_sync) = start(&registry).await;
    let mut views = board.view.subscribe();
    registry.write_config(8);
    registry.silence();
    registry.write_config(9);
    let changed = timeout(CHANGE_TIMEOUT, views.changed()).await;
    changed.expect("version 8 in time").expect("a view");
    sleep(SILENT_TIME).await;
    registry.state().silent_after = None;
    let changed = timeout(CHANGE_TIMEOUT, views.changed()).await;
    changed.expect("version 9 in time").expect("a view");
}
