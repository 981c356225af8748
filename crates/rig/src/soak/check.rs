//! Invariants of a soak, checked against what callers and backend servers observed.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{
    DEADLINE,
    schedule::{Fault, FaultKind},
};
use crate::{load::Sample, server::Server};

/// Time after its deadline by which a call must end.
const DEADLINE_SLACK: Duration = Duration::from_millis(1_000);
/// Time around a SIGKILL in which callers may see connections cut.
const KILL_SLACK: Duration = Duration::from_millis(200);
/// Calls that may be cut without a run at each SIGTERM: a caller can send on an idle connection just as
/// the node closes it, and may send such a call again. More of them point to a fault of the node.
const MAX_UNREAD_CUTS: usize = 1;
/// Maximum ratio of retries to calls that the users' platform allows: arrivals beyond the first of each call,
/// whether they ran or not.
const MAX_RETRY_RATIO: f64 = 0.2;
/// Retries that may arrive on top of [`MAX_RETRY_RATIO`].
const RETRY_ALLOWANCE: u64 = 60;

/// Observations of one soak.
pub(crate) struct Observations<'a> {
    pub(crate) samples: &'a [Sample],
    pub(crate) servers: &'a [Server],
    pub(crate) faults: &'a [Fault],
    /// Addresses for callers, in the order of the nodes.
    pub(crate) targets: &'a [SocketAddr],
}

impl Observations<'_> {
    /// Returns a line for each violated invariant.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut retries = 0;
        let mut unread_cuts: HashMap<usize, usize> = HashMap::new();
        for call in self.samples {
            let runs: u64 = self.servers.iter().map(|s| s.run_count(&call.id)).sum();
            let arrivals: u64 = self.servers.iter().map(|s| s.arrival_count(&call.id)).sum();
            retries += arrivals.saturating_sub(1);
            match self.termination_of(call) {
                Some(termination) if call.result == "cut" && runs == 0 => {
                    *unread_cuts.entry(termination).or_default() += 1;
                }
                _ => violations.extend(self.check_call(call, runs)),
            }
        }
        for (termination, count) in unread_cuts
            .into_iter()
            .filter(|(_, c)| *c > MAX_UNREAD_CUTS)
        {
            let fault = &self.faults[termination];
            violations.push(format!("{fault}: {count} calls were cut before they ran"));
        }
        let max_retries = (self.samples.len() as f64 * MAX_RETRY_RATIO) as u64 + RETRY_ALLOWANCE;
        if retries > max_retries {
            violations.push(format!(
                "{retries} repeated arrivals for {} calls",
                self.samples.len()
            ));
        }
        violations.extend(self.unknown_requests());
        violations
    }

    fn check_call(&self, call: &Sample, runs: u64) -> Option<String> {
        let violation = match call.result.as_str() {
            "wrong" => "got a response that isn't an echo of its request",
            _ if !call.idempotent && runs > 1 => "ran more than once",
            _ if call.outcome == "not-run" && runs > 0 => "was reported as not run, but ran",
            "ok" if runs == 0 => "was answered, but didn't run",
            "cut" if !self.is_cut_by_kill(call) => "was cut by a node that wasn't killed",
            _ if call.latency > DEADLINE + DEADLINE_SLACK && !self.is_node_faulty(call) => {
                "ended long after its deadline"
            }
            _ => return None,
        };
        let (scheduled_s, latency_s) = (call.scheduled.as_secs_f64(), call.latency.as_secs_f64());
        let Sample {
            id, target, result, ..
        } = call;
        Some(format!(
            "{scheduled_s:.3} s: {id} to {target} {violation} ({result}, {runs} runs, took {latency_s:.3} s)"
        ))
    }

    /// Faults of the process of the node at `target`.
    fn process_faults(&self, target: SocketAddr) -> impl Iterator<Item = &Fault> {
        let node = self.targets.iter().position(|t| *t == target);
        self.faults
            .iter()
            .filter(move |f| f.node_process().is_some() && f.node_process() == node)
    }

    /// Whether the node was killed during this call, or within [`KILL_SLACK`] of it.
    fn is_cut_by_kill(&self, call: &Sample) -> bool {
        let end = call.scheduled + call.latency + KILL_SLACK;
        self.process_faults(call.target).any(|f| {
            matches!(f.kind, FaultKind::Kill(_))
                && call.scheduled <= f.injected + KILL_SLACK
                && f.start <= end
        })
    }

    /// Index of the SIGTERM fault that overlapped this call at its node.
    fn termination_of(&self, call: &Sample) -> Option<usize> {
        let node = self.targets.iter().position(|t| *t == call.target)?;
        let end = call.scheduled + call.latency;
        let terminates = |f: &Fault| {
            f.kind == FaultKind::Terminate(node) && f.start <= end && call.scheduled <= f.end
        };
        self.faults.iter().position(terminates)
    }

    /// Whether a fault of the node's process overlapped this call.
    fn is_node_faulty(&self, call: &Sample) -> bool {
        let end = call.scheduled + call.latency;
        self.process_faults(call.target)
            .any(|f| f.start <= end && call.scheduled <= f.end)
    }

    /// Returns a line if any requests ran that no caller sent.
    fn unknown_requests(&self) -> Option<String> {
        let sent_ids: HashMap<&str, ()> =
            self.samples.iter().map(|s| (s.id.as_str(), ())).collect();
        let request_ids = self.servers.iter().flat_map(Server::request_ids);
        let unknown = request_ids
            .filter(|id| !sent_ids.contains_key(id.as_str()))
            .count();
        (unknown > 0).then(|| format!("{unknown} requests ran that no caller sent"))
    }
}
