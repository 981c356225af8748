//! Calls whose requests are suspected of ending the backend servers that run them.

use std::sync::Arc;

use call::CallOutcome;
use fleet::Verdict;
use tokio::time::sleep;
use types::{Refusal, Span};

use super::{Ingress, driver, routing::RoutedCall};
use crate::fingerprint::RequestIdentity;

/// Time between two checks whether the trial of an equal request has ended.
const TRIAL_POLL_INTERVAL: Span = Span::from_millis(25);

/// Retry time of a request that is blocked until an operator clears it.
const BLOCKED_RETRY_AFTER: Span = Span::from_millis(30_000);

/// Runs a call to its end. A suspect request waits while an equal one is on trial.
pub(super) async fn run_call(ingress: &Arc<Ingress>, routed: RoutedCall) -> CallOutcome {
    let identity = RequestIdentity::new(&routed.request);
    loop {
        let now = ingress.board.clock.now();
        let trial = match identity.verdict(&ingress.board, now) {
            Verdict::Clear => return driver::run_attempts(ingress, routed, None).await,
            Verdict::Held(until) => {
                return hold_back(&routed, &identity, until.since(now));
            }
            Verdict::Blocked => return hold_back(&routed, &identity, BLOCKED_RETRY_AFTER),
            Verdict::Suspect => Some(identity.fingerprint()),
        };
        let outcome = driver::run_attempts(ingress, routed.clone(), trial).await;
        let is_refused = matches!(
            outcome,
            CallOutcome::NotRun {
                refusal: Refusal::Quarantined,
                ..
            }
        );
        if !is_refused || now + TRIAL_POLL_INTERVAL >= routed.objective {
            return outcome;
        }
        sleep(TRIAL_POLL_INTERVAL.duration()).await;
    }
}

/// Rejects a call whose request is held back, since backend servers have ended under it.
fn hold_back(routed: &RoutedCall, identity: &RequestIdentity, left: Span) -> CallOutcome {
    log::info!(
        call:% = routed.request.call, service:% = routed.service,
        request:% = identity.fingerprint(), left_ms = left.as_millis();
        "request_held_back"
    );
    CallOutcome::NotRun {
        refusal: Refusal::Quarantined,
        retry_after: left,
    }
}
