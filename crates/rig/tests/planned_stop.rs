//! Planned stops of nodes that start as deployed, beside slow backend servers.

use std::{
    io,
    time::{Duration, Instant},
};

use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route},
    server::Behavior,
};
use serde_json::json;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

const HOST: &str = "lakes.example";
/// Time that a process has after SIGTERM.
const GRACE: Duration = Duration::from_millis(6_000);
/// Longer than any request takes here.
const PATIENCE: &str = "30s";
/// Time in which a request has reached a backend server or the queue of a gate.
const SETTLED: Duration = Duration::from_millis(300);
/// Starts nodes with patient routes `get-SERVICE` and `post-SERVICE`, the latter for requests that run once.
async fn start(name: &str, net: (u8, u8), nodes: usize, slots: usize) -> io::Result<Site> {
    let mut layout = Layout::new(name, net, nodes);
    layout.slots = slots;
    layout.behavior = Behavior {
        queue: 0,
        ..Behavior::default()
    };
    let mut site = layout.prepare()?;
    let services = ["left", "right"];
    let mut config = Config {
        version: 1,
        routes: Vec::new(),
        services: services.map(str::to_owned).to_vec(),
        limits: CallerLimits::default(),
    };
    for service in services {
        for (kind, idempotent) in [("get", true), ("post", false)] {
            let mut route = Route::new(&format!("{kind}-{service}"), HOST, service);
            route.idempotent = idempotent;
            route.timeout = json!(PATIENCE);
            route.objective = json!(PATIENCE);
            config.routes.push(route);
        }
    }
    config.publish(&site.store).await;
    site.start_nodes().await?;
    Ok(site)
}

/// A request that runs once and takes `work_ms` at its server.
fn post(service: &str, work_ms: u64) -> Request {
    let path = format!("/post-{service}/work-{work_ms}/x");
    Request {
        deadline: Duration::from_secs(20),
        ..Request::post(HOST, &path, b"entry")
    }
}

/// Sends a request to a node over a connection of its own.
fn send(site: &Site, node: usize, request: Request) -> JoinHandle<Answer> {
    let target = site.target(node);
    tokio::spawn(async move { ask_once(target, &request).await })
}

/// Waits for the process to end in its grace period.
async fn wait_stopped(site: &mut Site, node: usize, since: Instant) -> Option<i32> {
    let left = (since + GRACE).saturating_duration_since(Instant::now());
    let exit = timeout(left, site.nodes[node].wait_exit()).await;
    exit.expect("the process ends in its grace period")
}

/// A supervisor repeated SIGTERM, and the process ended at once with the requests that it had.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_sigterm_cuts_no_request() -> io::Result<()> {
    let mut site = start("stop-repeated", (96, 2), 2, 8).await?;
    let requests: Vec<_> = (0..4)
        .map(|_| send(&site, 0, post("right", 3_500)))
        .collect();
    let own: Vec<_> = (0..4)
        .map(|_| send(&site, 1, post("left", 3_500)))
        .collect();
    sleep(SETTLED).await;
    let stopped = Instant::now();
    for pause in [0, 300, 900, 1_500] {
        sleep(Duration::from_millis(pause)).await;
        site.nodes[0].signal("TERM").await;
    }
    for request in requests {
        assert_eq!(request.await?, Answer::Served("right".to_owned()));
    }
    for request in own {
        assert_eq!(request.await?, Answer::Served("left".to_owned()));
    }
    assert_eq!(wait_stopped(&mut site, 0, stopped).await, Some(0));
    Ok(())
}
