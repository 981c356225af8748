//! Tables of what a load measured.

use hdrhistogram::Histogram;

use crate::load::Outcomes;

/// One line of figures: answers, failures by kind, and percentiles in milliseconds.
pub fn line(name: &str, outcomes: &Outcomes) -> String {
    let times = outcomes.times();
    let kinds = outcomes.kinds();
    let failures: Vec<String> = kinds
        .iter()
        .filter(|(kind, _)| **kind != "ok")
        .map(|(kind, count)| format!("{kind}={count}"))
        .collect();
    format!(
        "{name:<22} {:>7} {:>8.2} {:>8.2} {:>8.2} {:>8.2}  {}",
        outcomes.answered(),
        at(&times, 50.0),
        at(&times, 99.0),
        at(&times, 99.9),
        times.max() as f64 / 1e3,
        failures.join(" "),
    )
}

/// Heading above [`line`]s.
pub fn heading() -> String {
    format!(
        "{:<22} {:>7} {:>8} {:>8} {:>8} {:>8}  failures",
        "load", "answers", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
    )
}

/// A percentile in milliseconds.
pub fn at(times: &Histogram<u64>, percentile: f64) -> f64 {
    times.value_at_percentile(percentile) as f64 / 1e3
}
