//! An upstream goes down and up twice while its machine's time of day is ahead, and leaves some seconds later.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::harness::*;

/// By how much the time of day is ahead.
const STEP_MS: u64 = 2_400;
/// Time that the upstream is down, and up.
const FLAP: Duration = Duration::from_millis(700);
/// Time without any impairment before the upstream leaves.
const CALM: Duration = Duration::from_millis(5_000);
/// Time after the ack in which requests may still reach an upstream that leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long it goes on serving after its report is accepted.
const SERVES: Duration = Duration::from_millis(5_000);

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let net = Net::find(2);
    let dir = Folder::create();
    let store = Store::start(net.store());
    let runs: Shared<Vec<Run>> = Shared::default();
    let route = Route { name: "r-draws", prefix: "/draws/", kind: "safe", service: "draws" };
    store.put("op/config", &config(3, &["draws"], &[route], "1200ms"), None);
    let start_server = |host: u8, born: u64| {
        let work = Work { takes: ms(20), long: ms(20) };
        let (id, address) = (format!("i-{host}"), net.server(host));
        record.line(&format!("{id} starts, born {born}"));
        Upstream::start(&id, "draws", "lautoka", address, born, work, &store, &record, &runs)
    };
    let mut first = start_server(1, unix_ms());
    let _second = start_server(2, unix_ms());
    let _nodes: Vec<Node> = (1..=2)
        .map(|host| {
            let seeds: &[u8] = &[1, 2];
            let options =
                NodeOptions { host, service: "draws", zone: "lautoka", seeds, grace: "6s" };
            Node::start(&net, &dir.0, &options)
        })
        .collect();
    for host in 1..=2 {
        if !wait_ready(&net, host, ms(10_000)) {
            cannot_run("a node isn't ready");
        }
    }
    thread::sleep(ms(3_000));

    if trouble {
        record.line("the time of day of machine 1 jumps ahead");
        first.end();
        record.line("i-1 is down");
        thread::sleep(FLAP);
        first = start_server(1, unix_ms() + STEP_MS);
        thread::sleep(FLAP);
        first.end();
        record.line("i-1 is down; the time of day of machine 1 jumps back");
        thread::sleep(FLAP);
        first = start_server(1, unix_ms());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (1..=2)
        .map(|host| {
            let (net, record, is_over) = (net.clone(), record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    host: "example",
                    path: "/draws/today",
                    deadline: ms(800),
                    body: b"",
                };
                while !is_over.load(Ordering::SeqCst) {
                    send(net.outbound(host), &request, &record);
                    thread::sleep(ms(30));
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    first.drain(&store);
    let ack = Instant::now();
    record.line("ack: i-1 is draining");
    thread::sleep(SERVES);
    first.end();
    store.delete("servers/i-1");
    record.line("i-1 has ended");
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let runs = runs.lock().unwrap();
    let of = |server: &str| runs.iter().filter(|run| run.server == server && run.at > ack + DRAIN).count();
    let (late, other) = (of("i-1"), of("i-2"));
    let text = format!(
        "later than {} ms after the ack: {late} requests reach the upstream that leaves, {other} the other one",
        DRAIN.as_millis()
    );
    record.line(&text);
    println!("{text}");
    late > 0
}
