//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! The message of a record is the event's name, and its key-values follow:
//!
//! ```text
//! ts=1767225600.000 level=info event=view_in_force revision=7 faults=0
//! ```
//!
//! # Bounded, and never in the way
//!
//! Whoever logs puts a line into a buffer and goes on. A thread writes the buffer out now and then, so
//! that a reader who stopped reading holds up that thread only. Each kind of event, at each level, has
//! a budget of lines a second, and the buffer has a size; what exceeds either is left out and counted,
//! and a line `event=logs_left_out` says how many of which kind.

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

/// Lines of one kind of event, at one level, in a second: ten times what a node logs at the users'
/// usual load.
const MOST_LINES: u32 = 500;
/// Bytes that wait to be written.
const MOST_WAITING: usize = 1 << 20;
/// Time between two writes. A shorter one costs more wake-ups.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// The second that budgets are counted in.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// Sends the events of this process, at `level` and above, to its standard output.
///
/// The returned guard writes out what waits when it is dropped.
pub fn init(level: LevelFilter) -> Guard {
    let sink = Sink::default();
    let lines = sink.clone();
    Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("node", LevelFilter::Trace)
        .target(Target::Pipe(Box::new(io::sink())))
        .format(move |_, record| {
            lines.put(record);
            Ok(())
        })
        .init();
    set_level(level);
    let writer = sink.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_PERIOD);
            writer.write_out(&mut io::stdout());
        }
    });
    Guard(sink)
}

/// Changes the least severe level that is logged. Libraries never log below warnings.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Writes out what waits when it is dropped.
#[derive(Debug)]
pub struct Guard(Sink);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.write_out(&mut io::stdout());
    }
}

/// Lines that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct Sink {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    /// Lines of each kind since `since`.
    counts: HashMap<(SmolStr, Level), u32>,
    since: Option<Instant>,
    left_out: HashMap<(SmolStr, Level), u64>,
}

impl Sink {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Takes a line in, or counts it as left out. Never waits for the reader.
    pub fn put(&self, record: &Record<'_>) {
        let event = format_smolstr!("{}", record.args());
        let kind = (event, record.level());
        let mut state = self.state();
        if !state.allows(&kind) {
            *state.left_out.entry(kind).or_default() += 1;
            return;
        }
        let waiting = &mut state.waiting;
        if write_event(waiting, record).is_err() {
            log_broken(waiting, record);
        }
    }

    /// Writes out what waits, and what was left out since the last time.
    pub fn write_out(&self, out: &mut dyn Write) {
        let bytes = self.state().take();
        // Nobody is left to tell that nobody reads.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}

impl State {
    fn allows(&mut self, kind: &(SmolStr, Level)) -> bool {
        let now = Instant::now();
        let since = *self.since.get_or_insert(now);
        if now.duration_since(since) >= BUDGET_PERIOD {
            self.since = Some(now);
            self.counts.clear();
        }
        let count = self.counts.entry(kind.clone()).or_default();
        *count += 1;
        *count <= MOST_LINES && self.waiting.len() < MOST_WAITING
    }

    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.waiting);
        for ((event, level), count) in self.left_out.drain() {
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
        .visit(&mut Pairs(out))
        .map_err(io::Error::other)?;
    writeln!(out)
}

/// Ends the line of an event whose pairs can't be written.
fn log_broken(out: &mut Vec<u8>, record: &Record<'_>) {
    let text = format!(" unwritable=true target={}\n", record.target());
    out.extend_from_slice(text.as_bytes());
}

fn unix_seconds() -> f64 {
    // A clock before 1970 shows as 0, which no reader takes for a time.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |passed| passed.as_secs_f64())
}

struct Pairs<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={}", Quoted(value.to_string()))?;
        Ok(())
    }
}

/// A value, in quotes if it would break the line's form.
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
