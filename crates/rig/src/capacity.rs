//! What control costs a node, measured on fleets of several sizes.
//!
//! Nodes are real processes without any calls, so all that they spend is control: reads of the
//! platform, comparisons, pulls and timers. Bytes are those of the loopback interface, which carries
//! nothing else meanwhile.

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, cluster};

/// Second byte of the addresses.
const NET: u8 = 95;
/// Time until what joining costs is over.
const SETTLE: Duration = Duration::from_secs(4);
/// Longest time that a note may take to be in force everywhere.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);
/// Ticks of the processor-time counters per second.
const TICKS: f64 = 100.0;

/// What one fleet spent, per node and second.
#[derive(Debug, Clone, Copy)]
struct Spent {
    /// Part of a core, in percent.
    cpu: f64,
    /// Bytes sent.
    bytes: f64,
    /// Resident memory in MiB.
    memory: f64,
    /// Reads of the platform by all nodes.
    reads: f64,
}

/// Measures fleets of these sizes and prints a table.
///
/// # Errors
///
/// If a fleet can't be started.
pub async fn run(sizes: &[usize], duration: Duration) -> io::Result<()> {
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
    for size in sizes {
        let began = Instant::now();
        let cluster = cluster("capacity", NET)
            .service("draws", *size)
            .settings(json!({ "log": "info" }))
            .start()
            .await?;
        let joined = began.elapsed().as_millis();
        sleep(SETTLE).await;
        let quiet = measure(&cluster, duration, 0).await?;
        print_line(*size, "none", quiet, None, joined);
        let busy = measure(&cluster, duration, 1).await?;
        let spread = spread(&cluster).await?;
        print_line(*size, "1 a second", busy, Some(spread), joined);
        cluster.stop().await;
    }
    Ok(())
}

fn print_line(size: usize, notes: &str, spent: Spent, spread: Option<u128>, joined: u128) {
    let spread = spread.map_or("-".to_owned(), |ms| ms.to_string());
    println!(
        "{size:>6} {notes:<10} {:>12.3} {:>12.0} {:>11.1} {:>10.1} {spread:>12} {joined:>10}",
        spent.cpu, spent.bytes, spent.memory, spent.reads
    );
}

async fn measure(cluster: &Cluster, duration: Duration, notes: u32) -> io::Result<Spent> {
    let nodes = cluster.nodes.len() as f64;
    let (ticks, bytes, reads) = (
        ticks(cluster)?,
        loopback_bytes()?,
        cluster.platform.reads().0,
    );
    let began = Instant::now();
    for _ in 0..duration.as_secs() {
        (0..notes).for_each(|_| publish(cluster));
        sleep(Duration::from_secs(1)).await;
    }
    let seconds = began.elapsed().as_secs_f64();
    let spent_ticks = self::ticks(cluster)? - ticks;
    Ok(Spent {
        cpu: 100.0 * spent_ticks / TICKS / seconds / nodes,
        bytes: (loopback_bytes()? - bytes) / seconds / nodes,
        memory: memory(cluster)?,
        reads: (cluster.platform.reads().0 - reads) as f64 / seconds,
    })
}

fn publish(cluster: &Cluster) {
    let after = cluster.platform.head();
    let status = if after % 2 == 1 { "out" } else { "in" };
    let change = json!({ "zones": [{ "id": "c", "region": "r", "status": status }] });
    cluster
        .platform
        .publish(&json!({ "author": "op", "after": after, "change": change }).to_string());
}

/// Time in milliseconds until one more note is in force on every node, by the nodes' own logs.
async fn spread(cluster: &Cluster) -> io::Result<u128> {
    publish(cluster);
    let began = Instant::now();
    let published = unix_ms();
    let revision = cluster.platform.head();
    let mut seen = BTreeMap::new();
    while seen.len() < cluster.nodes.len() {
        if began.elapsed() > SPREAD_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(POLL * 10).await;
        for node in &cluster.nodes {
            let log = cluster.output_dir().join(format!("{}.log", node.spec.host));
            if let Some(at) = in_force_at(&log, revision)? {
                seen.insert(node.spec.host.clone(), at);
            }
        }
    }
    let last = seen.values().copied().max().unwrap_or(published);
    Ok(last.saturating_sub(published))
}

fn unix_ms() -> u128 {
    std::time::UNIX_EPOCH
        .elapsed()
        .map_or(0, |passed| passed.as_millis())
}

/// When a node's log says that a revision, or a later one, came into force.
fn in_force_at(log: &Path, revision: u64) -> io::Result<Option<u128>> {
    let wanted = format!("revision={revision} ");
    let text = fs::read_to_string(log)?;
    let line = text.lines().rev().find(|line| line.contains(&wanted));
    let stamp = line.and_then(|l| {
        l.strip_prefix("ts=")?
            .split(' ')
            .next()?
            .parse::<f64>()
            .ok()
    });
    Ok(stamp.map(|seconds| (seconds * 1e3) as u128))
}

/// Processor time of all nodes, user and system, in ticks.
fn ticks(cluster: &Cluster) -> io::Result<f64> {
    let one = |pid: u32| -> io::Result<f64> {
        let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let field = |at: usize| {
            fields
                .get(at)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        Ok(field(12) + field(13))
    };
    cluster.nodes.iter().map(|node| one(node.pid())).sum()
}

/// Mean resident memory of the nodes in MiB.
fn memory(cluster: &Cluster) -> io::Result<f64> {
    let one = |pid: u32| -> io::Result<f64> {
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
        .map(|node| one(node.pid()))
        .sum::<io::Result<f64>>()?;
    Ok(total / cluster.nodes.len() as f64)
}

/// Bytes that the loopback interface has carried.
fn loopback_bytes() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    let bytes = line.split_whitespace().nth(1).and_then(|f| f.parse().ok());
    Ok(bytes.unwrap_or(0.0))
}
