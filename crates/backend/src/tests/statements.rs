//! A response says something about a request only if it is known to belong to it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use axum::http::{HeaderMap, HeaderName, StatusCode};
use board::Clock;
use dialect::{
    AttemptMetadata, CallFailure, Dialect, ErrorResponse, InvalidHeader, NativeDialect,
    RequestMetadata, ResponseMetadata, parse_named_call,
};
use gate::Completion;
use support::body_budget::BodyBudget;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant, sleep},
};
use types::{CallId, NamedLimit};

use super::{Backend, answer, request, serve};
use crate::{HttpBackend, RequestResult, Target};

/// The native dialect, with backend servers that name the call id in all answers to requests.
#[derive(Debug)]
struct EchoDialect;

impl Dialect for EchoDialect {
    fn call_id(&self, headers: &HeaderMap) -> Option<CallId> {
        NativeDialect.call_id(headers)
    }

    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader> {
        NativeDialect.read_request(headers)
    }

    fn overrides(&self, name: &HeaderName) -> bool {
        NativeDialect.overrides(name)
    }

    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        NativeDialect.key(headers)
    }

    fn key_header(&self) -> &'static str {
        NativeDialect.key_header()
    }

    fn team_header(&self) -> &'static str {
        NativeDialect.team_header()
    }

    fn write_request(&self, attempt: &AttemptMetadata<'_>, headers: &mut HeaderMap) {
        NativeDialect.write_request(attempt, headers);
    }

    fn read_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        shed_statuses: &[u16],
    ) -> ResponseMetadata {
        ResponseMetadata {
            misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            call: parse_named_call(headers, "x-request-id"),
            ..NativeDialect.read_response(status, headers, shed_statuses)
        }
    }

    fn probe_path(&self) -> &'static str {
        NativeDialect.probe_path()
    }

    fn allows_close_delimited(&self) -> bool {
        true
    }

    fn echoes_call_id(&self) -> bool {
        true
    }

    fn error_response(&self, call: &CallId, failure: &CallFailure) -> ErrorResponse {
        NativeDialect.error_response(call, failure)
    }

    fn set_call_id(&self, call: &CallId, headers: &mut HeaderMap) {
        NativeDialect.set_call_id(call, headers);
    }
}

fn backend() -> HttpBackend {
    HttpBackend::new(Arc::new(EchoDialect), Clock::start(), BodyBudget::default())
}

fn target(address: SocketAddr) -> Target {
    Target {
        shed_statuses: vec![503],
        ..super::target(address)
    }
}

/// A response by which a backend server says that it didn't run a request.
fn refusal(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n")
}

const FULL: &str = "503 Service Unavailable";
const MISDIRECTED: &str = "421 Misdirected Request";

/// A backend server that sends each response a second time, at the point where the next one on that
/// connection is expected.
#[derive(Debug, Clone, Default)]
struct CopyingServer {
    connections: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
}

impl CopyingServer {
    /// Starts the server. `respond` gets the request and the number of requests before it.
    async fn start(&self, respond: fn(&str, usize) -> String) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                server.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(server.clone().answer_all(stream, respond));
            }
        });
        address
    }

    async fn answer_all(self, mut stream: TcpStream, respond: fn(&str, usize) -> String) {
        let mut buffer = [0; 4_096];
        let mut last = String::new();
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            let _ = stream.write_all(last.as_bytes()).await;
            sleep(Duration::from_millis(10)).await;
            let before = self.runs.fetch_add(1, Ordering::Relaxed);
            last = respond(&String::from_utf8_lossy(&buffer[..read]), before);
            let _ = stream.write_all(last.as_bytes()).await;
        }
    }
}

/// Rejects health probes, which carry no id, and answers requests.
fn reject_probes(request: &str, _: usize) -> String {
    match request.starts_with("GET /healthz ") {
        true => refusal(FULL, ""),
        false => answer(Some("first"), "1"),
    }
}

async fn run(backend: &HttpBackend, address: SocketAddr, call: &str) -> Completion {
    run_with_metadata(backend, address, call).await.completion
}

async fn run_with_metadata(
    backend: &HttpBackend,
    address: SocketAddr,
    call: &str,
) -> RequestResult {
    let deadline = Instant::now() + Duration::from_secs(1);
    backend.run(request(call), target(address), deadline).await
}

/// Probes shared connections with requests, so a request that ran was told as not run, or ran a second time.
#[tokio::test]
async fn a_late_copy_of_a_rejected_probe_does_not_reject_a_request() {
    let address = CopyingServer::default().start(reject_probes).await;
    let backend = backend();
    backend.probe(target(address)).await.expect("a response");
    let completion = run(&backend, address, "first").await;
    assert!(
        matches!(completion, Completion::Answered(_)),
        "{completion:?}"
    );
}

#[tokio::test]
async fn a_refusal_without_id_counts_only_on_a_fresh_connection() {
    for status in [FULL, MISDIRECTED] {
        let address = serve(vec![refusal(status, "")]).await;
        let completion = run(&backend(), address, "first").await;
        assert!(
            matches!(completion, Completion::Shed | Completion::Misdirected),
            "{completion:?}"
        );
        let address = serve(vec![answer(Some("first"), "1"), refusal(status, "")]).await;
        let backend = backend();
        run(&backend, address, "first").await;
        let completion = run(&backend, address, "second").await;
        assert!(
            matches!(completion, Completion::Incomplete),
            "{status}: {completion:?}"
        );
    }
}

#[tokio::test]
async fn a_refusal_with_another_id_or_a_malformed_one_is_no_refusal() {
    for id in [
        "x-request-id: second\r\n",
        "x-request-id: \r\n",
        "x-request-id: a b\r\n",
        "x-request-id: first\r\nx-request-id: second\r\n",
    ] {
        for status in [FULL, MISDIRECTED] {
            let address = serve(vec![refusal(status, id)]).await;
            let completion = run(&backend(), address, "first").await;
            assert!(
                matches!(completion, Completion::Incomplete),
                "{id:?}: {completion:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_refusal_that_came_before_its_request_does_not_reject_it() {
    let early = answer(Some("first"), "1") + &refusal(FULL, "");
    let address = serve(vec![early, answer(Some("second"), "2")]).await;
    let backend = backend();
    run(&backend, address, "first").await;
    let completion = run(&backend, address, "second").await;
    assert!(!matches!(completion, Completion::Shed), "{completion:?}");
}

#[tokio::test]
async fn a_repeated_call_does_not_get_a_copy_of_its_earlier_answer() {
    let number = |_: &str, before: usize| answer(Some("first"), &before.to_string());
    let address = CopyingServer::default().start(number).await;
    let backend = backend();
    for body in ["0", "1", "2"] {
        let completion = run(&backend, address, "first").await;
        let same = matches!(&completion, Completion::Answered(answer) if answer.body == body);
        assert!(same, "{body}: {completion:?}");
    }
}

#[tokio::test]
async fn a_foreign_answer_says_nothing_of_the_backend_server() {
    let headers = "x-request-id: other\r\nx-limit: 3\r\nx-leaving: 1\r\nx-boot: 7\r\n";
    for text in [
        refusal(FULL, headers),
        format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n"),
    ] {
        let address = serve(vec![text]).await;
        let result = run_with_metadata(&backend(), address, "first").await;
        assert!(matches!(result.completion, Completion::Incomplete));
        assert_eq!(result.metadata, ResponseMetadata::default());
    }
}

#[tokio::test]
async fn the_answer_to_a_request_says_what_the_backend_server_names() {
    let headers = "x-request-id: first\r\nx-limit: 3\r\nx-leaving: 1\r\n";
    let address = serve(vec![refusal(FULL, headers)]).await;
    let result = run_with_metadata(&backend(), address, "first").await;
    assert!(matches!(result.completion, Completion::Shed));
    assert!(result.metadata.leaving);
    assert!(matches!(result.metadata.limit, NamedLimit::Rate(_)));
}

#[tokio::test]
async fn the_copy_of_a_probe_response_reaches_no_request() {
    let server = CopyingServer::default();
    let address = server.start(|request, _| match request.starts_with("GET /healthz ") {
        true => answer(None, "healthy"),
        false => answer(Some("first"), "1"),
    });
    let address = address.await;
    let backend = backend();
    for _ in 0..3 {
        backend.probe(target(address)).await.expect("a response");
        let completion = run(&backend, address, "first").await;
        let own = matches!(&completion, Completion::Answered(answer) if answer.body == "1");
        assert!(own, "{completion:?}");
    }
}

#[tokio::test]
async fn a_connection_on_which_a_probe_got_a_copy_is_not_used_again() {
    let server = CopyingServer::default();
    let address = server
        .start(|_, before| answer(None, &before.to_string()))
        .await;
    let backend = backend();
    for connections in [1, 1, 2] {
        backend.probe(target(address)).await.expect("a response");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(server.connections.load(Ordering::Relaxed), connections);
    }
}

#[tokio::test]
async fn informational_responses_are_no_answer() {
    let own = answer(Some("first"), "1");
    let refused = refusal("103 Early Hints", "x-request-id: first\r\n");
    let hints = refused.replace("content-length: 0\r\n", "");
    for informational in ["HTTP/1.1 100 Continue\r\n\r\n", hints.as_str()] {
        let address = serve(vec![informational.to_owned() + &own]).await;
        let completion = run(&backend(), address, "first").await;
        assert!(
            matches!(completion, Completion::Answered(_)),
            "{completion:?}"
        );
    }
    let switching = "HTTP/1.1 101 Switching Protocols\r\nx-request-id: first\r\n\
                     connection: upgrade\r\nupgrade: other\r\n\r\n";
    let address = serve(vec![switching.to_owned()]).await;
    let completion = run(&backend(), address, "first").await;
    assert!(
        matches!(completion, Completion::Incomplete),
        "{completion:?}"
    );
}

/// Bytes of a body that the server doesn't read: more than the buffers of both sockets hold.
const UNREAD_BODY: usize = 32 << 20;

#[tokio::test]
async fn an_answer_before_the_body_is_sent_is_one_and_its_connection_carries_no_other_request() {
    for status in ["200 OK", FULL] {
        let early =
            format!("HTTP/1.1 {status}\r\nx-request-id: first\r\ncontent-length: 0\r\n\r\n");
        let address = serve(vec![early, answer(Some("second"), "2")]).await;
        let backend = backend();
        let mut large = request("first");
        large.method = "POST".into();
        large.body = vec![b'a'; UNREAD_BODY].into();
        let deadline = Instant::now() + Duration::from_secs(1);
        let result = backend.run(large, target(address), deadline).await;
        let expected = match status {
            FULL => matches!(result.completion, Completion::Shed),
            _ => matches!(result.completion, Completion::Answered(_)),
        };
        assert!(expected, "{:?}", result.completion);
        let completion = run(&backend, address, "second").await;
        assert!(
            matches!(completion, Completion::Incomplete),
            "the server answers its first request of a connection to \"first\": {completion:?}"
        );
    }
}
