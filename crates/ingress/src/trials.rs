//! Trials of requests that are suspected of ending backend servers.

use attempt::{RequestIdentity, ServerRequest};
use board::Board;
use fleet::{Evidence, Verdict};

use super::services::Trial;

/// The trial of a request that isn't clear.
pub(super) fn find_trial(board: &Board, request: &ServerRequest) -> Option<Trial> {
    let identity = RequestIdentity::new(request);
    match identity.verdict(board, board.clock.now()) {
        Verdict::Clear => None,
        Verdict::Suspect | Verdict::Held(_) | Verdict::Blocked => {
            Some(prepare_trial(board, &identity))
        }
    }
}

pub(super) fn prepare_trial(board: &Board, identity: &RequestIdentity) -> Trial {
    let request = identity.fingerprint();
    let quarantine = board.quarantine.borrow();
    let evidence = quarantine.evidence(request);
    let ends = evidence.into_iter().flat_map(Evidence::uncleared);
    Trial {
        request,
        ended: ends.map(|end| end.server.clone()).collect(),
    }
}
