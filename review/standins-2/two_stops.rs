//! Machines are stopped in turn while one of them waits for an answer from another one's upstream.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::harness::*;

/// Between the stops of two machines.
const GAP: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_millis(6_000);
const LONG: Duration = Duration::from_millis(4_600);
const DEADLINE: Duration = Duration::from_millis(6_000);

/// A request, when it was sent and when its answer came.
struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    answer: Answer,
}

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let net = Net::find(3);
    let dir = Folder::create();
    let store = Store::start(net.store());
    let runs: Shared<Vec<Run>> = Shared::default();
    let routes = [
        Route { name: "r-elenco", prefix: "/elenco/", kind: "upload", service: "elenco" },
        Route { name: "r-mercado", prefix: "/mercado/", kind: "unsafe", service: "mercado" },
    ];
    store.put("op/config", &config(3, &["elenco", "mercado"], &routes, "6000ms"), None);
    let services = ["mercado", "elenco", "elenco"];
    let _servers: Vec<Upstream> = (1..=3)
        .map(|host| {
            let work = Work { takes: ms(160), long: LONG };
            let (id, service) = (format!("i-{host}"), services[usize::from(host) - 1]);
            let address = net.server(host);
            Upstream::start(
                &id, service, "ne-br-a", address, unix_ms(), work, &store, &record, &runs,
            )
        })
        .collect();
    let start = |host: u8| {
        let service = services[usize::from(host) - 1];
        let seeds: &[u8] = &[1, 2, 3];
        Node::start(&net, &dir.0, &NodeOptions { host, service, zone: "ne-br-a", seeds, grace: "6s" })
    };
    let mut nodes: Vec<Node> = (1..=3).map(start).collect();
    for host in 1..=3 {
        if !wait_ready(&net, host, ms(10_000)) {
            cannot_run("a node isn't ready");
        }
    }
    thread::sleep(ms(1_000));

    // What the consumers of the first machine send usually.
    let body = vec![b'r'; 2_000];
    let send_one = |path: &'static str| {
        let (net, record, body) = (net.clone(), record.clone(), body.clone());
        thread::spawn(move || {
            let request =
                Request { method: "POST", host: "example", path, deadline: DEADLINE, body: &body };
            let at = Instant::now();
            let (id, answer) = send(net.outbound(1), &request, &record);
            Sent { id, at, ended: Instant::now(), answer }
        })
    };
    for _ in 0..20 {
        let first = send_one("/elenco/roster");
        let second = send_one("/elenco/roster");
        let answers = [first.join().unwrap(), second.join().unwrap()];
        if answers.iter().any(|sent| sent.answer.status() != Some(200)) {
            cannot_run("a request isn't answered before the stops");
        }
    }

    // The second machine is stopped, then the first, then the third.
    let began = Instant::now();
    let mut stops: Vec<Option<Instant>> = vec![None; 3];
    let mut requests = Vec::new();
    for step in 0..22 {
        let now = GAP / 10 * step;
        thread::sleep(now.saturating_sub(began.elapsed()));
        for (order, host) in [2usize, 1, 3].into_iter().enumerate() {
            if trouble && step as usize == order * 10 {
                nodes[host - 1].signal(SIGTERM);
                stops[host - 1] = Some(Instant::now());
                record.line(&format!("node {host} gets SIGTERM"));
            }
        }
        // As many as the upstreams have slots for.
        if (9..=13).contains(&step) {
            requests.push(send_one("/elenco/long"));
            requests.push(send_one("/elenco/long"));
        }
    }
    let ended: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for request in requests {
        ended.lock().unwrap().push(request.join().unwrap());
    }
    for node in nodes.iter_mut().filter(|_| trouble) {
        let status = node.wait_ended(GRACE + ms(1_000));
        record.line(&format!("node {} has ended: {status:?}", node.host));
    }

    let runs = runs.lock().unwrap();
    let ended = ended.lock().unwrap();
    let mut lost = 0;
    for sent in ended.iter() {
        let run = runs.iter().find(|run| run.id == sent.id);
        let is_answered = sent.answer.status().is_some_and(|s| s == 200 || s == 503 || s == 429);
        let (Some(run), false) = (run, is_answered) else { continue };
        // Excused: the deadline has passed, or the upstream is at work in the last sixth of the grace period
        // of the machine that took the request.
        let at_work = sent.ended < run.at + LONG;
        let limit = stops[0].map(|stop| stop + GRACE * 5 / 6);
        let in_time = run.at + LONG < sent.at + DEADLINE && sent.ended < sent.at + DEADLINE;
        let excused = limit.is_none_or(|limit| sent.ended >= limit || run.at + LONG >= limit)
            || !at_work;
        let text = format!(
            "{} at {}: {} while its upstream was {}, excused: {}",
            sent.id,
            run.server,
            sent.answer.name(),
            if at_work { "at work" } else { "done" },
            excused || !in_time,
        );
        record.line(&text);
        if in_time && !excused {
            lost += 1;
        }
    }
    let answered = ended.iter().filter(|sent| sent.answer.status() == Some(200)).count();
    let refused = ended.iter().filter(|sent| sent.answer.status() == Some(503)).count();
    let text = format!(
        "{} requests of {} ms at the machine that stops second: 200 {answered}, 503 {refused}, broken off {lost}",
        ended.len(),
        LONG.as_millis(),
    );
    record.line(&text);
    println!("{text}");
    // Without the stops every request has to be answered.
    if !trouble && answered != ended.len() {
        return true;
    }
    lost > 0
}
