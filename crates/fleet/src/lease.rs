//! Leases that limit how long a view, and the teams' keys in it, may be used without confirmation.

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

    /// When the last confirmation was requested, [`Moment`] zero if there was none.
    fn confirmed(&self) -> Moment {
        self.until - self.term
    }
}

/// Proof that a version of the configuration was the newest one at some time, as one node tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigProof {
    /// The version, or the revision of a history of notes.
    pub version: u64,
    /// Time that has passed since then.
    pub age: Span,
}

/// A lease on the teams' keys, renewed whenever the configuration is known to have been current.
///
/// Operators may withdraw a key at any time, so a node that can't prove that its configuration was current
/// within the term serves none. The proof is a moment of this node's own clock, which runs on while the host is
/// suspended.
#[derive(Debug, Clone, Copy)]
pub struct KeyLease {
    lease: Lease,
    /// Version that the node has in force.
    version: u64,
}

impl KeyLease {
    /// Creates an expired lease. Each proof renews it for `term`, less a fiftieth for clocks that don't run equally
    /// fast.
    pub fn new(term: Span) -> Self {
        Self {
            lease: Lease::new(term.scale(0.98)),
            version: 0,
        }
    }

    /// Takes note of the version in force. Versions only increase, so a proof that an earlier one was the newest
    /// holds for it too.
    pub fn set_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Records that the version in force was the newest one at `read_at`.
    pub fn confirm(&mut self, read_at: Moment) {
        self.lease.renew(read_at);
    }

    /// Adopts the proof that a peer sent in reply to a question that was sent at `asked`, if it is about the version
    /// in force.
    ///
    /// The age counts back from the question, so that a reply that is late makes the proof older than it is.
    pub fn adopt(&mut self, proof: ConfigProof, asked: Moment) {
        if proof.version == self.version {
            self.lease.renew(asked - proof.age);
        }
    }

    /// The proof for peers at `now`, `None` if there is none or it has expired.
    pub fn proof(&self, now: Moment) -> Option<ConfigProof> {
        self.is_valid(now).then(|| ConfigProof {
            version: self.version,
            age: self.age(now),
        })
    }

    /// Time since the configuration was last known to be current.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.lease.confirmed())
    }

    /// Whether keys may be served at `now`.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.lease.until
    }

    /// Time at which the lease expires.
    pub fn until(&self) -> Moment {
        self.lease.until
    }

    /// Time from which the node asks peers that have read lately, which spares it a read.
    pub fn ask_at(&self) -> Moment {
        self.lease.confirmed() + self.lease.term.scale(0.5)
    }

    /// Number of questions since [`ask_at`](Self::ask_at) that have brought no younger proof.
    pub fn unanswered(&self, now: Moment) -> u64 {
        now.since(self.ask_at()).0 / self.ask_interval().0.max(1)
    }

    /// Time between two such questions.
    pub fn ask_interval(&self) -> Span {
        self.lease.term.scale(0.05)
    }

    /// Time from which the node reads the platform for itself. The rest of the term is left for reads that fail.
    pub fn refresh_at(&self) -> Moment {
        self.lease.confirmed() + self.lease.term.scale(0.7)
    }

    /// Time between two reads that fail.
    pub fn retry_interval(&self) -> Span {
        self.lease.term.scale(0.08)
    }
}
