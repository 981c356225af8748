//! Times of a graceful shutdown, from the settings and from the grace period that the platform gives.

use std::{error::Error, fmt, str::FromStr};

use types::Span;

use crate::settings::Settings;

/// Allowed range of a grace period.
const GRACE_RANGE: (Span, Span) = (Span::from_millis(100), Span::from_millis(600_000));
/// Share of the grace period in which a node that has reached its stop limit exits: half of the last sixth, in
/// which the platform doesn't expect requests to be completed. In the same share of the time before, queued
/// requests are refused and their callers answered.
const EXIT_SHARE: f64 = 1.0 / 12.0;
/// Longest time that is left for the exit: some scheduling delays of a busy host.
const MAX_EXIT_TIME: Span = Span::from_millis(500);
/// Share of the time until the stop limit for which a node may still accept requests, so that those have time to
/// be completed.
const MAX_LINGER_SHARE: f64 = 0.5;

/// Time that the platform gives a process to stop before it kills it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace(Span);

/// Why a text isn't a grace period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GraceError {
    /// It doesn't end with `s` or `ms`.
    NoUnit,
    /// It isn't a number of its unit.
    NotANumber,
    /// It is too short or too long.
    OutOfRange,
}

impl fmt::Display for GraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = GRACE_RANGE;
        match self {
            Self::NoUnit => f.write_str("has no unit, expected s or ms"),
            Self::NotANumber => f.write_str("is not a number of seconds or milliseconds"),
            Self::OutOfRange => write!(
                f,
                "is out of range, expected {}ms to {}ms",
                min.as_millis(),
                max.as_millis()
            ),
        }
    }
}

impl Error for GraceError {}

/// Parses a number of seconds or milliseconds, as in `6s`, `2.5s` or `1500ms`.
impl FromStr for Grace {
    type Err = GraceError;

    fn from_str(text: &str) -> Result<Self, GraceError> {
        let (number, unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(number), _) => (number, Span::from_millis(1)),
            (None, Some(number)) => (number, Span::from_millis(1_000)),
            (None, None) => return Err(GraceError::NoUnit),
        };
        let number: f64 = number.parse().map_err(|_| GraceError::NotANumber)?;
        if !number.is_finite() || number < 0.0 {
            return Err(GraceError::NotANumber);
        }
        let span = unit.scale(number);
        match (GRACE_RANGE.0..=GRACE_RANGE.1).contains(&span) {
            true => Ok(Self(span)),
            false => Err(GraceError::OutOfRange),
        }
    }
}

impl fmt::Display for Grace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}

impl Grace {
    /// Time from the signal until the node exits, whether or not its requests are completed.
    fn stop_limit(self) -> Span {
        before_exit(self.0)
    }
}

/// The part of a time to stop before its last twelfth.
fn before_exit(time: Span) -> Span {
    let exit = time.scale(EXIT_SHARE).min(MAX_EXIT_TIME);
    Span(time.0 - exit.0)
}

/// Times of a graceful shutdown, each counted from the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// For how long the node still accepts requests.
    pub linger: Span,
    /// When it refuses the requests that are still queued.
    pub queue: Span,
    /// When it exits, whether or not its requests are completed.
    pub limit: Span,
}

impl StopTimes {
    /// The times of the settings. A grace period takes the place of `stop_ms`, and shortens `linger_ms` if it is
    /// short itself.
    pub fn new(settings: &Settings, grace: Option<Grace>) -> Self {
        let (linger, limit) = match grace.map(Grace::stop_limit) {
            Some(limit) => (settings.linger().min(limit.scale(MAX_LINGER_SHARE)), limit),
            None => (settings.linger(), settings.stop_timeout()),
        };
        let queue = before_exit(limit);
        Self {
            linger,
            queue,
            limit,
        }
    }
}
