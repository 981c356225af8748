//! A node is stopped by SIGTERM while its callers wait for answers that take some seconds. The platform
//! gives it `grace` to complete them.

#[path = "harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use harness::*;

/// Time from SIGTERM to SIGKILL: `grace` on the large deployment.
const GRACE_MS: u64 = 10_000;
/// Deadline of the callers of `green-read` there.
const DEADLINE_MS: u64 = 8_000;
/// Time that the requests run: less than their deadline, and over before the last sixth of `grace`.
const WORK_MS: u64 = 6_500;
const CALLERS: usize = 5;

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("stop")?;
    let store = Store::start(net.store())?;
    let routes = [Route {
        name: "r-green",
        host: "greens.example",
        prefix: "/read/",
        kind: "safe",
        service: "greens",
        timeout_ms: DEADLINE_MS,
        target_ms: 1_500,
        attempts: 2,
    }];
    store.put("op/config", &config(7, &routes, &["greens"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    for (host, zone) in [(11, "lautoka"), (12, "nadi"), (13, "ba")] {
        let id = format!("i-{host}");
        let identity = (id.as_str(), "greens", zone);
        let handler = sound_handler();
        servers.push(Upstream::start(
            &store,
            net,
            host,
            identity,
            (7, true),
            &runs,
            record,
            handler,
        )?);
    }
    for (host, zone) in [(11, "lautoka"), (12, "nadi"), (13, "ba")] {
        nodes.push(Node::start(
            net,
            host,
            ("greens", zone),
            &[11, 12, 13],
            &folder.0,
        )?);
    }
    for node in &mut nodes {
        node.wait_ready(record)?;
    }
    thread::sleep(STABLE_WINDOW);

    let address = nodes[0].outbound();
    // Some requests, so that the node knows how long they take.
    for _ in 0..3 {
        let answer = read_green(address, 20, record);
        if !matches!(&answer, Ok(Some(answer)) if answer.status() == 200) {
            return Err(format!(
                "a request failed before the disruption: {}",
                describe(&answer)
            ));
        }
    }
    let waiting: Vec<_> = (0..CALLERS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || read_green(address, WORK_MS, &record))
        })
        .collect();
    sleep(300);
    let stopped = Instant::now();
    if has_trouble() {
        record.line(format!(
            "SIGTERM to {}, SIGKILL follows after {GRACE_MS} ms",
            nodes[0].name
        ));
        nodes[0].signal(SIGTERM);
    }
    while has_trouble() && stopped.elapsed() < ms(GRACE_MS) {
        if let Some(status) = nodes[0].exit() {
            let after = stopped.elapsed().as_millis();
            record.line(format!(
                "{} ended {after} ms after SIGTERM: {status}",
                nodes[0].name
            ));
            break;
        }
        sleep(20);
    }
    let answers: Vec<_> = waiting
        .into_iter()
        .map(|w| w.join().expect("a caller's thread"))
        .collect();
    let cut = answers
        .iter()
        .filter(|answer| matches!(answer, Ok(None)))
        .count();
    record.line(format!("{cut} of {CALLERS} requests were cut, none may be"));
    Ok(cut > 0)
}

/// Sends a request on a new connection, and waits for its answer.
fn read_green(
    address: std::net::SocketAddr,
    work_ms: u64,
    record: &Record,
) -> std::io::Result<Option<Message>> {
    let id = new_id("g");
    let path = format!("/read/work-{work_ms}/{id}");
    let head = request_head("GET", "greens.example", &path, &id, DEADLINE_MS);
    record.line(format!("caller sends {id}, deadline {DEADLINE_MS} ms"));
    let mut caller = Caller::connect(address)?;
    caller.send(format!("{head}\r\n").as_bytes())?;
    let answer = caller.read(ms(DEADLINE_MS + 500));
    record.line(format!("{id}: {}", describe(&answer)));
    answer
}
