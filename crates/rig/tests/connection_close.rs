//! Callers get a response on connections that the node is about to close.

use std::{io, time::Duration};

use rig::cluster::cluster;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Larger than the service's limit, and larger than what the node reads before it responds.
const BODY_BYTES: usize = 1 << 20;

#[tokio::test]
async fn caller_sending_oversized_body_receives_413() -> io::Result<()> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "body": 1_000 });
    let cluster = cluster("close-oversized-body", 66)
        .service_with_limits("draws", 1, limits)
        .start()
        .await?;
    for _ in 0..20 {
        let mut stream = TcpStream::connect(cluster.target(0)).await?;
        let head =
            format!("POST /draws/x HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
        sleep(Duration::from_millis(20)).await;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        let text = String::from_utf8_lossy(&response);
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
        assert!(text.ends_with('}'), "incomplete response: {text}");
    }
    Ok(())
}

/// Sends a request on a connection, and reads until the node closes it.
async fn exchange(stream: &mut TcpStream, request: &str) -> io::Result<String> {
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Time from SIGTERM until a node with default settings stops accepting connections of callers.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

#[tokio::test]
async fn first_request_on_connection_opened_before_close_is_answered() -> io::Result<()> {
    let cluster = cluster("close-new-connection", 75)
        .service("draws", 1)
        .start()
        .await?;
    cluster.nodes[0].signal("TERM").await;
    sleep(CLOSE_DELAY - Duration::from_millis(100)).await;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    sleep(Duration::from_millis(200)).await;
    let text = exchange(&mut stream, "GET /draws/x HTTP/1.1\r\nhost: h\r\n\r\n").await?;
    assert!(text.starts_with("HTTP/1.1 "), "{text}");
    Ok(())
}

#[tokio::test]
async fn a_stopping_node_rejects_a_request_that_may_outlast_its_stop_limit() -> io::Result<()> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "timeout_ms": 2_000 });
    let cluster = cluster("close-stop-limit", 95)
        .service_with_limits("draws", 2, limits)
        .server_behavior(|behavior| behavior.service_ms = 60_000.0)
        .settings(json!({ "linger_ms": 300, "stop_ms": 1_500 }))
        .start()
        .await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let request = "GET /draws/x HTTP/1.1\r\nhost: h\r\nx-deadline-ms: 2000\r\n\r\n";
    cluster.nodes[0].signal("TERM").await;
    sleep(Duration::from_millis(600)).await;
    let text = exchange(&mut stream, request).await?;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("not-run"), "{text}");
    Ok(())
}
