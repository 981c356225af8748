//! What a backend server names in its responses, counted at the server over the whole fleet.

use std::{
    io,
    time::{Duration, Instant},
};

use rig::{
    arrivals::most_in_window,
    cluster::{Cluster, cluster},
    load::{self, Workload},
};
use serde_json::json;

/// Requests per second that the limited server names.
const LIMIT: f64 = 3.0;
/// Sliding window of the users' rule, and what it allows beyond the named rate.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_BURST: f64 = 5.0;
/// Time that the users' rule gives nodes to act on a limit.
const LIMIT_DELAY: Duration = Duration::from_millis(500);
/// Time in which the users require that a leaving server gets no new requests.
const LEAVING_DELAY: Duration = Duration::from_secs(2);
const RATE: f64 = 80.0;

/// A fleet of six nodes, whose first three backend servers serve the load.
async fn fleet(name: &str, net: u8) -> io::Result<Cluster> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "timeout_ms": 1000, "probes": 4.0 });
    cluster(name, net)
        .service_with_limits("draws", 3, limits.clone())
        .service_with_limits("fees", 3, limits)
        .start()
        .await
}

async fn send_load(cluster: &Cluster, duration: Duration) -> load::Measurements {
    load::run(&Workload {
        targets: cluster.targets(),
        services: vec!["draws".into()],
        rate: RATE,
        duration,
        post_ratio: 0.5,
        deadline_ms: 1_000,
        seed: 27,
    })
    .await
}

#[tokio::test]
async fn a_backend_server_gets_no_more_than_the_limit_it_names() -> io::Result<()> {
    let cluster = fleet("server-limit", 90).await?;
    send_load(&cluster, Duration::from_secs(1)).await;
    cluster.servers[0].configure(|behavior| behavior.limit = Some(LIMIT));
    let named_at = Instant::now();
    let measurements = send_load(&cluster, Duration::from_secs(9)).await;
    let arrivals = cluster.servers[0].arrivals();
    let most = most_in_window(&arrivals, named_at + LIMIT_DELAY, WINDOW);
    let allowed = LIMIT * WINDOW.as_secs_f64() * ALLOWED_RATIO + ALLOWED_BURST;
    assert!(
        most as f64 <= allowed,
        "{most} arrivals in {WINDOW:?}, {allowed} allowed"
    );
    assert!(most > 0, "the limited server still gets requests");
    let answered = measurements.ok_count() as f64 / measurements.samples.len() as f64;
    assert!(
        answered > 0.97,
        "the other servers serve the rest: {answered}"
    );
    Ok(())
}

#[tokio::test]
async fn a_backend_server_that_says_it_leaves_gets_no_new_requests() -> io::Result<()> {
    let cluster = fleet("server-leaving", 91).await?;
    send_load(&cluster, Duration::from_secs(1)).await;
    cluster.servers[0].configure(|behavior| behavior.leaving = true);
    let said_at = Instant::now();
    let measurements = send_load(&cluster, Duration::from_secs(5)).await;
    for node in &cluster.nodes {
        let state = node.state().await.expect("a state dump");
        let candidates = state["services"]["draws"].to_string();
        let host = &node.spec.host;
        assert!(!candidates.contains("server-0"), "{host}: {candidates}");
    }
    let late = said_at + LEAVING_DELAY;
    let arrivals = cluster.servers[0].arrivals();
    let after = arrivals.iter().filter(|at| **at > late).count();
    assert_eq!(
        after, 0,
        "arrivals {LEAVING_DELAY:?} after it said that it leaves"
    );
    let answered = measurements.ok_count() as f64 / measurements.samples.len() as f64;
    assert!(
        answered > 0.97,
        "the other servers serve the rest: {answered}"
    );
    Ok(())
}
