//! Faults of a soak, determined by a seed.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::site::store::Trouble;

/// Time without faults at the start.
const INITIAL_DELAY_S: f64 = 3.0;
/// Mean time between the starts of two series.
const MEAN_INTERVAL_S: f64 = 2.0;
/// Time between the starts of two faults of a series.
const SERIES_INTERVAL_S: f64 = 0.2;
/// Minimum time between two faults of the same thing.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a trouble of the store lasts, and time between the starts of two, when all are played.
const TROUBLE_S: f64 = 2.5;
const TROUBLE_INTERVAL_S: f64 = 6.8;
/// Time between the starts of two troubles that outlast the lease of keys.
const LONG_INTERVAL_S: f64 = 16.0;
/// Time that the users give a process after SIGTERM, after which it must have ended.
const GRACE_S: f64 = 6.0;
/// Signals that a stopping node may get as well, and their largest number.
const RESIGNALS: [&str; 3] = ["TERM", "TERM", "HUP"];
const MAX_RESIGNALS: usize = 3;

/// What happens to what, with the index of a node or server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Kind {
    /// All nodes and writers have this trouble with the store.
    Store(Trouble),
    /// One node has.
    StoreOf(usize, Trouble),
    /// The store forgets its history.
    Forget,
    /// The store is down, and comes back from an older copy.
    Restore,
    /// No node reaches the store, operators and servers do.
    Unread,
    /// The node gets SIGKILL, and is started again at the end.
    Kill(usize),
    /// The node gets SIGTERM, and is started again at the end.
    Terminate(usize),
    /// The node gets SIGHUP.
    Reload(usize),
    /// A node that stops gets this signal as well.
    Resignal(usize, &'static str),
    /// The node gets SIGSTOP, and SIGCONT at the end.
    Freeze(usize),
    /// The server crashes, and is started at the end.
    Crash(usize),
    /// The server leaves, and is started anew at the end.
    Drain(usize),
    /// The server sends answers twice.
    CopyAnswers(usize),
    /// The server cuts answers.
    CutAnswers(usize),
    /// The server resets connections when it is full.
    ResetFull(usize),
}

/// Troubles of the store that last.
const TROUBLES: [Trouble; 6] = [
    Trouble::Refused,
    Trouble::Status(503),
    Trouble::Status(429),
    Trouble::Silent,
    Trouble::Slow(Duration::from_millis(700)),
    Trouble::Lost,
];

/// A fault, with its times since the start as planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fault {
    pub(super) kind: Kind,
    pub(super) start: Duration,
    pub(super) end: Duration,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start, end) = (self.start.as_secs_f64(), self.end.as_secs_f64());
        write!(f, "{start:.1} s to {end:.1} s {:?}", self.kind)
    }
}

#[derive(PartialEq)]
enum Affected {
    Store,
    Process(usize),
    Server(usize),
}

impl Kind {
    fn affected(self) -> Affected {
        match self {
            Self::Store(_) | Self::StoreOf(..) | Self::Forget | Self::Restore | Self::Unread => {
                Affected::Store
            }
            Self::Kill(node) | Self::Terminate(node) => Affected::Process(node),
            Self::Reload(node) | Self::Freeze(node) => Affected::Process(node),
            Self::Resignal(node, _) => Affected::Process(node),
            Self::Crash(server) | Self::Drain(server) => Affected::Server(server),
            Self::CopyAnswers(server) | Self::CutAnswers(server) => Affected::Server(server),
            Self::ResetFull(server) => Affected::Server(server),
        }
    }

    fn on(self, index: usize) -> Self {
        match self {
            Self::StoreOf(_, trouble) => Self::StoreOf(index, trouble),
            Self::Kill(_) => Self::Kill(index),
            Self::Terminate(_) => Self::Terminate(index),
            Self::Reload(_) => Self::Reload(index),
            Self::Resignal(_, name) => Self::Resignal(index, name),
            Self::Freeze(_) => Self::Freeze(index),
            Self::Crash(_) => Self::Crash(index),
            Self::Drain(_) => Self::Drain(index),
            Self::CopyAnswers(_) => Self::CopyAnswers(index),
            Self::CutAnswers(_) => Self::CutAnswers(index),
            Self::ResetFull(_) => Self::ResetFull(index),
            Self::Store(_) | Self::Forget | Self::Restore | Self::Unread => self,
        }
    }

    fn draw_seconds(self, rng: &mut SmallRng) -> f64 {
        match self {
            Self::Terminate(_) => GRACE_S + 0.2,
            Self::Drain(_) => rng.random_range(3.0..5.0),
            Self::Forget | Self::Reload(_) | Self::Resignal(..) => 0.1,
            Self::Crash(_) => rng.random_range(0.5..6.0),
            Self::CopyAnswers(_) => rng.random_range(3.0..8.0),
            _ => rng.random_range(0.3..4.0),
        }
    }
}

/// Draws faults that come in series and overlap, and that all end before `duration`.
pub(super) fn draw(seed: u64, duration: Duration, nodes: usize, teams: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = match teams {
        true => draw_long(seed, duration, nodes),
        false => Vec::new(),
    };
    let mut start = INITIAL_DELAY_S;
    while start < duration.as_secs_f64() {
        let kind = draw_kind(&mut rng);
        let first = rng.random_range(0..nodes);
        let count = match (kind, rng.random_bool(0.5)) {
            (Kind::CopyAnswers(_), _) => nodes,
            (_, true) => 1,
            (_, false) => rng.random_range(2..=nodes.div_ceil(2)),
        };
        for number in 0..count {
            let kind = kind.on((first + number) % nodes);
            let start = start + SERIES_INTERVAL_S * number as f64;
            add(
                &mut faults,
                kind,
                start,
                kind.draw_seconds(&mut rng),
                duration,
            );
        }
        start += -(1.0 - rng.random::<f64>()).ln() * MEAN_INTERVAL_S;
    }
    faults.extend(draw_resignals(seed, &faults));
    faults.sort_by_key(|f| f.start);
    faults
}

/// Troubles that last longer than keys are served without a proof that they are in force: a store that no node
/// reads, and a node that is paused meanwhile.
fn draw_long(seed: u64, duration: Duration, nodes: usize) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x10);
    let mut faults = Vec::new();
    let mut start = INITIAL_DELAY_S;
    while start < duration.as_secs_f64() {
        let node = rng.random_range(0..nodes);
        let (unread, frozen) = (rng.random_range(7.5..9.0), rng.random_range(6.0..8.0));
        add(&mut faults, Kind::Unread, start, unread, duration);
        let pause = start + rng.random_range(0.0..1.5);
        add(&mut faults, Kind::Freeze(node), pause, frozen, duration);
        start += LONG_INTERVAL_S;
    }
    faults
}

/// Signals to nodes that stop, at any moment up to the end of their grace period.
fn draw_resignals(seed: u64, faults: &[Fault]) -> Vec<Fault> {
    // The other faults of a seed stay the same.
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5e);
    let mut signals = Vec::new();
    for fault in faults {
        let Kind::Terminate(node) = fault.kind else {
            continue;
        };
        for _ in 0..rng.random_range(0..=MAX_RESIGNALS) {
            let name = RESIGNALS[rng.random_range(0..RESIGNALS.len())];
            let start = fault.start + Duration::from_secs_f64(rng.random_range(0.0..GRACE_S));
            signals.push(Fault {
                kind: Kind::Resignal(node, name),
                start,
                end: start,
            });
        }
    }
    signals
}

fn add(faults: &mut Vec<Fault>, kind: Kind, start: f64, seconds: f64, duration: Duration) {
    let start = Duration::from_secs_f64(start);
    let end = start + Duration::from_secs_f64(seconds);
    let is_close = |f: &Fault| start < f.end + MIN_PAUSE && f.start < end + MIN_PAUSE;
    let conflicts = |f: &Fault| f.kind.affected() == kind.affected() && is_close(f);
    if end < duration && !faults.iter().any(conflicts) {
        faults.push(Fault { kind, start, end });
    }
}

fn draw_kind(rng: &mut SmallRng) -> Kind {
    let trouble = TROUBLES[rng.random_range(0..TROUBLES.len())];
    match rng.random_range(0..16) {
        0 | 1 => Kind::Store(trouble),
        2 | 3 => Kind::StoreOf(0, trouble),
        4 => Kind::Forget,
        5 => Kind::Restore,
        6 | 7 => Kind::Kill(0),
        8 | 9 => Kind::Terminate(0),
        10 => Kind::Reload(0),
        11 => Kind::Freeze(0),
        12 => Kind::Crash(0),
        13 => Kind::Drain(0),
        14 => Kind::CopyAnswers(0),
        _ => [Kind::CutAnswers(0), Kind::ResetFull(0)][rng.random_range(0..2)],
    }
}

/// Every trouble of the store one after the other, of all nodes or of single ones, each beside a fault of a
/// process.
pub(super) fn all_troubles(seed: u64, nodes: usize, single: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kinds: Vec<Kind> = match single {
        true => TROUBLES.map(|t| Kind::StoreOf(0, t)).to_vec(),
        false => TROUBLES.map(Kind::Store).to_vec(),
    };
    if !single {
        kinds.extend([Kind::Forget, Kind::Restore]);
    }
    let processes = [
        Kind::Kill(0),
        Kind::Freeze(0),
        Kind::Reload(0),
        Kind::Kill(0),
    ];
    let mut faults = Vec::new();
    for (number, kind) in kinds.into_iter().enumerate() {
        let start = INITIAL_DELAY_S + TROUBLE_INTERVAL_S * number as f64;
        let node = rng.random_range(0..nodes);
        let later = start + rng.random_range(0.0..TROUBLE_S);
        let longest = Duration::MAX;
        add(&mut faults, kind.on(node), start, TROUBLE_S, longest);
        let process = processes[number % processes.len()].on((node + 1) % nodes);
        add(&mut faults, process, later, 1.0, longest);
    }
    let terminate = Kind::Terminate(rng.random_range(0..nodes));
    add(
        &mut faults,
        terminate,
        INITIAL_DELAY_S,
        GRACE_S + 0.2,
        Duration::MAX,
    );
    faults
}
