//! Reads of a platform that doesn't behave.

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

use super::{Plan, Source, spawn};
use crate::meter::Meter;

/// Reads after which the fake gives no answer, so that a loop of reads ends.
const MOST_READS: u64 = 1_000;
/// Reads per second that the node may make.
const BUDGET: u64 = 100;

/// Names a newest note and serves none, as for a note larger than a value may be.
#[derive(Default)]
struct Withholding {
    reads: AtomicU64,
}

impl Platform for Withholding {
    fn notes(&self, _: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>> {
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        async move {
            if reads >= MOST_READS {
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
async fn a_platform_that_withholds_its_newest_note_is_read_within_the_budget() {
    let board = Board::new(Identity {
        host: "host".parse().expect("a name"),
        zone: "zone".parse().expect("a name"),
        node: "127.0.0.1:1".parse().expect("an address"),
        boot: Boot(1),
    });
    let platform = Arc::new(Withholding::default());
    let budget = Rate::new(BUDGET as f64).expect("a rate");
    let meter = Arc::new(Meter::new());
    let _spreader = spawn(
        &board,
        Source::notes(Arc::clone(&platform) as _),
        &meter,
        Plan {
            seeds: Vec::new(),
            reads: budget,
            lease: Span::from_millis(3_000),
        },
    );
    let seconds = 3;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let reads = platform.reads.load(Ordering::Relaxed);
    assert!(reads <= BUDGET * seconds, "{reads} reads");
}
