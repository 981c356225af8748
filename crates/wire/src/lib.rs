//! Protocol Buffers messages between nodes, and conversions to and from crate `types`.
//!
//! `tools/wiregen` generates the code under `generated/` from `proto/peer.proto`. The code is
//! committed, so that a build needs no code generator.

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
