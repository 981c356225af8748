//! Planned stops of nodes that start as deployed, beside slow backend servers, with requests on open
//! connections until the process is gone.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rig::site::{
    caller::{Answer, Connection, Request, Sample, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route},
    journal::Arrival,
    server::Behavior,
    stop::{GRACE, Stop},
    store::Trouble,
};
use serde_json::json;
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

const HOST: &str = "lakes.example";
/// Longer than any request takes here.
const PATIENCE: &str = "30s";
/// Time in which a request has reached a backend server or the queue of a gate.
const SETTLED: Duration = Duration::from_millis(300);
/// Answer to a request that wasn't run and never will be.
const NOT_RUN: Answer = Answer::Failed {
    status: 503,
    signed: false,
};

/// Starts nodes with patient routes `get-SERVICE` and `post-SERVICE`, the latter for requests that run once.
async fn start(name: &str, net: (u8, u8), nodes: usize, slots: usize) -> io::Result<Site> {
    let mut layout = Layout::new(name, net, nodes);
    layout.slots = slots;
    layout.behavior = Behavior {
        queue: 0,
        ..Behavior::default()
    };
    start_layout(layout).await
}

async fn start_layout(layout: Layout) -> io::Result<Site> {
    let mut site = layout.prepare()?;
    let services = ["left", "right"];
    let mut config = Config {
        version: 1,
        routes: Vec::new(),
        services: services.map(str::to_owned).to_vec(),
        teams: Vec::new(),
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
        timeout: Duration::from_secs(20),
        ..Request::post(HOST, &path, b"entry")
    }
}

/// Sends a request to a node over a connection of its own.
fn send(site: &Site, node: usize, request: Request) -> JoinHandle<Answer> {
    let target = site.target(node);
    tokio::spawn(async move { ask_once(target, &request).await })
}

fn runs(site: &Site, id: &str) -> usize {
    let arrivals = site.journal.all();
    arrivals
        .iter()
        .filter(|a| a.id == id && a.run_at.is_some())
        .count()
}

/// Waits for the process to end in its grace period.
async fn wait_stopped(site: &mut Site, node: usize, since: Instant) -> Option<i32> {
    let left = (since + GRACE).saturating_duration_since(Instant::now());
    let exit = timeout(left, site.nodes[node].wait_exit()).await;
    exit.expect("the process ends in its grace period")
}

/// A request in the queue of the gate of node 1, and the one that it waits for, both sent through node 0.
struct Queued {
    id: String,
    running: JoinHandle<Answer>,
    waiting: JoinHandle<Answer>,
}

/// Sends a request that takes longer than a grace period, and then one that has to wait for it.
async fn queue_behind(site: &Site) -> Queued {
    let running = send(site, 0, post("right", 8_000));
    sleep(SETTLED).await;
    let queued = post("right", 50);
    let id = queued.id.clone();
    let waiting = send(site, 0, queued);
    sleep(SETTLED).await;
    Queued {
        id,
        running,
        waiting,
    }
}

/// The request was in progress when SIGTERM came, and was cut at the exit though no server had run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_still_queued_at_the_end_of_a_planned_stop_is_told_as_not_run() -> io::Result<()>
{
    let mut site = start("stop-queued", (96, 0), 2, 1).await?;
    let Queued {
        id,
        running,
        waiting,
    } = queue_behind(&site).await;
    let stopped = Instant::now();
    site.nodes[0].signal("TERM").await;
    assert_eq!(waiting.await?, NOT_RUN);
    wait_stopped(&mut site, 0, stopped).await;
    running.await?;
    // The server is free again, and starts nothing that was told as not run.
    sleep((stopped + Duration::from_secs(9)).saturating_duration_since(Instant::now())).await;
    assert_eq!(runs(&site, &id), 0);
    Ok(())
}

/// The gate of the stopping node had a request in its queue when the process ended, and the node that had
/// sent it could not know that it never ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_queued_at_the_gate_of_a_stopping_node_is_answered_as_not_run() -> io::Result<()>
{
    let mut site = start("stop-gate", (96, 1), 2, 1).await?;
    let Queued {
        id,
        running,
        waiting,
    } = queue_behind(&site).await;
    let stopped = Instant::now();
    site.nodes[1].signal("TERM").await;
    assert_eq!(waiting.await?, NOT_RUN);
    wait_stopped(&mut site, 1, stopped).await;
    running.abort();
    assert_eq!(runs(&site, &id), 0);
    Ok(())
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

/// The stop limit of all deployments was 5.3 s, and requests were cut that had 4.7 s of the grace period left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_gets_the_whole_grace_period_of_its_deployment() -> io::Result<()> {
    let mut layout = Layout::new("stop-grace", (96, 5), 2);
    layout.grace = "10s".to_owned();
    let site = start_layout(layout).await?;
    let requests: Vec<_> = (0..4)
        .map(|_| send(&site, 0, post("right", 7_500)))
        .collect();
    sleep(SETTLED).await;
    site.nodes[0].signal("TERM").await;
    for request in requests {
        assert_eq!(request.await?, Answer::Served("right".to_owned()));
    }
    Ok(())
}

/// A node that was about to stop still started requests of other nodes that took longer than it had, and cut
/// them at its exit. Their callers were told that nobody knows whether they ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_from_another_node_is_not_started_where_the_exit_may_cut_it() -> io::Result<()> {
    let mut site = start("stop-other", (96, 6), 4, 1).await?;
    // The gates learn that requests take a second and a half.
    for request in [(); 4].map(|()| send(&site, 0, post("right", 1_500))) {
        assert_eq!(request.await?, Answer::Served("right".to_owned()));
    }
    let stopped = Instant::now();
    site.nodes[2].signal("TERM").await;
    sleep(SETTLED).await;
    let requests: Vec<_> = (0..2)
        .map(|_| send(&site, 0, post("right", 6_500)))
        .collect();
    for request in requests {
        let answer = request.await?;
        let is_told = answer == Answer::Served("right".to_owned()) || answer == NOT_RUN;
        assert!(is_told, "{answer:?}");
    }
    assert_eq!(wait_stopped(&mut site, 2, stopped).await, Some(0));
    Ok(())
}

/// Callers of a node that keep sending on open connections, and on new ones, until the process is gone.
struct Callers {
    tasks: JoinSet<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

/// Deadlines of callers, and the time that their requests take.
const DEADLINES_MS: [u64; 3] = [900, 3_000, 8_000];
const WORK_MS: [u64; 5] = [5, 60, 400, 1_500, 5_000];

impl Callers {
    fn start(site: &Site, node: usize, count: usize, until: Instant) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let (target, samples) = (site.target(node), Arc::clone(&samples));
            tasks.spawn(async move {
                let mut turn = number;
                while Instant::now() < until {
                    let Ok(mut connection) = Connection::open(target).await else {
                        sleep(Duration::from_millis(50)).await;
                        continue;
                    };
                    while Instant::now() < until && !connection.is_closing {
                        turn += 1;
                        let request = mixed_request(turn);
                        let sent = Instant::now();
                        let answer = connection.ask(&request).await;
                        let is_cut = answer == Answer::Cut;
                        samples.lock().expect("mutex isn't poisoned").push(Sample {
                            node,
                            request,
                            sent,
                            ended: Instant::now(),
                            answer,
                        });
                        if is_cut {
                            break;
                        }
                        sleep(Duration::from_millis(turn as u64 % 40)).await;
                    }
                }
            });
        }
        Self { tasks, samples }
    }

    async fn finish(mut self) -> Vec<Sample> {
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.samples.lock().expect("mutex isn't poisoned"))
    }
}

fn mixed_request(turn: usize) -> Request {
    let service = ["left", "right"][turn % 2];
    let work = WORK_MS[turn / 2 % WORK_MS.len()];
    let deadline = DEADLINES_MS[turn % DEADLINES_MS.len()];
    let request = match turn % 4 < 2 {
        true => Request::get(HOST, &format!("/get-{service}/work-{work}/x")),
        false => Request::post(HOST, &format!("/post-{service}/work-{work}/x"), b"entry"),
    };
    Request {
        timeout: Duration::from_millis(deadline),
        ..request
    }
}

/// Requests that a stop cut or replaced, a line each.
fn losses(stops: &[Stop], samples: &[Sample], arrivals: &[Arrival]) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let none = Vec::new();
    let mut found = Vec::new();
    for sample in samples {
        let arrivals = by_id.get(sample.request.id.as_str()).unwrap_or(&none);
        for stop in stops {
            if stop.has_cut(sample, arrivals) || stop.has_replaced(sample, arrivals) {
                let sent = sample.sent.saturating_duration_since(stop.at);
                let took = sample.ended - sample.sent;
                found.push(format!(
                    "{:?} sent {sent:?} took {took:?}: {arrivals:?}",
                    sample.answer
                ));
            }
        }
    }
    found
}

/// Stops the first `count` nodes of six within a second, each with `signals` SIGTERM, beside callers of each.
async fn stop_under_load(
    name: &str,
    net: (u8, u8),
    callers: usize,
    count: usize,
    signals: usize,
) -> io::Result<()> {
    let mut site = start(name, net, 6, 3).await?;
    let until = Instant::now() + Duration::from_secs(3) + GRACE;
    let callers: Vec<_> = (0..count)
        .map(|node| Callers::start(&site, node, callers, until))
        .collect();
    sleep(Duration::from_secs(2)).await;
    let mut stops = Vec::new();
    for node in 0..count {
        stops.push(Stop {
            node,
            at: Instant::now(),
        });
        for _ in 0..signals {
            site.nodes[node].signal("TERM").await;
            sleep(Duration::from_millis(200)).await;
        }
    }
    for stop in &stops {
        wait_stopped(&mut site, stop.node, stop.at).await;
    }
    let mut samples = Vec::new();
    for callers in callers {
        samples.extend(callers.finish().await);
    }
    let losses = losses(&stops, &samples, &site.journal.all());
    assert!(
        losses.is_empty(),
        "{} of {}: {losses:#?}",
        losses.len(),
        samples.len()
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_load_answers_what_it_has_read() -> io::Result<()> {
    stop_under_load("stop-load", (96, 3), 120, 1, 1).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_planned_stops_at_once_answer_what_they_have_read() -> io::Result<()> {
    stop_under_load("stop-two", (96, 4), 60, 2, 2).await
}

/// Asks a node until its process has ended, and returns what callers got.
async fn ask_until_exit(site: &mut Site, node: usize) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !site.nodes[node].has_exited() {
        let request = Request::get(HOST, "/get-left/x");
        answers.push(ask_once(site.target(node), &request).await);
        sleep(Duration::from_millis(20)).await;
    }
    answers
}

/// Nodes that were stopped before they knew a configuration answered 404 on a route that it has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_stopped_before_it_has_joined_answers_503_until_it_exits() -> io::Result<()>
{
    let mut site = Layout::new("site-early-stop", (113, 0), 4).prepare()?;
    let config = Config {
        version: 1,
        routes: vec![Route::new("get-left", HOST, "left")],
        services: vec!["left".to_owned()],
        teams: Vec::new(),
        limits: CallerLimits::default(),
    };
    config.publish(&site.store).await;
    site.store.trouble(Trouble::Silent);
    let signals: [&[&str]; 4] = [&["TERM"], &["INT"], &["HUP", "TERM"], &["TERM", "TERM"]];
    for node in 0..signals.len() {
        let process = site.start_node(node)?;
        site.nodes.push(process);
    }
    for node in 0..signals.len() {
        let request = Request::get(HOST, "/get-left/x");
        while ask_once(site.target(node), &request).await != NOT_RUN {
            sleep(Duration::from_millis(20)).await;
        }
    }
    for (node, signals) in signals.into_iter().enumerate() {
        for signal in signals {
            site.nodes[node].signal(signal).await;
            sleep(SETTLED).await;
        }
        let answers = ask_until_exit(&mut site, node).await;
        let refused = answers.iter().filter(|answer| **answer == NOT_RUN).count();
        assert!(refused > 10, "{signals:?}: {answers:?}");
        let others = answers.iter().filter(|answer| {
            // The last requests meet a listener that is closed, or a process that is gone.
            !matches!(answer, Answer::Unconnected | Answer::Cut) && **answer != NOT_RUN
        });
        assert_eq!(others.count(), 0, "{signals:?}: {answers:?}");
    }
    site.stop().await;
    Ok(())
}
