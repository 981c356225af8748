//! Calls that aren't run since the view has changed on their way.
//!
//! A call is routed by the view that is in force when its head is complete. A newer one may drop its service or
//! move its servers before the call has started, at this node or at the gate that it is sent to. As it wasn't
//! run, it is then routed again, by the newer view. A gate may also be behind this node for a moment. Its first
//! request with the newer revision makes it catch up.

use std::sync::Arc;

use board::Phase;
use call::CallOutcome;
use dialect::Rejection;
use tokio::time::{sleep, timeout};
use types::{Revision, Span};

use super::{Ingress, driver::CallEnd, routing::RoutedCall, suspects};

/// Time until a call is sent again to gates that are behind this node: a few round trips between nodes, in which
/// they get the newer view.
const CATCH_UP_INTERVAL: Span = Span::from_millis(25);

/// Runs a call to its end.
pub(super) async fn run_call(
    ingress: &Arc<Ingress>,
    routed: RoutedCall,
) -> Result<CallOutcome, Rejection> {
    let mut routed = Arc::new(routed);
    loop {
        let end = suspects::run_call(ingress, Arc::clone(&routed)).await;
        match route_again(ingress, &routed, &end).await {
            Some(again) => routed = Arc::new(again?),
            None => return Ok(end.outcome),
        }
    }
}

/// Routes a call again, `None` if it has run or if no difference between views explains that it hasn't.
async fn route_again(
    ingress: &Ingress,
    routed: &RoutedCall,
    end: &CallEnd,
) -> Option<Result<RoutedCall, Rejection>> {
    // A request that reached a server counts against the attempts and the retry budget of its call.
    let is_free = !end.delivered && matches!(end.outcome, CallOutcome::NotRun { .. });
    if !is_free || ingress.board.phase() == Phase::Exiting {
        return None;
    }
    let refused_at = end.refused_at.unwrap_or(routed.view.revision);
    if refused_at != routed.view.revision {
        wait_for_view(ingress, routed, refused_at).await;
    }
    let now = ingress.board.clock.now();
    let is_changed = !Arc::ptr_eq(&ingress.board.view(), &routed.view);
    let is_behind = refused_at < routed.view.revision && now < routed.reroute_until();
    if now >= routed.deadline || !(is_changed || is_behind) {
        return None;
    }
    let again = routed.route_again(ingress);
    let is_same = again
        .as_ref()
        .is_ok_and(|call| call.may_use(&routed.service));
    if is_same && refused_at == routed.view.revision {
        return None;
    }
    log::info!(
        call:% = routed.request.call, service:% = routed.service, view:% = routed.view.revision,
        gate_view:% = refused_at;
        "call_rerouted"
    );
    Some(again)
}

/// Waits until this node has the view of a gate that is ahead, or for a moment if the gate is behind, at most
/// for the time that a call may spend on that.
async fn wait_for_view(ingress: &Ingress, routed: &RoutedCall, gate: Revision) {
    let left = routed.reroute_until().since(ingress.board.clock.now());
    if gate < routed.view.revision {
        return sleep(CATCH_UP_INTERVAL.min(left).duration()).await;
    }
    let mut view = ingress.board.view.subscribe();
    let is_reached = view.wait_for(|view| view.revision >= gate);
    let _ = timeout(left.duration(), is_reached).await;
}
