//! Whether a gate takes work: by its backend server, by the view, and while its process stops.

use types::{Moment, Refusal, Span};

use super::Gate;
use crate::event::Action;

impl Gate {
    /// Opens the gate for new work, or closes it, which refuses the queued requests.
    pub fn set_open(&mut self, open: bool) -> Vec<Action> {
        self.open = open;
        match open {
            true => Vec::new(),
            false => self.refuse_queued(Refusal::Leaving),
        }
    }

    /// Extends the validity of the node's view to `until`. An earlier time changes nothing.
    pub fn extend_lease(&mut self, until: Moment) {
        self.lease_end = self.lease_end.max(until);
    }

    /// Whether another backend server than the listed one is assumed to be at the address.
    pub fn is_replaced(&self, now: Moment) -> bool {
        now < self.replaced_until
    }

    /// Announces that the process exits at `exit_at`. From now on, attempts that the exit may cut are
    /// refused, new and queued ones.
    pub fn announce_exit(&mut self, exit_at: Moment, now: Moment) -> Vec<Action> {
        self.exit_at = Some(exit_at);
        self.refuse_displaced(now)
    }

    /// Begins a graceful shutdown: refuses all new attempts, and the queued ones that the exit of the
    /// process at `exit_at` may cut.
    pub fn stop(&mut self, exit_at: Moment, now: Moment) -> Vec<Action> {
        self.stopping = true;
        let mut actions = self.announce_exit(exit_at, now);
        for id in self.reservations.drain() {
            actions.extend(self.refuse(id, Refusal::Stopping, Span::default()));
        }
        actions
    }

    /// Refuses the queued attempts of a gate whose process is about to exit, so that their ingresses learn that
    /// they never run.
    pub fn drain_queue(&mut self) -> Vec<Action> {
        self.refuse_queued(Refusal::Stopping)
    }

    /// Whether new work is accepted at `now`: the gate is open, has a valid lease and isn't
    /// stopping.
    pub fn is_open(&self, now: Moment) -> bool {
        self.closed_reason(Moment::MAX, now).is_none()
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0 && self.reservations.len() == 0
    }
}
