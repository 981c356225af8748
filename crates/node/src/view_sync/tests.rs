//! Tests of the read budget with a faulty platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use board::{Board, Identity};
use futures::{FutureExt, future::BoxFuture};
use platform::{HostList, NotePage, Platform, PlatformError};
use types::{Boot, Rate, Revision, Span};

use super::{Source, SyncOptions, spawn};
use crate::metrics::Metrics;

/// Number of reads after which the fake stops answering, so that a loop of reads ends.
const MAX_READS: u64 = 1_000;
/// Read budget of the node, in reads per second.
const READS_PER_SECOND: u64 = 100;

/// A platform that reports a newer revision but serves no notes, as happens if the next note
/// exceeds the maximum value size.
#[derive(Default)]
struct MissingNotePlatform {
    reads: AtomicU64,
}

impl Platform for MissingNotePlatform {
    fn notes(&self, _: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>> {
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        async move {
            if reads >= MAX_READS {
                std::future::pending::<()>().await;
            }
            Ok(NotePage {
                head: Revision(5),
                notes: Vec::new(),
            })
        }
        .boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        async { Ok(HostList::new()) }.boxed()
    }
}

#[tokio::test]
async fn platform_without_its_newest_note_is_read_within_the_budget() {
    let board = Board::new(Identity {
        host: "host".parse().expect("a valid id"),
        zone: "zone".parse().expect("a valid id"),
        node: "127.0.0.1:1".parse().expect("a valid address"),
        boot: Boot(1),
    });
    let platform = Arc::new(MissingNotePlatform::default());
    let budget = Rate::new(READS_PER_SECOND as f64).expect("a valid rate");
    let metrics = Arc::new(Metrics::new());
    let _view_sync = spawn(
        &board,
        Source::notes(Arc::clone(&platform) as _),
        &metrics,
        SyncOptions {
            seeds: Vec::new(),
            reads: budget,
            lease: Span::from_millis(3_000),
        },
    );
    let seconds = 3;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let reads = platform.reads.load(Ordering::Relaxed);
    assert!(reads <= READS_PER_SECOND * seconds, "{reads} reads");
}
