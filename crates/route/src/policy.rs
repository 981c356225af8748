//! Policies that pick one of several backend servers.

use std::{fmt, str::FromStr};

use rand::{RngExt, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use types::Moment;

use crate::server::ServerState;

/// Picks one of the candidates.
pub trait Policy: fmt::Debug + Send {
    /// The index of the picked candidate, `None` if there are no candidates.
    fn pick(&mut self, servers: &[&ServerState], now: Moment, rng: &mut SmallRng) -> Option<usize>;
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
    /// Creates a policy of this kind.
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

/// The text isn't the name of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownPolicy;

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected two-choices, random, round-robin or least-reported")
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

/// Power of two choices: the better of two random candidates of the ingress's availability zone.
/// The better of two from other zones is picked if its expected latency is lower by more than what
/// the round trip to its zone adds, or if the ingress's zone has no candidate.
#[derive(Debug)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn pick(&mut self, servers: &[&ServerState], now: Moment, rng: &mut SmallRng) -> Option<usize> {
        let (local, remote): (Vec<_>, Vec<_>) =
            (0..servers.len()).partition(|at| servers[*at].member.local);
        let local = better_of_two(servers, &local, now, rng);
        let remote = better_of_two(servers, &remote, now, rng);
        prefer_local(servers, local, remote).map(|(at, _)| at)
    }
}

/// Index of a candidate, and its expected latency in microseconds.
type Scored = (usize, f64);

fn prefer_local(
    servers: &[&ServerState],
    local: Option<Scored>,
    remote: Option<Scored>,
) -> Option<Scored> {
    match (local, remote) {
        (Some(l), Some(r)) if r.1 + (servers[r.0].added.0 as f64) < l.1 => Some(r),
        (Some(l), _) => Some(l),
        (None, remote) => remote,
    }
}

fn better_of_two(
    servers: &[&ServerState],
    subset: &[usize],
    now: Moment,
    rng: &mut SmallRng,
) -> Option<Scored> {
    let first = rng.random_range(0..subset.len().max(1));
    let step = rng.random_range(1..subset.len().max(2));
    let second = (first + step) % subset.len().max(1);
    let scored = |at: &usize| (*at, servers[*at].expected_latency_us(now));
    let pair = [
        subset.get(first).map(scored),
        subset.get(second).map(scored),
    ];
    pair.into_iter()
        .flatten()
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

/// A uniformly random candidate.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    fn pick(
        &mut self,
        servers: &[&ServerState],
        _now: Moment,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        (!servers.is_empty()).then(|| rng.random_range(0..servers.len()))
    }
}

/// Each candidate in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(
        &mut self,
        servers: &[&ServerState],
        _now: Moment,
        _rng: &mut SmallRng,
    ) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        (!servers.is_empty()).then(|| self.next % servers.len())
    }
}

/// The candidate with the least reported load, regardless of the report's age.
#[derive(Debug)]
pub struct LeastReported;

impl Policy for LeastReported {
    fn pick(
        &mut self,
        servers: &[&ServerState],
        _now: Moment,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let least = servers.iter().map(|s| s.report.load).min()?;
        let lowest: Vec<usize> = (0..servers.len())
            .filter(|at| servers[*at].report.load == least)
            .collect();
        Some(lowest[rng.random_range(0..lowest.len())])
    }
}
