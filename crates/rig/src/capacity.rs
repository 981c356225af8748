//! Measures the control-plane overhead per node at several fleet sizes.
//!
//! The nodes are real processes that get no calls, so all of their CPU time and traffic is control
//! plane: reads of the platform, comparisons and pulls of views between nodes, and timers. Bytes are
//! counted on the loopback interface, which carries no other traffic during the measurement.

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, cluster};

/// Second octet of the loopback addresses.
const NET: u8 = 95;
/// Pause after the nodes are ready, which keeps the cost of joining out of the figures.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Maximum time until a release note is in effect on every node.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Rate of the CPU time counters in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that one fleet used.
#[derive(Debug, Clone, Copy)]
struct Usage {
    /// CPU time per node, in percent of one core.
    cpu_percent: f64,
    /// Loopback bytes per node and second.
    bytes: f64,
    /// Mean resident memory per node.
    rss_mib: f64,
    /// Reads of the platform per second by all nodes.
    reads: f64,
}

/// Measures fleets of the given sizes, idle and with one release note per second, and prints a table.
///
/// # Errors
///
/// Returns an error if a fleet can't be started or its counters can't be read.
pub async fn run(node_counts: &[usize], duration: Duration) -> io::Result<()> {
    println!(
        "{:>6} {:<10} {:>12} {:>12} {:>11} {:>10} {:>12} {:>10}",
        "nodes",
        "notes",
        "CPU %/node",
        "B/s/node",
        "RSS MiB",
        "reads/s",
        "in force ms",
        "joined ms"
    );
    for node_count in node_counts {
        let start = Instant::now();
        let cluster = cluster("capacity", NET)
            .service("draws", *node_count)
            .settings(json!({ "log": "info" }))
            .start()
            .await?;
        let join_ms = start.elapsed().as_millis();
        sleep(SETTLE_TIME).await;
        let idle = measure(&cluster, duration, 0).await?;
        print_row(*node_count, "none", idle, None, join_ms);
        let publishing = measure(&cluster, duration, 1).await?;
        let propagation_ms = propagation_ms(&cluster).await?;
        print_row(
            *node_count,
            "1 a second",
            publishing,
            Some(propagation_ms),
            join_ms,
        );
        cluster.stop().await;
    }
    Ok(())
}

fn print_row(
    node_count: usize,
    note_label: &str,
    usage: Usage,
    propagation_ms: Option<u128>,
    join_ms: u128,
) {
    let propagation_ms = propagation_ms.map_or("-".to_owned(), |ms| ms.to_string());
    println!(
        "{node_count:>6} {note_label:<10} {:>12.3} {:>12.0} {:>11.1} {:>10.1} {propagation_ms:>12} {join_ms:>10}",
        usage.cpu_percent, usage.bytes, usage.rss_mib, usage.reads
    );
}

async fn measure(cluster: &Cluster, duration: Duration, note_rate: u32) -> io::Result<Usage> {
    let nodes = cluster.nodes.len() as f64;
    let (cpu_ticks, bytes, reads) = (
        cpu_ticks(cluster)?,
        loopback_bytes()?,
        cluster.platform.reads().0,
    );
    let start = Instant::now();
    for _ in 0..duration.as_secs() {
        (0..note_rate).for_each(|_| publish_zone_change(cluster));
        sleep(Duration::from_secs(1)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let used_ticks = self::cpu_ticks(cluster)? - cpu_ticks;
    Ok(Usage {
        cpu_percent: 100.0 * used_ticks / TICKS_PER_SECOND / seconds / nodes,
        bytes: (loopback_bytes()? - bytes) / seconds / nodes,
        rss_mib: rss_mib(cluster)?,
        reads: (cluster.platform.reads().0 - reads) as f64 / seconds,
    })
}

fn publish_zone_change(cluster: &Cluster) {
    let after = cluster.platform.head();
    let status = if after % 2 == 1 { "out" } else { "in" };
    let change = json!({ "zones": [{ "id": "c", "region": "r", "status": status }] });
    cluster
        .platform
        .publish(&json!({ "author": "op", "after": after, "change": change }).to_string());
}

/// Publishes a release note and returns the time in milliseconds until it is in effect on every node,
/// by the timestamps in the nodes' logs.
async fn propagation_ms(cluster: &Cluster) -> io::Result<u128> {
    publish_zone_change(cluster);
    let start = Instant::now();
    let published_ms = unix_ms();
    let revision = cluster.platform.head();
    let mut logged = BTreeMap::new();
    while logged.len() < cluster.nodes.len() {
        if start.elapsed() > PROPAGATION_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(POLL_INTERVAL * 10).await;
        for node in &cluster.nodes {
            let log = cluster.output_dir().join(format!("{}.log", node.spec.host));
            if let Some(logged_ms) = logged_at_ms(&log, revision)? {
                logged.insert(node.spec.host.clone(), logged_ms);
            }
        }
    }
    let latest = logged.values().copied().max().unwrap_or(published_ms);
    Ok(latest.saturating_sub(published_ms))
}

fn unix_ms() -> u128 {
    std::time::UNIX_EPOCH
        .elapsed()
        .map_or(0, |passed| passed.as_millis())
}

/// Unix time in milliseconds of the last log line that names this revision.
fn logged_at_ms(log: &Path, revision: u64) -> io::Result<Option<u128>> {
    let pattern = format!("revision={revision} ");
    let text = fs::read_to_string(log)?;
    let line = text.lines().rev().find(|line| line.contains(&pattern));
    let timestamp = line.and_then(|l| {
        l.strip_prefix("ts=")?
            .split(' ')
            .next()?
            .parse::<f64>()
            .ok()
    });
    Ok(timestamp.map(|seconds| (seconds * 1e3) as u128))
}

/// User and system CPU time of all nodes, in ticks.
fn cpu_ticks(cluster: &Cluster) -> io::Result<f64> {
    let ticks_of = |pid: u32| -> io::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let field = |index: usize| {
            fields
                .get(index)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        // utime and stime, counted from the state, which is field 1 here and field 3 in proc(5).
        Ok(field(12) + field(13))
    };
    cluster.nodes.iter().map(|node| ticks_of(node.pid())).sum()
}

/// Mean resident memory of the nodes.
fn rss_mib(cluster: &Cluster) -> io::Result<f64> {
    let rss_of = |pid: u32| -> io::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kib = line
            .split_whitespace()
            .nth(1)
            .and_then(|f| f.parse::<f64>().ok());
        Ok(kib.unwrap_or(0.0) / 1024.0)
    };
    let total: f64 = cluster
        .nodes
        .iter()
        .map(|node| rss_of(node.pid()))
        .sum::<io::Result<f64>>()?;
    Ok(total / cluster.nodes.len() as f64)
}

/// Received bytes of the loopback interface since boot.
fn loopback_bytes() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    let bytes = line.split_whitespace().nth(1).and_then(|f| f.parse().ok());
    Ok(bytes.unwrap_or(0.0))
}
