//! Every caller gets the whole answer to its own request, or is told truly that it doesn't.

use std::{io, net::SocketAddr};

use futures::future::join_all;
use reqwest::Client;
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

const ID: &str = "00000000000000000000000000000abc";

async fn limited(name: &str, net: u8) -> io::Result<Cluster> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "queue": 200, "body": 2000 });
    cluster(name, net)
        .service_with_limits("draws", 2, limits)
        .start()
        .await
}

async fn echo(client: &Client, target: SocketAddr, number: usize) -> Option<Echo> {
    let url = format!("http://{target}/draws/item?size={}", number * 7);
    let id = format!("{number:032x}");
    let answer = client
        .get(url)
        .header("x-request-id", id)
        .send()
        .await
        .ok()?;
    answer.json().await.ok()
}

#[tokio::test]
async fn answers_that_come_out_of_order_over_one_connection_reach_their_own_callers()
-> io::Result<()> {
    let cluster = limited("answers-order", 50).await?;
    let client = Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("a client");
    let target = cluster.target(0);
    let echoes = join_all((0..100).map(|number| echo(&client, target, number))).await;
    for (number, echo) in echoes.into_iter().enumerate() {
        let echo = echo.expect("an answer");
        assert_eq!(echo.id, format!("{number:032x}"));
        assert_eq!(echo.filler.len(), number * 7);
    }
    Ok(())
}

#[tokio::test]
async fn an_answer_that_is_too_large_is_not_passed_on_in_part() -> io::Result<()> {
    let cluster = limited("answers-large", 51).await?;
    let url = format!("http://{}/draws/item?size=3000", cluster.target(0));
    let answer = client().post(url).send().await.expect("an answer");
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.headers()["x-outcome"], "ran");
    Ok(())
}

#[tokio::test]
async fn a_request_whose_body_breaks_off_is_not_run() -> io::Result<()> {
    let cluster = limited("answers-cut", 52).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let head = format!("POST /draws/x HTTP/1.1\r\nhost: h\r\nx-request-id: {ID}\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream
        .write_all(b"content-length: 100\r\n\r\nten bytes.")
        .await?;
    stream.shutdown().await?;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    let runs: u64 = cluster.servers.iter().map(|s| s.run_count(ID)).sum();
    assert_eq!(runs, 0);
    Ok(())
}

#[tokio::test]
async fn a_body_that_is_too_slow_is_refused_at_the_deadline() -> io::Result<()> {
    let cluster = limited("answers-slow", 53).await?;
    let mut stream = TcpStream::connect(cluster.target(0)).await?;
    let head = format!("POST /draws/x HTTP/1.1\r\nhost: h\r\nx-request-id: {ID}\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream
        .write_all(b"x-deadline-ms: 200\r\ncontent-length: 100\r\n\r\nten bytes.")
        .await?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).await?;
    assert_eq!(&start, b"HTTP/1.1 408");
    let runs: u64 = cluster.servers.iter().map(|s| s.run_count(ID)).sum();
    assert_eq!(runs, 0);
    Ok(())
}

/// Takes the place of a backend server and answers each request with these bytes, then closes.
async fn answer_with(cluster: &Cluster, bytes: &'static [u8]) -> io::Result<()> {
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
    answer_with(&cluster, bytes).await?;
    let url = format!("http://{}/draws/item", cluster.target(0));
    let answer = client().post(url).send().await.expect("an answer");
    let outcome = answer
        .headers()
        .get("x-outcome")
        .and_then(|v| v.to_str().ok());
    Ok((
        answer.status().as_u16(),
        outcome.unwrap_or_default().to_owned(),
    ))
}

#[tokio::test]
async fn an_answer_whose_end_can_not_be_told_is_not_passed_off_as_whole() -> io::Result<()> {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\n{\"half\":";
    let told = status_and_outcome(bytes, "answers-endless", 54).await?;
    assert_eq!(told, (502, "unknown".to_owned()));
    Ok(())
}

#[tokio::test]
async fn an_answer_that_is_shorter_than_it_says_is_not_passed_off_as_whole() -> io::Result<()> {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"half\":";
    let told = status_and_outcome(bytes, "answers-short", 55).await?;
    assert_eq!(told, (502, "unknown".to_owned()));
    Ok(())
}
