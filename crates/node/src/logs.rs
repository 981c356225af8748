//! Log output: one line of key=value pairs per event, on standard output.
//!
//! The message of a log record is the name of the event. The record's key-values follow it:
//!
//! ```text
//! ts=1767225600.000 level=info event=view_in_force revision=7 faults=0
//! ```
//!
//! # Bounded and non-blocking
//!
//! Logging appends a line to a buffer and returns. A dedicated thread writes the buffer out
//! periodically, so a reader that stops reading blocks that thread only. Lines are rate limited per
//! event and level, and the size of the buffer is bounded. Lines beyond either limit are dropped
//! and counted, and a line `event=logs_left_out` reports the number for each event and level.

use std::{
    collections::HashMap,
    fmt,
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Target};
use log::{
    Level, LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use smol_str::{SmolStr, format_smolstr};

/// Largest number of lines per second for one event at one level: ten times what a node logs at the
/// users' usual load.
const MAX_LINES_PER_SECOND: u32 = 500;
/// Buffer size in bytes beyond which further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time between two writes. A shorter period costs more wake-ups.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// Window over which lines are counted for the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Crates whose records are written at all levels: the node and those of its components that log.
pub const COMPONENTS: [&str; 8] = [
    "allowances",
    "backend",
    "gate_actor",
    "ingress",
    "metrics",
    "node",
    "peers",
    "view_sync",
];

/// Starts writing log records of this process, at `level` and above, to standard output.
///
/// The returned guard writes out the buffered lines when it is dropped.
pub fn init(level: LevelFilter) -> FlushGuard {
    let buffer = LogBuffer::default();
    let input = buffer.clone();
    let mut builder = Builder::new();
    builder.filter_level(LevelFilter::Warn);
    for component in COMPONENTS {
        builder.filter_module(component, LevelFilter::Trace);
    }
    builder
        .target(Target::Pipe(Box::new(io::sink())))
        .format(move |_, record| {
            input.push(record);
            Ok(())
        })
        .init();
    set_level(level);
    let output = buffer.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_PERIOD);
            output.flush_to(&mut io::stdout());
        }
    });
    FlushGuard(buffer)
}

/// Sets the least severe level that is logged. Records of other crates are logged from `warn` up
/// only.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Writes out the buffered lines when it is dropped.
#[derive(Debug)]
pub struct FlushGuard(LogBuffer);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        self.0.flush_to(&mut io::stdout());
    }
}

/// A bounded buffer of formatted log lines, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    /// Number of lines for each event and level since `window_start`.
    counts: HashMap<(SmolStr, Level), u32>,
    window_start: Option<Instant>,
    dropped: HashMap<(SmolStr, Level), u64>,
}

impl LogBuffer {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Appends a line, or drops and counts it if a limit is reached. Never waits for the reader.
    pub fn push(&self, record: &Record<'_>) {
        let event = format_smolstr!("{}", record.args());
        let kind = (event, record.level());
        let mut state = self.state();
        if !state.admits(&kind) {
            *state.dropped.entry(kind).or_default() += 1;
            return;
        }
        let lines = &mut state.lines;
        if write_event(lines, record).is_err() {
            write_unwritable(lines, record);
        }
    }

    /// Writes out and clears the buffered lines and the counts of dropped lines.
    pub fn flush_to(&self, out: &mut dyn Write) {
        let bytes = self.state().drain();
        // A failure to write logs can't be logged.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}

impl State {
    fn admits(&mut self, kind: &(SmolStr, Level)) -> bool {
        let now = Instant::now();
        let start = *self.window_start.get_or_insert(now);
        if now.duration_since(start) >= RATE_WINDOW {
            self.window_start = Some(now);
            self.counts.clear();
        }
        let count = self.counts.entry(kind.clone()).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND && self.lines.len() < MAX_BUFFERED_BYTES
    }

    fn drain(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.lines);
        for ((event, level), count) in self.dropped.drain() {
            let ts = unix_seconds();
            let level = level.as_str().to_ascii_lowercase();
            let line = format!(
                "ts={ts:.3} level=warn event=logs_left_out of={event} of_level={level} count={count}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }
}

fn write_event(out: &mut Vec<u8>, record: &Record<'_>) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let event = Quoted(record.args().to_string());
    write!(out, "ts={:.3} level={level} event={event}", unix_seconds())?;
    record
        .key_values()
        .visit(&mut PairWriter(out))
        .map_err(io::Error::other)?;
    writeln!(out)
}

/// Ends the line of an event whose key-values can't be formatted.
fn write_unwritable(out: &mut Vec<u8>, record: &Record<'_>) {
    let text = format!(" unwritable=true target={}\n", record.target());
    out.extend_from_slice(text.as_bytes());
}

fn unix_seconds() -> f64 {
    // A system time before 1970 is logged as 0, which is recognizably invalid.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64())
}

struct PairWriter<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={}", Quoted(value.to_string()))?;
        Ok(())
    }
}

/// A value that is quoted if it is empty or contains characters that would break the key=value
/// format.
struct Quoted(String);

impl fmt::Display for Quoted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        match !self.0.is_empty() && self.0.chars().all(plain) {
            true => f.write_str(&self.0),
            false => write!(f, "{:?}", self.0),
        }
    }
}
