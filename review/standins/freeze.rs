//! A machine stands still for some seconds and goes on, while its backend server has all slots in use and
//! requests from another machine are queued. Their callers leave meanwhile. Its process must survive.

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
    time::Instant,
};

use harness::*;

/// Length of the freeze.
const FREEZE_MS: u64 = 2_900;
/// Requests that are queued when the freeze begins, and the time after which their callers leave.
const QUEUED: usize = 5;
const LEAVE_MS: u64 = 700;
/// Time after the freeze from which the machine counts as in touch again (`stable_window`).
const IN_TOUCH_MS: u64 = 4_000;
/// Requests that fill the slots that a node uses, of nine.
const LONG_RUNS: usize = 7;
/// Time that they run, less than the deadline of `green-read`.
const LONG_MS: u64 = 7_750;
const READ_DEADLINE_MS: u64 = 8_000;
/// Callers of the frozen machine that use another service.
const OTHERS: usize = 6;
/// Requests that may be lost without breaking LOST ("more than three times").
const MAX_LOST: usize = 3;

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn route(name: &'static str, host: &'static str, service: &'static str, timeout_ms: u64) -> Route {
    Route {
        name,
        host,
        prefix: "/r/",
        kind: "safe",
        service,
        timeout_ms,
        target_ms: timeout_ms * 3 / 4,
        attempts: 2,
    }
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("freeze")?;
    let store = Store::start(net.store())?;
    let routes = [
        route("r-green-read", "greens.example", "greens", READ_DEADLINE_MS),
        route("r-draw-read", "draws.example", "draws", 2_000),
    ];
    store.put("op/config", &config(7, &routes, &["greens", "draws"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let hosts = [
        (11, "lautoka", "draws"),
        (12, "nadi", "greens"),
        (13, "sigatoka", "draws"),
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
    let (sender, frozen) = (nodes[0].outbound(), nodes[1].outbound());

    // Requests in the calm, so that the sender knows how long they take.
    for _ in 0..4 {
        let answer = send(
            sender,
            "greens.example",
            "read",
            50,
            READ_DEADLINE_MS,
            record,
        );
        if !matches!(&answer, Ok(Some(answer)) if answer.status() == 200) {
            return Err(format!(
                "a request failed before the disruption: {}",
                describe(&answer)
            ));
        }
    }
    let mut threads = Vec::new();
    let lost: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for _ in 0..LONG_RUNS {
        let mut caller = kept(frozen, record)?;
        let (record, lost) = (record.clone(), Arc::clone(&lost));
        threads.push(thread::spawn(move || {
            let answer = ask(
                &mut caller,
                "greens.example",
                "long",
                LONG_MS,
                READ_DEADLINE_MS,
                &record,
            );
            if matches!(answer, Ok(None)) {
                lost.lock().unwrap().push(Instant::now());
            }
        }));
    }
    sleep(500);

    for _ in 0..QUEUED {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let _ = queue(sender, &record);
        }));
    }
    sleep(100);
    let frozen_at = Instant::now();
    if has_trouble() {
        record.line(format!("{} is frozen (SIGSTOP)", nodes[1].name));
        nodes[1].signal(SIGSTOP);
    }
    // Other callers of the same route, shortly before the machine goes on.
    for number in 0..4 {
        let record = record.clone();
        let start = frozen_at + ms(2_450 + 50 * number);
        threads.push(thread::spawn(move || {
            thread::sleep(start.saturating_duration_since(Instant::now()));
            let _ = send(
                sender,
                "greens.example",
                "next",
                50,
                READ_DEADLINE_MS,
                &record,
            );
        }));
    }
    let at = |millis: u64| thread::sleep(ms(millis).saturating_sub(frozen_at.elapsed()));
    at(FREEZE_MS);
    if has_trouble() {
        record.line(format!("{} goes on (SIGCONT)", nodes[1].name));
        nodes[1].signal(SIGCONT);
    }
    let woken_at = Instant::now();
    // Once the machine is calm again, its callers use another service on kept connections.
    let over = Arc::new(AtomicBool::new(false));
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        let (record, lost, over) = (record.clone(), Arc::clone(&lost), Arc::clone(&over));
        others.push(thread::spawn(move || {
            sleep(1_000);
            let Ok(mut caller) = kept(frozen, &record) else {
                return;
            };
            while !over.load(Ordering::SeqCst) {
                let answer = ask(&mut caller, "draws.example", "draw", 150, 2_000, &record);
                if matches!(answer, Ok(None)) {
                    lost.lock().unwrap().push(Instant::now());
                    return;
                }
                sleep(5);
            }
        }));
    }
    while woken_at.elapsed() < ms(7_500) {
        if let Some(status) = nodes[1].exit() {
            let after = woken_at.elapsed().as_millis();
            record.line(format!(
                "{} has ended by itself {after} ms after the freeze: {status}",
                nodes[1].name
            ));
            break;
        }
        sleep(20);
    }
    over.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain(others) {
        thread.join().expect("a caller's thread");
    }
    for line in panic_lines(&folder.0.join("node-12.log")) {
        record.line(format!("log of node-12: {line}"));
    }
    let in_touch = woken_at + ms(IN_TOUCH_MS);
    let count = lost
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at >= in_touch)
        .count();
    record.line(format!(
        "{count} requests were lost by {} while it was in touch, {MAX_LOST} are allowed",
        nodes[1].name
    ));
    Ok(count > MAX_LOST)
}

/// A connection that has served a request.
fn kept(address: SocketAddr, record: &Record) -> Result<Caller, String> {
    let mut caller = Caller::connect(address).map_err(|e| e.to_string())?;
    let answer = ask(&mut caller, "draws.example", "first", 5, 2_000, record);
    match &answer {
        Ok(Some(answer)) if answer.status() == 200 => Ok(caller),
        _ => Err(format!("a first request failed: {}", describe(&answer))),
    }
}

/// Sends a request whose caller leaves after a while. Without the disruption, it waits for the answer.
fn queue(address: SocketAddr, record: &Record) -> std::io::Result<()> {
    if !has_trouble() {
        return send(
            address,
            "greens.example",
            "queued",
            50,
            READ_DEADLINE_MS,
            record,
        )
        .map(drop);
    }
    let id = new_id("q");
    let head = request_head(
        "GET",
        "greens.example",
        &format!("/r/work-50/{id}"),
        &id,
        READ_DEADLINE_MS,
    );
    record.line(format!(
        "caller sends {id} (queued), deadline {READ_DEADLINE_MS} ms"
    ));
    let mut caller = Caller::connect(address)?;
    caller.send(format!("{head}\r\n").as_bytes())?;
    sleep(LEAVE_MS);
    record.line(format!("{id}: its caller leaves"));
    Ok(())
}

/// Sends a request on a new connection, and waits for its answer.
fn send(
    address: SocketAddr,
    host: &str,
    kind: &str,
    work_ms: u64,
    deadline_ms: u64,
    record: &Record,
) -> std::io::Result<Option<Message>> {
    ask(
        &mut Caller::connect(address)?,
        host,
        kind,
        work_ms,
        deadline_ms,
        record,
    )
}

fn ask(
    caller: &mut Caller,
    host: &str,
    kind: &str,
    work_ms: u64,
    deadline_ms: u64,
    record: &Record,
) -> std::io::Result<Option<Message>> {
    let id = new_id(&kind[..1]);
    let head = request_head(
        "GET",
        host,
        &format!("/r/work-{work_ms}/{id}"),
        &id,
        deadline_ms,
    );
    record.line(format!(
        "caller sends {id} ({kind}), deadline {deadline_ms} ms"
    ));
    caller.send(format!("{head}\r\n").as_bytes())?;
    let answer = caller.read(ms(deadline_ms + 1_000));
    record.line(format!("{id}: {}", describe(&answer)));
    answer
}

/// The lines of a log that tell of a panic.
fn panic_lines(path: &std::path::Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let found = text
        .lines()
        .skip_while(|line| !line.contains("panicked at"));
    found.take(2).map(str::to_owned).collect()
}
