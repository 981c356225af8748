//! What an ingress knows of its session with one gate.

use std::collections::BTreeSet;

use types::{AttemptId, Boot, Moment, Seq, SessionId, Span};

/// Assumed largest error of one clock's rate against another's, in parts per million.
const DRIFT_PPM: u64 = 500;

/// An attempt's identity and what goes with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Lowest number of the session that isn't settled.
    pub floor: Seq,
    /// The deadline on the gate's clock, never later than the true one.
    pub deadline: Moment,
}

/// A session with one incarnation of one gate.
///
/// The gate's clock is learned from its replies. A reply that shows `gate` was written between
/// `asked` and `heard` on the own clock; that the gate wrote it at the very end of that time is the
/// cautious reading, as it sets the gate's clock as far back as it can be. A deadline translated
/// with it comes early by at most one round trip and never late.
#[derive(Debug, Clone)]
pub struct GateSession {
    boot: Boot,
    session: SessionId,
    next: Seq,
    open: BTreeSet<Seq>,
    gate: Moment,
    heard: Moment,
    trip: Span,
}

impl GateSession {
    /// A new session, told at `heard` after it was asked for at `asked`.
    pub fn new(boot: Boot, session: SessionId, gate: Moment, asked: Moment, heard: Moment) -> Self {
        let trip = heard.since(asked);
        Self {
            boot,
            session,
            next: Seq(1),
            open: BTreeSet::new(),
            gate,
            heard,
            trip,
        }
    }

    /// Incarnation of the gate.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Number of the session.
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// Names a new attempt that is wanted until `deadline` of the own clock.
    pub fn start_attempt(&mut self, deadline: Moment) -> SessionAttempt {
        let seq = self.next;
        self.next = Seq(seq.0 + 1);
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

    /// The attempt is settled: nobody will ask about it any more.
    pub fn settle(&mut self, id: AttemptId) {
        if id.boot == self.boot && id.session == self.session {
            self.open.remove(&id.seq);
        }
    }

    /// Learns the gate's clock from a reply.
    pub fn sync_clock(&mut self, gate: Moment, asked: Moment, heard: Moment) {
        let trip = heard.since(asked);
        let aged = self.trip + drift(heard.since(self.heard));
        if trip <= aged {
            (self.gate, self.heard, self.trip) = (gate, heard, trip);
        }
    }

    /// Number of attempts that aren't settled.
    pub fn open_attempts(&self) -> usize {
        self.open.len()
    }

    fn translate(&self, deadline: Moment) -> Moment {
        let ahead = deadline.since(self.heard);
        self.gate + ahead - drift(ahead)
    }
}

fn drift(span: Span) -> Span {
    Span(span.0 / 1_000_000 * DRIFT_PPM + span.0 % 1_000_000 * DRIFT_PPM / 1_000_000)
}
