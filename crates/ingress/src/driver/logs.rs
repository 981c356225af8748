//! What a call's driver logs of each attempt.

use attempt::{Reply, outcome_name};
use call::AttemptIndex;
use peers::TransportError;
use route::ServerState;
use types::{Moment, ServerId, Span};

use super::CallDriver;

impl CallDriver {
    pub(super) fn log_sent(
        &self,
        attempt: AttemptIndex,
        server: &ServerId,
        fail_fast: bool,
        server_state: Option<&ServerState>,
    ) {
        let board = &self.ingress.board;
        let now = board.clock.now();
        let reported = server_state.filter(|s| s.reported_at > Moment(0));
        log::info!(
            call:% = self.routed.request.call, attempt, service:% = self.routed.service,
            server:% = server, choosy = fail_fast,
            local = server_state.map(|s| s.member.local),
            open = server_state.map(|s| s.open_attempts),
            load = reported.map(|s| s.report.load),
            pace = reported.map(|s| s.report.slowdown_percent),
            report_ms = reported.map(|s| now.since(s.reported_at).as_millis()),
            left_ms = self.routed.deadline.since(now).as_millis(),
            suspect = self.trial.as_ref().map(|trial| trial.request.to_string()),
            view:% = board.view.borrow().revision;
            "attempt_sent"
        );
    }

    pub(super) fn log_reply(&self, attempt: AttemptIndex, reply: &Reply, took: Span) {
        let load = reply.load;
        log::info!(
            call:% = self.routed.request.call, attempt, server:% = self.attempts[attempt].server,
            outcome = outcome_name(&reply.outcome), took_us = took.0, ran_us = reply.service_time.0,
            running = load.running, waiting = load.waiting, allowed = load.allowed,
            pace = load.slowdown_percent, view:% = reply.revision;
            "attempt_heard"
        );
    }

    pub(super) fn log_transport_error(&self, attempt: AttemptIndex, error: TransportError) {
        let server = &self.attempts[attempt].server;
        log::warn!(
            call:% = self.routed.request.call, attempt, server:% = server, fault = error.name();
            "attempt_unheard"
        );
    }
}
