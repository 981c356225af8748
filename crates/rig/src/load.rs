//! Callers: an open loop of requests whose answers are checked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use reqwest::{Client, Method};
use tokio::{sync::mpsc, time::sleep_until};

use crate::server::Echo;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// What is sent.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Where requests go, in turn.
    pub targets: Vec<SocketAddr>,
    /// Services that are called, in turn.
    pub services: Vec<String>,
    /// Requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Part of the requests that are not idempotent.
    pub post_ratio: f64,
    /// Deadline that requests name, in milliseconds.
    pub deadline_ms: u64,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// How one request ended.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When it was due, from the start of the load.
    pub scheduled: Duration,
    /// Time from then to its end.
    pub latency: Duration,
    /// `ok`, `wrong`, or the reason of the failure.
    pub result: String,
    /// What is known of whether it ran: `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Its id.
    pub id: String,
    /// The node that it was sent to.
    pub target: SocketAddr,
    /// Whether it was idempotent.
    pub idempotent: bool,
}

/// All requests of one load.
#[derive(Debug, Default)]
pub struct Measurements {
    /// How each ended.
    pub samples: Vec<Sample>,
}

impl Measurements {
    /// Times of the whole answers, in microseconds.
    pub fn latencies(&self) -> Histogram<u64> {
        let mut latencies = Histogram::new(DIGITS).expect("digits in range");
        for sample in self.samples.iter().filter(|s| s.result == "ok") {
            latencies
                .record(sample.latency.as_micros() as u64)
                .unwrap_or_default();
        }
        latencies
    }

    /// Number of requests by kind of ending.
    pub fn result_counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for sample in &self.samples {
            *counts.entry(sample.result.as_str()).or_default() += 1;
        }
        counts
    }

    /// Number of whole answers.
    pub fn ok_count(&self) -> usize {
        self.samples.iter().filter(|s| s.result == "ok").count()
    }
}

/// Sends the load and waits for all of its ends.
pub async fn run(workload: &Workload) -> Measurements {
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("HTTP client can be built");
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut rng = SmallRng::seed_from_u64(workload.seed);
    let began = Instant::now();
    let mut scheduled = Duration::ZERO;
    let mut number = 0;
    while scheduled < workload.duration {
        sleep_until((began + scheduled).into()).await;
        let request = Arc::new(ScheduledRequest::new(workload, number, scheduled, &mut rng));
        let (client, sender) = (client.clone(), sender.clone());
        tokio::spawn(async move {
            let _ = sender.send(request.measure(&client, began).await);
        });
        number += 1;
        // Poisson arrivals: exponential gaps by inversion.
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

struct ScheduledRequest {
    url: String,
    target: SocketAddr,
    id: String,
    post: bool,
    deadline_ms: u64,
    scheduled: Duration,
}

impl ScheduledRequest {
    fn new(workload: &Workload, number: usize, scheduled: Duration, rng: &mut SmallRng) -> Self {
        let target = workload.targets[rng.random_range(0..workload.targets.len())];
        let service = &workload.services[number % workload.services.len()];
        Self {
            url: format!("http://{target}/{service}/item"),
            target,
            id: format!("{:032x}", rng.random::<u128>()),
            post: rng.random_bool(workload.post_ratio),
            deadline_ms: workload.deadline_ms,
            scheduled,
        }
    }

    async fn measure(&self, client: &Client, began: Instant) -> Sample {
        let (result, outcome) = self.send(client).await;
        Sample {
            scheduled: self.scheduled,
            latency: began.elapsed() - self.scheduled,
            result,
            outcome,
            id: self.id.clone(),
            target: self.target,
            idempotent: !self.post,
        }
    }

    async fn send(&self, client: &Client) -> (String, String) {
        let method = if self.post { Method::POST } else { Method::GET };
        let request = client
            .request(method, &self.url)
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", self.deadline_ms)
            .body(if self.post { "entry" } else { "" });
        let answer = match request.send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return ("no_connection".into(), "not-run".into()),
            Err(_) => return ("cut".into(), "unknown".into()),
        };
        let status = answer.status().as_u16();
        let header = |name| {
            let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("ran").to_owned()
        };
        let outcome = header("x-outcome");
        let body = answer.bytes().await.unwrap_or_default();
        let echo: Option<Echo> = serde_json::from_slice(&body).ok();
        match echo {
            Some(echo) if status == 200 && echo.id == self.id => ("ok".into(), outcome),
            _ if status == 200 => ("wrong".into(), outcome),
            _ => (refusal(status, &body), outcome),
        }
    }
}

fn refusal(status: u16, body: &[u8]) -> String {
    let report: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let error = report.as_ref().and_then(|r| r.get("error")?.as_str());
    format!("{status}_{}", error.unwrap_or("plain"))
}
