//! Callers send bodies within the limits of the configuration, one after the other, and keep their
//! connections. The node must stay within its machine's memory: the platform kills it if it doesn't.

#[path = "harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use harness::*;

/// `memory_mb` of a sidecar machine.
const MEMORY_KB: u64 = 260 * 1024;
/// Callers that send a large body once and keep their connections, as many as a machine of the sheet has.
const UPLOADERS: usize = 28;
/// Size of a large body. The configuration allows 64 MiB.
const BODY_BYTES: usize = 12 << 20;
/// Size of a body without the disruption: the mean of the sheet.
const SMALL_BYTES: usize = 1_200;
/// Other callers, which use one kept connection each.
const CALLERS: usize = 14;
/// Time that their requests run, so that most of them are at a server at any time.
const WORK_MS: u64 = 400;
/// Requests that may be lost without breaking LOST ("more than three times").
const MAX_LOST: usize = 3;
const PLAYED: Duration = Duration::from_millis(25_000);

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("memory")?;
    let store = Store::start(net.store())?;
    let routes = [Route {
        name: "r-lodge",
        host: "fees.example",
        prefix: "/lodge/",
        kind: "unsafe",
        service: "fees",
        timeout_ms: 1_000,
        target_ms: 250,
        attempts: 2,
    }];
    store.put("op/config", &config(7, &routes, &["fees"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let hosts = [(11, "lautoka"), (12, "nadi"), (13, "sigatoka")];
    for (host, zone) in hosts {
        let id = format!("i-{host}");
        let identity = (id.as_str(), "fees", zone);
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
    for (host, zone) in hosts {
        nodes.push(Node::start(
            net,
            host,
            ("fees", zone),
            &[11, 12, 13],
            &folder.0,
        )?);
    }
    for node in &mut nodes {
        node.wait_ready(record)?;
    }
    thread::sleep(STABLE_WINDOW);

    let address = nodes[0].outbound();
    let started = Instant::now();
    let killed = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for _ in 0..CALLERS {
        let (record, lost) = (record.clone(), Arc::clone(&lost));
        let killed = Arc::clone(&killed);
        threads.push(thread::spawn(move || {
            call_often(address, started, &record, &lost, &killed)
        }));
    }
    let (uploads, stopped) = (record.clone(), Arc::clone(&killed));
    threads.push(thread::spawn(move || {
        upload_all(address, started, &uploads, &stopped)
    }));

    // The platform's watch over memory.
    let mut reported = Instant::now();
    while started.elapsed() < PLAYED && !killed.load(Ordering::SeqCst) {
        let resident = nodes[0].resident_kb();
        if reported.elapsed() > ms(1_000) {
            reported = Instant::now();
            record.line(format!(
                "{} has {resident} kB of {MEMORY_KB} kB",
                nodes[0].name
            ));
        }
        if resident > MEMORY_KB {
            record.line(format!(
                "platform: {} has {resident} kB, is killed",
                nodes[0].name
            ));
            killed.store(true, Ordering::SeqCst);
            nodes[0].signal(SIGKILL);
        }
        if let Some(status) = nodes[0].exit() {
            record.line(format!("{} ended: {status}", nodes[0].name));
            killed.store(true, Ordering::SeqCst);
        }
        sleep(5);
    }
    for thread in threads {
        thread.join().expect("a caller's thread");
    }
    let lost = *lost.lock().unwrap();
    record.line(format!("{lost} requests were lost, {MAX_LOST} are allowed"));
    Ok(lost > MAX_LOST)
}

/// Sends one request after the other on a kept connection, until the node is killed.
fn call_often(
    address: SocketAddr,
    started: Instant,
    record: &Record,
    lost: &Mutex<usize>,
    killed: &AtomicBool,
) {
    let Ok(mut caller) = Caller::connect(address) else {
        return;
    };
    while started.elapsed() < PLAYED && !killed.load(Ordering::SeqCst) {
        let id = new_id("f");
        let answer = lodge(&mut caller, &id, WORK_MS, SMALL_BYTES);
        match &answer {
            Ok(Some(answer)) if answer.status() == 200 => {}
            _ => record.line(format!("{id}: {}", describe(&answer))),
        }
        if !matches!(answer, Ok(Some(_))) {
            *lost.lock().unwrap() += 1;
            return;
        }
        sleep(2);
    }
}

/// Sends one large body on each of many connections, one after the other, and then a small one on each of
/// them in turn.
fn upload_all(address: SocketAddr, started: Instant, record: &Record, killed: &AtomicBool) {
    let size = if has_trouble() {
        BODY_BYTES
    } else {
        SMALL_BYTES
    };
    let is_over = || started.elapsed() >= PLAYED || killed.load(Ordering::SeqCst);
    let mut callers = Vec::new();
    for _ in 0..UPLOADERS {
        if is_over() {
            return;
        }
        let Ok(mut caller) = Caller::connect(address) else {
            return;
        };
        let id = new_id("u");
        let answer = lodge(&mut caller, &id, 20, size);
        record.line(format!(
            "{id}, a body of {size} bytes: {}",
            describe(&answer)
        ));
        callers.push(caller);
        sleep(300);
    }
    while !is_over() {
        for caller in &mut callers {
            if is_over() {
                return;
            }
            let _ = lodge(caller, &new_id("u"), 5, SMALL_BYTES);
            sleep(100);
        }
    }
}

fn lodge(
    caller: &mut Caller,
    id: &str,
    work_ms: u64,
    size: usize,
) -> std::io::Result<Option<Message>> {
    let head = request_head(
        "POST",
        "fees.example",
        &format!("/lodge/work-{work_ms}/{id}"),
        id,
        1_000,
    );
    let mut bytes = format!("{head}Content-Length: {size}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + size, b'x');
    match caller.send(&bytes) {
        Ok(()) => caller.read(ms(3_000)),
        Err(error) if is_closed(&error) => Ok(None),
        Err(error) => Err(error),
    }
}

fn is_closed(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{BrokenPipe, ConnectionReset};
    [BrokenPipe, ConnectionReset].contains(&error.kind())
}
