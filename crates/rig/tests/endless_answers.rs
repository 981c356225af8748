//! Backend servers that send without end, beside nodes as deployed: memory, and the requests of other callers.

use std::{
    fs, io,
    time::{Duration, Instant},
};

use futures::future::join_all;
use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route},
    endless::{self, KINDS},
};
use serde_json::json;
use tokio::time::sleep;

/// Memory of the smallest machine in the users' site files: a process that exceeds it is killed.
const MEMORY_KB: u64 = 160 * 1_024;
/// Most slots that a backend server has in the users' site files.
const SLOTS: usize = 9;
const HOST: &str = "lakes.example";
/// Time for which callers wait for one of the endless answers.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Nodes beside a sound server of `left` and one of `right` that sends without end.
async fn start() -> io::Result<Site> {
    let mut layout = Layout::new("site-endless", (114, 0), 2);
    layout.slots = SLOTS;
    let mut site = layout.prepare()?;
    let routes = ["left", "right"].map(|service| {
        let mut route = Route::new(service, HOST, service);
        route.timeout = json!("10s");
        route
    });
    let config = Config {
        version: 1,
        routes: routes.to_vec(),
        services: ["left", "right"].map(str::to_owned).to_vec(),
        teams: Vec::new(),
        limits: CallerLimits::default(),
    };
    config.publish(&site.store).await;
    site.servers[1].leave(&site.store).await.await;
    let place = site.servers[1].place().clone();
    tokio::spawn(endless::serve(place.address, place.slots));
    endless::register(&place, &site.store).await;
    site.start_nodes().await?;
    Ok(site)
}

/// Largest resident size that the process of a node has had.
fn peak_kb(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|text| text.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| io::Error::other("no peak of the resident size"))
}

/// Sends requests to both nodes until a moment, of which each must be served.
async fn expect_served_until(site: &Site, end: Instant, case: &str) {
    while Instant::now() < end {
        for node in 0..site.nodes.len() {
            let request = Request::get(HOST, "/left/x");
            let answer = ask_once(site.target(node), &request).await;
            assert_eq!(answer, Answer::Served("left".to_owned()), "{case}");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends requests whose answers have no end to both nodes until a moment, as many at a time as fill all slots
/// twice.
async fn fail_until(site: &Site, end: Instant, kind: &str) {
    let is_failure = |answer: &Answer| {
        matches!(
            answer,
            Answer::Failed {
                signed: false,
                status: 500..
            }
        )
    };
    while Instant::now() < end {
        let requests = (0..2 * SLOTS).map(|number| {
            let request = Request {
                timeout: PATIENCE,
                ..Request::get(HOST, &format!("/right/{kind}"))
            };
            let target = site.target(number % 2);
            async move { ask_once(target, &request).await }
        });
        let answers = join_all(requests).await;
        assert!(answers.iter().all(is_failure), "{kind}: {answers:?}");
    }
}

/// On systems like this one, a machine kept what such a server sent until its memory was used up, and the requests
/// of its other callers ended with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_in_all_slots_neither_end_a_node_nor_its_other_requests()
-> io::Result<()> {
    let site = start().await?;
    let mut peaks = Vec::new();
    for kind in KINDS.map(|kind| kind.name) {
        let end = Instant::now() + PATIENCE;
        let served = expect_served_until(&site, end, kind);
        tokio::join!(fail_until(&site, end, kind), served);
        for (node, process) in site.nodes.iter().enumerate() {
            peaks.push((kind, node, peak_kb(process.pid())?));
        }
    }
    println!("{peaks:?}");
    let is_within = |(_, _, peak): &(&str, usize, u64)| *peak < MEMORY_KB;
    assert!(peaks.iter().all(is_within), "{peaks:?}");
    site.stop().await;
    Ok(())
}
