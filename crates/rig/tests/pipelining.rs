//! HTTP/1.1 pipelining: callers send further requests before the first response.

use std::{
    io,
    time::{Duration, Instant},
};

use rig::cluster::{Cluster, cluster};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const SERVICE_MS: f64 = 300.0;
const REQUESTS: usize = 4;

async fn start_slow_cluster(name: &str, net: u8) -> io::Result<Cluster> {
    cluster(name, net)
        .service("draws", 1)
        .server_behavior(|behavior| behavior.service_ms = SERVICE_MS)
        .start()
        .await
}

fn pipelined_requests() -> String {
    let request = |number: usize| {
        format!(
            "GET /draws/item?size={number} HTTP/1.1\r\nhost: h\r\nx-request-id: {number:032x}\r\n\r\n"
        )
    };
    (1..=REQUESTS).map(request).collect()
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() -> io::Result<()> {
    let cluster = start_slow_cluster("pipelining-order", 64).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    // The first response shows that the backend server is up, so that the other requests may run
    // concurrently.
    stream
        .write_all(b"GET /draws/item HTTP/1.1\r\nhost: h\r\n\r\n")
        .await?;
    let mut first = [0; 16];
    stream.read_exact(&mut first).await?;
    let start = Instant::now();
    stream.write_all(pipelined_requests().as_bytes()).await?;
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    let last = format!("\"id\":\"{REQUESTS:032x}\"");
    while !text.contains(&last) {
        let read = stream.read(&mut bytes).await?;
        assert!(read > 0, "connection closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    // One after the other, the four requests take about 4 times the mean service time. Concurrently
    // they take at most 1.5 times, the longest service time of a single request.
    let limit = Duration::from_millis((SERVICE_MS * 2.5) as u64);
    assert!(start.elapsed() < limit, "{:?}", start.elapsed());
    let offsets: Vec<usize> = (1..=REQUESTS)
        .map(|number| {
            text.find(&format!("\"id\":\"{number:032x}\""))
                .expect("no response to a request")
        })
        .collect();
    assert!(offsets.is_sorted(), "{offsets:?}");
    Ok(())
}

#[tokio::test]
async fn disconnect_cancels_all_pipelined_requests() -> io::Result<()> {
    let cluster = start_slow_cluster("pipelining-disconnect", 65).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    stream.write_all(pipelined_requests().as_bytes()).await?;
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    sleep(Duration::from_millis(600)).await;
    let counts = cluster.servers[0].counts();
    assert!(counts.runs > 0);
    assert_eq!(counts.cancelled, counts.runs, "{counts:?}");
    Ok(())
}
