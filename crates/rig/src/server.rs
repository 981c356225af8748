//! Stub of a backend server.
//!
//! The stub responds to every request outside `/load` and `/control` with a JSON [`Echo`] of it, after
//! the service time and any nested requests. It counts the runs of each request id and checks its
//! concurrency limit: a request beyond the limit counts as a breach, and a breach while the server is
//! cold makes all requests fail for a while.

mod behavior;
mod response;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::to_bytes,
    extract::{Request, State},
    http::{HeaderMap, HeaderValue, StatusCode},
    middleware::{Next, from_fn_with_state},
    response::Response,
    routing::{get, post},
};
pub use behavior::{Behavior, ResponseMode};
use rand::RngExt;
use response::{empty_response, respond};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// Time for which all requests fail after a breach while cold.
const FAILURE_DURATION: Duration = Duration::from_millis(500);
/// End of a server by a deadly request.
#[derive(Debug, Clone)]
pub struct PathEnd {
    /// When it ended.
    pub at: Instant,
    /// Id of the request.
    pub request: String,
}

/// Header of requests that aren't deadly although their path is that of a deadly one.
pub const HARMLESS: &str = "x-harmless";
/// Time for which a server that a deadly request has ended accepts no connection.
const DOWN_DURATION: Duration = Duration::from_millis(800);
const MAX_BODY_BYTES: usize = 32 << 20;

/// Counters since the server was created. A restart doesn't reset them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests started.
    pub runs: u64,
    /// Repeated starts of `POST` requests.
    pub doubled: u64,
    /// Requests dropped before their response was ready, by their sender or by a restart.
    pub cancelled: u64,
    /// Maximum number of concurrent requests.
    pub most: usize,
    /// Requests started beyond the concurrency limit.
    pub breaches: u64,
    /// Load probes answered.
    pub probes: u64,
    /// Ends of the server by a deadly request.
    pub ends: u64,
}

#[derive(Debug)]
struct Inner {
    behavior: Behavior,
    boot: u64,
    started: Instant,
    failing_until: Option<Instant>,
    /// Whether a deadly request has ended the server, and it hasn't started again.
    down: bool,
    running: usize,
    runs: HashMap<String, u64>,
    /// When requests and probes arrived.
    arrivals: Vec<Instant>,
    /// Arrivals of each request id, whether they ran or not.
    id_arrivals: HashMap<String, u64>,
    /// When a response first named the present limit, and first said that the server is leaving.
    limit_named: Option<Instant>,
    leaving_said: Option<Instant>,
    /// Ends of the server by the path of the request, in order.
    path_ends: HashMap<String, Vec<PathEnd>>,
    counts: Counts,
}

/// The backend server stub. Clones share their state.
#[derive(Debug, Clone)]
pub struct Server {
    inner: Arc<Mutex<Inner>>,
    listening: Arc<watch::Sender<bool>>,
    restarts: Arc<watch::Sender<u64>>,
    client: reqwest::Client,
}

impl Server {
    /// Creates a server that is cold if `behavior` has a warm-up time.
    pub fn new(behavior: Behavior) -> Self {
        let inner = Inner {
            behavior,
            boot: rand::random::<u64>() >> 1,
            started: Instant::now(),
            failing_until: None,
            down: false,
            running: 0,
            runs: HashMap::new(),
            arrivals: Vec::new(),
            id_arrivals: HashMap::new(),
            limit_named: None,
            leaving_said: None,
            path_ends: HashMap::new(),
            counts: Counts::default(),
        };
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("HTTP client can be built");
        Self {
            inner: Arc::new(Mutex::new(inner)),
            listening: Arc::new(watch::Sender::new(true)),
            restarts: Arc::default(),
            client,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("mutex isn't poisoned")
    }

    /// Changes the behavior.
    pub fn configure(&self, change: impl FnOnce(&mut Behavior)) {
        let mut inner = self.inner();
        let before = inner.behavior.clone();
        change(&mut inner.behavior);
        if inner.behavior.limit != before.limit {
            inner.limit_named = None;
        }
        if inner.behavior.leaving != before.leaving {
            inner.leaving_said = None;
        }
    }

    /// Simulates a restart: the server gets a new boot id and is cold, and running requests are cut.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.boot = rand::random::<u64>() >> 1;
        inner.started = Instant::now();
        inner.running = 0;
        drop(inner);
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Starts or stops listening. Without a listener, new connections are refused and idle ones closed.
    pub fn set_listening(&self, listening: bool) {
        self.listening.send_replace(listening);
    }

    /// Ends the server if the request is deadly, and starts it again after [`DOWN_DURATION`]. Other callers may
    /// send a request with the same path that is not.
    fn end_if_deadly(&self, path: &str, headers: &HeaderMap) -> bool {
        let mut inner = self.inner();
        let deadly = inner.behavior.deadly.clone();
        let ends = !headers.contains_key(HARMLESS)
            && deadly.is_some_and(|segment| path.split('/').any(|s| s == segment));
        if ends {
            inner.down = true;
            inner.counts.ends += 1;
            let ends = inner.path_ends.entry(path.to_owned()).or_default();
            ends.push(PathEnd {
                at: Instant::now(),
                request: header(headers, "x-request-id").to_owned(),
            });
            drop(inner);
            self.set_listening(false);
            self.restart();
            let server = self.clone();
            tokio::spawn(async move {
                sleep(DOWN_DURATION).await;
                server.inner().down = false;
                server.set_listening(true);
            });
        }
        ends
    }

    /// Current counters.
    pub fn counts(&self) -> Counts {
        self.inner().counts.clone()
    }

    /// Number of times that the request with this id was started.
    pub fn run_count(&self, id: &str) -> u64 {
        self.inner().runs.get(id).copied().unwrap_or_default()
    }

    /// Number of times that the request with this id arrived, whether it ran or not.
    pub fn arrival_count(&self, id: &str) -> u64 {
        let inner = self.inner();
        inner.id_arrivals.get(id).copied().unwrap_or_default()
    }

    /// When a response first named the present limit.
    pub fn limit_named(&self) -> Option<Instant> {
        self.inner().limit_named
    }

    /// When a response first said that the server is leaving.
    pub fn leaving_said(&self) -> Option<Instant> {
        self.inner().leaving_said
    }

    /// Ends of the server by requests with this path.
    pub fn ends_by(&self, path: &str) -> Vec<PathEnd> {
        let inner = self.inner();
        inner.path_ends.get(path).cloned().unwrap_or_default()
    }

    /// When requests and probes arrived, in order.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.inner().arrivals.clone()
    }

    /// Ids of all requests that were started.
    pub fn request_ids(&self) -> Vec<String> {
        self.inner().runs.keys().cloned().collect()
    }

    /// Serves at `address` until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let mut listening = self.listening.subscribe();
        loop {
            let _ = listening.wait_for(|listening| *listening).await;
            let listener = TcpListener::bind(address).await?;
            let mut listening = self.listening.subscribe();
            axum::serve(listener, self.router())
                .with_graceful_shutdown(async move {
                    let _ = listening.wait_for(|listening| !*listening).await;
                })
                .await?;
        }
    }

    fn router(&self) -> Router {
        let served = Router::new().route("/load", get(load)).fallback(run);
        Router::new()
            .route("/control/counts", get(counts))
            .route("/control/behavior", post(set_behavior))
            .merge(served.layer(from_fn_with_state(self.clone(), record_and_name)))
            .with_state(self.clone())
    }

    /// Counts a request as running, or returns the status of its failure.
    fn start_run(&self, id: &str, method: &str) -> Result<RunGuard, StatusCode> {
        let mut inner = self.inner();
        let now = Instant::now();
        match inner.behavior.answering {
            ResponseMode::Shed => return Err(StatusCode::SERVICE_UNAVAILABLE),
            ResponseMode::Fail => return Err(StatusCode::INTERNAL_SERVER_ERROR),
            _ => {}
        }
        if inner.failing_until.is_some_and(|until| now < until) {
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
        let limit = if cold {
            inner.behavior.cold
        } else {
            inner.behavior.slots
        };
        if inner.running > limit {
            inner.counts.breaches += 1;
            if cold {
                inner.failing_until = Some(now + FAILURE_DURATION);
            }
        }
        Ok(RunGuard {
            server: self.clone(),
            boot: inner.boot,
            answered: false,
        })
    }

    /// Sleeps for `duration` and returns whether a restart interrupted it.
    async fn interrupted_during(&self, duration: Duration) -> bool {
        let mut restarts = self.restarts.subscribe();
        tokio::select! {
            () = sleep(duration), if !duration.is_zero() => false,
            _ = restarts.changed(), if !duration.is_zero() => true,
            else => false,
        }
    }

    fn service_time(&self) -> Duration {
        let inner = self.inner();
        let mean = inner.behavior.service_ms * inner.behavior.slow;
        Duration::from_secs_f64(mean * rand::rng().random_range(0.5..1.5) / 1e3)
    }
}

/// Counts one request as running until it is dropped; a drop before the response counts as cancelled.
struct RunGuard {
    server: Server,
    boot: u64,
    answered: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.server.inner();
        // A restart has already reset the number of running requests.
        if inner.boot == self.boot {
            inner.running -= 1;
        }
        if !self.answered {
            inner.counts.cancelled += 1;
        }
    }
}

/// Body of a response, which tells what the server received.
#[derive(Debug, Serialize, Deserialize)]
pub struct Echo {
    /// Request id.
    pub id: String,
    /// Length of the request body in bytes.
    pub received: usize,
    /// The letter `x`, repeated as often as the query parameter `size` says.
    pub filler: String,
    /// Remaining time in milliseconds from the request header `x-deadline-ms`, or 0 without it.
    pub left: u64,
    /// Number of nested requests below this one that got an echo.
    pub nested: u32,
}

/// Records the arrival of a request or probe, and adds to its response what the server names.
async fn record_and_name(State(server): State<Server>, request: Request, next: Next) -> Response {
    let id = header(request.headers(), "x-request-id").to_owned();
    {
        let mut inner = server.inner();
        inner.arrivals.push(Instant::now());
        *inner.id_arrivals.entry(id).or_default() += 1;
    }
    let mut response = next.run(request).await;
    let behavior = {
        let mut inner = server.inner();
        let now = Instant::now();
        if inner.behavior.limit.is_some() {
            inner.limit_named.get_or_insert(now);
        }
        if inner.behavior.leaving {
            inner.leaving_said.get_or_insert(now);
        }
        inner.behavior.clone()
    };
    let headers = response.headers_mut();
    if let Some(limit) = behavior.limit {
        let value = HeaderValue::from_str(&limit.to_string()).expect("a number is visible ASCII");
        headers.insert("x-limit", value);
    }
    if behavior.leaving {
        headers.insert("x-leaving", HeaderValue::from_static("1"));
    }
    response
}

async fn run(State(server): State<Server>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    if server.end_if_deadly(parts.uri.path(), &parts.headers) {
        return respond(ResponseMode::Cut, 0, None).await;
    }
    // A request that reached the process just before its end, over a connection that was open.
    if server.inner().down {
        return respond(ResponseMode::Cut, 0, None).await;
    }
    if parts.headers.contains_key(HARMLESS) {
        return empty_response(StatusCode::OK);
    }
    let id = header(&parts.headers, "x-request-id").to_owned();
    let mut guard = match server.start_run(&id, parts.method.as_str()) {
        Ok(guard) => guard,
        Err(status) => return empty_response(status),
    };
    let received = to_bytes(body, MAX_BODY_BYTES)
        .await
        .map_or(0, |body| body.len());
    if server.interrupted_during(server.service_time()).await {
        return respond(ResponseMode::Cut, 0, None).await;
    }
    let query = parts.uri.query().unwrap_or_default();
    let path = parts.uri.path();
    let nested_path =
        query_value(query, "to").map_or(path.to_owned(), |service| format!("/{service}/item"));
    let nested = send_nested(
        &server,
        &nested_path,
        query_number(query, "depth"),
        &parts.headers,
    )
    .await;
    let echo = Echo {
        id,
        received,
        filler: "x".repeat(query_number(query, "size") as usize),
        left: header(&parts.headers, "x-deadline-ms")
            .parse()
            .unwrap_or_default(),
        nested,
    };
    guard.answered = true;
    let (mode, boot) = {
        let inner = server.inner();
        (inner.behavior.answering, inner.boot)
    };
    respond(mode, boot, Some(&echo)).await
}

/// Requests `path` through the node on the same host with `depth` reduced by one, and returns the number
/// of nested requests that got an echo.
async fn send_nested(server: &Server, path: &str, depth: u32, headers: &HeaderMap) -> u32 {
    let node = server.inner().behavior.node;
    let (Some(node), true) = (node, depth > 0) else {
        return 0;
    };
    let mut request = server
        .client
        .get(format!("http://{node}{path}?depth={}", depth - 1));
    for name in ["x-deadline-ms", "x-depth", "x-repeat"] {
        request = request.header(name, header(headers, name));
    }
    match request.send().await {
        Ok(response) if response.status() == 200 => response
            .json::<Echo>()
            .await
            .map_or(0, |echo| echo.nested + 1),
        _ => 0,
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn query_number(query: &str, name: &str) -> u32 {
    query_value(query, name)
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
    server.configure(|current| *current = behavior);
}
