//! What nodes tell each other about backend servers and requests along with comparisons of views.

use board::Board;
use fleet::{Evidence, ServerEnd};
use types::{Boot, Fingerprint, Moment, ServerId, Span};
use wire::peer::{self, LeavingServer, SuspectRequest, View};

/// Maximum numbers of leaving backend servers and of suspect requests that a message names: the latest
/// ones.
const MAX_LEAVING: usize = 128;
const MAX_SUSPECTS: usize = 32;

/// The backend servers in the view that have said that they are leaving.
pub(crate) fn leaving_servers(board: &Board) -> Vec<LeavingServer> {
    let view = board.view();
    let leaving = board.leaving.borrow();
    let listed = leaving
        .latest()
        .into_iter()
        .filter(|(id, incarnation)| view.state.incarnation_of(id) == Some(*incarnation));
    let message = |(id, incarnation): (&ServerId, Boot)| LeavingServer {
        server: id.to_string(),
        incarnation: incarnation.0,
    };
    listed.take(MAX_LEAVING).map(message).collect()
}

/// The requests under which backend servers have ended.
pub(crate) fn suspect_requests(board: &Board) -> Vec<SuspectRequest> {
    let now = board.clock.now();
    let quarantine = board.quarantine.borrow();
    let latest = quarantine.latest().into_iter().take(MAX_SUSPECTS);
    latest
        .map(|(request, evidence)| SuspectRequest {
            fingerprint: request.0.to_be_bytes().to_vec().into(),
            ends: evidence.ends.iter().map(|end| to_end(end, now)).collect(),
            answer_age: (evidence.answered_at > Moment(0))
                .then(|| now.since(evidence.answered_at).0),
        })
        .collect()
}

fn to_end(end: &ServerEnd, now: Moment) -> peer::ServerEnd {
    peer::ServerEnd {
        id: end.id,
        age: now.since(end.at).0,
        trial: end.trial,
    }
}

/// Records what a peer knows.
pub(crate) fn merge_evidence(board: &Board, view: &View) {
    for message in view.leaving.iter().take(MAX_LEAVING) {
        let Ok(server) = message.server.parse() else {
            continue;
        };
        if board.mark_leaving(&server, Boot(message.incarnation)) {
            log::info!(server:% = server, source = "peer"; "server_leaving");
        }
    }
    for message in view.suspects.iter().take(MAX_SUSPECTS) {
        merge_suspect(board, message);
    }
}

fn merge_suspect(board: &Board, message: &SuspectRequest) {
    let Ok(bytes) = message.fingerprint.as_ref().try_into() else {
        return;
    };
    let request = Fingerprint(u128::from_be_bytes(bytes));
    let now = board.clock.now();
    let at = |age: u64| now - Span(age);
    let evidence = Evidence {
        ends: message
            .ends
            .iter()
            .map(|end| ServerEnd {
                id: end.id,
                at: at(end.age),
                trial: end.trial,
            })
            .collect(),
        answered_at: message.answer_age.map_or(Moment(0), at),
    };
    let merge = |quarantine: &mut fleet::Quarantine| quarantine.merge(request, &evidence, now);
    if board.quarantine.send_if_modified(merge) {
        log::info!(request:% = request, source = "peer"; "suspect_changed");
    }
}
