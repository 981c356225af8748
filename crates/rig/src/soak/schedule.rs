//! What goes wrong, and when: a schedule that follows from a seed.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::server::ResponseMode;

/// Time before the first fault.
const QUIET: Duration = Duration::from_secs(2);
/// Mean time between two faults, or two series of them.
const MEAN_GAP_S: f64 = 1.0;
/// Part of the faults that come as a series on several hosts.
const SERIES: f64 = 0.25;
/// Time between two faults of a series.
const SERIES_GAP_S: f64 = 0.3;
/// Time that a node gets after one process fault until the next.
const REST: Duration = Duration::from_millis(500);

/// One kind of fault, with where it strikes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Kind {
    /// SIGKILL, and a start at the end.
    Kill(usize),
    /// SIGTERM, and a start at the end.
    Stop(usize),
    /// SIGSTOP, and SIGCONT at the end.
    Pause(usize),
    /// Nothing arrives at the node from its peers.
    Deaf(usize),
    /// Nothing arrives at the peers on connections that they made to the node.
    Mute(usize),
    /// The node takes no new connections from its peers.
    Shut(usize),
    /// The connections to the node that are open go silent for good.
    Silence(usize),
    /// Everything to and from the node takes longer, in milliseconds.
    Delay(usize, u64),
    /// The backend server starts anew.
    Restart(usize),
    /// The backend server takes many times as long.
    Slow(usize),
    /// The backend server's answers go wrong.
    Answer(usize, ResponseMode),
    /// The platform answers no read.
    PlatformDown,
    /// The platform answers few reads.
    PlatformBusy,
    /// Operators take the backend server out, and back at the end.
    Leave(usize),
    /// Operators take the availability zone out, and back at the end.
    ZoneOut(usize),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    pub(crate) at: Duration,
    pub(crate) until: Duration,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, until) = (self.at.as_secs_f64(), self.until.as_secs_f64());
        write!(f, "{at:.1} s to {until:.1} s {:?}", self.kind)
    }
}

impl Fault {
    /// The node whose process is concerned.
    pub(crate) fn process(&self) -> Option<usize> {
        match self.kind {
            Kind::Kill(at) | Kind::Stop(at) | Kind::Pause(at) => Some(at),
            _ => None,
        }
    }

    /// Whether it concerns what another fault concerns, so that they can't overlap.
    fn clashes(&self, other: &Self) -> bool {
        let same = match (self.kind, other.kind) {
            (Kind::Leave(_) | Kind::ZoneOut(_), Kind::Leave(_) | Kind::ZoneOut(_)) => true,
            (Kind::PlatformDown | Kind::PlatformBusy, Kind::PlatformDown | Kind::PlatformBusy) => {
                true
            }
            (a, b) if discriminant(a) == discriminant(b) => target(a) == target(b),
            _ => self.process().is_some() && self.process() == other.process(),
        };
        same && self.at < other.until + REST && other.at < self.until + REST
    }
}

fn discriminant(kind: Kind) -> std::mem::Discriminant<Kind> {
    std::mem::discriminant(&kind)
}

fn target(kind: Kind) -> Option<usize> {
    match kind {
        Kind::Kill(at) | Kind::Stop(at) | Kind::Pause(at) | Kind::Deaf(at) | Kind::Mute(at) => {
            Some(at)
        }
        Kind::Shut(at) | Kind::Silence(at) | Kind::Delay(at, _) | Kind::Restart(at) => Some(at),
        Kind::Slow(at) | Kind::Answer(at, _) | Kind::Leave(at) | Kind::ZoneOut(at) => Some(at),
        Kind::PlatformDown | Kind::PlatformBusy => None,
    }
}

/// The faults of `time`, in the order of their beginnings.
pub(crate) fn schedule(seed: u64, duration: Duration, nodes: usize, zones: usize) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = QUIET;
    while at < duration {
        let kind = draw(&mut rng, nodes, zones);
        let count = match rng.random_bool(SERIES) {
            true => rng.random_range(2..=nodes.div_ceil(3).max(2)),
            false => 1,
        };
        for number in 0..count {
            let kind = if number == 0 {
                kind
            } else {
                elsewhere(kind, &mut rng, nodes)
            };
            let at = at + Duration::from_secs_f64(SERIES_GAP_S * number as f64);
            let until = at + lasting(kind, &mut rng);
            let fault = Fault { kind, at, until };
            if until < duration && !faults.iter().any(|f| f.clashes(&fault)) {
                faults.push(fault);
            }
        }
        let gap = -(1.0 - rng.random::<f64>()).ln() * MEAN_GAP_S;
        at += Duration::from_secs_f64(gap);
    }
    faults.sort_by_key(|f| f.at);
    faults
}

fn draw(rng: &mut SmallRng, nodes: usize, zones: usize) -> Kind {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..20) {
        0 | 1 => Kind::Kill(node),
        2 | 3 => Kind::Stop(node),
        4 | 5 => Kind::Pause(node),
        6 => Kind::Deaf(node),
        7 => Kind::Mute(node),
        8 => Kind::Shut(node),
        9 => Kind::Silence(node),
        10 => Kind::Delay(node, rng.random_range(5..200)),
        11 | 12 => Kind::Restart(node),
        13 => Kind::Slow(node),
        14 => Kind::Answer(node, ResponseMode::Cut),
        15 => Kind::Answer(node, ResponseMode::Truncated),
        16 => Kind::PlatformDown,
        17 => Kind::PlatformBusy,
        18 => Kind::ZoneOut(rng.random_range(0..zones)),
        _ => Kind::Leave(node),
    }
}

/// The same on another host.
fn elsewhere(kind: Kind, rng: &mut SmallRng, nodes: usize) -> Kind {
    let node = rng.random_range(0..nodes);
    match kind {
        Kind::Kill(_) => Kind::Kill(node),
        Kind::Stop(_) => Kind::Stop(node),
        Kind::Pause(_) => Kind::Pause(node),
        Kind::Deaf(_) => Kind::Deaf(node),
        Kind::Mute(_) => Kind::Mute(node),
        Kind::Shut(_) => Kind::Shut(node),
        Kind::Silence(_) => Kind::Silence(node),
        Kind::Delay(_, ms) => Kind::Delay(node, ms),
        Kind::Restart(_) => Kind::Restart(node),
        Kind::Slow(_) => Kind::Slow(node),
        Kind::Answer(_, answering) => Kind::Answer(node, answering),
        other => other,
    }
}

fn lasting(kind: Kind, rng: &mut SmallRng) -> Duration {
    let seconds = match kind {
        // Longer than a node takes to stop.
        Kind::Stop(_) => rng.random_range(4.5..6.0),
        // Long enough that nothing may arrive any more at the end of it.
        Kind::Leave(_) | Kind::ZoneOut(_) => rng.random_range(12.0..16.0),
        _ => rng.random_range(0.1..4.0),
    };
    Duration::from_secs_f64(seconds)
}
