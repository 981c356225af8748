//! For how long a view may be acted on.

use types::{Moment, Span};

/// Time after a comparison for which a view may be acted on.
const LEASE_TERM: Span = Span::from_millis(3_000);

/// A lease on the view, renewed whenever it is compared with a peer's or the platform's.
///
/// The moment that counts is the one at which the comparison was *asked for*. What was true then may
/// have changed by the time the reply is read, and a process that is paused in between reads it late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    until: Moment,
}

impl Lease {
    /// The view was compared, in reply to a question that was asked at `asked`.
    pub fn renew(&mut self, asked: Moment) {
        self.until = self.until.max(asked + LEASE_TERM);
    }

    /// Last moment at which the view may be acted on.
    pub fn until(&self) -> Moment {
        self.until
    }
}
