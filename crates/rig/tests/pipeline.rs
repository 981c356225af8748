//! Callers who send further requests before the first is answered.

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

const WORK_MS: f64 = 300.0;
const REQUESTS: usize = 4;

async fn slow_cluster(name: &str, net: u8) -> io::Result<Cluster> {
    cluster(name, net)
        .service("draws", 1)
        .server_behavior(|conduct| conduct.service_ms = WORK_MS)
        .start()
        .await
}

fn requests() -> String {
    let request = |number: usize| {
        format!(
            "GET /draws/item?size={number} HTTP/1.1\r\nhost: h\r\nx-request-id: {number:032x}\r\n\r\n"
        )
    };
    (1..=REQUESTS).map(request).collect()
}

#[tokio::test]
async fn they_are_carried_side_by_side_and_answered_in_order() -> io::Result<()> {
    let cluster = slow_cluster("pipeline-order", 64).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    // The first answer shows that the backend server is up, so that the others may run at once.
    stream
        .write_all(b"GET /draws/item HTTP/1.1\r\nhost: h\r\n\r\n")
        .await?;
    let mut first = [0; 16];
    stream.read_exact(&mut first).await?;
    let began = Instant::now();
    stream.write_all(requests().as_bytes()).await?;
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    let last = format!("\"id\":\"{REQUESTS:032x}\"");
    while !text.contains(&last) {
        let read = stream.read(&mut bytes).await?;
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    // One after the other they take four times the work, side by side one and a half at most.
    let most = Duration::from_millis((WORK_MS * 2.5) as u64);
    assert!(began.elapsed() < most, "{:?}", began.elapsed());
    let places: Vec<usize> = (1..=REQUESTS)
        .map(|number| {
            text.find(&format!("\"id\":\"{number:032x}\""))
                .expect("an answer")
        })
        .collect();
    assert!(places.is_sorted(), "{places:?}");
    Ok(())
}

#[tokio::test]
async fn all_of_them_are_cancelled_when_their_caller_leaves() -> io::Result<()> {
    let cluster = slow_cluster("pipeline-leave", 65).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    stream.write_all(requests().as_bytes()).await?;
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    sleep(Duration::from_millis(600)).await;
    let counts = cluster.servers[0].counts();
    assert!(counts.runs > 0);
    assert_eq!(counts.cancelled, counts.runs, "{counts:?}");
    Ok(())
}
