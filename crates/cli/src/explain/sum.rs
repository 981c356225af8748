//! Counts the calls in the nodes' logs by their ending: who was refused where and why.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    path::PathBuf,
};

use serde::Serialize;

use super::{LogLine, meaning, parse, read_logs};
use crate::{error::ToolError, text::single_line};

/// Stands for a value that no line names.
const UNNAMED: &str = "-";

/// Calls of one team to one service that ended alike.
#[derive(Debug, Clone, Serialize)]
pub struct CallCount {
    /// Team of the callers, if a line names it.
    pub team: String,
    /// Service to which the calls went, if one was chosen.
    pub service: String,
    /// Ending of the calls, `caller_left` or `unfinished`.
    pub ending: String,
    /// Number of calls.
    pub calls: u64,
    /// Attempts that they sent, all together.
    pub attempts: u64,
    /// Median time until the ending, in microseconds, or zero if no line says it.
    pub took_us: u64,
    /// What the ending says.
    pub cause: String,
}

/// Replies of one gate with the same outcome, except answers.
#[derive(Debug, Clone, Serialize)]
pub struct ReplyCount {
    /// Service of the backend server, if a line names it.
    pub service: String,
    /// Backend server of the gate.
    pub server: String,
    /// Outcome of the attempts.
    pub outcome: String,
    /// Number of replies.
    pub replies: u64,
    /// Mean number of requests that ran at the gate.
    pub running: f64,
    /// Mean number of requests that waited there.
    pub waiting: f64,
    /// Mean number of requests that the gate allowed to run.
    pub allowed: f64,
}

/// Counts of a log, most frequent first.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Sum {
    /// Calls by team, service and ending.
    pub calls: Vec<CallCount>,
    /// Replies of gates that are no answers, as the nodes that took the calls heard them.
    pub replies: Vec<ReplyCount>,
    /// Lines that nodes left out of their logs, so that the counts are samples.
    pub left_out: u64,
}

/// What the lines of one call say.
#[derive(Debug, Default)]
struct CallLines {
    team: Option<String>,
    service: Option<String>,
    ending: Option<String>,
    took_us: u64,
    attempts: BTreeSet<String>,
}

#[derive(Debug, Default)]
struct ReplyLines {
    replies: u64,
    running: u64,
    waiting: u64,
    allowed: u64,
}

/// Counts the calls and the replies of gates in `files`, or in standard input if `files` is empty.
///
/// # Errors
///
/// [`ToolError::File`] if a log can't be read.
pub fn sum(files: &[PathBuf]) -> Result<Sum, ToolError> {
    let logs = read_logs(files)?;
    let lines: Vec<LogLine> = logs
        .iter()
        .flat_map(|log| log.lines().filter_map(parse))
        .collect();
    Ok(Sum {
        calls: count_calls(&lines),
        replies: count_replies(&lines),
        left_out: lines
            .iter()
            .filter(|line| line.value("event") == "logs_left_out")
            .map(|line| number(line, "count"))
            .sum(),
    })
}

fn number(line: &LogLine, key: &str) -> u64 {
    line.value(key).parse().unwrap_or(0)
}

fn count_calls(lines: &[LogLine]) -> Vec<CallCount> {
    let mut calls: BTreeMap<&str, CallLines> = BTreeMap::new();
    for line in lines {
        let value = |key: &str| Some(line.value(key).to_owned());
        let event = line.value("event");
        // Lines of gates alone don't tell whether the call ended.
        if !matches!(
            event,
            "attempt_sent"
                | "attempt_heard"
                | "request_held_back"
                | "team_refused"
                | "key_rejected"
                | "caller_left"
                | "call_ended"
        ) {
            continue;
        }
        let call = calls.entry(line.value("call")).or_default();
        match event {
            "attempt_sent" => {
                call.service = value("service");
                call.attempts.insert(line.value("attempt").to_owned());
            }
            "request_held_back" => call.service = value("service"),
            "team_refused" => call.team = value("team"),
            "caller_left" => {
                call.ending.get_or_insert(event.to_owned());
            }
            "call_ended" => {
                call.ending = value("ending");
                call.took_us = number(line, "took_us");
            }
            _ => {}
        }
    }
    let mut groups: BTreeMap<(String, String, String), (Vec<u64>, usize)> = BTreeMap::new();
    for call in calls.into_values() {
        let named = |value: Option<String>| value.unwrap_or_else(|| UNNAMED.to_owned());
        let ending = call.ending.unwrap_or_else(|| "unfinished".to_owned());
        let key = (named(call.team), named(call.service), ending);
        let (times, attempts) = groups.entry(key).or_default();
        times.push(call.took_us);
        *attempts += call.attempts.len();
    }
    let mut counts: Vec<CallCount> = groups
        .into_iter()
        .map(|((team, service, ending), (mut times, attempts))| {
            times.sort_unstable();
            CallCount {
                team,
                service,
                calls: times.len() as u64,
                attempts: attempts as u64,
                took_us: times[times.len() / 2],
                cause: match ending.as_str() {
                    "caller_left" => "The caller went away before an answer",
                    "unfinished" => "No line says how it ended",
                    ending => meaning(ending),
                }
                .to_owned(),
                ending,
            }
        })
        .collect();
    counts.sort_by_key(|count| Reverse(count.calls));
    counts
}

fn count_replies(lines: &[LogLine]) -> Vec<ReplyCount> {
    let of_event = |event: &'static str| lines.iter().filter(move |l| l.value("event") == event);
    let services: BTreeMap<&str, &str> = of_event("attempt_sent")
        .map(|line| (line.value("server"), line.value("service")))
        .collect();
    let mut groups: BTreeMap<(&str, &str), ReplyLines> = BTreeMap::new();
    for line in of_event("attempt_heard").filter(|line| line.value("outcome") != "answer") {
        let key = (line.value("server"), line.value("outcome"));
        let group = groups.entry(key).or_default();
        group.replies += 1;
        group.running += number(line, "running");
        group.waiting += number(line, "waiting");
        group.allowed += number(line, "allowed");
    }
    let mut counts: Vec<ReplyCount> = groups
        .into_iter()
        .map(|((server, outcome), group)| {
            let mean = |total: u64| total as f64 / group.replies as f64;
            ReplyCount {
                service: (*services.get(server).unwrap_or(&UNNAMED)).to_owned(),
                server: server.to_owned(),
                outcome: outcome.to_owned(),
                replies: group.replies,
                running: mean(group.running),
                waiting: mean(group.waiting),
                allowed: mean(group.allowed),
            }
        })
        .collect();
    counts.sort_by_key(|count| Reverse(count.replies));
    counts
}

/// Formats the counts as two tables.
pub fn render_sum(sum: &Sum) -> String {
    let mut text = format!(
        "{:<16} {:<24} {:<18} {:>8} {:>8} {:>10}  {}\n",
        "team", "service", "ending", "calls", "attempts", "median ms", "cause"
    );
    for count in &sum.calls {
        let _ = writeln!(
            text,
            "{:<16} {:<24} {:<18} {:>8} {:>8} {:>10.1}  {}",
            single_line(&count.team),
            single_line(&count.service),
            count.ending,
            count.calls,
            count.attempts,
            count.took_us as f64 / 1e3,
            count.cause,
        );
    }
    let _ = writeln!(
        text,
        "\n{:<24} {:<24} {:<18} {:>8} {:>8} {:>8} {:>8}",
        "service", "server", "outcome", "replies", "running", "waiting", "allowed"
    );
    for count in &sum.replies {
        let _ = writeln!(
            text,
            "{:<24} {:<24} {:<18} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            single_line(&count.service),
            single_line(&count.server),
            count.outcome,
            count.replies,
            count.running,
            count.waiting,
            count.allowed,
        );
    }
    match sum.left_out {
        0 => {}
        lines => {
            let _ = writeln!(
                text,
                "\nNodes left out {lines} lines, so the counts are samples"
            );
        }
    }
    text
}
