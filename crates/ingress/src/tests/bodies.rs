//! Large bodies on their way to the gate of another node.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use attempt::ServerRequest;
use axum::http::Response;
use backend::{Backend, ProbeError, RequestResult, Target};
use board::Phase;
use bytes::Bytes;
use dialect::ResponseMetadata;
use futures::{
    FutureExt,
    future::{BoxFuture, join_all},
};
use note::HostRoute;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, Semaphore},
    time::sleep,
};
use tonic::{
    Code, Status,
    transport::{Server, server::TcpIncoming},
};
use wire::peer::{
    self, BodyChunk, OfferRequest, OpenRequest, RunRequest, outcome::Result as Outcomes,
    peer_client::PeerClient, peer_server::PeerServer,
};

use super::{
    super::Ingress,
    fixtures::{answered, ingress, now, publish, remote_view, route, routed, start_node, view},
    reroute,
};

/// Size of the bodies: the largest of the callers on slow links.
const BODY_BYTES: usize = 360_000;

/// A backend server that answers each request with status 200, and keeps the bodies.
#[derive(Default)]
struct KeepingBackend {
    bodies: Mutex<Vec<Bytes>>,
}

impl KeepingBackend {
    fn sizes(&self) -> Vec<usize> {
        let bodies = self.bodies.lock().expect("no test panics with this lock");
        bodies.iter().map(Bytes::len).collect()
    }
}

impl Backend for KeepingBackend {
    fn run(
        &self,
        request: ServerRequest,
        _: Target,
        _: tokio::time::Instant,
    ) -> BoxFuture<'static, RequestResult> {
        let mut bodies = self.bodies.lock().expect("no test panics with this lock");
        bodies.push(request.body);
        async { answered() }.boxed()
    }

    fn probe(&self, _: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>> {
        futures::future::pending().boxed()
    }
}

/// A link that relays connections to the gate of another node.
struct Link {
    address: SocketAddr,
    /// Bytes that were sent to the gate.
    sent: AtomicUsize,
    /// Bytes after which a connection breaks, and no new one can be made.
    cut_after: usize,
    cut: Notify,
    /// Time that a kilobyte takes, whichever connection it is on.
    pace: Duration,
    free: Semaphore,
}

impl Link {
    async fn relay(self: Arc<Self>, listener: TcpListener) {
        loop {
            let (client, _) = tokio::select! {
                accepted = listener.accept() => accepted.expect("a connection"),
                () = self.cut.notified() => return,
            };
            let gate = TcpStream::connect(self.address).await;
            let gate = gate.expect("the gate listens");
            let _ = (client.set_nodelay(true), gate.set_nodelay(true));
            let ((client, replies), (answers, gate)) = (client.into_split(), gate.into_split());
            tokio::spawn(Arc::clone(&self).copy(client, gate));
            tokio::spawn(async move {
                let (mut answers, mut replies) = (answers, replies);
                let _ = tokio::io::copy(&mut answers, &mut replies).await;
            });
        }
    }

    async fn copy(self: Arc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = [0; 1_024];
        let mut total = 0;
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            if !self.pace.is_zero() {
                let _turn = self.free.acquire().await;
                sleep(self.pace.mul_f64(read as f64 / 1_024.0)).await;
            }
            total += read;
            self.sent.fetch_add(read, Ordering::Relaxed);
            if total > self.cut_after {
                return self.cut.notify_one();
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }
}

/// An ingress, and another node with the only backend server, over a link.
struct Pair {
    ingress: Arc<Ingress>,
    other: Arc<Ingress>,
    backend: Arc<KeepingBackend>,
    link: Arc<Link>,
}

impl Pair {
    async fn start(cut_after: usize, pace: Duration) -> Self {
        let backend = Arc::new(KeepingBackend::default());
        let (other, service) = start_node(Arc::clone(&backend) as Arc<dyn Backend>);
        publish(&other.board, view(5, "rinks", Vec::new()));
        let peers = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Arc::new(Link {
            address: peers.local_addr().expect("a bound address"),
            sent: AtomicUsize::new(0),
            cut_after,
            cut: Notify::new(),
            pace,
            free: Semaphore::new(1),
        });
        let address = listener.local_addr().expect("a bound address");
        let server = Server::builder().add_service(PeerServer::new(service));
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(peers).with_nodelay(Some(true))));
        tokio::spawn(Arc::clone(&link).relay(listener));
        let ingress = ingress();
        publish(&ingress.board, remote_view(5, "rinks", routes(), address));
        Self {
            ingress,
            other,
            backend,
            link,
        }
    }
}

/// A route of uploads and one of small requests.
fn routes() -> Vec<HostRoute> {
    let uploads = HostRoute {
        bulk: true,
        timeout_ms: 6_000,
        objective_ms: 5_000,
        ..route("uploads", "/m/", "rinks")
    };
    let hasty = HostRoute {
        bulk: true,
        timeout_ms: 400,
        ..route("hasty", "/h/", "rinks")
    };
    vec![uploads, hasty, route("lookups", "/n/", "rinks")]
}

fn body() -> Bytes {
    (0..BODY_BYTES).map(|index| index as u8).collect()
}

async fn send(ingress: &Arc<Ingress>, path: &str, body: Bytes) -> Response<Bytes> {
    let routed = routed(ingress, "PUT", path).map(|mut call| {
        call.set_body(body);
        call
    });
    let call = "call".parse().expect("a valid call id");
    ingress.process(&call, routed, now(ingress)).await
}

#[tokio::test]
async fn a_large_body_arrives_whole() {
    let pair = Pair::start(usize::MAX, Duration::ZERO).await;
    let response = send(&pair.ingress, "/m/1", body()).await;
    assert_eq!(response.status(), 200);
    assert_eq!(*pair.backend.bodies.lock().expect("no panic"), [body()]);
    let sent = pair.link.sent.load(Ordering::Relaxed);
    assert!(sent < BODY_BYTES * 11 / 10, "{sent} bytes");
}

#[tokio::test]
async fn a_body_that_breaks_off_is_not_run_and_its_caller_is_told_so() {
    let pair = Pair::start(100_000, Duration::ZERO).await;
    let response = send(&pair.ingress, "/m/1", body()).await;
    assert_eq!(response.status(), 503);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(pair.backend.sizes(), Vec::<usize>::new());
}

#[tokio::test]
async fn a_body_that_is_not_whole_at_the_deadline_is_not_run() {
    // The body takes 1.8 s.
    let pair = Pair::start(usize::MAX, Duration::from_millis(5)).await;
    // Opens the session, which would take a part of the time.
    assert_eq!(
        send(&pair.ingress, "/n/1", Bytes::new()).await.status(),
        200
    );
    assert_eq!(send(&pair.ingress, "/h/1", body()).await.status(), 503);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(pair.backend.sizes(), [0]);
}

/// The node accepts connections and says nothing, so no session with its gate can be opened. The deadline is before
/// the time at which the gate is asked for the outcome.
#[tokio::test]
async fn a_request_that_was_sent_to_no_gate_is_not_run_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let silent = listener.local_addr().expect("a bound address");
    let ingress = ingress();
    let lookups = HostRoute {
        timeout_ms: 100,
        ..route("lookups", "/n/", "rinks")
    };
    publish(
        &ingress.board,
        remote_view(5, "rinks", vec![lookups], silent),
    );
    let response = send(&ingress, "/n/1", Bytes::new()).await;
    assert_eq!(response.status(), 503);
}

#[tokio::test]
async fn a_refusal_costs_no_body() {
    let pair = Pair::start(usize::MAX, Duration::ZERO).await;
    pair.other.board.phase.send_replace(Phase::Stopping);
    sleep(Duration::from_millis(20)).await;
    let response = send(&pair.ingress, "/m/1", body()).await;
    assert_eq!(response.status(), 503);
    let sent = pair.link.sent.load(Ordering::Relaxed);
    assert!(sent < 4_096, "{sent} bytes");
}

#[tokio::test]
async fn a_node_of_an_earlier_version_gets_the_body_at_once() {
    let ingress = ingress();
    let (gate, _) = reroute::start_gate(5, 0).await;
    publish(&ingress.board, remote_view(5, "rinks", routes(), gate));
    assert_eq!(send(&ingress, "/m/1", body()).await.status(), 200);
}

/// Offers a request with a body of three bytes to the gate, and sends `chunks` of one that is said to have
/// `size` bytes. Returns the outcome, `None` if the stream ended without one.
async fn deliver(
    pair: &Pair,
    size: u64,
    chunks: &[&'static [u8]],
) -> Result<Option<Outcomes>, Status> {
    let address = format!("http://{}", pair.link.address);
    let mut client = PeerClient::connect(address).await.expect("a connection");
    let opened = client.open(OpenRequest { ingress: 7 }).await?.into_inner();
    let attempt = peer::Attempt {
        boot: opened.boot,
        session: opened.session,
        seq: 1,
    };
    let run = RunRequest {
        attempt: Some(attempt),
        deadline: opened.clock + 5_000_000,
        objective: opened.clock + 5_000_000,
        call: "call".into(),
        server: "rinks".into(),
        method: "PUT".into(),
        path: "/m/1".into(),
        node: "127.0.0.1:9".into(),
        ..RunRequest::default()
    };
    let offer = OfferRequest {
        run: Some(run),
        body_bytes: 3,
    };
    let reply = client.offer(offer).await?.into_inner();
    assert_eq!(reply.outcome, None, "it is admitted");
    let parts = chunks.iter().enumerate().map(|(index, data)| BodyChunk {
        attempt: (index == 0).then_some(attempt),
        body_bytes: size,
        data: Bytes::from_static(data),
    });
    let stream = futures::stream::iter(parts.collect::<Vec<_>>());
    let mut replies = client.deliver(stream).await?.into_inner();
    while let Some(reply) = replies.message().await? {
        if let Some(outcome) = reply.outcome {
            return Ok(outcome.result);
        }
    }
    Ok(None)
}

#[tokio::test]
async fn a_truncated_or_over_long_body_is_an_error_and_is_not_run() {
    let pair = Pair::start(usize::MAX, Duration::ZERO).await;
    let broken: [(u64, &[&'static [u8]]); 4] = [
        (3, &[b"ab"]),
        (3, &[b"ab", b"cd"]),
        (3, &[b"abcd"]),
        (u64::MAX, &[b"abc"]),
    ];
    for (size, chunks) in broken {
        let error = deliver(&pair, size, chunks).await.expect_err("an error");
        assert_eq!(error.code(), Code::InvalidArgument, "{size} {chunks:?}");
    }
    for (size, chunks) in [(4, b"abcd".as_slice()), (2, b"ab")] {
        let outcome = deliver(&pair, size, &[chunks]).await.expect("an outcome");
        assert!(matches!(outcome, Some(Outcomes::NotRun(_))), "{outcome:?}");
    }
    assert_eq!(pair.backend.sizes(), Vec::<usize>::new());
    let outcome = deliver(&pair, 3, &[b"a", b"", b"bc"]).await;
    let outcome = outcome.expect("an outcome");
    assert!(matches!(outcome, Some(Outcomes::Answer(_))), "{outcome:?}");
}

/// Uploads share a link of 10 Mbit/s with lookups, which have 500 ms.
#[tokio::test]
async fn lookups_do_not_wait_behind_uploads() {
    let pair = Pair::start(usize::MAX, Duration::from_micros(820)).await;
    let uploads = join_all((0..4).map(|_| send(&pair.ingress, "/m/1", body())));
    let lookups = async {
        let mut times = Vec::new();
        for _ in 0..20 {
            let began = Instant::now();
            let response = send(&pair.ingress, "/n/1", Bytes::new()).await;
            assert_eq!(response.status(), 200);
            times.push(began.elapsed());
            sleep(Duration::from_millis(20)).await;
        }
        times.into_iter().max()
    };
    let (answers, slowest) = futures::join!(uploads, lookups);
    assert!(answers.iter().all(|answer| answer.status() == 200));
    let slowest = slowest.expect("lookups were sent");
    assert!(slowest < Duration::from_millis(250), "{slowest:?}");
}
