//! Metrics of a node.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use types::{ServiceId, Span};

/// Bounds of the histograms' buckets in seconds, from what a hop takes to the longest time that the
/// users' callers wait.
const BOUNDARIES: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

/// The instruments, and the registry that shows them.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    control: Counter<u64>,
    latency: Histogram<f64>,
    stages: Histogram<f64>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("amaranthyoke");
        Self {
            calls: meter
                .u64_counter("calls")
                .with_description("Calls by ending")
                .build(),
            attempts: meter
                .u64_counter("attempts")
                .with_description("Attempts by outcome")
                .build(),
            control: meter
                .u64_counter("control")
                .with_description("Control messages")
                .build(),
            latency: meter
                .f64_histogram("call_seconds")
                .with_description("Call times by ending")
                .with_boundaries(BOUNDARIES.to_vec())
                .build(),
            stages: meter
                .f64_histogram("attempt_seconds")
                .with_description("Times of answered attempts by service and stage")
                .with_boundaries(BOUNDARIES.to_vec())
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// A call ended.
    pub(crate) fn record_call(&self, ending: &'static str, took: Span) {
        self.calls.add(1, &[KeyValue::new("ending", ending)]);
        let ending = [KeyValue::new("ending", ending)];
        self.latency.record(seconds(took), &ending);
    }

    /// An attempt was answered: the time until then, and the part spent at the backend server.
    pub(crate) fn record_answer(&self, service: &ServiceId, took: Span, ran: Span) {
        for (stage, time) in [("whole", took), ("backend", ran)] {
            let service = KeyValue::new("service", service.to_string());
            let stage = KeyValue::new("stage", stage);
            self.stages.record(seconds(time), &[service, stage]);
        }
    }

    /// An attempt ended.
    pub(crate) fn record_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A control message was sent.
    pub(crate) fn record_control_message(&self, kind: &'static str) {
        self.control.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn prometheus_text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!(error:% = error; "metrics_unwritable");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
