//! Uploads beside small requests between two hosts, over a link that uploads fill.

use std::{
    fs, io,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::join_all, stream};
use hdrhistogram::Histogram;
use reqwest::Client;
use rig::{
    cluster::{Builder, Cluster, cluster},
    process::client,
    server::Echo,
};
use serde_json::json;
use tokio::time::sleep;

/// 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;
/// The users' largest upload.
const UPLOAD_BYTES: usize = 360_000;
const MANY_UPLOADERS: usize = 16;
/// Part of the time in which requests are sent.
const PHASE: Duration = Duration::from_secs(3);
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);
/// Time that the users give nested lookups.
const LOOKUP_LIMIT: Duration = Duration::from_millis(500);
/// Time after which a refused uploader returns.
const RETURN_DELAY: Duration = Duration::from_millis(50);
/// The users' targets for refusals of offers.
const REFUSAL_MEDIAN: Duration = Duration::from_millis(10);
const REFUSAL_P99: Duration = Duration::from_millis(50);
/// The target for the bytes between the nodes, as a multiple of the uploads' bodies.
const MAX_RELAYED: f64 = 1.1;

/// Two nodes, the second of which has the server of both routes. Requests go to the first one.
async fn start_cluster(name: &str, net: u8) -> io::Result<Cluster> {
    let places = json!({
        "slots": 4, "cold": 4, "warm_ms": 0, "queue": 4, "body": 1 << 20, "timeout_ms": 8_000,
    });
    let builder = cluster(name, net)
        .service("front", 1)
        .service_with_limits("rinks", 1, places);
    start(builder.with_links(LINK_RATE)).await
}

async fn start(builder: Builder) -> io::Result<Cluster> {
    let route = |name: &str, is_bulk: bool| {
        json!({
            "id": name, "host": "rinks.example", "path": format!("/{name}/"),
            "parts": [{ "service": "rinks", "weight": 1 }], "idempotent": false, "attempts": 2,
            "timeout_ms": 8_000, "objective_ms": 6_000, "bulk": is_bulk,
        })
    };
    let builder = builder.routes(json!([route("uploads", true), route("lookups", false)]));
    match fs::remove_dir_all(builder.output_dir()) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => builder.start().await,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 digits are few enough")
}

fn quantile(times: &Histogram<u64>, quantile: f64) -> Duration {
    Duration::from_micros(times.value_at_quantile(quantile))
}

fn describe(times: &Histogram<u64>) -> String {
    let (p50, p99) = (quantile(times, 0.5), quantile(times, 0.99));
    format!("{} times, p50 {p50:?}, p99 {p99:?}", times.len())
}

/// Sends a request to the first node, and returns the status and the size that the server received.
async fn send(client: &Client, cluster: &Cluster, path: &str, body: usize) -> (u16, usize) {
    let request = client
        .put(format!("http://{}/{path}/item", cluster.target(0)))
        .header("host", "rinks.example")
        .header("x-request-id", rand::random::<u64>().to_string())
        .body(vec![b'x'; body]);
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    let received = response.json().await.map_or(0, |echo: Echo| echo.received);
    (status, received)
}

/// Times of lookups, which are sent at even intervals until `end`.
async fn look_up(client: &Client, cluster: &Cluster, end: Instant) -> Histogram<u64> {
    let lookup = async || {
        let began = Instant::now();
        let (status, _) = send(client, cluster, "lookups", 0).await;
        (status, began.elapsed())
    };
    let due = stream::unfold((), async |()| {
        sleep(LOOKUP_INTERVAL).await;
        (Instant::now() < end).then_some(((), ()))
    });
    let ended = due.map(|()| lookup()).buffer_unordered(usize::MAX);
    let mut times = histogram();
    for (status, took) in ended.collect::<Vec<_>>().await {
        assert_eq!(status, 200, "a lookup");
        times += took.as_micros() as u64;
    }
    times
}

/// Sends uploads one after the other until `end`, and returns how many were answered.
async fn upload(client: &Client, cluster: &Cluster, end: Instant) -> usize {
    let mut answered = 0;
    while Instant::now() < end {
        match send(client, cluster, "uploads", UPLOAD_BYTES).await {
            (200, UPLOAD_BYTES) => answered += 1,
            (503, _) => sleep(RETURN_DELAY).await,
            other => panic!("an upload got {other:?}"),
        }
    }
    answered
}

/// Times of the refusals of uploads by the second node, as the first one logs them.
fn refusals(cluster: &Cluster) -> io::Result<Histogram<u64>> {
    let log = fs::read_to_string(cluster.output_dir().join("host-0.log"))?;
    let mut times = histogram();
    for line in log.lines().filter(|line| line.contains("attempt_heard")) {
        let took = line
            .split(' ')
            .find_map(|field| field.strip_prefix("took_us="));
        if !line.contains(" outcome=answer ") {
            times += took.map_or(Ok(0), str::parse).map_err(io::Error::other)?;
        }
    }
    Ok(times)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_messages_pass_uploads_on_a_slow_link() -> io::Result<()> {
    let cluster = start_cluster("slow-links", 141).await?;
    let client = client();
    let alone = look_up(&client, &cluster, Instant::now() + PHASE).await;
    println!("lookups alone: {}", describe(&alone));
    for uploaders in [1, MANY_UPLOADERS] {
        let end = Instant::now() + PHASE;
        let uploads = (0..uploaders).map(|_| upload(&client, &cluster, end));
        let (lookups, uploads) = futures::join!(look_up(&client, &cluster, end), join_all(uploads));
        let answered: usize = uploads.into_iter().sum();
        println!("lookups beside {uploaders} uploads: {}", describe(&lookups));
        println!("answered uploads: {answered}");
        assert!(quantile(&lookups, 0.99) < LOOKUP_LIMIT);
        assert!(answered > 0);
    }
    let refusals = refusals(&cluster)?;
    println!("refusals of offers: {}", describe(&refusals));
    assert!(refusals.len() > 100, "{}", refusals.len());
    assert!(quantile(&refusals, 0.5) < REFUSAL_MEDIAN);
    assert!(quantile(&refusals, 0.99) < REFUSAL_P99);
    Ok(())
}

/// The first node sends bodies to several others at a time, all over its own link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_messages_pass_uploads_to_several_nodes() -> io::Result<()> {
    let places = json!({
        "slots": 1, "cold": 1, "warm_ms": 0, "queue": 2, "body": 1 << 20, "timeout_ms": 8_000,
    });
    let builder = cluster("slow-links-several", 144)
        .service("front", 1)
        .service_with_limits("rinks", 6, places);
    let cluster = start(builder.with_shared_link(LINK_RATE)).await?;
    let client = client();
    let end = Instant::now() + PHASE;
    let uploads = (0..2 * MANY_UPLOADERS).map(|_| upload(&client, &cluster, end));
    let answered: usize = join_all(uploads).await.into_iter().sum();
    let refusals = refusals(&cluster)?;
    println!("answered uploads to 6 nodes: {answered}");
    println!("refusals of offers by 6 nodes: {}", describe(&refusals));
    assert!(answered > 0);
    assert!(refusals.len() > 100, "{}", refusals.len());
    assert!(quantile(&refusals, 0.5) < REFUSAL_MEDIAN);
    assert!(quantile(&refusals, 0.99) < REFUSAL_P99);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_upload_crosses_the_link_once() -> io::Result<()> {
    let cluster = start_cluster("slow-links-bytes", 142).await?;
    let client = client();
    let before = cluster.proxies[1].relayed_bytes();
    let began = Instant::now();
    let uploads = (0..MANY_UPLOADERS).map(|_| upload(&client, &cluster, began + PHASE));
    let answered: usize = join_all(uploads).await.into_iter().sum();
    let took = began.elapsed();
    let relayed = cluster.proxies[1].relayed_bytes() - before;
    let ratio = relayed as f64 / (answered * UPLOAD_BYTES) as f64;
    println!("{answered} uploads in {took:?}, {ratio:.3} bytes for each of their bytes");
    assert!(ratio <= MAX_RELAYED, "{ratio:.3}");
    Ok(())
}
