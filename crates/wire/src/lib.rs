//! Messages between nodes, and their conversion to and from the shared types.
//!
//! The code under `generated/` is written by `tools/wiregen` from `proto/peer.proto` and committed,
//! so that a build needs no generator.

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/amaranthyoke.peer.v1.rs"]
pub mod peer;

use types::{AttemptId, Boot, Seq, SessionId};

impl From<AttemptId> for peer::Attempt {
    fn from(id: AttemptId) -> Self {
        Self {
            boot: id.boot.0,
            session: id.session.0,
            seq: id.seq.0,
        }
    }
}

impl From<peer::Attempt> for AttemptId {
    fn from(id: peer::Attempt) -> Self {
        Self {
            boot: Boot(id.boot),
            session: SessionId(id.session),
            seq: Seq(id.seq),
        }
    }
}
