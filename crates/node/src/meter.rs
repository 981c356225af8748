//! Metrics of a node.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use types::Span;

/// The instruments, and the registry that shows them.
#[derive(Debug)]
pub(crate) struct Meter {
    registry: Registry,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    control: Counter<u64>,
    latency: Histogram<f64>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Meter {
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
                .with_description("Call times")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// A call ended.
    pub(crate) fn call(&self, ending: &'static str, took: Span) {
        self.calls.add(1, &[KeyValue::new("ending", ending)]);
        self.latency.record(took.0 as f64 / 1e6, &[]);
    }

    /// An attempt ended.
    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A control message was sent.
    pub(crate) fn control(&self, kind: &'static str) {
        self.control.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut text)
            .unwrap_or_default();
        String::from_utf8(text).unwrap_or_default()
    }
}
