//! Tests of the log buffer's limits when many lines are logged and nothing reads them.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use log::{Level, Record};
use node::logs::{COMPONENTS, LogBuffer};

const LINES: usize = 100_000;
/// Longest time in which the lines must be logged without a reader: a hundredth of what it would
/// take if logging waited for the reader.
const MAX_ELAPSED: Duration = Duration::from_secs(5);

fn push(buffer: &LogBuffer, event: &str, level: Level) {
    buffer.push(
        &Record::builder()
            .args(format_args!("{event}"))
            .level(level)
            .build(),
    );
}

fn flush(buffer: &LogBuffer) -> String {
    let mut out = Vec::new();
    buffer.flush_to(&mut out);
    String::from_utf8(out).expect("UTF-8 text")
}

fn dropped_count(text: &str, kind: &str) -> usize {
    let lines = text.lines().filter(|line| line.contains(kind));
    let counts = lines.filter_map(|line| line.rsplit_once("count=")?.1.parse::<usize>().ok());
    counts.sum()
}

#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    let buffer = LogBuffer::default();
    let start = Instant::now();
    (0..LINES).for_each(|_| push(&buffer, "flood", Level::Info));
    assert!(start.elapsed() < MAX_ELAPSED);
    push(&buffer, "flood", Level::Warn);
    push(&buffer, "rare", Level::Info);
    let text = flush(&buffer);
    assert!(text.len() < 2 << 20, "{} bytes", text.len());
    let kept = text
        .lines()
        .filter(|line| line.contains("level=info event=flood"))
        .count();
    assert_eq!(kept + dropped_count(&text, "of=flood of_level=info"), LINES);
    assert!(dropped_count(&text, "of=flood") > LINES / 2);
    assert!(
        text.contains("level=warn event=flood"),
        "each level has its own rate limit"
    );
    assert!(
        text.contains("event=rare"),
        "each event has its own rate limit"
    );
    assert_eq!(flush(&buffer), "", "flushed lines are not written again");
}

/// A crate that is left out of [`COMPONENTS`] would log nothing below `warn`.
#[test]
fn each_crate_that_the_node_consists_of_is_logged_at_all_levels() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let manifest = |name: &str| fs::read_to_string(crates.join(name).join("Cargo.toml"));
    let node = manifest("node").expect("the manifest of the node");
    let dependencies = node
        .lines()
        .filter_map(|line| line.split_once(".workspace"));
    let logs = |name: &str| manifest(name).is_ok_and(|m| m.contains("\nlog.workspace"));
    for (name, _) in dependencies.filter(|(name, _)| logs(name)) {
        assert!(COMPONENTS.contains(&name), "{name} is left out");
    }
}
