//! The users' rules, judged from what callers and backend servers saw.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::{Duration, Instant},
};

use super::{
    load::BEARER,
    operator::{HOT_BURST, HOT_KEY, HOT_RATE, History, ONCE, OPEN, Version},
    schedule::Kind,
};
use crate::site::{
    caller::{Answer, Sample},
    journal::Arrival,
    stop::{LOSS_SLACK, Stop},
};

/// Time after an acknowledgement within which a version must be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time after which no process handles requests by an older version than it has shown, and that of a process
/// that was frozen.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const SLOWED_SLACK: Duration = Duration::from_millis(2_000);
/// Time for which a machine must have been calm to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time after an acknowledgement in which requests may still reach a server that leaves, or a zone that is
/// taken out.
const DRAIN: Duration = Duration::from_millis(2_000);
const EVAC: Duration = Duration::from_millis(5_000);
/// Time after an acknowledgement from which no request runs whose key was taken away.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Window in which a team's requests are counted, and what may run in it beyond its allowance.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVER: f64 = 1.25;
const QUOTA_SLACK: f64 = 20.0;
/// Connections that a machine in touch may close without an answer.
const MAX_LOST: usize = 3;

/// A rule of the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A version was late, fell back, or was never confirmed.
    Config,
    /// A proper request was turned away.
    Denied,
    /// A request that may run once ran more often.
    Twice,
    /// A request that was told as not run had run.
    Refused,
    /// An answer isn't that of the request.
    Mixed,
    /// A connection ended without an answer.
    Lost,
    /// A request reached a zone that was taken out.
    Evac,
    /// A request reached a server that had left.
    Drain,
    /// A server ran a request for another team than that of its key, or got a key.
    Unasked,
    /// A request ran whose key no version held.
    Route,
    /// More of a team's requests ran than its allowance lets.
    Quota,
    /// A process ended by itself, or not in time.
    Process,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time since the start of the soak.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, at, text } = self;
        write!(f, "{rule} at {:.3} s: {text}", at.as_secs_f64())
    }
}

/// Whose touch with the platform a fault impairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    Store,
    Node(usize),
    None,
}

/// A fault as it was played.
#[derive(Debug, Clone, Copy)]
pub(super) struct Impairment {
    pub(super) scope: Scope,
    pub(super) kind: Kind,
    pub(super) start: Instant,
    pub(super) end: Option<Instant>,
}

impl Impairment {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.start <= to && self.end.is_none_or(|end| from <= end)
    }
}

/// All that was seen in a soak.
pub(super) struct Observations<'a> {
    pub(super) start: Instant,
    pub(super) samples: &'a [Sample],
    pub(super) arrivals: &'a [Arrival],
    /// Availability zones of the servers.
    pub(super) zones: Vec<String>,
    pub(super) history: &'a History,
    pub(super) impairments: &'a [Impairment],
    /// When each node's process was started again.
    pub(super) starts: &'a [Vec<Instant>],
}

/// Number of answers by kind.
pub(super) fn count_answers(samples: &[Sample]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sample in samples {
        let kind = match &sample.answer {
            Answer::Served(_) => "200".to_owned(),
            Answer::Failed { status, .. } => status.to_string(),
            Answer::Mixed(_) => "mixed".to_owned(),
            Answer::Cut => "cut".to_owned(),
            Answer::None => "none".to_owned(),
            Answer::Unconnected => "unconnected".to_owned(),
        };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

/// Name of the route that a request asks for.
fn route_of(sample: &Sample) -> &str {
    sample.request.path.split('/').nth(1).unwrap_or_default()
}

/// Key that a request was sent with.
fn key_of(sample: &Sample) -> Option<&str> {
    let headers = &mut sample.request.headers.iter();
    headers.find_map(|(_, value)| value.strip_prefix(BEARER))
}

/// Whether a version lets callers with the key of this request ask for its route.
fn admits(version: &Version, sample: &Sample) -> bool {
    let holds = |key| version.keys.contains_key(key);
    version.keys.is_empty() || route_of(sample) == OPEN || key_of(sample).is_some_and(holds)
}

/// Whether an answer is what this version makes of the request.
fn allows(version: &Version, sample: &Sample) -> bool {
    let service = version.routes.get(route_of(sample));
    match &sample.answer {
        Answer::Served(served) => service == Some(served) && admits(version, sample),
        Answer::Failed {
            status: 401,
            signed: false,
        } => version.keys.is_empty() || !admits(version, sample),
        Answer::Failed {
            status: 404,
            signed: false,
        } => service.is_none(),
        _ => true,
    }
}

impl Observations<'_> {
    pub(super) fn violations(&self) -> Vec<Violation> {
        let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in self.arrivals {
            by_id.entry(&arrival.id).or_default().push(arrival);
        }
        let none = Vec::new();
        let mut found = Vec::new();
        for sample in self.samples {
            let arrivals = by_id.get(sample.request.id.as_str()).unwrap_or(&none);
            found.extend(self.check_version(sample));
            found.extend(self.check_answer(sample, arrivals));
            found.extend(self.check_arrivals(sample, arrivals));
            found.extend(self.check_key(sample, arrivals));
        }
        found.extend(self.check_allowance(&by_id));
        found.extend(self.fall_backs());
        let mut lost = Vec::new();
        for sample in self.samples {
            let arrivals = by_id.get(sample.request.id.as_str()).unwrap_or(&none);
            if self.is_lost(sample, arrivals) {
                lost.push(self.broken(Rule::Lost, sample, "lost at a machine in touch"));
            } else if self.is_cut_by_plan(sample, arrivals) {
                found.push(self.broken(Rule::Lost, sample, "cut by planned work"));
            }
        }
        if lost.len() > MAX_LOST {
            found.extend(lost);
        }
        found.sort_by_key(|violation| violation.at);
        found
    }

    fn broken(&self, rule: Rule, sample: &Sample, text: impl fmt::Display) -> Violation {
        let Sample {
            node,
            request,
            answer,
            ..
        } = sample;
        let (method, path, id) = (request.method, &request.path, &request.id);
        let took = (sample.ended - sample.sent).as_millis();
        Violation {
            rule,
            at: sample.sent - self.start,
            text: format!("node-{node} {method} {path} id={id} {answer:?} in {took} ms: {text}"),
        }
    }

    /// Whether a node and the store were calm from [`STABLE_WINDOW`] before `from` up to `to`.
    fn is_in_touch(&self, node: usize, from: Instant, to: Instant) -> bool {
        let from = from - STABLE_WINDOW;
        let concerns = |i: &&Impairment| [Scope::Store, Scope::Node(node)].contains(&i.scope);
        let mut impairments = self.impairments.iter().filter(concerns);
        !impairments.any(|i| i.overlaps(from, to))
    }

    fn check_version(&self, sample: &Sample) -> Option<Violation> {
        let versions = &self.history.versions;
        let is_due = |v: &Version| v.ack.is_some_and(|ack| ack + CONFIG_APPLY < sample.sent);
        let due = versions.iter().rposition(is_due).unwrap_or_default();
        let is_in_touch = self.is_in_touch(sample.node, sample.sent, sample.ended);
        let floor = if is_in_touch { due } else { 0 };
        let possible = versions.iter().filter(|v| v.sent <= sample.ended);
        let mut allowing = possible.skip(floor).filter(|v| allows(v, sample));
        if allowing.next().is_some() {
            return None;
        }
        let is_fixed = |v: &Version| v.routes.is_empty() || v.routes.contains_key(route_of(sample));
        let is_denied = matches!(sample.answer, Answer::Failed { .. });
        let rule = match is_denied && versions.iter().all(is_fixed) {
            true => Rule::Denied,
            false => Rule::Config,
        };
        let due = versions[due].number;
        Some(self.broken(
            rule,
            sample,
            format_args!("version {due} is due (in touch: {is_in_touch})"),
        ))
    }

    /// Requests that a process handled as only an older version allows than it had shown.
    fn fall_backs(&self) -> Vec<Violation> {
        let versions = &self.history.versions;
        let mut found = Vec::new();
        for node in 0..self.starts.len() {
            let mut bounds = vec![self.start];
            bounds.extend(&self.starts[node]);
            for (number, from) in bounds.iter().enumerate() {
                let to = bounds.get(number + 1);
                let is_within = |s: &&Sample| {
                    s.node == node && s.sent >= *from && to.is_none_or(|to| s.ended < *to)
                };
                let samples: Vec<&Sample> = self.samples.iter().filter(is_within).collect();
                // Lowest version that explains each success, with the time when it was shown.
                let shown = samples.iter().filter_map(|s| {
                    let is_served = matches!(s.answer, Answer::Served(_));
                    let first = versions.iter().position(|v| allows(v, s))?;
                    is_served.then_some((s.ended, first))
                });
                let shown: Vec<(Instant, usize)> = shown.collect();
                let is_slowed = |s: &Sample| {
                    let from = s.sent - SLOWED_SLACK;
                    self.impairments.iter().any(|i| {
                        matches!(i.kind, Kind::Freeze(n) if n == node) && i.overlaps(from, s.ended)
                    })
                };
                for sample in samples {
                    let slack = if is_slowed(sample) {
                        SLOWED_SLACK
                    } else {
                        ROLLBACK_SLACK
                    };
                    let before = shown.iter().filter(|(at, _)| *at + slack < sample.sent);
                    let floor = before.map(|(_, first)| *first).max().unwrap_or_default();
                    let allowed = |versions: &[Version]| versions.iter().any(|v| allows(v, sample));
                    if allowed(&versions[..floor]) && !allowed(&versions[floor..]) {
                        let number = versions[floor].number;
                        let text = format_args!("version {number} was shown before");
                        found.push(self.broken(Rule::Config, sample, text));
                    }
                }
            }
        }
        found
    }

    fn check_answer(&self, sample: &Sample, arrivals: &[&Arrival]) -> Option<Violation> {
        let runs = arrivals.iter().filter(|a| a.run_at.is_some()).count();
        let may_repeat = !route_of(sample).starts_with(ONCE);
        let answered = |status: u16| arrivals.iter().any(|a| a.answered == Some(status));
        let (rule, text) = match &sample.answer {
            _ if !may_repeat && runs > 1 => (Rule::Twice, "ran more than once"),
            Answer::Mixed(text) => (Rule::Mixed, text.as_str()),
            Answer::Served(_) if !answered(200) => (Rule::Mixed, "no server answered so"),
            Answer::Failed {
                status: 408 | 421 | 429 | 503,
                ..
            } if !may_repeat && runs > 0 => (Rule::Refused, "ran, but was told as not run"),
            Answer::Failed {
                status,
                signed: true,
            } if !answered(*status) => (Rule::Mixed, "no server answered so"),
            // Judged by the versions, as a 404 is.
            Answer::Failed {
                status: 401,
                signed: false,
            } if self.has_teams() => return None,
            Answer::Failed {
                status: 300..=403 | 405..=407 | 409..=420 | 422..=428 | 430..=499,
                signed: false,
            } => (Rule::Denied, "a proper request"),
            _ => return None,
        };
        Some(self.broken(rule, sample, text))
    }

    fn has_teams(&self) -> bool {
        self.history.versions.iter().any(|v| !v.keys.is_empty())
    }

    /// What becomes of a request's key, on any machine.
    fn check_key(&self, sample: &Sample, arrivals: &[&Arrival]) -> Option<Violation> {
        let versions = &self.history.versions;
        if !self.has_teams() {
            return None;
        }
        let key = key_of(sample).unwrap_or_default();
        let holder = versions.iter().find_map(|v| v.keys.get(key));
        let held = versions.iter().skip_while(|v| !v.keys.contains_key(key));
        let is_due = |v: &Version| v.ack.is_some_and(|ack| ack + REVOKE < sample.sent);
        let mut revocations = held.filter(|v| !v.keys.contains_key(key) && is_due(v));
        let is_open = route_of(sample) == OPEN;
        let ran = arrivals.iter().find(|a| a.run_at.is_some());
        let (rule, text) = match (ran, holder) {
            _ if arrivals.iter().any(|a| a.has_key) => (Rule::Unasked, "its key was passed on"),
            (None, _) => return None,
            (Some(ran), _) if is_open && ran.teams.is_empty() => return None,
            (Some(_), _) if is_open => (Rule::Unasked, "it ran for a team"),
            (Some(_), None) => (Rule::Route, "it ran, though no version held its key"),
            (Some(ran), Some(team)) if ran.teams != [team.as_str()] => {
                (Rule::Unasked, "it ran for another team")
            }
            (Some(_), Some(_)) if revocations.next().is_some() => {
                (Rule::Config, "it ran, though its key was taken away")
            }
            _ => return None,
        };
        Some(self.broken(rule, sample, text))
    }

    /// Whether more requests of the limited team were sent and ran in a window than its allowance lets.
    fn check_allowance(&self, by_id: &HashMap<&str, Vec<&Arrival>>) -> Option<Violation> {
        let is_limited = |sample: &&Sample| key_of(sample) == Some(HOT_KEY);
        let ran_at = |sample: &Sample| {
            let arrivals = by_id.get(sample.request.id.as_str())?;
            arrivals.iter().find_map(|a| a.run_at.map(|_| a.at))
        };
        let limited = self.samples.iter().filter(is_limited);
        let ran: Vec<(&Sample, Instant)> = limited.filter_map(|s| Some((s, ran_at(s)?))).collect();
        let count = |from: Instant| {
            let is_within =
                |(s, at): &&(&Sample, Instant)| s.sent >= from && *at <= from + QUOTA_WINDOW;
            ran.iter().filter(is_within).count()
        };
        let (first, most) = ran
            .iter()
            .map(|(s, _)| (*s, count(s.sent)))
            .max_by_key(|(_, count)| *count)?;
        let allowance = HOT_RATE * QUOTA_WINDOW.as_secs_f64() + f64::from(HOT_BURST);
        let bound = allowance * QUOTA_OVER + QUOTA_SLACK;
        let text = format!("{most} requests of its team ran in {QUOTA_WINDOW:?}, {bound} may");
        (most as f64 > bound).then(|| self.broken(Rule::Quota, first, text))
    }

    /// Arrivals at zones that were taken out, or at servers that had left.
    fn check_arrivals(&self, sample: &Sample, arrivals: &[&Arrival]) -> Option<Violation> {
        let is_late = |arrival: &&&Arrival| {
            let zone = &self.zones[arrival.server];
            let is_out = self.history.evacuations.iter().any(|e| {
                e.zone == *zone
                    && e.ack.is_some_and(|ack| ack + EVAC < arrival.at)
                    && e.back.is_none_or(|back| arrival.at < back)
            });
            let has_left = self.history.drains.iter().any(|(id, ack)| {
                *id == arrival.server_id
                    && *ack + DRAIN < arrival.at
                    && self.is_in_touch(sample.node, *ack, arrival.at)
            });
            is_out || has_left
        };
        let late = arrivals.iter().filter(|a| !a.misdirected).find(is_late)?;
        if !self.is_in_touch(sample.node, sample.sent, late.at) {
            return None;
        }
        let drained = self.history.drains.iter();
        let rule = match drained.map(|(id, _)| id).any(|id| *id == late.server_id) {
            true => Rule::Drain,
            false => Rule::Evac,
        };
        let text = format!(
            "reached {} in zone {}",
            late.server_id, self.zones[late.server]
        );
        Some(self.broken(rule, sample, text))
    }

    /// Whether a request had no answer at a machine in touch, though a server had answered it.
    fn is_lost(&self, sample: &Sample, arrivals: &[&Arrival]) -> bool {
        let was_answered = arrivals.iter().any(|a| a.answered.is_some());
        matches!(sample.answer, Answer::Cut | Answer::None)
            && was_answered
            && self.is_in_touch(sample.node, sample.sent, sample.ended)
    }

    /// Whether planned work at a machine that nothing else impaired cut the connection of a request.
    fn is_cut_by_plan(&self, sample: &Sample, arrivals: &[&Arrival]) -> bool {
        let has_unplanned = self.impairments.iter().any(|i| {
            i.scope == Scope::Node(sample.node)
                && !matches!(i.kind, Kind::Terminate(_))
                && i.overlaps(sample.sent - STABLE_WINDOW, sample.ended)
        });
        if sample.answer != Answer::Cut || has_unplanned {
            return false;
        }
        let was_read = sample.ended > sample.sent + LOSS_SLACK;
        let was_answered = arrivals.iter().any(|a| a.answered.is_some());
        self.impairments.iter().any(|i| match i.kind {
            Kind::Terminate(node) => Stop { node, at: i.start }.has_cut(sample, arrivals),
            Kind::Reload(node) => {
                let is_beside = i.overlaps(sample.sent - CONFIG_APPLY, sample.ended);
                node == sample.node
                    && is_beside
                    && (was_answered || (arrivals.is_empty() && was_read))
            }
            _ => false,
        })
    }
}
