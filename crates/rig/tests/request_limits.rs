//! Requests within the limits are served, over HTTP/1.1 and HTTP/2, and odd ones end no node.

use std::{io, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rig::cluster::cluster;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Headers of 61 KB in all: the default limit is 64 KiB.
const HEADERS: usize = 60;
const VALUE_BYTES: usize = 1_000;
/// Connections with random frames.
const RANDOM_CONNECTIONS: usize = 500;
/// Time for the node to read some frames.
const READ_TIMEOUT: Duration = Duration::from_millis(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time between two parts of the first bytes.
const SPLIT_DELAY: Duration = Duration::from_millis(50);

/// Checks that the protocol is found though the first bytes come in two parts.
async fn check_split_preface(node: SocketAddr) -> io::Result<()> {
    const SETTINGS: u8 = 4;
    const SETTINGS_FRAME: &[u8] = &[0, 0, 0, SETTINGS, 0, 0, 0, 0, 0];
    let mut stream = TcpStream::connect(node).await?;
    stream.set_nodelay(true)?;
    stream.write_all(b"PR").await?;
    sleep(SPLIT_DELAY).await;
    stream.write_all(b"I * HTTP/2.0\r\n\r\nSM\r\n\r\n").await?;
    stream.write_all(SETTINGS_FRAME).await?;
    let mut answer = [0; SETTINGS_FRAME.len()];
    stream.read_exact(&mut answer).await?;
    assert_eq!(answer[3], SETTINGS, "{}", String::from_utf8_lossy(&answer));
    Ok(())
}

/// Checks that a caller isn't told to continue before the requests in front are answered.
async fn check_continue_in_order(node: SocketAddr) -> io::Result<()> {
    const REQUESTS: &str = "GET /draws/a HTTP/1.1\r\nhost: h\r\n\r\n\
        POST /draws/b HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n";
    let mut stream = TcpStream::connect(node).await?;
    stream.write_all(REQUESTS.as_bytes()).await?;
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    while !text.contains(" 100 ") {
        let read = timeout(ANSWER_TIMEOUT, stream.read(&mut bytes)).await??;
        assert!(read > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
    stream.write_all(b"b").await?;
    let read = timeout(ANSWER_TIMEOUT, stream.read(&mut bytes)).await??;
    let answer = String::from_utf8_lossy(&bytes[..read]);
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    Ok(())
}

/// Sends frames of random types, flags, streams and payloads after the preface. Each connection may be
/// closed, but the node must go on.
async fn send_random_frames(node: SocketAddr) -> io::Result<()> {
    const FRAME_TYPES: u8 = 11;
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..RANDOM_CONNECTIONS {
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec();
        for _ in 0..rng.random_range(1..30) {
            let length: u8 = rng.random_range(0..40);
            let header = [0, 0, length, rng.random_range(0..FRAME_TYPES), rng.random()];
            let stream = [0, 0, 0, rng.random_range(0..6)];
            bytes.extend(header.into_iter().chain(stream));
            bytes.extend((0..length).map(|_| rng.random::<u8>()));
        }
        let mut stream = TcpStream::connect(node).await?;
        // The node may close the connection before it has read all.
        let _ = stream.write_all(&bytes).await;
        let _ = timeout(READ_TIMEOUT, stream.read(&mut [0; 4_096])).await;
    }
    Ok(())
}

#[tokio::test]
async fn proper_requests_are_served_and_odd_frames_end_no_process() -> io::Result<()> {
    let mut cluster = cluster("request-limits-heads", 115)
        .service("draws", 1)
        .start()
        .await?;
    // The request line counts apart, so a head may be larger than the limit.
    let path = "p".repeat(7_000);
    let client = || reqwest::Client::builder().no_proxy();
    let clients = [client(), client().http2_prior_knowledge()];
    for client in clients {
        let client = client.build().map_err(io::Error::other)?;
        let mut request = client.get(format!("http://{}/draws/{path}", cluster.target(0)));
        for number in 0..HEADERS {
            request = request.header(format!("x-{number}"), "v".repeat(VALUE_BYTES));
        }
        let response = request.send().await.map_err(io::Error::other)?;
        assert_eq!(response.status(), 200, "{:?}", response.version());
    }
    check_split_preface(cluster.target(0)).await?;
    check_continue_in_order(cluster.target(0)).await?;
    send_random_frames(cluster.target(0)).await?;
    assert!(!cluster.nodes[0].has_exited());
    check_continue_in_order(cluster.target(0)).await
}
