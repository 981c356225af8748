//! Checks of what backend servers say of themselves, and of requests that end them.

use std::{net::SocketAddr, time::Duration};

use super::schedule::{Fault, FaultKind};
use crate::{arrivals::most_in_window, process::client, server::Server};

/// Requests per second that a limited server names.
pub(super) const LIMIT: f64 = 4.0;
/// Sliding window of the users' rule on limits, and what it allows beyond the named rate.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_BURST: f64 = 5.0;
/// Time that the users' rule gives nodes to act on a limit.
const LIMIT_DELAY: Duration = Duration::from_millis(500);
/// Time in which the users require that a leaving server gets no new requests.
const LEAVING_DELAY: Duration = Duration::from_secs(2);
/// Path segment of the requests that end servers.
pub(super) const DEADLY: &str = "deadly";
/// Number of times that callers send a deadly request, and the time between.
const DEADLY_REQUESTS: usize = 10;
const DEADLY_INTERVAL: Duration = Duration::from_millis(150);
/// Servers that may end under one request by the users' rule.
const MAX_ENDS: u64 = 3;

/// Sends a deadly request through one node after the other.
pub(super) async fn send_deadly(targets: Vec<SocketAddr>, path: String) {
    for index in 0..DEADLY_REQUESTS {
        let url = format!("http://{}{path}", targets[index % targets.len()]);
        let request = client().get(url).header("x-deadline-ms", 1_000);
        tokio::spawn(request.send());
        tokio::time::sleep(DEADLY_INTERVAL).await;
    }
}

/// Returns a line if a server that named a limit got more requests in a window than the rule allows.
pub(super) fn check_limit(fault: &Fault, server: &Server) -> Option<String> {
    let from = server.limit_named()? + LIMIT_DELAY;
    let most = most_in_window(&server.arrivals(), from, WINDOW);
    let allowed = LIMIT * WINDOW.as_secs_f64() * ALLOWED_RATIO + ALLOWED_BURST;
    (most as f64 > allowed)
        .then(|| format!("{fault}: {most} arrivals in {WINDOW:?}, {allowed} allowed"))
}

/// Returns a line if a server got requests long after it said that it is leaving. A fault of the process
/// beside it excuses them: the next process hears of the leaving from peers, which may be cut off.
pub(super) fn check_leaving(fault: &Fault, server: &Server, faults: &[Fault]) -> Option<String> {
    let FaultKind::DepartingServer(node) = fault.kind else {
        return None;
    };
    let overlaps = |f: &Fault| f.start < fault.end && fault.start < f.end;
    if faults
        .iter()
        .any(|f| f.node_process() == Some(node) && overlaps(f))
    {
        return None;
    }
    let from = server.leaving_said()? + LEAVING_DELAY;
    let late = server.arrivals().iter().filter(|at| **at > from).count();
    (late > 0).then(|| format!("{fault}: {late} arrivals after it said that it leaves"))
}

/// Returns a line if a deadly request ended more servers than the rule allows.
pub(super) fn check_ends(fault: &Fault, path: &str, servers: &[Server]) -> Option<String> {
    let ends: u64 = servers.iter().map(|s| s.ends_by(path)).sum();
    (ends > MAX_ENDS).then(|| format!("{fault}: {ends} servers ended, {MAX_ENDS} allowed"))
}
