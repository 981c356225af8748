//! Experiments that compare policies and limits under the same load.

use std::{io, path::PathBuf, time::Duration};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, cluster},
    load::{self, Measurements, Workload},
    plot, report,
};

/// Number of backend servers of the service under test.
const SERVER_COUNT: usize = 4;
/// Concurrency limit of each backend server.
const SLOTS: usize = 6;
/// Mean service time.
const SERVICE_MS: f64 = 10.0;
/// Mean time that the millisecond timer of the stub adds to each service time.
const TIMER_OVERHEAD_MS: f64 = 1.2;
/// Duration of the load before each measurement.
const WARMUP: Duration = Duration::from_millis(2_000);
/// Steady load as a fraction of [`max_rate`].
const STEADY_LOAD: f64 = 0.7;
/// Factor on the service time in a slow period.
const SLOWDOWN: f64 = 4.0;
/// Length of a slow period and of the pause between two of them.
const SLOW_PERIOD: Duration = Duration::from_millis(400);
/// Second octet of the loopback addresses.
const NET: u8 = 90;

/// Disturbance during the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scenario {
    /// No disturbance.
    Steady,
    /// One backend server alternates between slow and normal periods.
    Slow,
    /// A burst of at most one second on an idle deployment, at this multiple of [`max_rate`].
    Event(f64),
    /// Two backend servers restart without notice, one after the other, and are cold.
    Cold,
    /// An availability zone is taken out and brought back in with cold backend servers.
    Zone,
}

/// Configuration of the nodes in an experiment.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in the table.
    pub name: &'static str,
    /// Policy by which nodes choose backend servers.
    pub policy: &'static str,
    /// Limits that override those of the default variant.
    pub limits: Value,
}

/// Returns the default configuration and the baselines that it is compared with.
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

/// Maximum requests per second that all backend servers together can serve.
pub fn max_rate() -> f64 {
    (SERVER_COUNT * SLOTS) as f64 / ((SERVICE_MS + TIMER_OVERHEAD_MS) / 1e3)
}

/// Runs a scenario `runs` times with each variant and prints a table.
///
/// Runs alternate between the variants, so that a temporary slowdown of the machine affects all variants
/// alike.
///
/// # Errors
///
/// Returns an error if a deployment can't be started or a node process exits during a run.
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
    let mut run_stats: Vec<Vec<RunStats>> = vec![Vec::new(); variants.len()];
    for _ in 0..runs {
        for (variant, stats) in variants.iter().zip(&mut run_stats) {
            let (measurements, breaches) = measure(scenario, variant, duration).await?;
            if scenario == Scenario::Zone && variant.name == "two-choices" {
                plot::timeline(&measurements, &PathBuf::from("out/zone.svg"))?;
            }
            stats.push(RunStats::new(&measurements, breaches));
        }
    }
    println!("{}", RunStats::header());
    for (variant, stats) in variants.iter().zip(&run_stats) {
        println!("{}", RunStats::row(variant.name, stats));
    }
    Ok(())
}

/// Statistics of one run. Latencies are in milliseconds.
#[derive(Debug, Clone)]
struct RunStats {
    answered_percent: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    /// Whether any request got a wrong response.
    wrong: bool,
    breaches: u64,
}

impl RunStats {
    fn new(measurements: &Measurements, breaches: u64) -> Self {
        let latencies = measurements.latencies();
        Self {
            answered_percent: 100.0 * measurements.ok_count() as f64
                / measurements.samples.len().max(1) as f64,
            p50_ms: report::percentile_ms(&latencies, 50.0),
            p99_ms: report::percentile_ms(&latencies, 99.0),
            p999_ms: report::percentile_ms(&latencies, 99.9),
            wrong: measurements.result_counts().contains_key("wrong"),
            breaches,
        }
    }

    fn header() -> String {
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

    /// Table row with the medians over the runs. The minimum of the answered percentage and the range of
    /// the 99th percentile follow in parentheses.
    fn row(name: &str, runs: &[Self]) -> String {
        let sorted = |value: fn(&Self) -> f64| {
            let mut values: Vec<f64> = runs.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let median = |values: &[f64]| values.get(values.len() / 2).copied().unwrap_or_default();
        let (answered_percent, p99_ms) =
            (sorted(|run| run.answered_percent), sorted(|run| run.p99_ms));
        let min = |values: &[f64]| values.first().copied().unwrap_or_default();
        let max = |values: &[f64]| values.last().copied().unwrap_or_default();
        format!(
            "{name:<16} {:>18} {:>8.1} {:>24} {:>9.1} {:>6} {:>7}",
            format!(
                "{:.1} ({:.1})",
                median(&answered_percent),
                min(&answered_percent)
            ),
            median(&sorted(|run| run.p50_ms)),
            format!(
                "{:.1} ({:.1} to {:.1})",
                median(&p99_ms),
                min(&p99_ms),
                max(&p99_ms)
            ),
            median(&sorted(|run| run.p999_ms)),
            runs.iter().filter(|run| run.wrong).count(),
            runs.iter().map(|run| run.breaches).sum::<u64>(),
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
    let overrides = variant.limits.as_object().cloned().unwrap_or_default();
    if let Some(fields) = limits.as_object_mut() {
        fields.extend(overrides);
    }
    let mut cluster = cluster("experiment", NET)
        .service_with_limits("schedule", SERVER_COUNT, limits)
        .policy(variant.policy)
        .settings(json!({ "log": "warn" }))
        .server_behavior(|behavior| {
            (
                behavior.slots,
                behavior.cold,
                behavior.warm_ms,
                behavior.service_ms,
            ) = (SLOTS, 2, 1_000, SERVICE_MS);
        })
        .start()
        .await?;
    load::run(&workload(&cluster, max_rate() * STEADY_LOAD, WARMUP, 1)).await;
    let breaches_before: u64 = breaches(&cluster);
    let measurements = match scenario {
        Scenario::Event(multiple) => burst(&cluster, multiple, duration).await,
        _ => load_with_disturbance(&cluster, scenario, duration).await,
    };
    let breaches = breaches(&cluster) - breaches_before;
    let exited = count_exited(&mut cluster);
    cluster.stop().await;
    match exited {
        0 => Ok((measurements, breaches)),
        _ => Err(io::Error::other(format!(
            "{exited} node processes exited during the run"
        ))),
    }
}

fn count_exited(cluster: &mut Cluster) -> usize {
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

/// Sends a burst of at most one second after a pause without load.
async fn burst(cluster: &Cluster, multiple: f64, duration: Duration) -> Measurements {
    sleep(Duration::from_secs(2)).await;
    let rate = max_rate() * multiple;
    load::run(&workload(
        cluster,
        rate,
        duration.min(Duration::from_secs(1)),
        2,
    ))
    .await
}

async fn load_with_disturbance(
    cluster: &Cluster,
    scenario: Scenario,
    duration: Duration,
) -> Measurements {
    let workload = workload(cluster, max_rate() * STEADY_LOAD, duration, 3);
    let load_run = load::run(&workload);
    let disturbance = async {
        match scenario {
            Scenario::Slow => slow_periods(cluster).await,
            Scenario::Cold => restart_servers(cluster, duration).await,
            Scenario::Zone => change_zone(cluster, duration).await,
            Scenario::Steady | Scenario::Event(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        measurements = load_run => measurements,
        () = async { disturbance.await; std::future::pending().await } => unreachable!(),
    }
}

async fn slow_periods(cluster: &Cluster) {
    loop {
        sleep(SLOW_PERIOD).await;
        cluster.servers[0].configure(|behavior| behavior.slow = SLOWDOWN);
        sleep(SLOW_PERIOD).await;
        cluster.servers[0].configure(|behavior| behavior.slow = 1.0);
    }
}

async fn restart_servers(cluster: &Cluster, duration: Duration) {
    sleep(duration / 4).await;
    cluster.servers[0].restart();
    sleep(duration / 4).await;
    cluster.servers[1].restart();
}

/// Takes zone `a` out after a third of the duration and brings it back after two thirds, with cold
/// backend servers.
async fn change_zone(cluster: &Cluster, duration: Duration) {
    let note = |after: u64, status: &str| {
        let zone = json!({ "id": "a", "region": "r", "status": status });
        let change = json!({ "zones": [zone] });
        json!({ "author": "op", "after": after, "change": change }).to_string()
    };
    sleep(duration / 3).await;
    cluster.platform.publish(&note(1, "out"));
    sleep(duration / 3).await;
    // Backend servers are spread over three zones in rotation, so that every third is in zone `a`.
    for server in cluster.servers.iter().step_by(3) {
        server.restart();
    }
    cluster.platform.publish(&note(2, "in"));
}
