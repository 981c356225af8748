//! Logs: one line of key=value pairs for each event.
//!
//! The message of a record is the event's name, and its key-values follow:
//!
//! ```text
//! ts=1767225600.000 level=info event=note_folded revision=7 faults=0
//! ```

use std::{
    fmt,
    io::{self, Write},
    time::{SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Target, fmt::Formatter};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};

/// Sends the events of this process, at `level` and above, to its standard error.
pub fn init(level: LevelFilter) {
    Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("node", level)
        .target(Target::Stderr)
        .format(write_event)
        .init();
}

fn write_event(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let event = Quoted(record.args().to_string());
    write!(out, "ts={:.3} level={level} event={event}", unix_seconds())?;
    record
        .key_values()
        .visit(&mut Pairs(out))
        .map_err(io::Error::other)?;
    writeln!(out)
}

fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |passed| passed.as_secs_f64())
}

struct Pairs<'a>(&'a mut Formatter);

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
