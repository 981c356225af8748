//! Checks of what backend servers say of themselves, and of requests that end them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::schedule::{Fault, FaultKind};
use crate::{
    arrivals::most_in_window,
    process::client,
    server::{HARMLESS, Server},
};

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
/// Time between two deadly requests.
const DEADLY_INTERVAL: Duration = Duration::from_millis(150);
/// Servers that may end under one request at first, in the time in which ten of them are sent.
const MAX_ENDS: usize = 3;
const FIRST_TIME: Duration = Duration::from_millis(1_500);
/// The users' rule: requests that may reach servers later than this after the third has ended.
const MAX_RETRIES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Sends a deadly request through one node of `callers` after the other until a time after the end of its
/// first hold, and a harmless one with the same path through those of `others`.
pub(super) async fn send_deadly(
    callers: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
    path: String,
    until: Instant,
) {
    let mut index = 0;
    while Instant::now() < until {
        let get = |targets: &[SocketAddr]| {
            let url = format!("http://{}{path}", targets[index % targets.len()]);
            client().get(url).header("x-deadline-ms", 1_000)
        };
        tokio::spawn(get(&callers).send());
        tokio::spawn(get(&others).header(HARMLESS, 1).send());
        tokio::time::sleep(DEADLY_INTERVAL).await;
        index += 1;
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

/// Returns a line if a deadly request ended more servers at first, or reached more of them later, than
/// allowed.
pub(super) fn check_ends(fault: &Fault, path: &str, servers: &[Server]) -> Option<String> {
    let mut ends: Vec<_> = servers.iter().flat_map(|s| s.ends_by(path)).collect();
    ends.sort();
    let first = ends.iter().filter(|at| **at < ends[0] + FIRST_TIME).count();
    let stable_at = ends.get(MAX_ENDS - 1).map(|third| *third + STABLE_WINDOW);
    let later = stable_at.map_or(0, |stable_at| {
        ends.iter().filter(|at| **at > stable_at).count()
    });
    match () {
        () if first > MAX_ENDS => Some(format!(
            "{fault}: {first} servers ended, {MAX_ENDS} allowed"
        )),
        () if later > MAX_RETRIES => Some(format!(
            "{fault}: {later} requests reached servers later, {MAX_RETRIES} allowed"
        )),
        () => None,
    }
}
