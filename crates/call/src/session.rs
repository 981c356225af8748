//! The ingress's side of a session with one gate.

use std::collections::BTreeSet;

use types::{AttemptId, Boot, Moment, Seq, SessionId, Span};

/// Assumed maximum rate difference between two clocks, in parts per million.
const MAX_DRIFT_PPM: u64 = 500;

/// An attempt with what the gate must know of its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Lowest sequence number of the session that isn't settled.
    pub floor: Seq,
    /// The deadline on the gate's clock, never later than the call's deadline.
    pub deadline: Moment,
}

/// A session with one incarnation of one gate.
///
/// The gate's clock is estimated from its replies with Cristian's algorithm, except that the gate
/// is assumed to have read its clock at the very end of the round trip instead of halfway. This
/// yields the lowest reading that the gate's clock can have now, so a translated deadline is early
/// by at most one round trip and the clock drift, and never late.
#[derive(Debug, Clone)]
pub struct GateSession {
    boot: Boot,
    session: SessionId,
    next_seq: Seq,
    open: BTreeSet<Seq>,
    /// The gate's time in the reference reply, and the ingress's time when it received that reply.
    gate_time: Moment,
    received: Moment,
    round_trip: Span,
}

impl GateSession {
    /// Creates a session that was requested at `sent`. The gate's reply, which showed `gate_time`,
    /// arrived at `received`.
    pub fn new(
        boot: Boot,
        session: SessionId,
        gate_time: Moment,
        sent: Moment,
        received: Moment,
    ) -> Self {
        let round_trip = received.since(sent);
        Self {
            boot,
            session,
            next_seq: Seq(1),
            open: BTreeSet::new(),
            gate_time,
            received,
            round_trip,
        }
    }

    /// Incarnation of the gate.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Identifier of the session.
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// Assigns the next sequence number to an attempt with a `deadline` on the ingress's clock.
    pub fn start_attempt(&mut self, deadline: Moment) -> SessionAttempt {
        let seq = self.next_seq;
        self.next_seq = Seq(seq.0 + 1);
        self.open.insert(seq);
        let id = AttemptId {
            boot: self.boot,
            session: self.session,
            seq,
        };
        let floor = self.open.first().copied().unwrap_or(seq);
        SessionAttempt {
            id,
            floor,
            deadline: self.translate(deadline),
        }
    }

    /// Settles an attempt: its outcome will not be asked for again. Attempts of other sessions are
    /// ignored.
    pub fn settle(&mut self, id: AttemptId) {
        if id.boot == self.boot && id.session == self.session {
            self.open.remove(&id.seq);
        }
    }

    /// Takes a reply as the new reference for the gate's clock, if its round trip is no longer than
    /// that of the old reference plus the drift since then.
    pub fn sync_clock(&mut self, gate_time: Moment, sent: Moment, received: Moment) {
        let round_trip = received.since(sent);
        let uncertainty = self.round_trip + drift(received.since(self.received));
        if round_trip <= uncertainty {
            (self.gate_time, self.received, self.round_trip) = (gate_time, received, round_trip);
        }
    }

    /// Number of attempts that aren't settled.
    pub fn open_attempts(&self) -> usize {
        self.open.len()
    }

    fn translate(&self, deadline: Moment) -> Moment {
        let left = deadline.since(self.received);
        self.gate_time + left - drift(left)
    }
}

fn drift(span: Span) -> Span {
    Span(span.0 / 1_000_000 * MAX_DRIFT_PPM + span.0 % 1_000_000 * MAX_DRIFT_PPM / 1_000_000)
}
