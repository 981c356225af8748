//! A backend server as one ingress knows it.

use types::{Moment, ServerId, Span, ZoneId};

use crate::distance::ASSUMED;

/// Half-lives of the weight of a report's load and mean latency.
const LOAD_HALF_LIFE: Span = Span::from_millis(20);
const LATENCY_HALF_LIFE: Span = Span::from_millis(200);
/// Half-life of the weight of a report's slowdown. Slow periods last a few hundred milliseconds.
const SLOWDOWN_HALF_LIFE: Span = Span::from_millis(100);
/// Slowdown of a backend server that works at its usual speed.
const NO_SLOWDOWN_PERCENT: u32 = 100;
/// Utilization up to which a zone serves its load: nearly all requests find a free slot.
pub(crate) const FULL: f64 = 0.9;

/// A backend server as configured in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the backend server.
    pub id: ServerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether that is the ingress's own.
    pub local: bool,
    /// Maximum concurrent requests when warm.
    pub slots: u32,
}

/// The load of a backend server, as its gate reports it with each reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that run or are queued.
    pub load: u32,
    /// Maximum number of requests that may run now.
    pub allowed: u32,
    /// Moving average of the latency of recent answers.
    pub mean_latency: Span,
    /// Current service time in percent of the usual one.
    pub slowdown_percent: u32,
    /// Time until there is room for another request under the backend server's own limit.
    pub room_after: Span,
}

/// A backend server with its last known load and health.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// The backend server.
    pub member: Member,
    /// Number of this ingress's own open attempts.
    pub open_attempts: u32,
    /// The last report of its gate.
    pub report: LoadReport,
    /// Time at which the report was received, zero if there is none.
    pub reported_at: Moment,
    /// Until this time it is only used if no other backend server is available.
    pub avoid_until: Moment,
    /// Number of consecutive failed answers, counted only as far as they lengthen the backoff.
    pub consecutive_failures: u32,
    /// Time that a round trip there takes longer than one within the ingress's zone.
    pub added: Span,
    /// Moving average of the mean latency over all reports of the service, in microseconds.
    pub(crate) service_latency: f64,
}

impl ServerState {
    pub(crate) fn new(member: Member) -> Self {
        let report = LoadReport {
            load: 0,
            allowed: member.slots,
            mean_latency: Span::default(),
            slowdown_percent: NO_SLOWDOWN_PERCENT,
            room_after: Span::default(),
        };
        let (reported_at, avoid_until) = (Moment(0), Moment(0));
        let added = match member.local {
            true => Span::default(),
            false => ASSUMED,
        };
        Self {
            member,
            added,
            open_attempts: 0,
            report,
            reported_at,
            avoid_until,
            consecutive_failures: 0,
            service_latency: 1.0,
        }
    }

    /// Expected time in microseconds until an attempt sent at `now` is answered.
    ///
    /// This is the mean latency, scaled by the slowdown and by one plus the utilization: the
    /// requests at the backend server, this attempt included, relative to those that may run at
    /// once. This ingress's own open attempts are known exactly. The load from other ingresses, the
    /// slowdown, and the deviation from the service's latency are reported values, so their weight
    /// halves with each half-life of the report's age. The wait for room under the backend server's
    /// own limit comes on top.
    pub fn expected_latency_us(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at).0 as f64;
        let decay = |half_life: Span| 0.5_f64.powf(age / half_life.0 as f64);
        let others = self.report.load.saturating_sub(self.open_attempts);
        let others = f64::from(others) * decay(LOAD_HALF_LIFE);
        let utilization =
            (f64::from(self.open_attempts) + others + 1.0) / f64::from(self.report.allowed.max(1));
        let excess = self.report.mean_latency.0 as f64 - self.service_latency;
        let slowdown =
            f64::from(self.report.slowdown_percent.max(1)) / f64::from(NO_SLOWDOWN_PERCENT) - 1.0;
        let factor = 1.0 + slowdown * decay(SLOWDOWN_HALF_LIFE);
        let room_at = self.reported_at + self.report.room_after;
        let service = self.service_latency + excess * decay(LATENCY_HALF_LIFE);
        service * factor * (1.0 + utilization) + room_at.since(now).0 as f64
    }

    /// Whether an attempt is expected to take as long as at a full server, or longer.
    pub(crate) fn is_strained(&self, now: Moment) -> bool {
        self.expected_latency_us(now) >= self.service_latency * (1.0 + FULL)
    }
}
