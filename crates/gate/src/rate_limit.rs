//! Rate limit that the backend server names in its responses.
//!
//! It is a token bucket that fills at the named rate and is empty when the limit is first known, so a
//! new gate adds no burst of its own to what its predecessor sent. It holds about a second's worth
//! of requests, so no window of four seconds has more than five seconds' worth.
//!
//! The limit is in force until a response doesn't name it. Responses may arrive out of order, so a
//! higher limit or none is only taken from a response to a request that was sent under the
//! present one.
//!
//! A gate that has just started knows no limit. Ingresses send the limit that they last received from
//! its predecessor along with their requests, and it holds until the first response.

use serde::Serialize;
use types::{Moment, NamedLimit, Rate, Span};

/// Time in which the bucket fills.
const FILL_TIME: Span = Span::from_millis(1_000);
/// Lowest rate at which requests are sent. Only a response shows that a limit has changed.
const MIN_PER_SECOND: f64 = 0.25;
/// Share of the limit that probes may use.
const PROBE_SHARE: f64 = 0.1;
/// Longest time over which the returns of refused callers are spread.
const RETURN_HORIZON: Span = Span::from_millis(10_000);
/// Tolerance for rounding in sums of tokens.
const EPSILON: f64 = 1e-6;

/// How a gate learned of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitSource {
    /// A response to a request.
    Response,
    /// A response to a probe.
    Probe,
    /// An ingress that received the limit before this gate started.
    Peer,
}

impl LimitSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Probe => "probe",
            Self::Peer => "peer",
        }
    }
}

/// A named limit that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LimitState {
    /// Requests a second that the backend server accepts.
    pub rate: Rate,
    /// When the gate learned of this rate.
    pub since: Moment,
    /// How the gate learned of it.
    pub source: LimitSource,
    /// Requests that may be sent at once, negative if too many were.
    pub room: f64,
}

#[derive(Debug, Clone)]
struct Bucket {
    rate: Rate,
    since: Moment,
    source: LimitSource,
    /// Tokens at `filled_at`.
    tokens: f64,
    filled_at: Moment,
    /// Earliest return of the next caller that is refused.
    next_return: Moment,
}

impl Bucket {
    fn new(rate: Rate, source: LimitSource, now: Moment) -> Self {
        Self {
            rate,
            since: now,
            source,
            tokens: 0.0,
            filled_at: now,
            next_return: now,
        }
    }

    fn per_second(&self) -> f64 {
        self.rate.per_second().max(MIN_PER_SECOND)
    }

    fn capacity(&self) -> f64 {
        (self.per_second() * FILL_TIME.0 as f64 / 1e6).max(1.0)
    }

    fn tokens(&self, now: Moment) -> f64 {
        let filled = self.per_second() * now.since(self.filled_at).0 as f64 / 1e6;
        (self.tokens + filled).min(self.capacity())
    }

    fn take(&mut self, now: Moment) {
        self.tokens = self.tokens(now) - 1.0;
        self.filled_at = self.filled_at.max(now);
    }

    fn set_rate(&mut self, rate: Rate, source: LimitSource, now: Moment) {
        let tokens = self.tokens(now);
        (self.rate, self.since, self.source) = (rate, now, source);
        (self.tokens, self.filled_at) = (tokens.min(self.capacity()), now);
    }

    /// Time until `count` tokens are there.
    fn wait(&self, count: f64, now: Moment) -> Span {
        let missing = count - EPSILON - self.tokens(now);
        match missing > 0.0 {
            true => Span((missing / self.per_second() * 1e6).ceil() as u64),
            false => Span::default(),
        }
    }
}

/// The limit that one incarnation of a backend server has named, if any.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateLimit {
    bucket: Option<Bucket>,
    /// Whether a response to a request has arrived from this incarnation.
    responded: bool,
    /// Whether responses to probes name the limit.
    probes_name: bool,
}

impl RateLimit {
    /// Applies what a response says, to a request or a probe that was sent at `sent_at`. Returns whether
    /// the limit changed.
    pub(crate) fn observe(
        &mut self,
        named: NamedLimit,
        source: LimitSource,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        let is_probe = source == LimitSource::Probe;
        self.probes_name |= is_probe && named != NamedLimit::Absent;
        self.responded |= !is_probe && named != NamedLimit::Malformed;
        match (named, &mut self.bucket) {
            // Health endpoints needn't name the limit.
            (NamedLimit::Absent, _) if is_probe && !self.probes_name => return false,
            (NamedLimit::Absent, Some(bucket)) if sent_at >= bucket.since => self.bucket = None,
            (NamedLimit::Rate(rate), None) => self.bucket = Some(Bucket::new(rate, source, now)),
            (NamedLimit::Rate(rate), Some(bucket))
                if rate < bucket.rate || (rate > bucket.rate && sent_at >= bucket.since) =>
            {
                bucket.set_rate(rate, source, now);
            }
            _ => return false,
        }
        true
    }

    /// Applies the limit that an ingress knows, unless a response has said more.
    pub(crate) fn learn(&mut self, rate: Rate, now: Moment) {
        if !self.responded && self.bucket.is_none() {
            self.bucket = Some(Bucket::new(rate, LimitSource::Peer, now));
        }
    }

    /// Forgets the limit, for another incarnation of the backend server.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// The limit in force, if any.
    pub(crate) fn state(&self, now: Moment) -> Option<LimitState> {
        self.bucket.as_ref().map(|bucket| LimitState {
            rate: bucket.rate,
            since: bucket.since,
            source: bucket.source,
            room: bucket.tokens(now),
        })
    }

    /// Earliest time at which the next request may be sent, as known at `now`.
    pub(crate) fn next_send(&self, now: Moment) -> Moment {
        now + self.wait(0, now)
    }

    /// Time until a request behind `ahead` others may be sent.
    pub(crate) fn wait(&self, ahead: usize, now: Moment) -> Span {
        let count = ahead as f64 + 1.0;
        let bucket = self.bucket.as_ref();
        bucket.map_or(Span::default(), |bucket| bucket.wait(count, now))
    }

    /// Counts a request or probe that is sent at `now`.
    pub(crate) fn record(&mut self, now: Moment) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now);
        }
    }

    /// Minimum time between two probes, which count as requests.
    pub(crate) fn probe_interval(&self) -> Span {
        let interval = |bucket: &Bucket| 1e6 / (bucket.per_second() * PROBE_SHARE);
        let bucket = self.bucket.as_ref();
        bucket.map_or(Span::default(), |bucket| Span(interval(bucket) as u64))
    }

    /// Time after which a caller that is refused now should return: when there is room behind `ahead`
    /// requests and the callers refused before.
    pub(crate) fn schedule_return(&mut self, ahead: usize, now: Moment) -> Span {
        let first = now + self.wait(ahead, now);
        let Some(bucket) = &mut self.bucket else {
            return Span::default();
        };
        let at = match bucket.next_return.max(first) {
            at if at > now + RETURN_HORIZON => first,
            at => at,
        };
        bucket.next_return = at + Span((1e6 / bucket.per_second()) as u64);
        at.since(now)
    }
}
