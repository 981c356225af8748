//! Metrics of a node, exported in the Prometheus text format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use route::Reason;
use smol_str::SmolStr;
use types::{ServiceId, Size, Span, ZoneId};

/// Bucket bounds of the histograms in seconds, from the latency of one hop to the longest timeout
/// of callers.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

/// An attempt that leaves the zone.
#[derive(Debug)]
pub struct Crossing<'a> {
    /// Service that gets it.
    pub service: &'a ServiceId,
    /// Zone of the ingress.
    pub from: &'a ZoneId,
    /// Zone of the backend server.
    pub to: &'a ZoneId,
    /// Why it goes there.
    pub reason: Reason,
    /// Size of the request's body.
    pub bytes: Size,
}

/// Metric instruments and the registry that exports them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    offers: Counter<u64>,
    control: Counter<u64>,
    malformed_limits: Counter<u64>,
    suspects: Counter<u64>,
    teams: Counter<u64>,
    zone_attempts: Counter<u64>,
    zone_bytes: Counter<u64>,
    refused_configs: Counter<u64>,
    config_version: Gauge<u64>,
    unusable_items: Gauge<u64>,
    call_seconds: Histogram<f64>,
    attempt_seconds: Histogram<f64>,
    /// Held because the instruments stop when the provider is dropped.
    _provider: SdkMeterProvider,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the instruments, and a registry of their own for them.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry accepts the exporter");
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
            offers: meter
                .u64_counter("offers")
                .with_description("Attempts offered to this gate before their body, by event")
                .build(),
            control: meter
                .u64_counter("control")
                .with_description("Control messages")
                .build(),
            malformed_limits: meter
                .u64_counter("malformed_limits")
                .with_description("Responses that name a limit that is not a rate")
                .build(),
            suspects: meter
                .u64_counter("suspects")
                .with_description("Requests under which backend servers end, by event")
                .build(),
            teams: meter
                .u64_counter("teams")
                .with_description("Requests of teams with an allowance, or whose keys aren't proven, by team and outcome")
                .build(),
            zone_attempts: meter
                .u64_counter("zone_attempts")
                .with_description("Attempts that leave the zone by service, zones and reason")
                .build(),
            zone_bytes: meter
                .u64_counter("zone_bytes")
                .with_description(
                    "Bytes of request bodies that leave the zone by service and zones",
                )
                .build(),
            refused_configs: meter
                .u64_counter("refused_configs")
                .with_description("Versions of the operators' configuration that are invalid")
                .build(),
            config_version: meter
                .u64_gauge("config_version")
                .with_description("Version of the operators' configuration, by state")
                .build(),
            unusable_items: meter
                .u64_gauge("unusable_items")
                .with_description("Items of the registry that can't be read or used")
                .build(),
            call_seconds: meter
                .f64_histogram("call_seconds")
                .with_description("Call times by ending")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build(),
            attempt_seconds: meter
                .f64_histogram("attempt_seconds")
                .with_description("Times of answered attempts by service and stage")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the result and the duration of a call.
    pub fn record_call(&self, result: &'static str, took: Span) {
        self.calls.add(1, &[KeyValue::new("ending", result)]);
        let labels = [KeyValue::new("ending", result)];
        self.call_seconds.record(seconds(took), &labels);
    }

    /// Records an answered attempt: the total time, and the part spent at the backend server.
    pub fn record_answer(&self, service: &ServiceId, took: Span, service_time: Span) {
        for (stage, duration) in [("whole", took), ("backend", service_time)] {
            let service = KeyValue::new("service", service.to_string());
            let stage = KeyValue::new("stage", stage);
            self.attempt_seconds
                .record(seconds(duration), &[service, stage]);
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an event of an attempt that is offered before its body: `admitted`, `refused`, or `lost`, as
    /// the body broke off.
    pub fn record_offer(&self, event: &'static str) {
        self.offers.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts an attempt that leaves the zone, and the bytes of its body.
    pub fn record_crossing(&self, crossing: &Crossing<'_>) {
        let mut labels = vec![
            KeyValue::new("service", crossing.service.to_string()),
            KeyValue::new("from", crossing.from.to_string()),
            KeyValue::new("to", crossing.to.to_string()),
        ];
        self.zone_bytes.add(crossing.bytes.0, &labels);
        labels.push(KeyValue::new("reason", crossing.reason.to_string()));
        self.zone_attempts.add(1, &labels);
    }

    /// Counts a response that names a limit that isn't a rate.
    pub fn record_malformed_limit(&self) {
        self.malformed_limits.add(1, &[]);
    }

    /// Counts an event of requests under which backend servers end: `end` of a server under one, `trial`,
    /// `held` back or blocked, `cleared`.
    pub fn record_suspects(&self, event: &'static str, count: usize) {
        if count > 0 {
            let labels = [KeyValue::new("event", event)];
            self.suspects.add(count as u64, &labels);
        }
    }

    /// Counts a request of a team with an allowance, or whose keys aren't proven.
    pub fn record_team(&self, team: SmolStr, outcome: &'static str) {
        let team = KeyValue::new("team", team.to_string());
        let labels = [team, KeyValue::new("outcome", outcome)];
        self.teams.add(1, &labels);
    }

    /// Counts a version of the operators' configuration that is invalid. The number is 0 if it can't be
    /// read.
    pub fn record_refused_config(&self, version: u64) {
        self.refused_configs.add(1, &[]);
        let labels = [KeyValue::new("state", "refused")];
        self.config_version.record(version, &labels);
    }

    /// Records the version of the operators' configuration in force.
    pub fn record_config_version(&self, version: u64) {
        let labels = [KeyValue::new("state", "in_force")];
        self.config_version.record(version, &labels);
    }

    /// Records the number of the registry's items that can't be read or used.
    pub fn record_unusable_items(&self, count: usize) {
        self.unusable_items.record(count as u64, &[]);
    }

    /// Counts a control message that this node sends.
    pub fn record_control_message(&self, kind: &'static str) {
        self.control.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!(error:% = error; "metrics_unwritable");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
