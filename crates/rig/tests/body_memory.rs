//! Large bodies leave a node within the memory of its machine.

use std::{fs, io, time::Duration};

use rig::{
    cluster::{Cluster, cluster},
    process::Node,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Memory of the users' machines: a process that exceeds it is killed.
const MEMORY_KB: u64 = 260 * 1_024;
/// Callers that send one large body each, one after the other, and keep their connections.
const CALLERS: usize = 28;
const BODY_BYTES: usize = 12 << 20;
const CHUNK_BYTES: usize = 64 << 10;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Two nodes: the first one's server is that of `draws`, so the second one reaches it over the first.
async fn start_cluster(name: &str, net: u8) -> io::Result<Cluster> {
    let limits = json!({
        "cold": 10, "warm_ms": 0, "timeout_ms": 10_000, "body": BODY_BYTES + CHUNK_BYTES,
    });
    cluster(name, net)
        .service_with_limits("draws", 1, limits.clone())
        .service_with_limits("fees", 1, limits)
        .start()
        .await
}

/// Largest resident size that the process of a node has had.
fn peak_kb(node: &Node) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", node.pid()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|text| text.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| io::Error::other("no peak of the resident size"))
}

fn check_peaks(cluster: &Cluster, what: &str) -> io::Result<()> {
    for (index, node) in cluster.nodes.iter().enumerate() {
        let peak = peak_kb(node)?;
        assert!(peak < MEMORY_KB, "node {index} had {peak} kB with {what}");
    }
    Ok(())
}

/// Sends a request and returns the status line of its answer.
async fn exchange(stream: &mut TcpStream, head: &str, body: &[u8]) -> io::Result<String> {
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut bytes = vec![0; 16 << 10];
    let read = timeout(ANSWER_TIMEOUT, stream.read(&mut bytes)).await??;
    let answer = String::from_utf8_lossy(&bytes[..read]).into_owned();
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

fn head(field: &str) -> String {
    format!("POST /draws/item HTTP/1.1\r\nhost: h\r\n{field}\r\n\r\n")
}

fn chunked_body() -> String {
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    chunk.repeat(BODY_BYTES / CHUNK_BYTES) + "0\r\n\r\n"
}

/// Sends `body` on `CALLERS` connections to each node, and keeps them.
async fn send_bodies(cluster: &Cluster, field: &str, body: &[u8]) -> io::Result<()> {
    for node in 0..cluster.nodes.len() {
        let mut kept = Vec::new();
        for _ in 0..CALLERS {
            let mut stream = TcpStream::connect(cluster.target(node)).await?;
            let answer = exchange(&mut stream, &head(field), body).await?;
            assert_eq!(answer, "HTTP/1.1 200 OK");
            kept.push(stream);
        }
        check_peaks(cluster, field)?;
    }
    Ok(())
}

#[tokio::test]
async fn kept_connections_keep_no_memory_of_bodies() -> io::Result<()> {
    let cluster = start_cluster("body-memory-kept", 116).await?;
    let body = vec![b'x'; BODY_BYTES];
    send_bodies(&cluster, &format!("content-length: {BODY_BYTES}"), &body).await?;
    send_bodies(
        &cluster,
        "transfer-encoding: chunked",
        chunked_body().as_bytes(),
    )
    .await
}

#[tokio::test]
async fn bodies_at_the_same_time_are_admitted_by_the_memory_that_is_left() -> io::Result<()> {
    let cluster = start_cluster("body-memory-many", 119).await?;
    let body = chunked_body();
    for node in 0..cluster.nodes.len() {
        let sent = (0..CALLERS).map(|_| async {
            let mut stream = TcpStream::connect(cluster.target(node)).await?;
            exchange(
                &mut stream,
                &head("transfer-encoding: chunked"),
                body.as_bytes(),
            )
            .await
        });
        let answers = futures::future::join_all(sent).await;
        let answers: Vec<String> = answers.into_iter().flatten().collect();
        let is_expected = |answer: &String| {
            ["HTTP/1.1 200 OK", "HTTP/1.1 503 Service Unavailable"].contains(&answer.as_str())
        };
        assert!(answers.iter().all(is_expected), "{answers:?}");
        let mut alone = TcpStream::connect(cluster.target(node)).await?;
        let field = head("transfer-encoding: chunked");
        let answer = exchange(&mut alone, &field, body.as_bytes()).await?;
        assert_eq!(answer, "HTTP/1.1 200 OK");
        check_peaks(&cluster, "bodies at the same time")?;
    }
    Ok(())
}

#[tokio::test]
async fn bodies_over_http2_are_admitted_by_the_memory_that_is_left() -> io::Result<()> {
    let cluster = start_cluster("body-memory-http2", 118).await?;
    for node in 0..cluster.nodes.len() {
        let url = format!("http://{}/draws/item", cluster.target(node));
        let client = reqwest::Client::builder()
            .no_proxy()
            .http2_prior_knowledge();
        let client = client.build().map_err(io::Error::other)?;
        let body = vec![b'x'; BODY_BYTES];
        let send = || {
            // A stream has no length, so the node learns the size as the body arrives.
            let parts: Vec<io::Result<Vec<u8>>> = body
                .chunks(CHUNK_BYTES)
                .map(|part| Ok(part.to_vec()))
                .collect();
            let body = reqwest::Body::wrap_stream(futures::stream::iter(parts));
            client.post(&url).body(body).send()
        };
        let sent = (0..CALLERS).map(|_| send());
        let answers = futures::future::join_all(sent).await;
        let statuses: Vec<u16> = answers
            .iter()
            .flatten()
            .map(|a| a.status().as_u16())
            .collect();
        let expected = |status: &u16| [200, 503].contains(status);
        assert!(statuses.iter().all(expected), "{statuses:?}");
        let alone = send().await.map_err(io::Error::other)?;
        assert_eq!(alone.status(), 200);
        check_peaks(&cluster, "HTTP/2")?;
    }
    Ok(())
}
