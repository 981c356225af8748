//! What nodes tell each other about backend servers and requests along with comparisons of views.

use board::Board;
use fleet::{Evidence, ServerEnd};
use types::{Boot, Fingerprint, Moment, ServerId, Span};
use wire::peer::{self, LeavingServer, SuspectRequest, View};

/// Maximum number of leaving backend servers that a message names: the latest ones.
const MAX_LEAVING: usize = 128;
/// Time for which changed evidence is told to each peer.
const RECENT_TIME: Span = Span::from_millis(2_000);
/// Maximum number of suspect requests with changed evidence that a message names.
const MAX_CHANGED: usize = 64;
/// Number of other suspect requests that a message names if the evidence differs.
const PAGE_SUSPECTS: usize = 64;
/// Maximum number of suspect requests that are read from a message.
const MAX_SUSPECTS: usize = 4_096;

/// The backend servers in the view that have said that they are leaving.
pub fn leaving_servers(board: &Board) -> Vec<LeavingServer> {
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

/// The requests under which backend servers have ended, for a peer that has sent nothing: those whose
/// evidence has just changed.
pub(crate) fn changed_suspects(board: &Board) -> Vec<SuspectRequest> {
    let now = board.clock.now();
    let quarantine = board.quarantine.borrow();
    let changed = quarantine.changed_since(now - RECENT_TIME);
    to_messages(changed.into_iter().take(MAX_CHANGED), now)
}

/// The same for a peer that has sent its view. It gets others as well if its evidence differs, and all if it
/// joins, since it must know them before it takes requests.
pub fn suspects_for(board: &Board, peer: &View) -> Vec<SuspectRequest> {
    let now = board.clock.now();
    let quarantine = board.quarantine.borrow();
    match peer.suspects_digest == quarantine.digest() {
        true => Vec::new(),
        false if !peer.ready => to_messages(quarantine.latest().into_iter(), now),
        false => {
            let changed = quarantine.changed_since(now - RECENT_TIME);
            let page = quarantine.page(Fingerprint(rand::random()), PAGE_SUSPECTS);
            to_messages(changed.into_iter().take(MAX_CHANGED).chain(page), now)
        }
    }
}

fn to_messages<'a>(
    suspects: impl Iterator<Item = (Fingerprint, &'a Evidence)>,
    now: Moment,
) -> Vec<SuspectRequest> {
    let message = |(request, evidence): (Fingerprint, &Evidence)| SuspectRequest {
        fingerprint: request.0.to_be_bytes().to_vec().into(),
        ends: evidence.ends.iter().map(|end| to_end(end, now)).collect(),
    };
    suspects.map(message).collect()
}

fn to_end(end: &ServerEnd, now: Moment) -> peer::ServerEnd {
    peer::ServerEnd {
        id: end.id,
        age: now.since(end.at).0,
        trial: end.trial,
        server: end.server.to_string(),
        cleared: end.cleared,
    }
}

/// Records what a peer knows.
pub fn merge_evidence(board: &Board, view: &View) {
    for message in view.leaving.iter().take(MAX_LEAVING) {
        let Ok(server) = message.server.parse() else {
            continue;
        };
        if board.mark_leaving(&server, Boot(message.incarnation)) {
            log::info!(server:% = server, source = "peer"; "server_leaving");
        }
    }
    let now = board.clock.now();
    let suspects: Vec<_> = view
        .suspects
        .iter()
        .take(MAX_SUSPECTS)
        .filter_map(|message| from_message(message, now))
        .collect();
    if suspects.is_empty() {
        return;
    }
    board.quarantine.send_if_modified(|quarantine| {
        let mut changed = false;
        for (request, evidence) in &suspects {
            if quarantine.merge(*request, evidence, now) {
                let verdict = quarantine.verdict(*request, now).name();
                log::info!(request:% = request, verdict, source = "peer"; "suspect_changed");
                changed = true;
            }
        }
        changed
    });
}

/// Reads what a peer knows about a request, `None` if it isn't well-formed.
fn from_message(message: &SuspectRequest, now: Moment) -> Option<(Fingerprint, Evidence)> {
    let bytes = message.fingerprint.as_ref().try_into().ok()?;
    let end = |end: &peer::ServerEnd| {
        Some(ServerEnd {
            id: end.id,
            server: end.server.parse().ok()?,
            at: now - Span(end.age),
            trial: end.trial,
            cleared: end.cleared,
        })
    };
    let ends = message.ends.iter().filter_map(end).collect();
    Some((Fingerprint(u128::from_be_bytes(bytes)), Evidence { ends }))
}
