//! The lease on the teams' keys of a node that only the registry can prove.

use std::sync::atomic::AtomicBool;

use board::Board;
use kameo::actor::ActorRef;
use note::{KeyHash, Team};
use tokio::time::{Instant, sleep};

use super::{super::ViewSync, *};

/// Duration of the lease.
const TERM: Duration = Duration::from_millis(2_000);

/// A registry whose configuration has a team. It can stop answering.
#[derive(Default)]
struct TeamRegistry {
    configs: AtomicU64,
    silent: AtomicBool,
}

impl Registry for TeamRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        FastRegistry.entries()
    }

    fn config(&self, known: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        if self.silent.load(Ordering::Relaxed) {
            return async { Err(PlatformError::EraChanged) }.boxed();
        }
        self.configs.fetch_add(1, Ordering::Relaxed);
        let stamp = Stamp::without_era(Revision(5));
        let team = Team {
            id: "club".parse().expect("a valid id"),
            keys: [KeyHash::of(b"key")].into(),
            allowance: None,
            priority: None,
        };
        let config = OperatorConfig {
            stamp,
            checked: stamp,
            proven: stamp,
            version: 7,
            teams: vec![team],
            ..OperatorConfig::default()
        };
        let read = match known {
            Some(_) => ConfigRead::Unchanged(stamp),
            None => ConfigRead::Changed(Box::new(config)),
        };
        async { Ok(read) }.boxed()
    }
}

fn start(reads: f64) -> (Arc<Board>, Arc<TeamRegistry>, ActorRef<ViewSync>) {
    let board = board();
    let registry = Arc::new(TeamRegistry::default());
    let view_sync = spawn(
        &board,
        Source::registry(Arc::clone(&registry) as _),
        &Arc::new(Metrics::new()),
        SyncOptions {
            seeds: Vec::new(),
            reads: Rate::new(reads).expect("a valid rate"),
            lease: Span::from_millis(60_000),
            key_lease: Some(Span::from_millis(TERM.as_millis() as u64)),
        },
    );
    (board, registry, view_sync)
}

fn is_valid(board: &Board) -> bool {
    let lease = board.keys.borrow().expect("a lease");
    lease.is_valid(board.clock.now())
}

async fn wait_for(board: &Board, valid: bool, limit: Duration) {
    let end = Instant::now() + limit;
    while is_valid(board) != valid {
        assert!(Instant::now() < end, "keys stay served: {}", !valid);
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_node_whose_turns_are_rare_proves_its_keys_itself_and_stops_without_an_answer() {
    let (board, registry, _view_sync) = start(0.05);
    wait_for(&board, true, Duration::from_secs(3)).await;
    let calm_until = Instant::now() + 2 * TERM;
    while Instant::now() < calm_until {
        assert!(is_valid(&board), "a calm node refuses no key");
        sleep(Duration::from_millis(10)).await;
    }
    let configs = registry.configs.load(Ordering::Relaxed);
    assert!(configs <= 20, "{configs} reads");
    registry.silent.store(true, Ordering::Relaxed);
    wait_for(&board, false, TERM).await;
    registry.silent.store(false, Ordering::Relaxed);
    wait_for(&board, true, Duration::from_millis(500)).await;
}
