//! Allowances of teams over all nodes: credit that an owner grants to the ingresses.
//!
//! Each team has one owner, the first node in the rendezvous order of its name ([`owners`]). The [`Owner`]
//! keeps a token bucket for each of its teams. An ingress draws tokens from it and keeps them in its
//! [`Purse`] until they expire. [`Reach`] tells an owner which share of the fleet it may grant for, and a
//! successor when it has to replace an owner.
//!
//! # The bound
//!
//! With a rate r and a burst b, in any window of five seconds at most 1.25 (5 r + b) + 20 requests of a
//! team may run. One owner grants at most `GAIN` r t + `cap`(b) tokens in a time t, and a token is used within
//! [`GRANT_TERM`], so that at most 5.51 r + 1.1 b + 8 run. What remains, 0.74 r, pays for the time in which
//! two nodes take themselves for the owner: 0.7 s.
//!
//! The state machines do no I/O and read no clock.

mod owner;
mod purse;
mod reach;

use std::{cmp::Reverse, net::SocketAddr};

use types::{Rate, Revision, Span, TeamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use owner::{Drawn, Owner, TeamUse};
pub use purse::{Purse, Question, Take};
pub use reach::{Member, Probe, Reach, Stand};

/// Time after a question at which the tokens granted for it expire.
pub const GRANT_TERM: Span = Span::from_millis(400);
/// Time without an answer after which a successor replaces an owner. By then the owner has reduced its
/// rate, if it still runs.
pub const TAKEOVER: Span = Span::from_millis(1_200);
/// Time after which nothing that another owner has granted counts in a window of five seconds any more.
pub(crate) const SETTLED: Span = Span::from_millis(6_000);
/// How much faster than its rate a team's bucket fills, as some tokens expire unused.
pub(crate) const GAIN: f64 = 1.02;

/// How many requests of a team may run, by one revision of the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Requests per second.
    pub rate: Rate,
    /// Requests beyond the rate after a pause.
    pub burst: u32,
    /// Revision of the view that has these terms.
    pub revision: Revision,
}

impl Terms {
    /// Most tokens in the bucket of a team. More than the burst, as some tokens expire unused.
    pub(crate) fn cap(&self) -> f64 {
        f64::from(self.burst) * 1.1 + 8.0
    }
}

/// Returns the members in the order in which they are the owner of a team: the first one is, and each other one
/// replaces those before it.
pub fn owners(team: &TeamId, members: &[Member]) -> Vec<Member> {
    let seed = xxh3_64_with_seed(team.as_str().as_bytes(), 0);
    let mut order = members.to_vec();
    order.sort_by_cached_key(|m| Reverse((weight(m.node, seed), m.node)));
    order
}

/// Returns the first member in the order of [`owners`].
pub(crate) fn first_owner(team: &TeamId, members: &[Member]) -> Option<SocketAddr> {
    let seed = xxh3_64_with_seed(team.as_str().as_bytes(), 0);
    let nodes = members.iter().map(|m| m.node);
    nodes.max_by_key(|node| (weight(*node, seed), *node))
}

fn weight(node: SocketAddr, seed: u64) -> u64 {
    let seed = seed ^ u64::from(node.port());
    match node {
        SocketAddr::V4(v4) => xxh3_64_with_seed(&v4.ip().octets(), seed),
        SocketAddr::V6(v6) => xxh3_64_with_seed(&v6.ip().octets(), seed),
    }
}

/// Returns whom an ingress asks about a team, in turn: the owner, its successor, and the first member of each
/// availability zone, one of which a zone that is cut off still reaches.
pub fn candidates(order: &[Member]) -> Vec<Member> {
    let mut asked: Vec<Member> = Vec::new();
    for (rank, member) in order.iter().enumerate() {
        if rank < 2 || asked.iter().all(|m| m.zone != member.zone) {
            asked.push(member.clone());
        }
    }
    asked
}
