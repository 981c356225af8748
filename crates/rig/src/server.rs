//! Stand-in for a backend server.
//!
//! It answers `/SERVICE/...` after its service time with a JSON echo of the request's id and body,
//! counts every run by request id, and watches what it is given: more than its slots, or more than it
//! bears while cold, is counted as a breach and makes it fall over.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::{Body, Bytes, to_bytes},
    extract::{Request, State},
    http::{HeaderMap, StatusCode},
    response::Response,
    routing::{get, post},
};
use futures::stream;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// Time for which a backend server that fell over only fails.
const FALLEN: Duration = Duration::from_millis(500);
/// Largest request body.
const MOST_BODY_BYTES: usize = 32 << 20;

/// How an answer goes wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseMode {
    /// It doesn't.
    #[default]
    Whole,
    /// The body breaks off in the middle.
    Truncated,
    /// The connection is closed without an answer.
    Cut,
    /// No answer ever comes.
    Silent,
    /// Refuses at once with 503 and doesn't run the request.
    Shed,
    /// Fails at once with 500.
    Fail,
}

/// How the backend server behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Requests that it bears when warm.
    pub slots: usize,
    /// Requests that it bears when cold.
    pub cold: usize,
    /// Time in milliseconds from its start until it is warm.
    pub warm_ms: u64,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
    /// Factor on the service time.
    pub slow: f64,
    /// How answers go wrong.
    pub answering: ResponseMode,
    /// Address of the node beside it, for nested calls.
    pub node: Option<SocketAddr>,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            slots: 10,
            cold: 10,
            warm_ms: 0,
            service_ms: 5.0,
            slow: 1.0,
            answering: ResponseMode::Whole,
            node: None,
        }
    }
}

/// What the backend server saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were begun.
    pub runs: u64,
    /// Requests that were begun more than once, by method `POST`.
    pub doubled: u64,
    /// Requests cancelled before they were answered.
    pub cancelled: u64,
    /// Most requests at once.
    pub most: usize,
    /// Requests beyond what it bore at the time.
    pub breaches: u64,
    /// Probes of its load.
    pub probes: u64,
}

#[derive(Debug)]
struct Inner {
    behavior: Behavior,
    boot: u64,
    started: Instant,
    fallen: Option<Instant>,
    running: usize,
    runs: HashMap<String, u64>,
    counts: Counts,
}

/// The stand-in.
#[derive(Debug, Clone)]
pub struct Server {
    inner: Arc<Mutex<Inner>>,
    up: Arc<watch::Sender<bool>>,
    restarts: Arc<watch::Sender<u64>>,
    client: reqwest::Client,
}

impl Server {
    /// A backend server that starts cold.
    pub fn new(behavior: Behavior) -> Self {
        let inner = Inner {
            behavior,
            boot: rand::random::<u64>() >> 1,
            started: Instant::now(),
            fallen: None,
            running: 0,
            runs: HashMap::new(),
            counts: Counts::default(),
        };
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a plain client");
        Self {
            inner: Arc::new(Mutex::new(inner)),
            up: Arc::new(watch::Sender::new(true)),
            restarts: Arc::default(),
            client,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Changes how it behaves.
    pub fn configure(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.inner().behavior);
    }

    /// Starts anew: another incarnation, cold. What runs is cut.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.boot = rand::random::<u64>() >> 1;
        inner.started = Instant::now();
        inner.running = 0;
        drop(inner);
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Takes no connections while it is not up, and closes those that are idle.
    pub fn set_listening(&self, up: bool) {
        self.up.send_replace(up);
    }

    /// What it saw.
    pub fn counts(&self) -> Counts {
        self.inner().counts.clone()
    }

    /// Number of times that the request with this id was begun.
    pub fn run_count(&self, id: &str) -> u64 {
        self.inner().runs.get(id).copied().unwrap_or_default()
    }

    /// Names of all requests that were begun.
    pub fn request_ids(&self) -> Vec<String> {
        self.inner().runs.keys().cloned().collect()
    }

    /// Serves at `address` until the task is dropped.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let mut up = self.up.subscribe();
        loop {
            let _ = up.wait_for(|up| *up).await;
            let listener = TcpListener::bind(address).await?;
            let mut down = self.up.subscribe();
            axum::serve(listener, self.router())
                .with_graceful_shutdown(async move {
                    let _ = down.wait_for(|up| !*up).await;
                })
                .await?;
        }
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/load", get(load))
            .route("/control/counts", get(counts))
            .route("/control/conduct", post(set_behavior))
            .fallback(run)
            .with_state(self.clone())
    }

    /// Begins a request, unless it sheds or has fallen over.
    fn begin(&self, id: &str, method: &str) -> Result<Running, StatusCode> {
        let mut inner = self.inner();
        let now = Instant::now();
        match inner.behavior.answering {
            ResponseMode::Shed => return Err(StatusCode::SERVICE_UNAVAILABLE),
            ResponseMode::Fail => return Err(StatusCode::INTERNAL_SERVER_ERROR),
            _ => {}
        }
        if inner.fallen.is_some_and(|until| now < until) {
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        inner.counts.runs += 1;
        let runs = inner.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 && method == "POST" {
            inner.counts.doubled += 1;
        }
        inner.running += 1;
        inner.counts.most = inner.counts.most.max(inner.running);
        let cold = now.duration_since(inner.started).as_millis() < inner.behavior.warm_ms.into();
        let bears = if cold {
            inner.behavior.cold
        } else {
            inner.behavior.slots
        };
        if inner.running > bears {
            inner.counts.breaches += 1;
            if cold {
                inner.fallen = Some(now + FALLEN);
            }
        }
        Ok(Running {
            server: self.clone(),
            boot: inner.boot,
            answered: false,
        })
    }

    /// Works for a time, and tells whether a restart cut that short.
    async fn is_cut(&self, work: Duration) -> bool {
        let mut restarts = self.restarts.subscribe();
        tokio::select! {
            () = sleep(work), if !work.is_zero() => false,
            _ = restarts.changed(), if !work.is_zero() => true,
            else => false,
        }
    }

    fn service_time(&self) -> Duration {
        let inner = self.inner();
        let mean = inner.behavior.service_ms * inner.behavior.slow;
        Duration::from_secs_f64(mean * rand::rng().random_range(0.5..1.5) / 1e3)
    }
}

/// A request that runs. If it is dropped before its answer, it was cancelled.
struct Running {
    server: Server,
    boot: u64,
    answered: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.server.inner();
        if inner.boot == self.boot {
            inner.running -= 1;
        }
        if !self.answered {
            inner.counts.cancelled += 1;
        }
    }
}

/// The answer's body: which request it answers and what was sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The request's id.
    pub id: String,
    /// Length of the request's body in bytes.
    pub received: usize,
    /// As many `x` as the query's `size` asked for.
    pub filler: String,
    /// Remaining time in milliseconds that the request named.
    pub left: u64,
    /// Levels of nested calls below this one that were answered.
    pub nested: u32,
}

async fn run(State(server): State<Server>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let id = header(&parts.headers, "x-request-id").to_owned();
    let mut running = match server.begin(&id, parts.method.as_str()) {
        Ok(running) => running,
        Err(status) => return plain(status),
    };
    let received = to_bytes(body, MOST_BODY_BYTES)
        .await
        .map_or(0, |body| body.len());
    if server.is_cut(server.service_time()).await {
        return answer(ResponseMode::Cut, 0, None).await;
    }
    let query = parts.uri.query().unwrap_or_default();
    let path = parts.uri.path();
    let to = value(query, "to").map_or(path.to_owned(), |service| format!("/{service}/item"));
    let nested = nest(&server, &to, number(query, "depth"), &parts.headers).await;
    let echo = Echo {
        id,
        received,
        filler: "x".repeat(number(query, "size") as usize),
        left: header(&parts.headers, "x-deadline-ms")
            .parse()
            .unwrap_or_default(),
        nested,
    };
    running.answered = true;
    let (answering, boot) = {
        let inner = server.inner();
        (inner.behavior.answering, inner.boot)
    };
    answer(answering, boot, Some(&echo)).await
}

/// Calls the same path through the own node, one level less deep.
async fn nest(server: &Server, path: &str, depth: u32, headers: &HeaderMap) -> u32 {
    let node = server.inner().behavior.node;
    let (Some(node), true) = (node, depth > 0) else {
        return 0;
    };
    let mut call = server
        .client
        .get(format!("http://{node}{path}?depth={}", depth - 1));
    for name in ["x-deadline-ms", "x-depth", "x-repeat"] {
        call = call.header(name, header(headers, name));
    }
    match call.send().await {
        Ok(answer) if answer.status() == 200 => answer
            .json::<Echo>()
            .await
            .map_or(0, |echo| echo.nested + 1),
        _ => 0,
    }
}

async fn answer(answering: ResponseMode, boot: u64, echo: Option<&Echo>) -> Response {
    let text = serde_json::to_vec(&echo).unwrap_or_default();
    let builder = Response::builder().header("x-boot", boot);
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let broken = || Err(io::Error::from(io::ErrorKind::ConnectionReset));
    let built = match answering {
        ResponseMode::Truncated => builder
            .header("content-length", text.len())
            .body(Body::from_stream(stream::iter([Ok(half), broken()]))),
        ResponseMode::Cut => builder.body(Body::from_stream(stream::iter([broken()]))),
        ResponseMode::Silent => std::future::pending().await,
        _ => builder
            .header("content-type", "application/json")
            .body(Body::from(text)),
    };
    built.unwrap_or_else(|_| plain(StatusCode::INTERNAL_SERVER_ERROR))
}

fn plain(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

fn value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> u32 {
    value(query, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

async fn load(State(server): State<Server>) -> ([(&'static str, String); 1], Json<usize>) {
    let mut inner = server.inner();
    inner.counts.probes += 1;
    ([("x-boot", inner.boot.to_string())], Json(inner.running))
}

async fn counts(State(server): State<Server>) -> Json<Counts> {
    Json(server.counts())
}

async fn set_behavior(State(server): State<Server>, Json(behavior): Json<Behavior>) {
    server.configure(|old| *old = behavior);
}
