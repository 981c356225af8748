//! A caller gets the complete response to its own request, or an error that says whether it ran.

use std::{io, net::SocketAddr};

use futures::{future::join_all, stream};
use reqwest::{Body, Client};
use rig::{
    cluster::{Cluster, cluster},
    process::client,
    server::Echo,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const REQUEST_ID: &str = "00000000000000000000000000000abc";

async fn start_limited(name: &str, net: u8) -> io::Result<Cluster> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "queue": 200, "body": 2000 });
    cluster(name, net)
        .service_with_limits("draws", 2, limits)
        .start()
        .await
}

async fn fetch_echo(client: &Client, target: SocketAddr, number: usize) -> Option<Echo> {
    let url = format!("http://{target}/draws/item?size={}", number * 7);
    let id = format!("{number:032x}");
    let response = client
        .get(url)
        .header("x-request-id", id)
        .send()
        .await
        .ok()?;
    response.json().await.ok()
}

fn http2_client() -> Client {
    Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("failed to build the HTTP client")
}

#[tokio::test]
async fn multiplexed_responses_match_their_requests() -> io::Result<()> {
    let cluster = start_limited("responses-multiplexed", 50).await?;
    let client = http2_client();
    let target = cluster.target(0);
    let echoes = join_all((0..100).map(|number| fetch_echo(&client, target, number))).await;
    for (number, echo) in echoes.into_iter().enumerate() {
        let echo = echo.expect("no response");
        assert_eq!(echo.id, format!("{number:032x}"));
        assert_eq!(echo.filler.len(), number * 7);
    }
    Ok(())
}

#[tokio::test]
async fn oversized_response_is_not_forwarded_in_part() -> io::Result<()> {
    let cluster = start_limited("responses-oversized", 51).await?;
    let url = format!("http://{}/draws/item?size=3000", cluster.target(0));
    let response = client().post(url).send().await.expect("no response");
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["x-outcome"], "ran");
    Ok(())
}

#[tokio::test]
async fn request_with_truncated_body_is_not_run() -> io::Result<()> {
    let cluster = start_limited("responses-truncated-request", 52).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let head = format!("POST /draws/x HTTP/1.1\r\nhost: h\r\nx-request-id: {REQUEST_ID}\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream
        .write_all(b"content-length: 100\r\n\r\nten bytes.")
        .await?;
    stream.shutdown().await?;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    let runs: u64 = cluster
        .servers
        .iter()
        .map(|s| s.run_count(REQUEST_ID))
        .sum();
    assert_eq!(runs, 0);
    Ok(())
}

#[tokio::test]
async fn http2_request_with_truncated_body_is_not_run() -> io::Result<()> {
    let cluster = start_limited("responses-truncated-stream", 107).await?;
    let url = format!("http://{}/draws/x", cluster.target(0));
    let part = || -> io::Result<&[u8]> { Ok(b"ten bytes.") };
    let reset = Body::wrap_stream(stream::iter([part(), Err(io::ErrorKind::Other.into())]));
    let short = Body::wrap_stream(stream::iter([part()]));
    for (length, body) in [(None, reset), (Some(100), short)] {
        let mut request = http2_client().post(&url).header("x-request-id", REQUEST_ID);
        if let Some(length) = length {
            request = request.header("content-length", length);
        }
        let response = request.body(body).send().await;
        let status = response.map(|response| response.status().as_u16());
        assert!(!matches!(status, Ok(200)), "{length:?}: {status:?}");
    }
    let runs: u64 = cluster
        .servers
        .iter()
        .map(|s| s.run_count(REQUEST_ID))
        .sum();
    assert_eq!(runs, 0);
    Ok(())
}

#[tokio::test]
async fn slow_request_body_is_refused_at_the_deadline() -> io::Result<()> {
    let cluster = start_limited("responses-slow-request", 53).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let head = format!("POST /draws/x HTTP/1.1\r\nhost: h\r\nx-request-id: {REQUEST_ID}\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream
        .write_all(b"x-deadline-ms: 200\r\ncontent-length: 100\r\n\r\nten bytes.")
        .await?;
    let mut status = [0; 12];
    stream.read_exact(&mut status).await?;
    assert_eq!(&status, b"HTTP/1.1 408");
    let runs: u64 = cluster
        .servers
        .iter()
        .map(|s| s.run_count(REQUEST_ID))
        .sum();
    assert_eq!(runs, 0);
    Ok(())
}

/// Replaces the first backend server by one that responds to each request with `bytes` and closes
/// the connection.
async fn respond_with(cluster: &Cluster, bytes: &'static [u8]) -> io::Result<()> {
    cluster.servers[0].set_listening(false);
    let address = cluster.nodes[0].spec.server;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    Ok(())
}

async fn status_and_outcome(
    bytes: &'static [u8],
    name: &str,
    net: u8,
) -> io::Result<(u16, String)> {
    let limits = json!({ "cold": 10, "warm_ms": 0 });
    let cluster = cluster(name, net)
        .service_with_limits("draws", 1, limits)
        .start()
        .await?;
    respond_with(&cluster, bytes).await?;
    let url = format!("http://{}/draws/item", cluster.target(0));
    let response = client().post(url).send().await.expect("no response");
    let outcome = response
        .headers()
        .get("x-outcome")
        .and_then(|v| v.to_str().ok());
    Ok((
        response.status().as_u16(),
        outcome.unwrap_or_default().to_owned(),
    ))
}

#[tokio::test]
async fn response_without_length_is_not_forwarded_as_complete() -> io::Result<()> {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\n{\"half\":";
    let result = status_and_outcome(bytes, "responses-no-length", 54).await?;
    assert_eq!(result, (502, "unknown".to_owned()));
    Ok(())
}

#[tokio::test]
async fn response_shorter_than_content_length_is_not_forwarded_as_complete() -> io::Result<()> {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"half\":";
    let result = status_and_outcome(bytes, "responses-short", 55).await?;
    assert_eq!(result, (502, "unknown".to_owned()));
    Ok(())
}
