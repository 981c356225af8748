//! For how long a view may be acted on.

use types::{Moment, Span};

/// A lease on the view, renewed whenever it is compared with a peer's or the platform's.
///
/// The moment that counts is the one at which the comparison was *asked for*. What was true then may
/// have changed by the time the reply is read, and a process that is paused in between reads it late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    until: Moment,
    term: Span,
}

impl Lease {
    /// A lease that has run out. Each comparison renews it for `term`.
    pub fn new(term: Span) -> Self {
        Self {
            until: Moment(0),
            term,
        }
    }

    /// The view was compared, in reply to a question that was asked at `asked`.
    pub fn renew(&mut self, asked: Moment) {
        self.until = self.until.max(asked + self.term);
    }

    /// Last moment at which the view may be acted on.
    pub fn until(&self) -> Moment {
        self.until
    }
}
