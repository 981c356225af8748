//! What must hold, judged by what callers and backend servers saw.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{
    DEADLINE,
    schedule::{Fault, Kind},
};
use crate::{load::Sample, server::Server};

/// Time after its deadline by which a call must have ended.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);
/// Time around a kill in which callers may see connections cut.
const CUT_SLACK: Duration = Duration::from_millis(200);
/// Calls that may cross the close of an idle connection when a node stops. A caller can't know of it in
/// time, and may send such a call again; more than one is no coincidence.
const MOST_CROSSING: usize = 1;
/// Repeats for each request that the fleet may send, and beyond that, as the users' deployments allow.
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_SLACK: u64 = 60;

/// The calls of one run and what they met.
pub(crate) struct Evidence<'a> {
    pub(crate) samples: &'a [Sample],
    pub(crate) servers: &'a [Server],
    pub(crate) faults: &'a [Fault],
    pub(crate) targets: &'a [SocketAddr],
}

impl Evidence<'_> {
    /// All that is wrong, one line each.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut repeats = 0;
        let mut crossing: HashMap<usize, usize> = HashMap::new();
        for call in self.samples {
            let runs: u64 = self.servers.iter().map(|s| s.run_count(&call.id)).sum();
            repeats += runs.saturating_sub(1);
            match self.stop_of(call) {
                Some(stop) if call.result == "cut" && runs == 0 => {
                    *crossing.entry(stop).or_default() += 1;
                }
                _ => found.extend(self.judge(call, runs)),
            }
        }
        for (stop, count) in crossing.into_iter().filter(|(_, c)| *c > MOST_CROSSING) {
            let fault = &self.faults[stop];
            found.push(format!("{fault}: {count} calls were cut unread"));
        }
        let allowed = (self.samples.len() as f64 * REPEAT_RATIO) as u64 + REPEAT_SLACK;
        if repeats > allowed {
            found.push(format!(
                "{repeats} repeats for {} calls",
                self.samples.len()
            ));
        }
        found.extend(self.strangers());
        found
    }

    fn judge(&self, call: &Sample, runs: u64) -> Option<String> {
        let wrong = match call.result.as_str() {
            "wrong" => "got an answer that isn't its own",
            _ if !call.idempotent && runs > 1 => "ran more than once",
            _ if call.outcome == "not-run" && runs > 0 => "was told that it hasn't run, and has",
            "ok" if runs == 0 => "got an answer without having run",
            "cut" if !self.is_killed(call) => "was cut by a node that wasn't killed",
            _ if call.latency > DEADLINE + ANSWER_SLACK && !self.is_disturbed(call) => {
                "ended long after its deadline"
            }
            _ => return None,
        };
        let (due, took) = (call.scheduled.as_secs_f64(), call.latency.as_secs_f64());
        let Sample {
            id, target, result, ..
        } = call;
        Some(format!(
            "{due:.3} s: {id} to {target} {wrong} ({result}, {runs} runs, took {took:.3} s)"
        ))
    }

    fn faults_at(&self, target: SocketAddr) -> impl Iterator<Item = &Fault> {
        let at = self.targets.iter().position(|t| *t == target);
        self.faults
            .iter()
            .filter(move |f| f.process().is_some() && f.process() == at)
    }

    fn is_killed(&self, call: &Sample) -> bool {
        let end = call.scheduled + call.latency + CUT_SLACK;
        self.faults_at(call.target).any(|f| {
            matches!(f.kind, Kind::Kill(_)) && call.scheduled <= f.at + CUT_SLACK && f.at <= end
        })
    }

    /// The fault that stops the node in order while it has this call.
    fn stop_of(&self, call: &Sample) -> Option<usize> {
        let at = self.targets.iter().position(|t| *t == call.target)?;
        let end = call.scheduled + call.latency;
        let stops =
            |f: &Fault| f.kind == Kind::Stop(at) && f.at <= end && call.scheduled <= f.until;
        self.faults.iter().position(stops)
    }

    fn is_disturbed(&self, call: &Sample) -> bool {
        let end = call.scheduled + call.latency;
        self.faults_at(call.target)
            .any(|f| f.at <= end && call.scheduled <= f.until)
    }

    /// Runs of requests that no caller sent.
    fn strangers(&self) -> Option<String> {
        let sent: HashMap<&str, ()> = self.samples.iter().map(|e| (e.id.as_str(), ())).collect();
        let request_ids = self.servers.iter().flat_map(Server::request_ids);
        let strange = request_ids
            .filter(|id| !sent.contains_key(id.as_str()))
            .count();
        (strange > 0).then(|| format!("{strange} requests ran that no caller sent"))
    }
}
