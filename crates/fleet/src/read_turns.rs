//! Selection of the node that reads the platform in each turn.
//!
//! Time is divided into turns whose length follows from the read budget. Each turn has one reader,
//! which every node computes by rendezvous hashing: the member with the highest hash of its address
//! and the turn number. Reads are evenly spaced at any fleet size, which bounds the age of the
//! fleet's view. With random read times there would be gaps of several seconds at times.
//!
//! When a member joins or leaves, only the turns of that member move, so nodes whose member lists
//! differ temporarily disagree on few turns.
//!
//! Turns require a clock that all nodes share. Nodes include their clock in messages and adopt the
//! most advanced one, which lags by the transit time of the message. The clocks advance at the same
//! rate and are never set back, so they agree after a few comparisons. A delayed message carries an
//! earlier time and can't set a clock forward.

use std::net::SocketAddr;

use types::{Moment, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of turns to search for the node's next one. Each turn costs one hash per member.
const LOOKAHEAD_TURNS: u64 = 64;

/// Latest time that the fleet's clock can show: 285 years after a host booted.
const MAX_CLOCK: Moment = Moment(1 << 53);

/// The next event in a node's schedule of reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextRead {
    /// The node's turn starts.
    Turn(Moment),
    /// The node has no turn until then. It reads if no peer answers or its last read failed.
    Fallback(Moment),
    /// The node has no turn until then and computes its schedule again.
    Replan(Moment),
}

impl NextRead {
    /// Time of the event.
    pub(crate) fn at(self) -> Moment {
        match self {
            Self::Turn(at) | Self::Fallback(at) | Self::Replan(at) => at,
        }
    }
}

/// The fleet's shared clock, as known to one node.
#[derive(Debug, Default)]
pub(crate) struct FleetClock {
    /// Offset of the fleet's clock from the node's own clock, never negative.
    offset: Span,
}

impl FleetClock {
    /// Returns the fleet's time at `now` of the node's own clock.
    pub(crate) fn time(&self, now: Moment) -> Moment {
        now + self.offset
    }

    /// Adopts the fleet's time of a peer if it is ahead, and returns whether it was. A time that no
    /// correct node sends is ignored, as the clock is never set back.
    pub(crate) fn merge(&mut self, theirs: Moment, now: Moment) -> bool {
        if theirs > MAX_CLOCK {
            return false;
        }
        let offset = theirs.since(now);
        let moved = offset > self.offset;
        self.offset = self.offset.max(offset);
        moved
    }

    /// Returns the member that had the turn so many turns before the present one.
    pub(crate) fn earlier_reader(
        &self,
        members: impl Iterator<Item = SocketAddr>,
        length: Span,
        turns_ago: u64,
        now: Moment,
    ) -> Option<SocketAddr> {
        let turn = (self.time(now).0 / length.0).checked_sub(turns_ago)?;
        members.max_by_key(|m| (weight(*m, turn), *m))
    }

    /// Returns the node's next turn after `now`, for turns of the given length.
    pub(crate) fn next_turn(
        &self,
        own: SocketAddr,
        members: &[SocketAddr],
        length: Span,
        now: Moment,
    ) -> NextRead {
        let first = self.time(now).0 / length.0 + 1;
        let start = |number: u64| Moment(number * length.0) - self.offset;
        let last = first + LOOKAHEAD_TURNS;
        match (first..last).find(|number| is_reader(own, members, *number)) {
            Some(number) => NextRead::Turn(start(number)),
            None => NextRead::Replan(start(last - 1)),
        }
    }
}

fn is_reader(own: SocketAddr, members: &[SocketAddr], turn: u64) -> bool {
    let own_weight = (weight(own, turn), own);
    members.iter().all(|m| own_weight >= (weight(*m, turn), *m))
}

fn weight(member: SocketAddr, turn: u64) -> u64 {
    let seed = turn ^ u64::from(member.port());
    match member {
        SocketAddr::V4(v4) => xxh3_64_with_seed(&v4.ip().octets(), seed),
        SocketAddr::V6(v6) => xxh3_64_with_seed(&v6.ip().octets(), seed),
    }
}
