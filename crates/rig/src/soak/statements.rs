//! Checks of what backend servers say of themselves, and of requests that end them.

use std::{
    collections::BTreeMap,
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
/// Servers that may end under one request at first, in the time in which ten of them are sent through nodes in
/// touch. A node that isn't in touch knows no more than its own, so it may end as many.
const MAX_ENDS: usize = 3;
const FIRST_TIME: Duration = Duration::from_millis(1_500);
/// The users' rule: requests that may reach servers later than this after the third has ended.
const MAX_RETRIES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Sends a deadly request through one node of `callers` after the other until a time after the end of its
/// first hold, and a harmless one with the same path through those of `others`.
pub(super) async fn send_deadly(
    callers: Vec<(usize, SocketAddr)>,
    others: Vec<(usize, SocketAddr)>,
    path: String,
    until: Instant,
) {
    let mut index = 0;
    while Instant::now() < until {
        let get = |targets: &[(usize, SocketAddr)]| {
            let (node, target) = targets[index % targets.len()];
            let request = client().get(format!("http://{target}{path}"));
            let request = request.header("x-request-id", request_id(node));
            request.header("x-deadline-ms", 1_000)
        };
        tokio::spawn(get(&callers).send());
        tokio::spawn(get(&others).header(HARMLESS, 1).send());
        tokio::time::sleep(DEADLY_INTERVAL).await;
        index += 1;
    }
}

/// A new id that names the node through which the request is sent.
fn request_id(node: usize) -> String {
    format!("{node:016x}{:016x}", rand::random::<u64>())
}

fn node_of(request: &str) -> Option<usize> {
    usize::from_str_radix(request.get(..16)?, 16).ok()
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
/// allowed. The times of `faults` are those since `start`.
pub(super) fn check_ends(
    fault: &Fault,
    path: &str,
    servers: &[Server],
    faults: &[Fault],
    start: Instant,
) -> Option<String> {
    let mut ends: Vec<_> = servers.iter().flat_map(|s| s.ends_by(path)).collect();
    ends.sort_by_key(|end| end.at);
    // The ends by nodes in touch, and those by each other node.
    let mut first: BTreeMap<Option<usize>, usize> = BTreeMap::new();
    for end in ends.iter().filter(|end| end.at < ends[0].at + FIRST_TIME) {
        let node = node_of(&end.request);
        let is_disturbed = |f: &Fault| {
            f.disturbed_node() == node
                && (start + f.injected..=start + f.end + STABLE_WINDOW).contains(&end.at)
        };
        let sender = node.filter(|_| faults.iter().any(is_disturbed));
        *first.entry(sender).or_default() += 1;
    }
    let most = first.values().copied().max().unwrap_or_default();
    let stable_at = ends.get(MAX_ENDS - 1).map(|third| third.at + STABLE_WINDOW);
    let later = stable_at.map_or(0, |stable_at| {
        ends.iter().filter(|end| end.at > stable_at).count()
    });
    match () {
        () if most > MAX_ENDS => Some(format!(
            "{fault}: {most} servers ended, {MAX_ENDS} allowed; by nodes out of touch: {first:?}"
        )),
        () if later > MAX_RETRIES => Some(format!(
            "{fault}: {later} requests reached servers later, {MAX_RETRIES} allowed"
        )),
        () => None,
    }
}
