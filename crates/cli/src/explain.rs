//! Reconstructs the history of one call from the logs of the nodes that handled it.
//!
//! Log lines are `key=value` pairs. The lines with the call's identifier are sorted by timestamp,
//! and the cause is derived from how the call ended and from the last reply of a gate.

mod sum;

use std::{collections::BTreeMap, fs, io::Read, path::PathBuf, str::Chars};

use serde::Serialize;
use types::CallId;

use crate::{error::ToolError, text::single_line};

pub use sum::{CallCount, ReplyCount, Sum, render_sum, sum};

/// Parsed log line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Values by key.
    pub pairs: BTreeMap<String, String>,
    /// Original text of the line.
    pub text: String,
}

/// History of a call and the cause of its outcome.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Identifier of the call.
    pub call: String,
    /// Log lines of the call, sorted by timestamp.
    pub lines: Vec<LogLine>,
    /// Cause of the outcome, in one or two sentences.
    pub cause: String,
}

/// Explains a call from the logs in `files`, or from standard input if `files` is empty.
///
/// # Errors
///
/// [`ToolError::File`] if a log can't be read, [`ToolError::NoLines`] if no line belongs to the
/// call.
pub fn explain(call: &CallId, files: &[PathBuf]) -> Result<Explanation, ToolError> {
    let mut lines = Vec::new();
    for log in read_logs(files)? {
        lines.extend(log.lines().filter_map(parse).filter(|l| l.belongs_to(call)));
    }
    if lines.is_empty() {
        return Err(ToolError::NoLines { call: call.clone() });
    }
    lines.sort_by(|a, b| a.value("ts").cmp(b.value("ts")));
    Ok(Explanation {
        call: call.to_string(),
        cause: cause(&lines),
        lines,
    })
}

fn read_logs(files: &[PathBuf]) -> Result<Vec<String>, ToolError> {
    let lossy = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    if files.is_empty() {
        let mut bytes = Vec::new();
        let path = PathBuf::from("standard input");
        std::io::stdin()
            .read_to_end(&mut bytes)
            .map_err(|cause| ToolError::File { path, cause })?;
        return Ok(vec![lossy(bytes)]);
    }
    let read_log = |path: &PathBuf| match fs::read(path) {
        Ok(bytes) => Ok(lossy(bytes)),
        Err(cause) => Err(ToolError::File {
            path: path.clone(),
            cause,
        }),
    };
    files.iter().map(read_log).collect()
}

/// Parses a log line and skips any prefix that a log collector added before `ts=`. Returns `None`
/// for other lines.
pub fn parse(text: &str) -> Option<LogLine> {
    let start = text.find("ts=")?;
    let mut rest = &text[start..];
    let mut pairs = BTreeMap::new();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, remaining) = parse_value(after)?;
        pairs.insert(key.trim().to_owned(), value);
        rest = remaining;
    }
    Some(LogLine {
        pairs,
        text: text.trim().to_owned(),
    })
}

/// Parses a value, which is quoted or ends at the next space, and returns it with the remaining
/// text.
fn parse_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut chars = quoted.chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => return Some((value, chars.as_str())),
            '\\' => value.push(parse_escape(&mut chars)?),
            c => value.push(c),
        }
    }
    None
}

/// Parses what follows a backslash in a quoted value.
fn parse_escape(chars: &mut Chars<'_>) -> Option<char> {
    match chars.next()? {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        '0' => Some('\0'),
        'u' => {
            let (digits, rest) = chars.as_str().strip_prefix('{')?.split_once('}')?;
            *chars = rest.chars();
            char::from_u32(u32::from_str_radix(digits, 16).ok()?)
        }
        other => Some(other),
    }
}

impl LogLine {
    /// Returns the value of a key, or an empty string if the line lacks the key.
    pub fn value(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    fn belongs_to(&self, call: &CallId) -> bool {
        self.value("call") == call.as_str()
    }
}

/// Derives the cause from how the call ended and from the last reply of a gate.
fn cause(lines: &[LogLine]) -> String {
    let last = |event: &str| lines.iter().rev().find(|l| l.value("event") == event);
    let reply = last("attempt_heard").or_else(|| last("run_ended"));
    let gate_state = reply.map_or(String::new(), |line| {
        format!(
            " The last word came from the gate of {}: {}, with {} running, {} waiting, {} allowed, pace {} %.",
            single_line(line.value("server")),
            line.value("outcome"),
            line.value("running"),
            line.value("waiting"),
            line.value("allowed"),
            line.value("pace"),
        )
    });
    let Some(end) = last("call_ended") else {
        return match last("caller_left") {
            Some(_) => format!("The caller went away before an answer.{gate_state}"),
            None => format!("The node that took the request logged no ending.{gate_state}"),
        };
    };
    let has_key = last("key_rejected").map(|line| line.value("has_key"));
    let meaning = match (end.value("ending"), has_key) {
        ("no_team", Some("false")) => {
            "It was rejected and not run: it needs the key of a team, and came with none or several"
        }
        ("no_team", Some(_)) => {
            "It was rejected and not run: no team holds the key that it came with"
        }
        ("no_team", None) => {
            "It was rejected and not run: no team held its key any more when it was to run"
        }
        (ending, _) => meaning(ending),
    };
    let team_state = team_state(last("key_rejected"), last("team_refused"));
    format!(
        "{meaning} ({} after {} us, view {}).{team_state}{gate_state}",
        end.value("ending"),
        end.value("took_us"),
        end.value("view"),
    )
}

/// What an ending alone says about a call.
fn meaning(ending: &str) -> &'static str {
    match ending {
        "answer" => "It was answered by a backend server",
        "busy" => "It was refused and not run: no backend server could have answered in time",
        "limited" => {
            "It was refused and not run: the backend servers have named limits, and there was no room \
             under them"
        }
        "quarantined" => {
            "It was refused and not run: backend servers have ended under equal requests"
        }
        "failing" => "It was refused and not run: most answers of the backend servers failed",
        "slow" => "It was refused and not run: all backend servers were slow",
        "late" => "It was refused and not run: its deadline passed while it waited",
        "leaving" => "It was refused and not run: the backend servers take no new work",
        "stale" => "It was refused and not run: the gate's view was too old to be acted on",
        "misplaced" => "It was refused and not run: the backend servers that were named are gone",
        "misdirected" => {
            "It was rejected and not run: other backend servers have replaced those that were named"
        }
        "down" => "It was refused and not run: no backend server could be reached",
        "joining" => "It was refused and not run: the node had no view yet",
        "no_route" => "No route takes it",
        "no_team" => "It was rejected and not run: it came without the key of a known team",
        "keys_unproven" => {
            "It was rejected and not run: the node couldn't prove that its configuration is current, so that its \
             key may have been withdrawn"
        }
        "over_allowance" => "It was refused and not run: its team had used up its allowance",
        "allowance_unknown" => {
            "It was refused and not run: no node that knows what is left of its team's allowance answered"
        }
        "unknown" => "Nobody can tell whether it ran: what was sent was not answered whole",
        "unknown_late" => "Nobody can tell whether it ran: its deadline passed while it ran",
        _ => "It ended otherwise",
    }
}

/// What the node knew of the proof for keys, or of the team's allowance.
fn team_state(key: Option<&LogLine>, team: Option<&LogLine>) -> String {
    match (key, team) {
        (Some(key), _) if !matches!(key.value("proof_ms"), "" | "None") => {
            format!(" The last proof was {} ms old.", key.value("proof_ms"))
        }
        (_, Some(team)) if !matches!(team.value("room_ms"), "" | "None") => format!(
            " There was room for team {} in {} ms.",
            single_line(team.value("team")),
            team.value("room_ms"),
        ),
        (_, Some(team)) => format!(" It was of team {}.", single_line(team.value("team"))),
        _ => String::new(),
    }
}

/// Formats an explanation as text.
pub fn render(explanation: &Explanation) -> String {
    let mut text = String::new();
    for line in &explanation.lines {
        text += &format!("{}\n", line.text);
    }
    text + &format!("=> {}\n", explanation.cause)
}
