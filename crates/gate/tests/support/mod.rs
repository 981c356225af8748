//! A gate that takes work, and offers to it.

use gate::{Gate, Offer, Rank, RetentionLimits};
use note::Limits;
use types::{AttemptId, Boot, Moment, Seq, SessionId};

/// A gate with a session, and the offers of that session.
pub(crate) struct Open {
    pub(crate) gate: Gate,
    session: SessionId,
    next: u64,
}

impl Open {
    /// A gate with these limits whose view never runs out.
    pub(crate) fn new(limits: Limits) -> Self {
        let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
        let session = gate.open_session(Boot(2), Moment(0));
        gate.set_open(true);
        gate.extend_lease(Moment::MAX);
        Self {
            gate,
            session,
            next: 0,
        }
    }

    /// The next offer: it waits if it must, and has no objective.
    pub(crate) fn offer(&mut self, deadline: Moment) -> Offer {
        self.next += 1;
        Offer {
            id: AttemptId {
                boot: Boot(1),
                session: self.session,
                seq: Seq(self.next),
            },
            floor: Seq(0),
            deadline,
            fail_fast: false,
            wrong_server: false,
            rank: Rank::default(),
        }
    }
}
