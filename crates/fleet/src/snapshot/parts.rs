//! What nodes exchange of their snapshots, and what they report of them.

use note::{Digest, Listing, OperatorConfig};
use serde::{Deserialize, Serialize};
use types::{Era, Revision, Span, Stamp, ZoneId};

/// The parts of a snapshot that a peer lacks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    /// Revision of the sender's view.
    pub revision: Revision,
    /// The backend servers, unless the peer has the same ones.
    pub listing: Option<Listing>,
    /// The operators' configuration, unless the peer has the same one. It may be large.
    #[serde(rename = "orders")]
    pub config: Option<OperatorConfig>,
    /// Availability zones that the sender keeps out of service after a change of era.
    #[serde(default)]
    pub held: Option<HeldZones>,
}

/// Availability zones that were out of service before a change of era.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldZones {
    /// The new era.
    pub era: Era,
    /// The zones.
    pub zones: Vec<ZoneId>,
    /// Time for which they are still kept out of service.
    pub left: Span,
}

/// Digests of both parts, without the values that change with each heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digests {
    /// Digest of the backend servers.
    pub listing: Digest,
    /// Digest of the operators' configuration, with the zones kept out of service, and of those among them that
    /// the registry doesn't name.
    pub config: Digest,
}

/// A change of era: the registry came back from an older copy of its contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraChange {
    /// Stamp of the last listing of the old era.
    pub before: Stamp,
    /// Stamp of the first listing of the new era.
    pub after: Stamp,
    /// Number of backend servers that the copy lacks and that are retained.
    pub retained: usize,
    /// Number of backend servers in the copy that weren't known.
    pub added: usize,
}
