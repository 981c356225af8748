//! Short soaks on the users' platform, judged by the users' rules.

use std::{io, time::Duration};

use rig::site::soak::{self, Options, Plan};

const NODES: usize = 6;

async fn run_soak(options: Options) -> io::Result<()> {
    let report = soak::run(&options).await?;
    println!("seed {}: {report}", options.seed);
    let lines: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "seed {}: {lines:#?}", options.seed);
    assert!(report.faults > 0 && report.versions > 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_hold_under_every_trouble_of_the_store() -> io::Result<()> {
    run_soak(Options {
        seed: 1,
        plan: Plan::Troubles,
        odd: false,
        teams: false,
        nodes: NODES,
        net: (94, 0),
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_hold_while_the_store_turns_single_nodes_away() -> io::Result<()> {
    run_soak(Options {
        seed: 1,
        plan: Plan::SingleTroubles,
        odd: false,
        teams: false,
        nodes: NODES,
        net: (94, 1),
    })
    .await
}

/// Late copies of refused probes let requests be told as not run that had run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rules_hold_under_faults_from_a_seed() -> io::Result<()> {
    run_soak(Options {
        seed: 67,
        plan: Plan::Drawn(Duration::from_secs(48)),
        odd: false,
        teams: false,
        nodes: NODES,
        net: (94, 2),
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rules_hold_beside_odd_items_and_invalid_versions() -> io::Result<()> {
    run_soak(Options {
        seed: 1,
        plan: Plan::Drawn(Duration::from_secs(24)),
        odd: true,
        teams: false,
        nodes: NODES,
        net: (94, 3),
    })
    .await
}

/// Nodes that stop get SIGTERM and SIGHUP again. They cut requests that servers were working on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_with_further_signals_cut_no_request() -> io::Result<()> {
    run_soak(Options {
        seed: 500,
        plan: Plan::Drawn(Duration::from_secs(24)),
        odd: true,
        teams: false,
        nodes: NODES,
        net: (94, 4),
    })
    .await
}

/// Keys are taken away while no node reads the store, and while a node is paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_allowances_hold_under_faults() -> io::Result<()> {
    run_soak(Options {
        seed: 3,
        plan: Plan::Drawn(Duration::from_secs(16)),
        odd: true,
        teams: true,
        nodes: NODES,
        net: (94, 5),
    })
    .await
}
