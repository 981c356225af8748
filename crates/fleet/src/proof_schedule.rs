//! When a node asks its peers for a proof that the configuration is current, and when it reads for one.

use types::{Moment, Span};

use crate::KeyLease;

/// What a node does for a younger proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofDue {
    /// It asks peers. The number counts the questions that have brought no younger proof.
    pub question: Option<u64>,
    /// It reads the platform for itself.
    pub reads: bool,
}

/// Schedule of the questions and reads that keep a [`KeyLease`] valid.
#[derive(Debug)]
pub struct ProofSchedule {
    /// The lease.
    pub lease: KeyLease,
    /// Whether a read for a proof is in progress.
    reading: bool,
    /// Earliest time of the next such read. Zero until the keys need a proof for the first time.
    next_read: Moment,
    /// Earliest time of the next question.
    next_question: Moment,
}

impl ProofSchedule {
    /// Creates the schedule of an expired lease of this `term`.
    pub fn new(term: Span) -> Self {
        Self {
            lease: KeyLease::new(term),
            reading: false,
            next_read: Moment(0),
            next_question: Moment(0),
        }
    }

    /// Leaves peers some time for the first proof, before this node reads for it.
    pub fn start(&mut self, now: Moment) {
        if self.next_read == Moment(0) {
            self.next_read = now + self.lease.ask_interval();
        }
    }

    /// Returns what is due at `now`, which the node then does.
    pub fn check(&mut self, now: Moment) -> ProofDue {
        let asks = now >= self.question_at();
        let due = ProofDue {
            question: asks.then(|| self.lease.unanswered(now)),
            reads: !self.reading && now >= self.read_at(),
        };
        if asks {
            self.next_question = now + self.lease.ask_interval();
        }
        if due.reads {
            self.next_read = now + self.lease.retry_interval();
            self.reading = true;
        }
        due
    }

    /// Records the end of a read, successful or not.
    pub fn on_read_ended(&mut self) {
        self.reading = false;
    }

    /// Time of the next [`check`](Self::check).
    pub fn next_check(&self) -> Moment {
        match self.reading {
            true => self.question_at(),
            false => self.question_at().min(self.read_at()),
        }
    }

    fn question_at(&self) -> Moment {
        self.lease.ask_at().max(self.next_question)
    }

    fn read_at(&self) -> Moment {
        self.lease.refresh_at().max(self.next_read)
    }
}
