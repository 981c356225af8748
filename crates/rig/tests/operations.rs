//! The three failed requests of `docs/OPERATIONS.md`, explained from the logs of real nodes.
//!
//! The page quotes the keys and sentences that are checked here.

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

/// Time after which logs are written out, with room.
const WRITTEN: Duration = Duration::from_millis(500);
/// Time after which the lease of a node that hears of nobody has run out, with room.
const LEASE_OVER: Duration = Duration::from_millis(4_000);

fn id(number: u64) -> CallId {
    CallId::from(u128::from(number))
}

async fn post(client: &Client, cluster: &Cluster, number: u64) -> u16 {
    let url = format!("http://{}/draws/item", cluster.target(0));
    let request = client.request(Method::POST, url);
    let sent = request
        .header("x-request-id", id(number).as_str())
        .send()
        .await;
    sent.expect("an answer").status().as_u16()
}

async fn explained(cluster: &Cluster, number: u64) -> Explanation {
    sleep(WRITTEN).await;
    let files = fs::read_dir(cluster.output_dir()).expect("logs");
    let files: Vec<PathBuf> = files
        .map(|entry| entry.expect("a file").path())
        .filter(|path| path.extension().is_some_and(|kind| kind == "log"))
        .collect();
    explain(&id(number), &files).expect("lines")
}

fn has(explanation: &Explanation, event: &str, pairs: &[(&str, &str)]) -> bool {
    explanation.lines.iter().any(|line| {
        let same = |(key, value): &(&str, &str)| line.value(key) == *value;
        line.value("event") == event && pairs.iter().all(same)
    })
}

#[tokio::test]
async fn a_refusal_under_overload_names_the_load_that_decided() -> io::Result<()> {
    let limits = json!({ "slots": 1, "cold": 1, "warm_ms": 0, "queue": 0, "connections": 1 });
    let cluster = cluster("operations-busy", 61)
        .service_with_limits("draws", 1, limits)
        .server_behavior(|conduct| conduct.service_ms = 300.0)
        .start()
        .await?;
    let client = client();
    let statuses = join_all((1..=4).map(|number| post(&client, &cluster, number))).await;
    let refused = statuses
        .iter()
        .position(|status| *status == 503)
        .expect("a refusal") as u64
        + 1;
    let explanation = explained(&cluster, refused).await;
    assert!(has(
        &explanation,
        "run_ended",
        &[("outcome", "busy"), ("allowed", "1")]
    ));
    assert!(has(&explanation, "call_ended", &[("ending", "busy")]));
    assert!(
        explanation.cause.starts_with("It was refused and not run"),
        "{}",
        explanation.cause
    );
    Ok(())
}

#[tokio::test]
async fn a_caller_on_the_own_host_is_not_taken_for_the_backend_server() -> io::Result<()> {
    let cluster = cluster("operations-own", 74)
        .service("draws", 1)
        .start()
        .await?;
    let own = Client::builder()
        .no_proxy()
        .local_address(cluster.target(0).ip())
        .build()
        .expect("a plain client");
    assert_eq!(post(&own, &cluster, 6).await, 200);
    let explanation = explained(&cluster, 6).await;
    assert!(has(&explanation, "run_started", &[("nested", "false")]));
    Ok(())
}

#[tokio::test]
async fn a_lost_answer_is_unknown_at_the_gate_and_at_the_ingress() -> io::Result<()> {
    let cluster = cluster("operations-lost", 62)
        .service("draws", 1)
        .start()
        .await?;
    cluster.servers[0].configure(|conduct| conduct.answering = ResponseMode::Cut);
    assert_eq!(post(&client(), &cluster, 5).await, 502);
    let explanation = explained(&cluster, 5).await;
    assert!(has(&explanation, "run_started", &[("outcome", "started")]));
    assert!(has(&explanation, "run_ended", &[("outcome", "unknown")]));
    assert!(has(&explanation, "call_ended", &[("ending", "unknown")]));
    assert!(
        explanation
            .cause
            .starts_with("Nobody can tell whether it ran")
    );
    Ok(())
}

#[tokio::test]
async fn a_node_with_an_old_view_refuses_and_says_so() -> io::Result<()> {
    let cluster = cluster("operations-stale", 63)
        .service("draws", 2)
        .start()
        .await?;
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Nobody is left whom the other node could compare its view with.
    cluster.nodes[1].signal("STOP").await;
    sleep(LEASE_OVER).await;
    assert_eq!(post(&client(), &cluster, 6).await, 503);
    let explanation = explained(&cluster, 6).await;
    assert!(has(&explanation, "run_ended", &[("outcome", "stale")]));
    assert!(
        explanation.cause.starts_with("It was refused and not run"),
        "{}",
        explanation.cause
    );
    Ok(())
}
