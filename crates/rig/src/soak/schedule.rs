//! Random schedule of faults, determined by a seed.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::server::ResponseMode;

/// Time without faults at the start.
const INITIAL_DELAY: Duration = Duration::from_secs(2);
/// Mean time between the starts of two faults or series of faults.
const MEAN_INTERVAL_S: f64 = 1.0;
/// Probability that a fault is the first of a series on several hosts.
const SERIES_PROBABILITY: f64 = 0.25;
/// Time between the starts of two faults of a series.
const SERIES_INTERVAL_S: f64 = 0.3;
/// Mean time between the starts of two bursts.
const MEAN_BURST_INTERVAL_S: f64 = 3.0;
/// Time between the starts of two faults of a burst.
const BURST_INTERVAL_S: f64 = 0.15;
/// Mean time between the starts of two faults of [`add_statements`].
const MEAN_STATEMENT_INTERVAL_S: f64 = 3.0;
/// Minimum time between two faults that conflict.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Kind of a fault, with the index of the node, backend server or availability zone that it affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum FaultKind {
    /// The node gets SIGKILL and is started again at the end.
    Kill(usize),
    /// The node gets SIGTERM and is started again at the end.
    Terminate(usize),
    /// The node gets SIGHUP, unless it is down.
    Reload(usize),
    /// The node gets SIGSTOP, and SIGCONT at the end.
    Pause(usize),
    /// The node receives nothing on connections that its peers opened.
    DropInbound(usize),
    /// Peers receive nothing on connections that they opened to the node.
    DropOutbound(usize),
    /// New connections of peers to the node are closed at once.
    CloseNew(usize),
    /// Open connections of peers to the node are stalled for good.
    StallOpen(usize),
    /// Traffic on connections of peers to the node is delayed, in milliseconds.
    Delay(usize, u64),
    /// The backend server restarts.
    RestartServer(usize),
    /// The service time of the backend server is a multiple of the usual one.
    SlowServer(usize),
    /// The backend server responds in a faulty mode.
    FaultyResponse(usize, ResponseMode),
    /// The platform responds to every read with an error.
    PlatformDown,
    /// The platform refuses reads beyond a low rate limit.
    PlatformThrottled,
    /// Responses of the backend server name a limit.
    LimitedServer(usize),
    /// Responses of the backend server say that it is leaving. Operators put it back at the end.
    DepartingServer(usize),
    /// Callers send a request that ends the backend servers of this node's service.
    DeadlyRequest(usize),
    /// Operators set the backend server to `leaving`, and back to `in` at the end.
    ServerLeaving(usize),
    /// Operators set the availability zone to `out`, and back to `in` at the end.
    ZoneOut(usize),
}

/// A fault with its times since the start of the soak, as planned or, once it is over, as they were.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    pub(crate) start: Duration,
    /// When the injection was complete: a killed process holds its connections until it has exited,
    /// which takes a while on a busy machine.
    pub(crate) injected: Duration,
    pub(crate) end: Duration,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start, end) = (self.start.as_secs_f64(), self.end.as_secs_f64());
        write!(f, "{start:.1} s to {end:.1} s {:?}", self.kind)
    }
}

impl Fault {
    fn new(kind: FaultKind, start: Duration, end: Duration) -> Self {
        Self {
            kind,
            start,
            injected: start,
            end,
        }
    }

    /// Node whose process the fault kills, terminates or pauses.
    pub(crate) fn node_process(&self) -> Option<usize> {
        match self.kind {
            FaultKind::Kill(node) | FaultKind::Terminate(node) | FaultKind::Pause(node) => {
                Some(node)
            }
            _ => None,
        }
    }

    /// Node whose process the fault ends or pauses, or whose connections with others it breaks or delays.
    pub(crate) fn disturbed_node(&self) -> Option<usize> {
        match self.kind {
            FaultKind::DropInbound(node)
            | FaultKind::DropOutbound(node)
            | FaultKind::CloseNew(node)
            | FaultKind::StallOpen(node)
            | FaultKind::Delay(node, _) => Some(node),
            _ => self.node_process(),
        }
    }

    /// Whether both faults affect the same thing at overlapping times, so that only one can be scheduled.
    fn conflicts_with(&self, other: &Self) -> bool {
        let same = match (self.kind, other.kind) {
            (
                FaultKind::ServerLeaving(_) | FaultKind::ZoneOut(_),
                FaultKind::ServerLeaving(_) | FaultKind::ZoneOut(_),
            ) => true,
            (
                FaultKind::ServerLeaving(a) | FaultKind::DepartingServer(a),
                FaultKind::ServerLeaving(b) | FaultKind::DepartingServer(b),
            ) => a == b,
            (
                FaultKind::PlatformDown | FaultKind::PlatformThrottled,
                FaultKind::PlatformDown | FaultKind::PlatformThrottled,
            ) => true,
            (a, b) if discriminant(a) == discriminant(b) => affected(a) == affected(b),
            _ => self.node_process().is_some() && self.node_process() == other.node_process(),
        };
        same && self.is_close_to(other)
    }

    /// Whether both faults affect the same process, or are of one kind and affect the same thing, at
    /// overlapping times.
    fn excludes(&self, other: &Self) -> bool {
        let process = self.node_process();
        if let (
            FaultKind::ServerLeaving(a) | FaultKind::DepartingServer(a),
            FaultKind::ServerLeaving(b) | FaultKind::DepartingServer(b),
        ) = (self.kind, other.kind)
        {
            return a == b && self.is_close_to(other);
        }
        let same = discriminant(self.kind) == discriminant(other.kind)
            && affected(self.kind) == affected(other.kind);
        (same || (process.is_some() && process == other.node_process())) && self.is_close_to(other)
    }

    fn is_close_to(&self, other: &Self) -> bool {
        self.start < other.end + MIN_PAUSE && other.start < self.end + MIN_PAUSE
    }
}

fn discriminant(kind: FaultKind) -> std::mem::Discriminant<FaultKind> {
    std::mem::discriminant(&kind)
}

fn affected(kind: FaultKind) -> Option<usize> {
    match kind {
        FaultKind::Kill(index)
        | FaultKind::Terminate(index)
        | FaultKind::Reload(index)
        | FaultKind::Pause(index)
        | FaultKind::DropInbound(index)
        | FaultKind::DropOutbound(index) => Some(index),
        FaultKind::CloseNew(index)
        | FaultKind::StallOpen(index)
        | FaultKind::Delay(index, _)
        | FaultKind::RestartServer(index) => Some(index),
        FaultKind::LimitedServer(index)
        | FaultKind::DepartingServer(index)
        | FaultKind::DeadlyRequest(index) => Some(index),
        FaultKind::SlowServer(index)
        | FaultKind::FaultyResponse(index, _)
        | FaultKind::ServerLeaving(index)
        | FaultKind::ZoneOut(index) => Some(index),
        FaultKind::PlatformDown | FaultKind::PlatformThrottled => None,
    }
}

/// Draws the faults of a soak, in the order of their starts. All of them end before `duration`.
pub(crate) fn draw_faults(seed: u64, duration: Duration, nodes: usize, zones: usize) -> Vec<Fault> {
    let mut faults = draw_separate(seed, duration, nodes, zones);
    add_overlapping(&mut faults, seed, duration, nodes, zones);
    add_statements(&mut faults, seed, duration, nodes);
    faults.sort_by_key(|f| f.start);
    faults
}

/// Adds bursts of signals, restarts and operators' changes on successive nodes. They overlap with each
/// other and with `faults`, except that a node's process has one fault at a time.
fn add_overlapping(
    faults: &mut Vec<Fault>,
    seed: u64,
    duration: Duration,
    nodes: usize,
    zones: usize,
) {
    // Draws of their own keep the faults of earlier seeds as they were.
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut start = INITIAL_DELAY;
    while start < duration {
        let first = rng.random_range(0..nodes);
        let count = rng.random_range(1..=nodes.div_ceil(2));
        let draw = rng.random_range(0..10);
        for index in 0..count {
            let node = (first + index) % nodes;
            let kind = match draw {
                0..4 => FaultKind::Reload(node),
                4 | 5 => FaultKind::Terminate(node),
                6 => FaultKind::Kill(node),
                7 => FaultKind::FaultyResponse(node, ResponseMode::Endless),
                8 if index < zones => FaultKind::ZoneOut(index),
                _ => FaultKind::ServerLeaving(node),
            };
            let start = start + Duration::from_secs_f64(BURST_INTERVAL_S * index as f64);
            let end = start + draw_duration(kind, &mut rng);
            let fault = Fault::new(kind, start, end);
            if end < duration && !faults.iter().any(|f| f.excludes(&fault)) {
                faults.push(fault);
            }
        }
        start += Duration::from_secs_f64(MEAN_BURST_INTERVAL_S * rng.random_range(0.5..1.5));
    }
}

/// Adds backend servers that name limits or say that they leave, and requests that end them.
fn add_statements(faults: &mut Vec<Fault>, seed: u64, duration: Duration, nodes: usize) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(17));
    let mut start = INITIAL_DELAY;
    while start < duration {
        let node = rng.random_range(0..nodes);
        let kind = match rng.random_range(0..3) {
            0 => FaultKind::LimitedServer(node),
            1 => FaultKind::DepartingServer(node),
            _ => FaultKind::DeadlyRequest(node),
        };
        let end = start + draw_duration(kind, &mut rng);
        let fault = Fault::new(kind, start, end);
        if end < duration && !faults.iter().any(|f| f.excludes(&fault)) {
            faults.push(fault);
        }
        start += Duration::from_secs_f64(MEAN_STATEMENT_INTERVAL_S * rng.random_range(0.5..1.5));
    }
}

/// Draws faults of which only those of different nodes overlap.
fn draw_separate(seed: u64, duration: Duration, nodes: usize, zones: usize) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut start = INITIAL_DELAY;
    while start < duration {
        let kind = draw_kind(&mut rng, nodes, zones);
        let count = match rng.random_bool(SERIES_PROBABILITY) {
            true => rng.random_range(2..=nodes.div_ceil(3).max(2)),
            false => 1,
        };
        for index in 0..count {
            let kind = if index == 0 {
                kind
            } else {
                on_random_node(kind, &mut rng, nodes)
            };
            let start = start + Duration::from_secs_f64(SERIES_INTERVAL_S * index as f64);
            let end = start + draw_duration(kind, &mut rng);
            let fault = Fault::new(kind, start, end);
            if end < duration && !faults.iter().any(|f| f.conflicts_with(&fault)) {
                faults.push(fault);
            }
        }
        let interval = -(1.0 - rng.random::<f64>()).ln() * MEAN_INTERVAL_S;
        start += Duration::from_secs_f64(interval);
    }
    faults
}

fn draw_kind(rng: &mut SmallRng, nodes: usize, zones: usize) -> FaultKind {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..20) {
        0 | 1 => FaultKind::Kill(node),
        2 | 3 => FaultKind::Terminate(node),
        4 | 5 => FaultKind::Pause(node),
        6 => FaultKind::DropInbound(node),
        7 => FaultKind::DropOutbound(node),
        8 => FaultKind::CloseNew(node),
        9 => FaultKind::StallOpen(node),
        10 => FaultKind::Delay(node, rng.random_range(5..200)),
        11 | 12 => FaultKind::RestartServer(node),
        13 => FaultKind::SlowServer(node),
        14 => FaultKind::FaultyResponse(node, ResponseMode::Cut),
        15 => FaultKind::FaultyResponse(node, ResponseMode::Truncated),
        16 => FaultKind::PlatformDown,
        17 => FaultKind::PlatformThrottled,
        18 => FaultKind::ZoneOut(rng.random_range(0..zones)),
        _ => FaultKind::ServerLeaving(node),
    }
}

/// Same kind of fault on a random node. Faults of the platform and operators' changes stay as they are.
fn on_random_node(kind: FaultKind, rng: &mut SmallRng, nodes: usize) -> FaultKind {
    let node = rng.random_range(0..nodes);
    match kind {
        FaultKind::Kill(_) => FaultKind::Kill(node),
        FaultKind::Terminate(_) => FaultKind::Terminate(node),
        FaultKind::Pause(_) => FaultKind::Pause(node),
        FaultKind::DropInbound(_) => FaultKind::DropInbound(node),
        FaultKind::DropOutbound(_) => FaultKind::DropOutbound(node),
        FaultKind::CloseNew(_) => FaultKind::CloseNew(node),
        FaultKind::StallOpen(_) => FaultKind::StallOpen(node),
        FaultKind::Delay(_, ms) => FaultKind::Delay(node, ms),
        FaultKind::RestartServer(_) => FaultKind::RestartServer(node),
        FaultKind::SlowServer(_) => FaultKind::SlowServer(node),
        FaultKind::FaultyResponse(_, mode) => FaultKind::FaultyResponse(node, mode),
        other => other,
    }
}

fn draw_duration(kind: FaultKind, rng: &mut SmallRng) -> Duration {
    let seconds = match kind {
        // Longer than a node takes to stop after SIGTERM.
        FaultKind::Terminate(_) => rng.random_range(4.5..6.0),
        // Longer than a change may take to be in effect, so that requests to these servers are seen.
        FaultKind::ServerLeaving(_) | FaultKind::ZoneOut(_) => rng.random_range(12.0..16.0),
        // Longer than the window in which arrivals under a limit are counted.
        FaultKind::LimitedServer(_) | FaultKind::DepartingServer(_) => rng.random_range(6.0..9.0),
        FaultKind::DeadlyRequest(_) => rng.random_range(2.0..4.0),
        _ => rng.random_range(0.1..4.0),
    };
    Duration::from_secs_f64(seconds)
}
