//! An open gate, and the offers of one session.

use gate::{Gate, Offer, Rank, RetentionLimits};
use note::Limits;
use types::{AttemptId, Boot, Moment, Seq, SessionId};

/// An open gate with one session.
pub(crate) struct OpenGate {
    pub(crate) gate: Gate,
    session: SessionId,
    next_seq: u64,
}

impl OpenGate {
    /// Creates a gate with these limits and an unlimited lease.
    pub(crate) fn new(limits: Limits) -> Self {
        let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
        let session = gate.open_session(Boot(2), Moment(0));
        gate.set_open(true);
        gate.extend_lease(Moment::MAX);
        Self {
            gate,
            session,
            next_seq: 0,
        }
    }

    /// The session's next attempt, which may wait and has no objective.
    pub(crate) fn offer(&mut self, deadline: Moment) -> Offer {
        self.next_seq += 1;
        Offer {
            id: AttemptId {
                boot: Boot(1),
                session: self.session,
                seq: Seq(self.next_seq),
            },
            floor: Seq(0),
            deadline,
            fail_fast: false,
            is_retry: false,
            refusal: None,
            rank: Rank::default(),
        }
    }
}
