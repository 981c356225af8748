//! Lease that limits how long a view may be used without confirmation.

use types::{Moment, Span};

/// A lease on the view, renewed whenever a peer or the platform confirms the view.
///
/// The lease counts from the time at which the confirmation was *requested*, not received: the view
/// may have changed since then, and a process that is paused in between handles the reply late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    until: Moment,
    term: Span,
}

impl Lease {
    /// Creates an expired lease. Each confirmation renews it for `term`.
    pub fn new(term: Span) -> Self {
        Self {
            until: Moment(0),
            term,
        }
    }

    /// Renews the lease after a confirmation that was requested at `requested`.
    pub fn renew(&mut self, requested: Moment) {
        self.until = self.until.max(requested + self.term);
    }

    /// Time at which the lease expires.
    pub fn until(&self) -> Moment {
        self.until
    }
}
