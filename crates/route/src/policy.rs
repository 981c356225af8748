//! Ways to pick one of several backend servers.

use std::{fmt, str::FromStr};

use rand::{RngExt, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use types::{Moment, Span};

use crate::balancer::ServerState;

/// Time that the way to another availability zone and back adds.
const REMOTE_COST: Span = Span::from_millis(3);

/// Picks one of the candidates by its position, `None` if there are none.
pub trait Policy: fmt::Debug + Send {
    /// The position of the one picked.
    fn pick(&mut self, peers: &[&ServerState], now: Moment, rng: &mut SmallRng) -> Option<usize>;
}

/// The policies that settings can name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// [`TwoChoices`].
    #[default]
    TwoChoices,
    /// [`Random`].
    Random,
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastReported`].
    LeastReported,
}

impl PolicyKind {
    /// A policy of this kind.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::TwoChoices => Box::new(TwoChoices),
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastReported => Box::new(LeastReported),
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TwoChoices => "two-choices",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
        })
    }
}

/// The text names no policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownPolicy;

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("allowed are two-choices, random, round-robin and least-reported")
    }
}

impl std::error::Error for UnknownPolicy {}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let all = [
            Self::TwoChoices,
            Self::Random,
            Self::RoundRobin,
            Self::LeastReported,
        ];
        all.into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or(UnknownPolicy)
    }
}

/// The better of two random candidates of the own availability zone, or of two of the others if
/// that is worth the way.
#[derive(Debug)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn pick(&mut self, peers: &[&ServerState], now: Moment, rng: &mut SmallRng) -> Option<usize> {
        let (local, remote): (Vec<_>, Vec<_>) =
            (0..peers.len()).partition(|at| peers[*at].member.local);
        let near = better_of_two(peers, &local, now, rng);
        let far = better_of_two(peers, &remote, now, rng);
        closer(near, far).map(|(at, _)| at)
    }
}

type Scored = (usize, f64);

fn closer(near: Option<Scored>, far: Option<Scored>) -> Option<Scored> {
    match (near, far) {
        (Some(n), Some(f)) if f.1 + (REMOTE_COST.0 as f64) < n.1 => Some(f),
        (Some(n), _) => Some(n),
        (None, far) => far,
    }
}

fn better_of_two(
    peers: &[&ServerState],
    among: &[usize],
    now: Moment,
    rng: &mut SmallRng,
) -> Option<Scored> {
    let first = rng.random_range(0..among.len().max(1));
    let step = rng.random_range(1..among.len().max(2));
    let second = (first + step) % among.len().max(1);
    let scored = |at: &usize| (*at, peers[*at].expected_latency_us(now));
    let pair = [among.get(first).map(scored), among.get(second).map(scored)];
    pair.into_iter()
        .flatten()
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Any candidate, all equally likely.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    fn pick(&mut self, peers: &[&ServerState], _now: Moment, rng: &mut SmallRng) -> Option<usize> {
        (!peers.is_empty()).then(|| rng.random_range(0..peers.len()))
    }
}

/// One candidate after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, peers: &[&ServerState], _now: Moment, _rng: &mut SmallRng) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        (!peers.is_empty()).then(|| self.next % peers.len())
    }
}

/// The candidate with the least reported load, however old the report.
#[derive(Debug)]
pub struct LeastReported;

impl Policy for LeastReported {
    fn pick(&mut self, peers: &[&ServerState], _now: Moment, rng: &mut SmallRng) -> Option<usize> {
        let least = peers.iter().map(|p| p.report.load).min()?;
        let lowest: Vec<usize> = (0..peers.len())
            .filter(|at| peers[*at].report.load == least)
            .collect();
        Some(lowest[rng.random_range(0..lowest.len())])
    }
}
