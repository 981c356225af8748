//! A rejected request neither takes the next one on its connection with it, other than by a close, nor
//! leaves bytes of its body to be read as a request.

use std::{io, time::Duration};

use rig::cluster::cluster;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const SMUGGLED: &str = "GET /draws/smuggled HTTP/1.1\r\nhost: h\r\n\r\n";
const NEXT: &str = "GET /draws/item HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
const MAX_BODY: usize = 1_000;
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Sends bytes and returns the statuses of all answers until the connection is closed.
async fn statuses(stream: &mut TcpStream, bytes: &str) -> io::Result<Vec<u16>> {
    stream.write_all(bytes.as_bytes()).await?;
    let mut received = Vec::new();
    timeout(ANSWERS_TIMEOUT, stream.read_to_end(&mut received)).await??;
    let text = String::from_utf8_lossy(&received).into_owned();
    let statuses = text.split("HTTP/1.1 ").skip(1);
    Ok(statuses
        .filter_map(|answer| answer.get(..3)?.parse().ok())
        .collect())
}

#[tokio::test]
async fn rejected_requests_leave_their_connection_usable_or_closed() -> io::Result<()> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "body": MAX_BODY });
    let cluster = cluster("rejections", 117)
        .service_with_limits("draws", 1, limits)
        .start()
        .await?;
    let counted = format!("content-length: {}\r\n\r\n{SMUGGLED}", SMUGGLED.len());
    let chunk = format!("{:x}\r\n{SMUGGLED}\r\n", SMUGGLED.len());
    let chunked = format!("transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
    let large = SMUGGLED.repeat(MAX_BODY);
    let wide = "x: y\r\n".repeat(20_000);
    let kept = [
        (
            404,
            format!("POST /none/x HTTP/1.1\r\nhost: h\r\n{counted}"),
        ),
        (
            404,
            format!("POST /none/x HTTP/1.1\r\nhost: h\r\n{chunked}"),
        ),
        (
            400,
            format!("POST /draws/x HTTP/1.1\r\nx-deadline-ms: soon\r\n{counted}"),
        ),
        (
            400,
            format!("POST /draws/x HTTP/1.1\r\nx-deadline-ms: soon\r\n{chunked}"),
        ),
    ];
    let closed = [
        (
            413,
            format!(
                "POST /draws/x HTTP/1.1\r\ncontent-length: {}\r\n\r\n{large}",
                large.len()
            ),
        ),
        (
            413,
            format!(
                "POST /draws/x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
                large.len()
            ),
        ),
        (
            400,
            format!(
                "POST /draws/x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{chunk}zz\r\n{SMUGGLED}"
            ),
        ),
        (
            400,
            format!("POST /draws/x HTTP/1.1\r\ntransfer-encoding: chunked\r\n{counted}"),
        ),
        (
            400,
            format!("POST /draws/x HTTP/1.1\r\ncontent-length: 0\r\n{counted}"),
        ),
        (
            400,
            format!("GET /draws/x#y HTTP/1.1\r\nhost: h\r\n{counted}"),
        ),
        (431, format!("POST /draws/x HTTP/1.1\r\n{wide}{counted}")),
    ];
    let mut runs = 0;
    let cases = kept.into_iter().map(|case| (true, case));
    let cases = cases.chain(closed.into_iter().map(|case| (false, case)));
    for (stays_open, (status, request)) in cases {
        let mut stream = TcpStream::connect(cluster.target(0)).await?;
        let line = request.lines().next().unwrap_or_default().to_owned();
        let found = statuses(&mut stream, &format!("{request}{NEXT}")).await?;
        let expected = match stays_open {
            true => vec![status, 200],
            false => vec![status],
        };
        assert_eq!(found, expected, "{line}");
        runs += u64::from(stays_open);
        assert_eq!(cluster.servers[0].counts().runs, runs, "{line}");
    }
    Ok(())
}
