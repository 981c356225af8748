//! Proofs that the configuration is current, on which the teams' keys depend.
//!
//! Most proofs come from peers in replies to comparisons. A node whose proof grows old asks those that have read the
//! platform lately, and one whose proof is older still reads for itself, which costs one call.

use std::sync::Arc;

use fleet::{ConfigProof, MAX_SILENCE, ProofSchedule};
use kameo::message::{Context, Message};
use platform::{ConfigRead, PlatformError};
use types::{Moment, Span};
use wire::peer;

use super::{Source, ViewSync, tell};

/// State of the lease on the teams' keys.
#[derive(Debug)]
pub(super) struct KeySync {
    schedule: ProofSchedule,
    /// Whether keys were served when that was last checked, as logged.
    served: bool,
}

impl KeySync {
    pub(super) fn new(term: Span) -> Self {
        Self {
            schedule: ProofSchedule::new(term),
            served: false,
        }
    }
}

/// A read of the configuration alone has ended.
#[derive(Debug)]
struct ProofRead {
    read_at: Moment,
    config: Result<ConfigRead, PlatformError>,
}

impl Message<ProofRead> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: ProofRead, _ctx: &mut Context<Self, ()>) {
        if let Some(keys) = &mut self.keys {
            keys.schedule.on_read_ended();
        }
        match msg.config {
            Ok(config) => {
                self.apply_config(config, None);
                self.publish();
                self.publish_checked();
                self.confirm_keys(msg.read_at);
            }
            Err(error) => log::debug!(error:% = error; "proof_unread"),
        }
        self.set_timer();
    }
}

impl ViewSync {
    /// Whether the configuration has teams, and their keys need a proof.
    fn has_proven_keys(&self) -> bool {
        self.keys.is_some() && !self.source.view().state.teams.is_empty()
    }

    /// Records that the configuration in force was current at `read_at`, as a read showed.
    pub(super) fn confirm_keys(&mut self, read_at: Moment) {
        if let Some(keys) = &mut self.keys {
            keys.schedule.lease.confirm(read_at);
            self.publish_keys();
        }
    }

    /// Adopts the proof in the reply to a question that was sent at `asked`.
    pub(super) fn adopt_proof(&mut self, proof: &peer::ConfigProof, asked: Moment) {
        let proof = ConfigProof {
            version: proof.version,
            age: Span(proof.age),
        };
        if let Some(keys) = &mut self.keys {
            keys.schedule.lease.adopt(proof, asked);
            self.publish_keys();
        }
    }

    /// Publishes the lease, after the view that it is about.
    pub(super) fn publish_keys(&mut self) {
        let version = self.source.config_version();
        let has_teams = self.has_proven_keys();
        let now = self.board.clock.now();
        if let Some(keys) = &mut self.keys {
            keys.schedule.lease.set_version(version);
            self.board.keys.send_replace(Some(keys.schedule.lease));
            if has_teams {
                keys.schedule.start(now);
            }
            self.log_keys(now);
        }
    }

    /// Logs when keys become unproven, and proven again.
    fn log_keys(&mut self, now: Moment) {
        let has_teams = self.has_proven_keys();
        let Some(keys) = &mut self.keys else { return };
        let is_valid = keys.schedule.lease.is_valid(now);
        let was_valid = std::mem::replace(&mut keys.served, is_valid);
        let age_ms = keys.schedule.lease.age(now).as_millis();
        match (was_valid, is_valid) {
            (true, false) if has_teams => log::warn!(age_ms; "keys_unproven"),
            (false, true) if has_teams => log::info!(age_ms; "keys_proven"),
            _ => {}
        }
    }

    /// Asks peers or reads the configuration if the proof is old, and logs if it has become too old.
    pub(super) fn check_keys(&mut self, now: Moment) {
        self.log_keys(now);
        if !self.has_proven_keys() {
            return;
        }
        let Some(keys) = &mut self.keys else { return };
        let due = keys.schedule.check(now);
        if let Some(attempt) = due.question {
            let questions = self.gossip.ask_reader(attempt, now);
            self.execute(questions);
        }
        if due.reads {
            self.read_proof(now);
        }
    }

    /// Time of the next [`check_keys`](Self::check_keys).
    pub(super) fn next_key_check(&self) -> Option<Moment> {
        let keys = self.keys.as_ref().filter(|_| self.has_proven_keys())?;
        let expiry = keys.served.then(|| keys.schedule.lease.until());
        let check = keys.schedule.next_check();
        Some(expiry.map_or(check, |expiry| expiry.min(check)))
    }

    /// Starts a read of what has changed in the configuration. A history of notes is read as a whole anyway.
    fn read_proof(&mut self, now: Moment) {
        let Source::Registry {
            registry, progress, ..
        } = &self.source
        else {
            if let Some(keys) = &mut self.keys {
                keys.schedule.on_read_ended();
            }
            self.read_notes();
            return;
        };
        self.metrics.record_control_message("prove");
        let (registry, actor) = (Arc::clone(registry), self.actor.clone());
        let known = progress.known_config(now);
        let read_at = proven_at(known.is_some(), now);
        tokio::spawn(async move {
            let config = registry.config(known).await;
            tell(actor, ProofRead { read_at, config }).await;
        });
    }
}

/// The moment at which a read that is sent at `sent_at` proves the configuration current. A read of the changes may
/// miss those of the last moments before it.
pub(super) fn proven_at(is_watch: bool, sent_at: Moment) -> Moment {
    match is_watch {
        true => sent_at - MAX_SILENCE,
        false => sent_at,
    }
}
