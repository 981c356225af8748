//! What nodes tell each other of suspects.

use std::sync::Arc;

use board::Board;
use fixtures::board;
use fleet::ServerEnd;
use types::{Fingerprint, Moment};
use wire::peer::View;

use super::super::evidence::{changed_suspects, merge_evidence, suspects_for};

/// A board with evidence about this number of requests.
fn board_with_suspects(count: u64) -> Arc<Board> {
    let board = board();
    board.quarantine.send_modify(|quarantine| {
        for id in 0..count {
            let end = ServerEnd {
                id,
                server: "server".parse().expect("a valid id"),
                at: Moment(1),
                trial: false,
                cleared: false,
            };
            // Spread over the whole range, as hashes are.
            let request = Fingerprint(u128::MAX / u128::from(count) * u128::from(id));
            quarantine.record_end(request, end);
        }
    });
    board
}

/// A node compares its evidence with that of another one, which replies.
fn compare(from: &Board, to: &Board, ready: bool) -> usize {
    let request = View {
        ready,
        suspects: changed_suspects(from),
        suspects_digest: from.quarantine.borrow().digest(),
        ..View::default()
    };
    merge_evidence(to, &request);
    let reply = View {
        suspects: suspects_for(to, &request),
        ..View::default()
    };
    merge_evidence(from, &reply);
    reply.suspects.len()
}

#[test]
fn a_node_that_joins_hears_of_all_suspects_at_once() {
    let (joining, known) = (board(), board_with_suspects(300));
    assert_eq!(compare(&joining, &known, false), 300);
    let digest = |board: &Board| board.quarantine.borrow().digest();
    assert_eq!(digest(&joining), digest(&known));
}

#[test]
fn nodes_tell_each_other_of_suspects_until_they_know_the_same() {
    let (first, second) = (board(), board_with_suspects(300));
    let mut told = 0;
    while compare(&first, &second, true) > 0 {
        told += 1;
        assert!(told < 1_000, "they still differ");
    }
    assert!(told > 1, "a message doesn't name them all");
    let known = first.quarantine.borrow().latest().len();
    assert_eq!(known, 300);
}
