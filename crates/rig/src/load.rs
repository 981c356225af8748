//! Open-loop load generator: it sends requests at random times, whether or not earlier ones have ended,
//! and checks their responses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use reqwest::{Client, Method};
use tokio::{
    sync::mpsc,
    time::{sleep, sleep_until},
};

use crate::server::Echo;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Addresses that requests are sent to, drawn at random for each request.
    pub targets: Vec<SocketAddr>,
    /// Services that are called, in rotation.
    pub services: Vec<String>,
    /// Mean requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Fraction of the requests that are `POST`s and so not idempotent.
    pub post_ratio: f64,
    /// Deadline that requests name in `x-deadline-ms`.
    pub deadline_ms: u64,
    /// Seed of the arrival times, targets, ids and methods.
    pub seed: u64,
}

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time at which the request was scheduled, since the start of the load.
    pub scheduled: Duration,
    /// Time from the scheduled time to the end of the response. A late send counts into it, so that a
    /// stalled target isn't underreported (coordinated omission).
    pub latency: Duration,
    /// `ok`, `wrong` (200 without an echo of this request), `no_connection`, `cut` (no complete
    /// response head), or status and error code of any other response, such as `503_busy`.
    pub result: String,
    /// Whether the request ran, as far as the caller is told: `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Request id.
    pub id: String,
    /// Address that the request was sent to.
    pub target: SocketAddr,
    /// Whether the request was idempotent.
    pub idempotent: bool,
}

/// Results of all requests of one load.
#[derive(Debug, Default)]
pub struct Measurements {
    /// One sample for each request, in the order of their scheduled times.
    pub samples: Vec<Sample>,
}

impl Measurements {
    /// Latencies of the `ok` samples, in microseconds.
    pub fn latencies(&self) -> Histogram<u64> {
        let mut latencies =
            Histogram::new(SIGNIFICANT_DIGITS).expect("histogram precision is at most 5 digits");
        for sample in self.samples.iter().filter(|s| s.result == "ok") {
            latencies
                .record(sample.latency.as_micros() as u64)
                .unwrap_or_default();
        }
        latencies
    }

    /// Number of samples by result.
    pub fn result_counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for sample in &self.samples {
            *counts.entry(sample.result.as_str()).or_default() += 1;
        }
        counts
    }

    /// Number of `ok` samples.
    pub fn ok_count(&self) -> usize {
        self.samples.iter().filter(|s| s.result == "ok").count()
    }
}

/// Sends the load and waits for the end of all of its requests.
pub async fn run(workload: &Workload) -> Measurements {
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("HTTP client can be built");
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut rng = SmallRng::seed_from_u64(workload.seed);
    let start = Instant::now();
    let mut scheduled = Duration::ZERO;
    let mut index = 0;
    while scheduled < workload.duration {
        sleep_until((start + scheduled).into()).await;
        let request = Arc::new(ScheduledRequest::new(workload, index, scheduled, &mut rng));
        let (client, sender) = (client.clone(), sender.clone());
        tokio::spawn(async move {
            let _ = sender.send(request.measure(&client, start).await);
        });
        index += 1;
        // Poisson arrivals: the gaps are exponentially distributed, drawn by inversion.
        scheduled += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / workload.rate);
    }
    drop(sender);
    let mut measurements = Measurements::default();
    while let Some(sample) = receiver.recv().await {
        measurements.samples.push(sample);
    }
    measurements.samples.sort_by_key(|s| s.scheduled);
    measurements
}

/// Sends requests from `clients` clients for each target, which each keep one connection in use until
/// the target closes it, and waits for their ends. All of them together send about the workload's rate.
///
/// Attempts to connect to a target that doesn't listen aren't recorded.
pub async fn run_persistent(workload: &Workload, clients: usize) -> Measurements {
    let count = workload.targets.len() * clients;
    let mean_pause = Duration::from_secs_f64(count as f64 / workload.rate);
    let start = Instant::now();
    let tasks = (0..count).map(|index| {
        let target = workload.targets[index % workload.targets.len()];
        let rng = SmallRng::seed_from_u64(workload.seed ^ (index as u64 + 1) << 32);
        send_persistently(workload, target, mean_pause, start, rng)
    });
    let mut samples: Vec<Sample> = join_all(tasks).await.into_iter().flatten().collect();
    samples.sort_by_key(|s| s.scheduled);
    Measurements { samples }
}

async fn send_persistently(
    workload: &Workload,
    target: SocketAddr,
    mean_pause: Duration,
    start: Instant,
    mut rng: SmallRng,
) -> Vec<Sample> {
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .pool_max_idle_per_host(1)
        .build()
        .expect("HTTP client can be built");
    let mut samples = Vec::new();
    while start.elapsed() < workload.duration {
        let index = samples.len();
        let request = ScheduledRequest::to(workload, target, index, start.elapsed(), &mut rng);
        let sample = request.measure(&client, start).await;
        if sample.result != "no_connection" {
            samples.push(sample);
        }
        sleep(mean_pause.mul_f64(rng.random_range(0.0..2.0))).await;
    }
    samples
}

struct ScheduledRequest {
    url: String,
    target: SocketAddr,
    id: String,
    is_post: bool,
    deadline_ms: u64,
    scheduled: Duration,
}

impl ScheduledRequest {
    fn new(workload: &Workload, index: usize, scheduled: Duration, rng: &mut SmallRng) -> Self {
        let target = workload.targets[rng.random_range(0..workload.targets.len())];
        Self::to(workload, target, index, scheduled, rng)
    }

    fn to(
        workload: &Workload,
        target: SocketAddr,
        index: usize,
        scheduled: Duration,
        rng: &mut SmallRng,
    ) -> Self {
        let service = &workload.services[index % workload.services.len()];
        Self {
            url: format!("http://{target}/{service}/item"),
            target,
            id: format!("{:032x}", rng.random::<u128>()),
            is_post: rng.random_bool(workload.post_ratio),
            deadline_ms: workload.deadline_ms,
            scheduled,
        }
    }

    async fn measure(&self, client: &Client, start: Instant) -> Sample {
        let (result, outcome) = self.send(client).await;
        Sample {
            scheduled: self.scheduled,
            latency: start.elapsed() - self.scheduled,
            result,
            outcome,
            id: self.id.clone(),
            target: self.target,
            idempotent: !self.is_post,
        }
    }

    async fn send(&self, client: &Client) -> (String, String) {
        let method = if self.is_post {
            Method::POST
        } else {
            Method::GET
        };
        let request = client
            .request(method, &self.url)
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", self.deadline_ms)
            .body(if self.is_post { "entry" } else { "" });
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return ("no_connection".into(), "not-run".into()),
            Err(_) => return ("cut".into(), "unknown".into()),
        };
        let status = response.status().as_u16();
        let header = |name| {
            let value = response.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("ran").to_owned()
        };
        let outcome = header("x-outcome");
        let body = response.bytes().await.unwrap_or_default();
        let echo: Option<Echo> = serde_json::from_slice(&body).ok();
        match echo {
            Some(echo) if status == 200 && echo.id == self.id => ("ok".into(), outcome),
            _ if status == 200 => ("wrong".into(), outcome),
            _ => (error_result(status, &body), outcome),
        }
    }
}

/// Result of a response other than 200: its status and the error code of its body.
fn error_result(status: u16, body: &[u8]) -> String {
    let body_json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let error = body_json
        .as_ref()
        .and_then(|json| json.get("error")?.as_str());
    format!("{status}_{}", error.unwrap_or("plain"))
}
