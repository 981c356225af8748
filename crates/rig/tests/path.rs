//! The whole path, from a caller to a backend server and back, over real processes.

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
        .expect("an answer")
}

#[tokio::test]
async fn every_caller_gets_its_own_whole_answer_through_any_node() -> io::Result<()> {
    let cluster = cluster("path-answers", 20)
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
async fn nested_calls_keep_the_deadline_and_count_their_depth() -> io::Result<()> {
    let cluster = cluster("path-nested", 21)
        .service("draws", 2)
        .start()
        .await?;
    let url = format!("http://{}/draws/item?depth=5", cluster.targets()[0]);
    let answer = client()
        .get(url)
        .header("x-deadline-ms", 4_000)
        .send()
        .await
        .expect("an answer");
    let echo: Echo = answer.json().await.expect("an echo");
    assert_eq!(echo.nested, 5);
    assert!(
        echo.left <= 4_000,
        "the deadline shrinks on its way: {}",
        echo.left
    );
    Ok(())
}

#[tokio::test]
async fn bad_requests_get_a_clear_status_and_the_request_id() -> io::Result<()> {
    let limits = serde_json::json!({ "cold": 10, "warm_ms": 0, "body": 1000 });
    let cluster = cluster("path-bad", 22)
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

    let large = "x".repeat(1001);
    let url = format!("http://{target}/draws/x");
    let large = client
        .post(&url)
        .body(large)
        .send()
        .await
        .expect("an answer");
    assert_eq!(large.status(), 413);

    let bad = client
        .get(&url)
        .header("x-deadline-ms", "soon")
        .send()
        .await
        .expect("an answer");
    assert_eq!(bad.status(), 400);

    let named = client
        .get(&url)
        .header("x-request-id", "0123456789abcdef0123456789abcdef");
    let named = named.send().await.expect("an answer");
    assert_eq!(
        named.headers()["x-request-id"],
        "0123456789abcdef0123456789abcdef"
    );
    Ok(())
}
