//! Nodes are stopped before they know a configuration: the store is down while all of them start again.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Instant,
};

use crate::harness::*;

const ZONES: [&str; 3] = ["lautoka", "nadi", "sigatoka"];
/// More of them break the rule, from machines that are out of touch too.
const ALLOWED: usize = 10;
/// From the loss of all processes to their restart.
const DOWN_MS: u64 = 900;
/// Length of the outage of the store.
const OUTAGE_MS: u64 = 8_000;

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let net = Net::find(3);
    let dir = Folder::create();
    let store = Store::start(net.store());
    let runs = Shared::default();
    let route = Route { name: "r-draws", prefix: "/draws/", kind: "safe", service: "draws" };
    store.put("op/config", &config(3, &["draws"], &[route], "1200ms"), None);
    let _servers: Vec<Upstream> = (1..=3)
        .map(|host| {
            let work = Work { takes: ms(20), long: ms(20) };
            let id = format!("i-{host}");
            let zone = ZONES[usize::from(host) - 1];
            let address = net.server(host);
            Upstream::start(&id, "draws", zone, address, unix_ms(), work, &store, &record, &runs)
        })
        .collect();
    let start = |host: u8| {
        let zone = ZONES[usize::from(host) - 1];
        let options = NodeOptions { host, service: "draws", zone, seeds: &[1, 2, 3], grace: "6s" };
        Node::start(&net, &dir.0, &options)
    };
    let mut nodes: Vec<Node> = (1..=3).map(start).collect();
    for host in 1..=3 {
        if !wait_ready(&net, host, ms(10_000)) {
            cannot_run("a node isn't ready");
        }
    }
    record.line("all nodes are ready");

    // The consumers of each machine, which send to the node there.
    let is_over = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<Vec<Option<u16>>>> = Arc::default();
    let consumers: Vec<_> = (1..=3)
        .map(|host| {
            let (net, record) = (net.clone(), record.clone());
            let (is_over, statuses) = (Arc::clone(&is_over), Arc::clone(&statuses));
            thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    host: "example",
                    path: "/draws/today",
                    deadline: ms(800),
                    body: b"",
                };
                while !is_over.load(Ordering::SeqCst) {
                    let (_, answer) = send(net.outbound(host), &request, &record);
                    statuses.lock().unwrap().push(answer.status());
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(1_000));

    let down_since = Instant::now();
    if trouble {
        store.set_trouble(Trouble::Silent);
        record.line("the store is down: it accepts connections and answers nothing");
        thread::sleep(ms(200));
        for node in &mut nodes {
            node.signal(SIGKILL);
            node.wait_ended(ms(1_000));
        }
        record.line("all nodes are killed");
        thread::sleep(ms(DOWN_MS));
        nodes = (1..=3).map(start).collect();
        record.line("all nodes start again");
        thread::sleep(ms(2_000));
    }
    for host in 1..=3 {
        record.line(&format!("readiness of node {host}: {}", readiness(&net, host)));
    }
    for node in &nodes {
        node.signal(SIGTERM);
        record.line(&format!("node {} gets SIGTERM", node.host));
        thread::sleep(ms(1_000));
    }
    for node in &mut nodes {
        let ended = node.wait_ended(ms(8_000));
        record.line(&format!("node {} has ended: {ended:?}", node.host));
    }
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    thread::sleep(ms(OUTAGE_MS).saturating_sub(down_since.elapsed()));
    store.set_trouble(Trouble::None);

    let statuses = statuses.lock().unwrap();
    let count = |status| statuses.iter().filter(|s| **s == status).count();
    let denied = count(Some(404));
    let text = format!(
        "of {} requests on the only route of the only configuration: 200 {}, 503 {}, 404 {denied} (allowed {ALLOWED}), no answer {}",
        statuses.len(),
        count(Some(200)),
        count(Some(503)),
        count(None),
    );
    record.line(&text);
    println!("{text}");
    denied > ALLOWED
}
