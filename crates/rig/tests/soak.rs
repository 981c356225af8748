//! A short soak, and the seeds that ever failed.

use std::{io, time::Duration};

use futures::future::try_join_all;
use rig::soak::{self, Options};

/// Seeds that failed once, as `soak --seed N --minutes 0.6` plays them, with the cause.
const REGRESSIONS: [(u64, &str); 4] = [
    (
        1,
        "a stopping node closed new connections before it read them",
    ),
    (3, "the same, with the accept queue reset at the close"),
    (5, "the same, while other nodes were paused"),
    (
        7,
        "a call that came 1.0 s after SIGTERM was cut when the 2.5 s of the stop were over, at its \
         deadline; a stop now has longer than linger and deadline together",
    ),
];
/// Soaks that run side by side.
const ABREAST: usize = 2;

async fn soak(options: Options) -> io::Result<()> {
    let seed = options.seed;
    let report = soak::run(&options).await?;
    assert!(report.fault_count > 0, "seed {seed} plays no fault");
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        report.violations
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_faults_come() -> io::Result<()> {
    soak(Options {
        seed: 11,
        duration: Duration::from_secs(20),
        nodes: 6,
        rate: 160.0,
        net: 72,
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_failed_once_pass() -> io::Result<()> {
    for pair in REGRESSIONS.chunks(ABREAST) {
        let soaks = pair.iter().enumerate().map(|(number, (seed, cause))| {
            println!("seed {seed}: {cause}");
            soak(Options {
                seed: *seed,
                duration: Duration::from_secs(36),
                nodes: 9,
                rate: 240.0,
                net: 76 + number as u8,
            })
        });
        try_join_all(soaks).await?;
    }
    Ok(())
}
