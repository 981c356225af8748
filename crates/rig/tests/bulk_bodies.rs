//! Callers' broken bodies on a route of large bodies: a typed error, and nothing runs.

use std::io;

use rig::{
    cluster::{Cluster, cluster},
    process::client,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Larger than the size from which bodies are offered.
const PART_BYTES: usize = 40_000;
const MAX_BODY_BYTES: usize = 100_000;
/// Length of a status line up to the status.
const STATUS_BYTES: usize = "HTTP/1.1 200".len();

/// Two nodes. Requests go to the first one, and the server is beside the second one.
async fn start_cluster() -> io::Result<Cluster> {
    let route = json!({
        "id": "uploads", "host": "rinks.example", "path": "/uploads/",
        "parts": [{ "service": "rinks", "weight": 1 }], "idempotent": false, "attempts": 2,
        "timeout_ms": 600, "objective_ms": 500, "bulk": true,
    });
    let limits = json!({ "cold": 10, "warm_ms": 0, "body": MAX_BODY_BYTES, "timeout_ms": 600 });
    cluster("bulk-bodies", 143)
        .service("front", 1)
        .service_with_limits("rinks", 1, limits)
        .routes(json!([route]))
        .start()
        .await
}

/// How a caller goes on after the part of the body that it sends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Close,
    Wait,
}

/// Sends a head with these fields and a part of a body. Returns the status line up to the status, empty if the
/// connection was closed without one.
async fn exchange(cluster: &Cluster, fields: &str, part: &[u8], end: End) -> io::Result<String> {
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let head = format!("PUT /uploads/x HTTP/1.1\r\nhost: rinks.example\r\n{fields}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    // The node may close the connection before it has read all.
    let _ = stream.write_all(part).await;
    if end == End::Close {
        stream.shutdown().await?;
    }
    let mut status = Vec::new();
    let _ = stream
        .take(STATUS_BYTES as u64)
        .read_to_end(&mut status)
        .await;
    Ok(String::from_utf8_lossy(&status).into_owned())
}

#[tokio::test]
async fn broken_bodies_are_typed_errors_and_are_not_run() -> io::Result<()> {
    let cluster = start_cluster().await?;
    let part = vec![b'x'; PART_BYTES];
    let chunk = [format!("{PART_BYTES:x}\r\n").as_bytes(), &part, b"\r\n"].concat();
    let malformed_chunk = [&chunk[..], b"zz\r\n"].concat();
    let long_chunk = [
        format!("{:x}\r\n", PART_BYTES - 1).as_bytes(),
        &part,
        b"\r\n",
    ]
    .concat();
    let sized = |size: usize| format!("content-length: {size}");
    let chunked = || "transfer-encoding: chunked".to_owned();
    let cases = [
        ("truncated", sized(2 * PART_BYTES), &part, End::Close, ""),
        ("truncated in chunks", chunked(), &chunk, End::Close, ""),
        (
            "over-long",
            sized(MAX_BODY_BYTES + 1),
            &part,
            End::Wait,
            "HTTP/1.1 413",
        ),
        (
            "over-long in chunks",
            chunked(),
            &chunk.repeat(3),
            End::Wait,
            "HTTP/1.1 413",
        ),
        (
            "malformed chunk",
            chunked(),
            &malformed_chunk,
            End::Wait,
            "HTTP/1.1 400",
        ),
        (
            "longer chunk than it says",
            chunked(),
            &long_chunk,
            End::Wait,
            "HTTP/1.1 400",
        ),
        (
            "trickled",
            sized(2 * PART_BYTES),
            &part,
            End::Wait,
            "HTTP/1.1 408",
        ),
        (
            "trickled in chunks",
            chunked(),
            &chunk,
            End::Wait,
            "HTTP/1.1 408",
        ),
    ];
    for (case, fields, bytes, end, expected) in cases {
        let status = exchange(&cluster, &fields, bytes, end).await?;
        assert_eq!(status, expected, "{case}");
    }
    assert_eq!(cluster.servers[1].counts().runs, 0);
    // Only the whole body is run, so none of the others has a place left.
    let whole = client()
        .put(format!("http://{}/uploads/x", cluster.target(0)))
        .header("host", "rinks.example")
        .body(part.repeat(2));
    let response = whole.send().await.map_err(io::Error::other)?;
    assert_eq!(response.status(), 200);
    assert_eq!(cluster.servers[1].counts().runs, 1);
    Ok(())
}
