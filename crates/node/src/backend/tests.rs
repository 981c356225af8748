//! A backend server that sends a second copy of an answer late, on a connection in use again.

use std::{net::SocketAddr, sync::Arc};

use adapter::SiteDialect;
use board::Clock;
use bytes::Bytes;
use gate::Completion;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Duration, Instant, sleep},
};

use super::{Backend, HttpBackend, ServerRequest, Target};

/// Answers the requests of each connection in turn with the texts in `answers`, each given 20 ms
/// after its request. An empty text is no answer.
async fn serve(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let answers = answers.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                for answer in answers {
                    if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                        return;
                    }
                    sleep(Duration::from_millis(20)).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

fn answer(call: Option<&str>, body: &str) -> String {
    let id = call.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\n\r\n{body}")
}

fn target(address: SocketAddr) -> Target {
    Target {
        server: "a".parse().expect("a valid identifier"),
        address,
        health_path: "/healthz".into(),
        shed_statuses: Vec::new(),
        answer_limit: 1 << 20,
    }
}

fn request(call: &str) -> ServerRequest {
    ServerRequest {
        call: call.parse().expect("a valid identifier"),
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        depth: 0,
        is_retry: false,
        caller_service: None,
    }
}

async fn run(backend: &HttpBackend, address: SocketAddr, call: &str) -> Completion {
    let deadline = Instant::now() + Duration::from_secs(1);
    let result = backend.run(request(call), target(address), deadline).await;
    result.completion
}

#[tokio::test]
async fn a_late_copy_is_not_the_answer_to_a_probe() {
    // The probe on the same connection gets the copy, and its own answer would come to the next
    // request.
    let answers = vec![
        answer(Some("first"), "1"),
        answer(Some("first"), "1"),
        answer(None, "healthy"),
    ];
    let address = serve(answers).await;
    let backend = HttpBackend::new(Arc::new(SiteDialect), Clock::start());
    let completion = run(&backend, address, "first").await;
    assert!(matches!(completion, Completion::Answered(_)));
    assert!(backend.probe(target(address)).await.is_none());
    let completion = run(&backend, address, "first").await;
    assert!(
        matches!(completion, Completion::Answered(_)),
        "over a new connection"
    );
}

#[tokio::test]
async fn a_late_copy_is_not_the_answer_to_the_next_request() {
    let answers = vec![answer(Some("first"), "1"), answer(Some("first"), "1")];
    let address = serve(answers).await;
    let backend = HttpBackend::new(Arc::new(SiteDialect), Clock::start());
    run(&backend, address, "first").await;
    let completion = run(&backend, address, "second").await;
    assert!(
        matches!(completion, Completion::Incomplete),
        "{completion:?}"
    );
}

#[tokio::test]
async fn the_answer_to_a_probe_is_not_the_answer_to_a_request() {
    let address = serve(vec![answer(None, "healthy")]).await;
    let backend = HttpBackend::new(Arc::new(SiteDialect), Clock::start());
    let completion = run(&backend, address, "first").await;
    assert!(
        matches!(completion, Completion::Incomplete),
        "{completion:?}"
    );
}
