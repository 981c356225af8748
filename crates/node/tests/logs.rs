//! Logs under a flood, with a reader that has stopped.

use std::time::{Duration, Instant};

use log::{Level, Record};
use node::logs::Sink;

const LINES: usize = 100_000;
/// Time that so many lines may take without a reader, a hundredth of what a blocked one would cost.
const MOST_TIME: Duration = Duration::from_secs(5);

fn put(sink: &Sink, event: &str, level: Level) {
    sink.put(
        &Record::builder()
            .args(format_args!("{event}"))
            .level(level)
            .build(),
    );
}

fn written(sink: &Sink) -> String {
    let mut out = Vec::new();
    sink.write_out(&mut out);
    String::from_utf8(out).expect("text")
}

fn left_out(text: &str, kind: &str) -> usize {
    let lines = text.lines().filter(|line| line.contains(kind));
    let counts = lines.filter_map(|line| line.rsplit_once("count=")?.1.parse::<usize>().ok());
    counts.sum()
}

#[test]
fn a_flood_is_cut_to_its_budget_and_what_is_left_out_is_counted() {
    let sink = Sink::default();
    let began = Instant::now();
    (0..LINES).for_each(|_| put(&sink, "flood", Level::Info));
    assert!(began.elapsed() < MOST_TIME);
    put(&sink, "flood", Level::Warn);
    put(&sink, "rare", Level::Info);
    let text = written(&sink);
    assert!(text.len() < 2 << 20, "{} bytes", text.len());
    let kept = text
        .lines()
        .filter(|line| line.contains("level=info event=flood"))
        .count();
    assert_eq!(kept + left_out(&text, "of=flood of_level=info"), LINES);
    assert!(left_out(&text, "of=flood") > LINES / 2);
    assert!(
        text.contains("level=warn event=flood"),
        "other levels have a budget of their own"
    );
    assert!(
        text.contains("event=rare"),
        "other events have a budget of their own"
    );
    assert_eq!(written(&sink), "", "nothing is written twice");
}
