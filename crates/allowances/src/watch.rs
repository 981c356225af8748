//! What operators see of allowances: counters, log lines and the dump, all of bounded size.

use std::collections::HashMap;

use serde::Serialize;
use smol_str::SmolStr;
use types::{Moment, Span, TeamId};

use super::Allowances;

/// Teams with counters of their own. The others are counted together.
const MAX_TEAMS: usize = 200;
/// Time without a refusal after which a team's refusals count as over.
const QUIET: Span = Span::from_millis(5_000);
/// Most log lines about teams between two ticks.
const MAX_LINES: u32 = 5;

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    granted: u64,
    refused: u64,
    unknown: u64,
    unproven: u64,
    /// When requests were refused last, while they are.
    refused_at: Option<Moment>,
}

/// Counters of the requests of teams at this ingress.
#[derive(Debug, Default)]
pub(super) struct Watch {
    teams: HashMap<TeamId, Counts>,
    lines: u32,
}

/// Allowances as `/state` returns them.
#[derive(Debug, Serialize)]
pub struct AllowanceDump {
    /// Share of the fleet that this node grants for.
    share: f64,
    /// Number of teams that this ingress holds tokens for.
    drawn: usize,
    owned: Vec<OwnedDump>,
    teams: Vec<TeamDump>,
}

/// A team that this node is the owner of.
#[derive(Debug, Serialize)]
struct OwnedDump {
    team: TeamId,
    tokens: f64,
    granted: u64,
    refused: u64,
}

/// Requests of a team at this ingress.
#[derive(Debug, Serialize)]
struct TeamDump {
    team: TeamId,
    granted: u64,
    refused: u64,
    unknown: u64,
    unproven: u64,
}

impl Watch {
    /// Counts a request and returns the team's name for metrics.
    pub(super) fn record(&mut self, team: &TeamId, outcome: &str, now: Moment) -> SmolStr {
        if !self.teams.contains_key(team) && self.teams.len() >= MAX_TEAMS {
            return SmolStr::new_static("other");
        }
        let counts = self.teams.entry(team.clone()).or_default();
        match outcome {
            "granted" => counts.granted += 1,
            "over_allowance" => counts.refused += 1,
            "keys_unproven" => counts.unproven += 1,
            _ => counts.unknown += 1,
        }
        if outcome == "over_allowance" && counts.refused_at.replace(now).is_none() {
            self.lines += 1;
            if self.lines <= MAX_LINES {
                log::warn!(team:% = team; "team_over_allowance");
            }
        }
        SmolStr::new(team.as_str())
    }

    /// Logs which teams aren't refused any more.
    pub(super) fn tick(&mut self, now: Moment) {
        self.lines = 0;
        let ended = self.teams.iter_mut();
        let ended = ended.filter(|(_, c)| c.refused_at.is_some_and(|at| now.since(at) >= QUIET));
        for (team, counts) in ended.take(MAX_LINES as usize) {
            counts.refused_at = None;
            log::info!(team:% = team, refused = counts.refused; "team_within_allowance");
        }
    }
}

impl Allowances {
    /// Returns the state for operators.
    pub fn dump(&self) -> AllowanceDump {
        let core = self.core();
        let mut owned: Vec<_> = core.owner.uses().into_iter().map(owned_dump).collect();
        owned.sort_by(|a, b| a.team.cmp(&b.team));
        owned.truncate(MAX_TEAMS);
        let teams = core.watch.teams.iter();
        let mut teams: Vec<_> = teams
            .map(|(team, counts)| team_dump(team, *counts))
            .collect();
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        AllowanceDump {
            share: core.reach.share(),
            drawn: core.purse.teams(),
            owned,
            teams,
        }
    }
}

fn owned_dump(team: allowance::TeamUse) -> OwnedDump {
    OwnedDump {
        team: team.team,
        tokens: team.tokens,
        granted: team.granted,
        refused: team.refused,
    }
}

fn team_dump(team: &TeamId, counts: Counts) -> TeamDump {
    TeamDump {
        team: team.clone(),
        granted: counts.granted,
        refused: counts.refused,
        unknown: counts.unknown,
        unproven: counts.unproven,
    }
}
