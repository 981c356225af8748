//! A short soak test, and the seeds that failed before.

use std::{io, time::Duration};

use futures::future::try_join_all;
use rig::soak::{self, Options};

/// Seeds that failed before, run as `soak --seed N --minutes 0.6` runs them, and the cause of each
/// failure.
const REGRESSION_SEEDS: [(u64, &str); 4] = [
    (
        1,
        "a stopping node closed new connections before it read their first request",
    ),
    (
        3,
        "a stopping node reset connections in the accept queue when it closed its listener",
    ),
    (
        5,
        "a stopping node closed new connections unread while other nodes were paused",
    ),
    (
        7,
        "a request received 1.0 s after SIGTERM was cut at its deadline, when the stop limit of \
         2.5 s expired; the stop limit now exceeds linger time and request deadline together",
    ),
];
/// Soak tests that run concurrently.
const CONCURRENT_SOAKS: usize = 2;

async fn run_soak(options: Options) -> io::Result<()> {
    let seed = options.seed;
    let report = soak::run(&options).await?;
    assert!(report.fault_count > 0, "seed {seed} injects no fault");
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        report.violations
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_random_faults() -> io::Result<()> {
    run_soak(Options {
        seed: 11,
        duration: Duration::from_secs(20),
        nodes: 6,
        rate: 160.0,
        net: 72,
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn regression_seeds_pass() -> io::Result<()> {
    for batch in REGRESSION_SEEDS.chunks(CONCURRENT_SOAKS) {
        let soaks = batch.iter().enumerate().map(|(index, (seed, cause))| {
            println!("seed {seed}: {cause}");
            run_soak(Options {
                seed: *seed,
                duration: Duration::from_secs(36),
                nodes: 9,
                rate: 240.0,
                net: 76 + index as u8,
            })
        });
        try_join_all(soaks).await?;
    }
    Ok(())
}
