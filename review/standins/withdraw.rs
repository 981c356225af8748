//! The operator withdraws all routes. From `config_apply` after the store's acknowledgement on, a request of
//! a withdrawn route must be answered 404, and must not run, let alone twice.

#[path = "harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use harness::*;

/// Time after which a configuration must be in force (`config_apply` is 2000 ms), and a margin of a second.
const CONFIG_APPLY_MS: u64 = 3_000;
/// Requests before the change, and after it.
const BEFORE: usize = 60;
const AFTER: usize = 12;
const WORK_MS: u64 = 300;

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("withdraw")?;
    let store = Store::start(net.store())?;
    let route = |name, prefix, kind, service| Route {
        name,
        host: "bowls.example",
        prefix,
        kind,
        service,
        timeout_ms: 1_000,
        target_ms: 200,
        attempts: 2,
    };
    let routes = [
        route("r-book", "/rinks/", "unsafe", "rinks"),
        route("r-read", "/draws/", "safe", "draws"),
    ];
    store.put("op/config", &config(7, &routes, &["rinks", "draws"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let hosts = [
        (11, "lautoka", "rinks"),
        (12, "nadi", "rinks"),
        (13, "sigatoka", "rinks"),
        (14, "lautoka", "draws"),
    ];
    for (host, zone, service) in hosts {
        let id = format!("i-{host}");
        let identity = (id.as_str(), service, zone);
        let handler = sound_handler();
        servers.push(Upstream::start(
            &store,
            net,
            host,
            identity,
            (9, true),
            &runs,
            record,
            handler,
        )?);
    }
    for (host, zone, service) in hosts {
        nodes.push(Node::start(
            net,
            host,
            (service, zone),
            &[11, 12, 13],
            &folder.0,
        )?);
    }
    for node in &mut nodes {
        node.wait_ready(record)?;
    }
    thread::sleep(STABLE_WINDOW);

    let address = nodes[3].outbound();
    for _ in 0..BEFORE {
        let (_, answer) = book(address, 20, record);
        if !matches!(&answer, Ok(Some(answer)) if answer.status() == 200) {
            return Err(format!(
                "a request failed before the change: {}",
                describe(&answer)
            ));
        }
    }
    let changed = Instant::now();
    if has_trouble() {
        store.put("op/config", &config(9, &[], &["rinks", "draws"]));
        record.line("the store has acknowledged version 9, which has no routes");
    }
    thread::sleep(ms(CONFIG_APPLY_MS).saturating_sub(changed.elapsed()));

    let callers: Vec<_> = (0..AFTER)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                sleep(50 * number as u64);
                book(address, WORK_MS, &record)
            })
        })
        .collect();
    let mut sent = BTreeMap::new();
    for caller in callers {
        let (id, answer) = caller.join().expect("a caller's thread");
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        sent.insert(id, status);
    }
    sleep(1_000);
    let (mut ran, mut twice) = (0, 0);
    for id in sent.keys() {
        let at: Vec<String> = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.id == *id)
            .map(|run| run.server.clone())
            .collect();
        ran += usize::from(!at.is_empty());
        if at.len() > 1 {
            twice += 1;
            record.line(format!("TWICE: {id} ran at {}", at.join(", ")));
        }
    }
    record.line(format!(
        "of {AFTER} requests sent {CONFIG_APPLY_MS} ms after the change, {ran} ran, {twice} ran twice"
    ));
    Ok(twice > 0 || (has_trouble() && ran > 0))
}

/// Sends a booking, once and with an id of its own.
fn book(
    address: SocketAddr,
    work_ms: u64,
    record: &Record,
) -> (String, std::io::Result<Option<Message>>) {
    let id = new_id("b");
    let path = format!("/rinks/work-{work_ms}/{id}");
    let head = request_head("PUT", "bowls.example", &path, &id, 900);
    record.line(format!("caller sends PUT {path}"));
    let answer = Caller::connect(address).and_then(|mut caller| {
        caller.send(format!("{head}Content-Length: 4\r\n\r\nrink").as_bytes())?;
        caller.read(ms(2_000))
    });
    record.line(format!("{id}: {}", describe(&answer)));
    (id, answer)
}
