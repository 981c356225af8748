//! What the tests of several components start from.

use std::sync::Arc;

use board::{Board, Identity};
use types::Boot;

/// The board of a starting node.
pub(crate) fn board() -> Arc<Board> {
    Board::new(Identity {
        host: "host".parse().expect("a valid id"),
        zone: "zone".parse().expect("a valid id"),
        node: "127.0.0.1:1".parse().expect("a valid address"),
        boot: Boot(2),
    })
}
