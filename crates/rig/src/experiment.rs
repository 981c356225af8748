//! Experiments: the same load against several policies and limits, in one run.

use std::{io, path::PathBuf, time::Duration};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, cluster},
    load::{self, Measurements, Workload},
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
pub fn max_rate() -> f64 {
    (SERVERS * SLOTS) as f64 / ((SERVICE_MS + GRAIN_MS) / 1e3)
}

/// Runs a scenario against each of the variants, in turn and several times, and prints a table.
///
/// Runs alternate between the variants, so that a machine that is slow for a while slows all alike.
///
/// # Errors
///
/// If a deployment can't be started, or a node ends by itself.
pub async fn run(
    scenario: Scenario,
    variants: &[Variant],
    duration: Duration,
    runs: usize,
) -> io::Result<()> {
    println!(
        "\n{scenario:?}, {:.0} requests/s are borne, {runs} runs each",
        max_rate()
    );
    let mut measured: Vec<Vec<Measured>> = vec![Vec::new(); variants.len()];
    for _ in 0..runs {
        for (variant, list) in variants.iter().zip(&mut measured) {
            let (measurements, breaches) = measure(scenario, variant, duration).await?;
            if scenario == Scenario::Zone && variant.name == "two-choices" {
                plot::timeline(&measurements, &PathBuf::from("out/zone.svg"))?;
            }
            list.push(Measured::new(&measurements, breaches));
        }
    }
    println!("{}", Measured::heading());
    for (variant, list) in variants.iter().zip(&measured) {
        println!("{}", Measured::line(variant.name, list));
    }
    Ok(())
}

/// Figures of one run.
#[derive(Debug, Clone)]
struct Measured {
    answered: f64,
    p50: f64,
    p99: f64,
    tail: f64,
    wrong: bool,
    breaches: u64,
}

impl Measured {
    fn new(measurements: &Measurements, breaches: u64) -> Self {
        let latencies = measurements.latencies();
        Self {
            answered: 100.0 * measurements.ok_count() as f64
                / measurements.samples.len().max(1) as f64,
            p50: report::percentile_ms(&latencies, 50.0),
            p99: report::percentile_ms(&latencies, 99.0),
            tail: report::percentile_ms(&latencies, 99.9),
            wrong: measurements.result_counts().contains_key("wrong"),
            breaches,
        }
    }

    fn heading() -> String {
        format!(
            "{:<16} {:>18} {:>8} {:>24} {:>9} {:>6} {:>7}",
            "variant",
            "answered % (least)",
            "p50 ms",
            "p99 ms (least to most)",
            "p99.9 ms",
            "wrong",
            "beyond"
        )
    }

    /// Medians over the runs, with the spread where it matters.
    fn line(name: &str, list: &[Self]) -> String {
        let sorted = |value: fn(&Self) -> f64| {
            let mut values: Vec<f64> = list.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let middle = |values: &[f64]| values.get(values.len() / 2).copied().unwrap_or_default();
        let (answered, p99) = (sorted(|m| m.answered), sorted(|m| m.p99));
        let least = |values: &[f64]| values.first().copied().unwrap_or_default();
        let most = |values: &[f64]| values.last().copied().unwrap_or_default();
        format!(
            "{name:<16} {:>18} {:>8.1} {:>24} {:>9.1} {:>6} {:>7}",
            format!("{:.1} ({:.1})", middle(&answered), least(&answered)),
            middle(&sorted(|m| m.p50)),
            format!(
                "{:.1} ({:.1} to {:.1})",
                middle(&p99),
                least(&p99),
                most(&p99)
            ),
            middle(&sorted(|m| m.tail)),
            list.iter().filter(|m| m.wrong).count(),
            list.iter().map(|m| m.breaches).sum::<u64>(),
        )
    }
}

async fn measure(
    scenario: Scenario,
    variant: &Variant,
    duration: Duration,
) -> io::Result<(Measurements, u64)> {
    let mut limits = json!({
        "slots": SLOTS, "connections": 250, "cold": 2, "warm_ms": 1000, "queue": SLOTS,
        "timeout_ms": 2000, "retries": 0.1,
    });
    let extra = variant.limits.as_object().cloned().unwrap_or_default();
    if let Some(fields) = limits.as_object_mut() {
        fields.extend(extra);
    }
    let mut cluster = cluster("experiment", NET)
        .service_with_limits("schedule", SERVERS, limits)
        .policy(variant.policy)
        .settings(json!({ "log": "warn" }))
        .server_behavior(|c| {
            (c.slots, c.cold, c.warm_ms, c.service_ms) = (SLOTS, 2, 1_000, SERVICE_MS);
        })
        .start()
        .await?;
    load::run(&workload(&cluster, max_rate() * STEADY, WARM_UP, 1)).await;
    let before: u64 = breaches(&cluster);
    let measurements = match scenario {
        Scenario::Event(times) => event(&cluster, times, duration).await,
        _ => disturbed(&cluster, scenario, duration).await,
    };
    let breaches = breaches(&cluster) - before;
    let lost = lost_nodes(&mut cluster);
    cluster.stop().await;
    match lost {
        0 => Ok((measurements, breaches)),
        _ => Err(io::Error::other(format!(
            "{lost} nodes ended by themselves"
        ))),
    }
}

fn lost_nodes(cluster: &mut Cluster) -> usize {
    cluster
        .nodes
        .iter_mut()
        .map(|node| usize::from(node.has_exited()))
        .sum()
}

fn breaches(cluster: &Cluster) -> u64 {
    cluster.servers.iter().map(|s| s.counts().breaches).sum()
}

fn workload(cluster: &Cluster, rate: f64, duration: Duration, seed: u64) -> Workload {
    Workload {
        targets: cluster.targets(),
        services: vec!["schedule".to_owned()],
        rate,
        duration,
        post_ratio: 0.3,
        deadline_ms: 1_000,
        seed,
    }
}

/// All callers within a second, out of nothing.
async fn event(cluster: &Cluster, times: f64, duration: Duration) -> Measurements {
    sleep(Duration::from_secs(2)).await;
    let rate = max_rate() * times;
    load::run(&workload(
        cluster,
        rate,
        duration.min(Duration::from_secs(1)),
        2,
    ))
    .await
}

async fn disturbed(cluster: &Cluster, scenario: Scenario, duration: Duration) -> Measurements {
    let workload = workload(cluster, max_rate() * STEADY, duration, 3);
    let loading = load::run(&workload);
    let disturbing = async {
        match scenario {
            Scenario::Slow => slow_spells(cluster).await,
            Scenario::Cold => turn_cold(cluster, duration).await,
            Scenario::Zone => zone_change(cluster, duration).await,
            Scenario::Steady | Scenario::Event(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        measurements = loading => measurements,
        () = async { disturbing.await; std::future::pending().await } => unreachable!(),
    }
}

async fn slow_spells(cluster: &Cluster) {
    loop {
        sleep(SPELL).await;
        cluster.servers[0].configure(|c| c.slow = SLOW);
        sleep(SPELL).await;
        cluster.servers[0].configure(|c| c.slow = 1.0);
    }
}

async fn turn_cold(cluster: &Cluster, duration: Duration) {
    sleep(duration / 4).await;
    cluster.servers[0].restart();
    sleep(duration / 4).await;
    cluster.servers[1].restart();
}

/// Zone `a` goes at a third of the time and returns, with cold backend servers, at two thirds.
async fn zone_change(cluster: &Cluster, duration: Duration) {
    let note = |after: u64, status: &str| {
        let zone = json!({ "id": "a", "region": "r", "status": status });
        let change = json!({ "zones": [zone] });
        json!({ "author": "op", "after": after, "change": change }).to_string()
    };
    sleep(duration / 3).await;
    cluster.platform.publish(&note(1, "out"));
    sleep(duration / 3).await;
    for server in cluster.servers.iter().step_by(3) {
        server.restart();
    }
    cluster.platform.publish(&note(2, "in"));
}
