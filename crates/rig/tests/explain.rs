//! `amaranthyoke explain` on the logs of node processes.
//!
//! The failed requests are the three examples of `docs/OPERATIONS.md`, which quotes the keys and
//! sentences that are checked here.

use std::{fs, io, path::PathBuf, time::Duration};

use cli::explain::{Explanation, explain};
use futures::future::join_all;
use reqwest::{Client, Method};
use rig::{
    cluster::{Cluster, cluster},
    platform::Faults,
    process::client,
    server::ResponseMode,
};
use serde_json::json;
use tokio::time::sleep;
use types::CallId;

/// Several times the interval at which nodes write out their logs.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(500);
/// Time after which the lease of a node without platform and peers has expired: a second more than
/// the default lease.
const LEASE_EXPIRY_TIME: Duration = Duration::from_millis(4_000);

fn call_id(number: u64) -> CallId {
    CallId::from(u128::from(number))
}

async fn post(client: &Client, cluster: &Cluster, number: u64) -> u16 {
    let url = format!("http://{}/draws/item", cluster.target(0));
    let request = client.request(Method::POST, url);
    let response = request
        .header("x-request-id", call_id(number).as_str())
        .send()
        .await;
    response.expect("no response").status().as_u16()
}

async fn explain_call(cluster: &Cluster, number: u64) -> Explanation {
    sleep(LOG_FLUSH_TIME).await;
    let files = fs::read_dir(cluster.output_dir()).expect("cannot read the log directory");
    let files: Vec<PathBuf> = files
        .map(|entry| entry.expect("cannot read a directory entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    explain(&call_id(number), &files).expect("no explanation")
}

fn has_event(explanation: &Explanation, event: &str, pairs: &[(&str, &str)]) -> bool {
    explanation.lines.iter().any(|line| {
        let matches = |(key, value): &(&str, &str)| line.value(key) == *value;
        line.value("event") == event && pairs.iter().all(matches)
    })
}

#[tokio::test]
async fn overload_refusal_names_outcome_and_concurrency_limit() -> io::Result<()> {
    let limits = json!({ "slots": 1, "cold": 1, "warm_ms": 0, "queue": 0, "connections": 1 });
    let cluster = cluster("operations-busy", 61)
        .service_with_limits("draws", 1, limits)
        .server_behavior(|behavior| behavior.service_ms = 300.0)
        .start()
        .await?;
    let client = client();
    let statuses = join_all((1..=4).map(|number| post(&client, &cluster, number))).await;
    let refused = statuses
        .iter()
        .position(|status| *status == 503)
        .expect("no request was refused") as u64
        + 1;
    let explanation = explain_call(&cluster, refused).await;
    assert!(has_event(
        &explanation,
        "run_ended",
        &[("outcome", "busy"), ("allowed", "1")]
    ));
    assert!(has_event(&explanation, "call_ended", &[("ending", "busy")]));
    assert!(
        explanation.cause.starts_with("It was refused and not run"),
        "{}",
        explanation.cause
    );
    Ok(())
}

#[tokio::test]
async fn caller_on_same_host_is_not_mistaken_for_backend_server() -> io::Result<()> {
    let cluster = cluster("operations-own", 74)
        .service("draws", 1)
        .start()
        .await?;
    let local = Client::builder()
        .no_proxy()
        .local_address(cluster.target(0).ip())
        .build()
        .expect("failed to build the HTTP client");
    assert_eq!(post(&local, &cluster, 6).await, 200);
    let explanation = explain_call(&cluster, 6).await;
    assert!(has_event(
        &explanation,
        "run_started",
        &[("nested", "false")]
    ));
    Ok(())
}

#[tokio::test]
async fn lost_response_is_unknown_at_gate_and_ingress() -> io::Result<()> {
    let cluster = cluster("operations-lost", 62)
        .service("draws", 1)
        .start()
        .await?;
    cluster.servers[0].configure(|behavior| behavior.answering = ResponseMode::Cut);
    assert_eq!(post(&client(), &cluster, 5).await, 502);
    let explanation = explain_call(&cluster, 5).await;
    assert!(has_event(
        &explanation,
        "run_started",
        &[("outcome", "started")]
    ));
    assert!(has_event(
        &explanation,
        "run_ended",
        &[("outcome", "unknown")]
    ));
    assert!(has_event(
        &explanation,
        "call_ended",
        &[("ending", "unknown")]
    ));
    assert!(
        explanation
            .cause
            .starts_with("Nobody can tell whether it ran")
    );
    Ok(())
}

#[tokio::test]
async fn node_with_expired_lease_refuses_as_stale() -> io::Result<()> {
    let cluster = cluster("operations-stale", 63)
        .service("draws", 2)
        .start()
        .await?;
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Without the platform and its only peer, node 0 cannot renew its lease.
    cluster.nodes[1].signal("STOP").await;
    sleep(LEASE_EXPIRY_TIME).await;
    assert_eq!(post(&client(), &cluster, 6).await, 503);
    let explanation = explain_call(&cluster, 6).await;
    assert!(has_event(
        &explanation,
        "run_ended",
        &[("outcome", "stale")]
    ));
    assert!(
        explanation.cause.starts_with("It was refused and not run"),
        "{}",
        explanation.cause
    );
    Ok(())
}
