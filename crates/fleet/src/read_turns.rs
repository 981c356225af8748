//! Whose turn it is to read the platform.
//!
//! Time is cut into turns of the length that the read budget leaves, and each turn has one reader: the
//! member whose address and the turn's number have the highest hash together. Every node works that
//! out for itself. Reads are then evenly spaced whatever the size of the fleet, which bounds the age
//! of the fleet's view; readers that draw their moments at random leave gaps of several seconds now
//! and then.
//!
//! A member more or less moves only the turns that it takes or leaves, so nodes whose lists of members
//! differ for a moment disagree on a few turns only.
//!
//! Turns need a clock that all nodes share. It is the most advanced clock of the fleet: nodes name
//! theirs to each other and keep the furthest, less the time of the message. Clocks that only run
//! forward at the same rate agree after a few comparisons, and a late message can't set one forward.

use std::net::SocketAddr;

use types::{Moment, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Turns that are looked ahead for the own next one. Each costs a hash per member.
const LOOKAHEAD: u64 = 64;

/// What a node plans next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// Its turn begins then.
    Read(Moment),
    /// It has no turn until then, but reads if no peer answers it.
    Lone(Moment),
    /// It has no turn until then.
    Plan(Moment),
}

impl Next {
    /// The moment.
    pub(crate) fn at(self) -> Moment {
        match self {
            Self::Read(at) | Self::Lone(at) | Self::Plan(at) => at,
        }
    }
}

/// The fleet's clock as one node knows it.
#[derive(Debug, Default)]
pub(crate) struct FleetClock {
    /// How far it is ahead of the own clock.
    ahead: Span,
}

impl FleetClock {
    /// The fleet's time when the own clock shows `now`.
    pub(crate) fn time(&self, now: Moment) -> Moment {
        now + self.ahead
    }

    /// A peer named its time. Tells whether the own one moved.
    pub(crate) fn heard(&mut self, theirs: Moment, now: Moment) -> bool {
        let ahead = theirs.since(now);
        let moved = ahead > self.ahead;
        self.ahead = self.ahead.max(ahead);
        moved
    }

    /// The node's next turn after `now`, where turns take `turn`.
    pub(crate) fn next(
        &self,
        own: SocketAddr,
        members: &[SocketAddr],
        turn: Span,
        now: Moment,
    ) -> Next {
        let first = self.time(now).0 / turn.0 + 1;
        let begin = |number: u64| Moment(number * turn.0) - self.ahead;
        let last = first + LOOKAHEAD;
        match (first..last).find(|number| is_reader(own, members, *number)) {
            Some(number) => Next::Read(begin(number)),
            None => Next::Plan(begin(last - 1)),
        }
    }
}

fn is_reader(own: SocketAddr, members: &[SocketAddr], turn: u64) -> bool {
    let mine = (weight(own, turn), own);
    members.iter().all(|m| mine >= (weight(*m, turn), *m))
}

fn weight(member: SocketAddr, turn: u64) -> u64 {
    let seed = turn ^ u64::from(member.port());
    match member {
        SocketAddr::V4(v4) => xxh3_64_with_seed(&v4.ip().octets(), seed),
        SocketAddr::V6(v6) => xxh3_64_with_seed(&v6.ip().octets(), seed),
    }
}
