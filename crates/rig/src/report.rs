//! Tables of measurements.

use hdrhistogram::Histogram;

use crate::load::Measurements;

/// Table row with the number of `ok` samples, their latency percentiles and maximum in milliseconds, and
/// the failures by result.
pub fn row(name: &str, measurements: &Measurements) -> String {
    let latencies = measurements.latencies();
    let counts = measurements.result_counts();
    let failures: Vec<String> = counts
        .iter()
        .filter(|(result, _)| **result != "ok")
        .map(|(result, count)| format!("{result}={count}"))
        .collect();
    format!(
        "{name:<22} {:>7} {:>8.2} {:>8.2} {:>8.2} {:>8.2}  {}",
        measurements.ok_count(),
        percentile_ms(&latencies, 50.0),
        percentile_ms(&latencies, 99.0),
        percentile_ms(&latencies, 99.9),
        latencies.max() as f64 / 1e3,
        failures.join(" "),
    )
}

/// Table header for [`row`]s.
pub fn header() -> String {
    format!(
        "{:<22} {:>7} {:>8} {:>8} {:>8} {:>8}  failures",
        "load", "answers", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
    )
}

/// Percentile, between 0 and 100, in milliseconds of a histogram in microseconds.
pub fn percentile_ms(latencies: &Histogram<u64>, percentile: f64) -> f64 {
    latencies.value_at_percentile(percentile) as f64 / 1e3
}
