//! Answers that end a connection reach callers who are still sending.

use std::{io, time::Duration};

use rig::cluster::cluster;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// More than the service takes, and more than the node reads before it answers.
const BODY: usize = 1 << 20;

#[tokio::test]
async fn a_caller_in_the_middle_of_a_body_that_is_too_large_gets_the_answer() -> io::Result<()> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "body": 1_000 });
    let cluster = cluster("closing-large", 66)
        .service_with_limits("draws", 1, limits)
        .start()
        .await?;
    for _ in 0..20 {
        let mut stream = TcpStream::connect(cluster.target(0)).await?;
        let head = format!("POST /draws/x HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; BODY]).await?;
        sleep(Duration::from_millis(20)).await;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
        assert!(text.ends_with('}'), "whole: {text}");
    }
    Ok(())
}

/// Time after SIGTERM at which a node with the default settings closes its callers' side.
const CLOSES: Duration = Duration::from_millis(500);

#[tokio::test]
async fn the_first_request_of_a_connection_that_was_made_before_the_close_is_answered()
-> io::Result<()> {
    let cluster = cluster("closing-fresh", 75)
        .service("draws", 1)
        .start()
        .await?;
    cluster.nodes[0].signal("TERM").await;
    sleep(CLOSES - Duration::from_millis(100)).await;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    sleep(Duration::from_millis(200)).await;
    stream
        .write_all(b"GET /draws/x HTTP/1.1\r\nhost: h\r\n\r\n")
        .await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.1 "), "{text}");
    Ok(())
}
