//! What the gate actor learns of its backend server from responses, probes and broken connections.

use backend::ProbeError;
use dialect::{ResponseMetadata, ServerLoad};
use gate::{Completion, LimitSource, LimitState};
use types::{AttemptId, Moment, NamedLimit, Rate, ServerId, Span};

use super::{GateActor, ProbeFinished, apply_board};

impl GateActor {
    pub(super) fn probe_finished(&mut self, probe: ProbeFinished) {
        let ProbeFinished {
            server,
            sent_at,
            result,
        } = probe;
        let now = self.board.clock.now();
        let boot = result.as_ref().ok().and_then(|m| m.boot);
        let mut is_new = self.gate.probed(boot, now);
        if let Ok(ResponseMetadata {
            server: Some(named),
            ..
        }) = &result
        {
            is_new |= *named != server;
        }
        match result {
            Ok(_) if !is_new => self.evidence.record_alive(sent_at),
            Ok(_) | Err(ProbeError::Refused) => self.server_ended(&server),
            Err(ProbeError::NoAnswer) => {
                let ends = self
                    .evidence
                    .record_silent(&server, sent_at, &self.board, now);
                self.metrics.record_suspects("end", ends);
            }
        }
        let metadata = result.ok();
        let named = metadata.as_ref().and_then(|m| m.server.as_ref());
        if let Some(named) = named
            && self.server_id() == Some(&server)
        {
            let was_replaced = self.gate.is_replaced(now);
            let actions = self.gate.observe_identity(*named == server, now);
            self.log_identity(was_replaced, Some(named));
            self.execute(actions);
        }
        if let Some(metadata) = &metadata
            && self.server_id() == Some(&server)
            && named.is_none_or(|named| *named == server)
        {
            self.observe_limit(metadata.limit, LimitSource::Probe, sent_at);
            if metadata.leaving {
                self.observe_leaving(LimitSource::Probe, sent_at);
            }
        }
        let was_cold = self.gate.is_cold(now);
        self.observe_load(metadata.as_ref().and_then(|m| m.load), now);
        let warmup_left = metadata.as_ref().map(|m| m.warmup_left.unwrap_or_default());
        let actions = match warmup_left {
            Some(left) => self.gate.observe_cold(left, sent_at, now),
            None => Vec::new(),
        };
        if self.gate.is_cold(now) != was_cold {
            let server = self.server_id().map(ToString::to_string);
            let left_ms = warmup_left.map(Span::as_millis);
            log::info!(
                server, cold = !was_cold, left_ms, asked_us = now.since(sent_at).0;
                "warmth_changed"
            );
        }
        self.execute(actions);
    }

    /// Records what the end of a request says about requests under which the backend server ends.
    pub(super) fn record_evidence(
        &mut self,
        id: AttemptId,
        completion: &Completion,
        refused: bool,
    ) {
        let now = self.board.clock.now();
        match completion {
            Completion::Incomplete => {
                self.evidence.record_broken(id, now);
                self.gate.expedite_probe();
            }
            Completion::Cancelled | Completion::Expired => {
                if self.evidence.record_broken(id, now) {
                    self.gate.expedite_probe();
                }
            }
            Completion::Answered(_) => {
                if self.evidence.record_answer(id, &self.board, now) {
                    self.metrics.record_suspects("cleared", 1);
                }
            }
            _ => self.evidence.record_other(id),
        }
        if refused && let Some(server) = self.server_id().cloned() {
            self.server_ended(&server);
        }
    }

    /// Records that the backend server has ended, under the requests that broke a short time ago.
    pub(super) fn server_ended(&mut self, server: &ServerId) {
        let now = self.board.clock.now();
        let ends = self.evidence.record_ended(server, &self.board, now);
        self.metrics.record_suspects("end", ends);
    }

    /// Records what the response to a request says of the limit and the leaving of its backend server.
    pub(super) fn observe_statements(
        &mut self,
        completion: &Completion,
        metadata: &ResponseMetadata,
        started_at: Moment,
    ) {
        if let Some(limit) = named_limit(completion, metadata) {
            self.observe_limit(limit, LimitSource::Response, started_at);
        }
        if metadata.leaving && !matches!(completion, Completion::Misdirected) {
            self.observe_leaving(LimitSource::Response, started_at);
        }
    }

    /// Records the limit that a response named, to a request or a probe sent at `sent_at`.
    fn observe_limit(&mut self, named: NamedLimit, source: LimitSource, sent_at: Moment) {
        let now = self.board.clock.now();
        if named == NamedLimit::Malformed {
            self.metrics.record_malformed_limit();
            if !std::mem::replace(&mut self.malformed_logged, true) {
                let server = self.server_id().map(ToString::to_string);
                log::warn!(server; "server_limit_malformed");
            }
        }
        let before = self.gate.named_limit(now);
        let actions = self.gate.observe_limit(named, source, sent_at, now);
        self.log_limit(before);
        if !actions.is_empty() {
            self.execute(actions);
        }
    }

    /// Records that the backend server said that it is leaving, in response to a request or a probe
    /// sent at `sent_at`. It gets no new requests from now on.
    fn observe_leaving(&mut self, source: LimitSource, sent_at: Moment) {
        let Some(server) = self.server_id().cloned() else {
            return;
        };
        if self.gate.was_replaced_since(sent_at)
            || !self.board.mark_leaving(&server, self.incarnation())
        {
            return;
        }
        log::info!(server:% = server, source = source.name(); "server_leaving");
        let actions = apply_board(&self.board, &mut self.gate, Some(&server));
        self.execute(actions);
    }

    /// Logs a change of the limit from what it was `before`.
    pub(super) fn log_limit(&self, before: Option<LimitState>) {
        let now = self.board.clock.now();
        let after = self.gate.named_limit(now);
        let rate = |limit: Option<LimitState>| limit.map(|limit| limit.rate);
        if rate(before) == rate(after) {
            return;
        }
        let server = self.server_id().map(ToString::to_string);
        let per_s = rate(after).map(Rate::per_second);
        let before_per_s = rate(before).map(Rate::per_second);
        let source = after.map(|limit| limit.source.name());
        let age_ms = before.map(|limit| now.since(limit.since).as_millis());
        log::info!(
            server, per_s, source, before_per_s, before_age_ms = age_ms;
            "server_limit_changed"
        );
    }

    /// Records the load that the backend server states.
    pub(super) fn observe_load(&mut self, load: Option<ServerLoad>, now: Moment) {
        if let Some(load) = load {
            self.gate.observe_slowdown(load.slowdown_percent, now);
            let occupancy = load.running.saturating_add(load.queued);
            self.gate.observe_occupancy(occupancy, load.slots, now);
        }
    }

    /// Logs a change of the learned room from what it was `before`.
    pub(super) fn log_room(&self, before: Option<usize>) {
        let room = self.gate.learned_room();
        if room != before {
            let server = self.server_id().map(ToString::to_string);
            log::info!(server, room, before; "server_room_changed");
        }
    }

    /// Logs that the backend server at the address was found to be the listed one or another, unless
    /// the gate knew it.
    pub(super) fn log_identity(&self, was_replaced: bool, named: Option<&ServerId>) {
        let replaced = self.gate.is_replaced(self.board.clock.now());
        if replaced != was_replaced {
            let server = self.server_id().map(ToString::to_string);
            let named = named.map(ToString::to_string);
            log::warn!(server, replaced, named; "identity_changed");
        }
    }
}

/// The limit that the response to a request names, `None` if there was no response or another
/// backend server sent it.
fn named_limit(completion: &Completion, metadata: &ResponseMetadata) -> Option<NamedLimit> {
    match completion {
        Completion::Answered(_) | Completion::Shed => Some(metadata.limit),
        // Without a whole response, a missing header says nothing.
        Completion::Incomplete if metadata.limit != NamedLimit::Absent => Some(metadata.limit),
        _ => None,
    }
}
