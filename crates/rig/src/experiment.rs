//! Experiments: the same load against several policies and limits, in one run.

use std::{io, path::PathBuf, time::Duration};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, cluster},
    load::{self, Outcomes, Plan},
    plot, report,
};

/// Backend servers of the service under test.
const SERVERS: usize = 4;
/// Requests that each works on at once.
const SLOTS: usize = 6;
/// Mean service time in milliseconds.
const SERVICE_MS: f64 = 10.0;
/// Time that the stand-in's timer adds to each, in milliseconds.
const GRAIN_MS: f64 = 1.2;
/// Time for which everything runs before it is measured.
const WARM_UP: Duration = Duration::from_millis(2_000);
/// Part of what the backend servers bear that the steady load is.
const STEADY: f64 = 0.7;
/// Factor by which a slow spell stretches the service time, and its length.
const SLOW: f64 = 4.0;
const SPELL: Duration = Duration::from_millis(400);
/// Second byte of the addresses of experiments.
const NET: u8 = 90;

/// What happens during the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// One backend server is slow, in spells.
    Slow,
    /// All callers come within a second, as a multiple of what the backend servers bear.
    Event(f64),
    /// One backend server turns cold without warning, twice.
    Cold,
    /// An availability zone is taken out and brought back.
    Zone,
}

/// What the nodes do differently.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Its name in the table.
    pub name: &'static str,
    /// Policy that chooses backend servers.
    pub policy: &'static str,
    /// Limits that differ from the usual ones.
    pub limits: Value,
}

/// The usual node, and the baselines it is compared with.
pub fn variants() -> Vec<Variant> {
    let variant = |name, policy, limits| Variant {
        name,
        policy,
        limits,
    };
    vec![
        variant("two-choices", "two-choices", json!({})),
        variant("random", "random", json!({})),
        variant("round-robin", "round-robin", json!({})),
        variant("least-reported", "least-reported", json!({})),
        variant("no repeats", "two-choices", json!({ "retries": 0.0 })),
        variant("long queue", "two-choices", json!({ "queue": 1000 })),
        variant(
            "no cold limit",
            "two-choices",
            json!({ "cold": SLOTS, "warm_ms": 0 }),
        ),
    ]
}

/// Requests per second that all backend servers bear together.
pub fn capacity() -> f64 {
    (SERVERS * SLOTS) as f64 / ((SERVICE_MS + GRAIN_MS) / 1e3)
}

/// Runs a scenario against each of the variants and prints a table.
///
/// # Errors
///
/// If a deployment can't be started.
pub async fn run(scenario: Scenario, variants: &[Variant], time: Duration) -> io::Result<()> {
    println!("\n{scenario:?}, {} requests/s are borne", capacity());
    println!("{}  borne too much", report::heading());
    for variant in variants {
        let (outcomes, breaches) = measure(scenario, variant, time).await?;
        println!("{}  {breaches}", report::line(variant.name, &outcomes));
        if scenario == Scenario::Zone && variant.name == "two-choices" {
            let path = PathBuf::from("out/zone.svg");
            plot::by_slice(&outcomes, &path)?;
            println!("plot: {}", path.display());
        }
    }
    Ok(())
}

async fn measure(
    scenario: Scenario,
    variant: &Variant,
    time: Duration,
) -> io::Result<(Outcomes, u64)> {
    let mut limits = json!({
        "slots": SLOTS, "connections": 250, "cold": 2, "warm_ms": 1000, "queue": SLOTS,
        "timeout_ms": 2000, "retries": 0.1,
    });
    let extra = variant.limits.as_object().cloned().unwrap_or_default();
    if let Some(fields) = limits.as_object_mut() {
        fields.extend(extra);
    }
    let cluster = cluster("experiment", NET)
        .limited("schedule", SERVERS, limits)
        .policy(variant.policy)
        .settings(json!({ "log": "warn" }))
        .conduct(|c| {
            (c.slots, c.cold, c.warm_ms, c.service_ms) = (SLOTS, 2, 1_000, SERVICE_MS);
        })
        .start()
        .await?;
    load::run(&plan(&cluster, capacity() * STEADY, WARM_UP, 1)).await;
    let before: u64 = breaches(&cluster);
    let outcomes = match scenario {
        Scenario::Event(times) => event(&cluster, times, time).await,
        _ => disturbed(&cluster, scenario, time).await,
    };
    Ok((outcomes, breaches(&cluster) - before))
}

fn breaches(cluster: &Cluster) -> u64 {
    cluster.servers.iter().map(|s| s.counts().breaches).sum()
}

fn plan(cluster: &Cluster, rate: f64, time: Duration, seed: u64) -> Plan {
    Plan {
        targets: cluster.targets(),
        services: vec!["schedule".to_owned()],
        rate,
        time,
        posts: 0.3,
        deadline_ms: 1_000,
        seed,
    }
}

/// All callers within a second, out of nothing.
async fn event(cluster: &Cluster, times: f64, time: Duration) -> Outcomes {
    sleep(Duration::from_secs(2)).await;
    let rate = capacity() * times;
    load::run(&plan(cluster, rate, time.min(Duration::from_secs(1)), 2)).await
}

async fn disturbed(cluster: &Cluster, scenario: Scenario, time: Duration) -> Outcomes {
    let plan = plan(cluster, capacity() * STEADY, time, 3);
    let loading = load::run(&plan);
    let disturbing = async {
        match scenario {
            Scenario::Slow => slow_spells(cluster).await,
            Scenario::Cold => turn_cold(cluster, time).await,
            Scenario::Zone => zone_change(cluster, time).await,
            Scenario::Steady | Scenario::Event(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        outcomes = loading => outcomes,
        () = async { disturbing.await; std::future::pending().await } => unreachable!(),
    }
}

async fn slow_spells(cluster: &Cluster) {
    loop {
        sleep(SPELL).await;
        cluster.servers[0].change(|c| c.slow = SLOW);
        sleep(SPELL).await;
        cluster.servers[0].change(|c| c.slow = 1.0);
    }
}

async fn turn_cold(cluster: &Cluster, time: Duration) {
    sleep(time / 4).await;
    cluster.servers[0].restart();
    sleep(time / 4).await;
    cluster.servers[1].restart();
}

/// Zone `a` goes at a third of the time and returns, with cold backend servers, at two thirds.
async fn zone_change(cluster: &Cluster, time: Duration) {
    let note = |after: u64, status: &str| {
        let zone = json!({ "id": "a", "region": "r", "status": status });
        let change = json!({ "zones": [zone] });
        json!({ "author": "op", "after": after, "change": change }).to_string()
    };
    sleep(time / 3).await;
    cluster.platform.publish(&note(1, "out"));
    sleep(time / 3).await;
    for server in cluster.servers.iter().step_by(3) {
        server.restart();
    }
    cluster.platform.publish(&note(2, "in"));
}
