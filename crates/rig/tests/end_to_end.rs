//! Requests from callers to backend servers through node processes.

use std::{io, time::Duration};

use reqwest::{Client, Method, Response};
use rig::{
    cluster::cluster,
    load::{self, Workload},
    process::client,
    server::Echo,
};

async fn send(client: &Client, method: Method, url: String, body: &'static str) -> Response {
    client
        .request(method, url)
        .body(body)
        .send()
        .await
        .expect("no response")
}

#[tokio::test]
async fn requests_through_any_node_get_their_own_complete_responses() -> io::Result<()> {
    let cluster = cluster("end-to-end-load", 20)
        .service("draws", 3)
        .service("fees", 2)
        .start()
        .await?;
    let workload = Workload {
        targets: cluster.targets(),
        services: vec!["draws".into(), "fees".into()],
        rate: 200.0,
        duration: Duration::from_secs(1),
        post_ratio: 0.5,
        deadline_ms: 5_000,
        seed: 1,
    };
    let measurements = load::run(&workload).await;
    assert_eq!(
        measurements.ok_count(),
        measurements.samples.len(),
        "{:?}",
        measurements.result_counts()
    );
    let doubled: u64 = cluster.servers.iter().map(|s| s.counts().doubled).sum();
    assert_eq!(doubled, 0);
    Ok(())
}

#[tokio::test]
async fn nested_requests_keep_the_deadline_and_count_their_depth() -> io::Result<()> {
    let cluster = cluster("end-to-end-nested", 21)
        .service("draws", 2)
        .start()
        .await?;
    let url = format!("http://{}/draws/item?depth=5", cluster.targets()[0]);
    let response = client()
        .get(url)
        .header("x-deadline-ms", 4_000)
        .send()
        .await
        .expect("no response");
    let echo: Echo = response.json().await.expect("response is not an echo");
    assert_eq!(echo.nested, 5);
    assert!(
        echo.left <= 4_000,
        "remaining time exceeds the deadline of the caller: {} ms",
        echo.left
    );
    Ok(())
}

#[tokio::test]
async fn invalid_requests_get_specific_statuses_and_keep_the_request_id() -> io::Result<()> {
    let limits = serde_json::json!({ "cold": 10, "warm_ms": 0, "body": 1000 });
    let cluster = cluster("end-to-end-invalid", 22)
        .service_with_limits("draws", 1, limits)
        .start()
        .await?;
    let target = cluster.targets()[0];
    let client = client();

    let unknown = send(
        &client,
        Method::GET,
        format!("http://{target}/nothing/x"),
        "",
    )
    .await;
    assert_eq!(unknown.status(), 404);
    assert!(unknown.headers().contains_key("x-request-id"));

    let body = "x".repeat(1001);
    let url = format!("http://{target}/draws/x");
    let too_large = client
        .post(&url)
        .body(body)
        .send()
        .await
        .expect("no response");
    assert_eq!(too_large.status(), 413);

    let malformed = client
        .get(&url)
        .header("x-deadline-ms", "soon")
        .send()
        .await
        .expect("no response");
    assert_eq!(malformed.status(), 400);

    let identified = client
        .get(&url)
        .header("x-request-id", "0123456789abcdef0123456789abcdef");
    let identified = identified.send().await.expect("no response");
    assert_eq!(
        identified.headers()["x-request-id"],
        "0123456789abcdef0123456789abcdef"
    );
    Ok(())
}
