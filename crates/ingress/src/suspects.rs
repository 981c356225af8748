//! Calls whose requests are suspected of ending the backend servers that run them.

use std::sync::Arc;

use attempt::RequestIdentity;
use call::CallOutcome;
use fleet::Verdict;
use tokio::time::sleep;
use types::{Refusal, Span};

use super::{
    Ingress,
    driver::{self, CallEnd},
    routing::RoutedCall,
    trials::prepare_trial,
};

/// Time between two checks whether the trial of an equal request has ended.
const TRIAL_POLL_INTERVAL: Span = Span::from_millis(25);

/// Retry time of a request that is blocked until an operator clears it.
const BLOCKED_RETRY_AFTER: Span = Span::from_millis(30_000);

/// Runs a call to its end. A suspect request waits while an equal one is on trial.
pub(super) async fn run_call(ingress: &Arc<Ingress>, mut routed: Arc<RoutedCall>) -> CallEnd {
    let identity = RequestIdentity::new(&routed.request);
    loop {
        let now = ingress.board.clock.now();
        let trial = match identity.verdict(&ingress.board, now) {
            Verdict::Clear => None,
            Verdict::Suspect => Some(prepare_trial(&ingress.board, &identity)),
            Verdict::Held(until) => {
                return hold_back(ingress, &routed, &identity, until.since(now));
            }
            Verdict::Blocked => return hold_back(ingress, &routed, &identity, BLOCKED_RETRY_AFTER),
        };
        if let Some(trial) = &trial {
            Arc::make_mut(&mut routed).move_to_trial(trial.request);
        }
        let end = driver::run_attempts(ingress, Arc::clone(&routed), trial).await;
        let is_refused = matches!(
            end.outcome,
            CallOutcome::NotRun {
                refusal: Refusal::Quarantined,
                ..
            }
        );
        let now = ingress.board.clock.now();
        if !is_refused || now + TRIAL_POLL_INTERVAL >= routed.objective {
            return end;
        }
        sleep(TRIAL_POLL_INTERVAL.duration()).await;
    }
}

/// Rejects a call whose request is held back, since backend servers have ended under it.
fn hold_back(
    ingress: &Ingress,
    routed: &RoutedCall,
    identity: &RequestIdentity,
    left: Span,
) -> CallEnd {
    ingress.metrics.record_suspects("held", 1);
    log::info!(
        call:% = routed.request.call, service:% = routed.service,
        request:% = identity.fingerprint(), left_ms = left.as_millis();
        "request_held_back"
    );
    let outcome = CallOutcome::NotRun {
        refusal: Refusal::Quarantined,
        retry_after: left,
    };
    CallEnd {
        outcome,
        refused_at: None,
        delivered: false,
    }
}
