//! A machine stands still for some seconds and goes on, while its backend server has all slots in use and
//! requests from another machine are queued for it. Its process must survive.

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
/// Time after the freeze from which the machine counts as in touch again (`stable_window`).
const IN_TOUCH_MS: u64 = 4_000;
/// Deadline of `green-read`.
const DEADLINE_MS: u64 = 8_000;
/// Requests in the calm. They earn the sender the right to hedge some requests.
const WARM_UP: usize = 110;
/// Requests that fill the slots that the nodes use of both servers, seven of nine each.
const FILLING: usize = 14;
/// Server that is slower than the other of its service, and the times that these requests take there and
/// at the other one.
const SLOW_SERVER: &str = "i-12";
const LONG_MS: u64 = 7_750;
const SHORT_MS: u64 = 235;
/// Requests that find all slots in use, and the time that they take.
const QUEUED: usize = 4;
const QUEUED_MS: u64 = 600;
/// Requests that the sender gets shortly before the frozen machine goes on.
const LATER: u64 = 16;
const LATER_MS: u64 = 300;
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
        route("r-green-read", "greens.example", "greens", DEADLINE_MS),
        route("r-draw-read", "draws.example", "draws", 2_000),
    ];
    store.put("op/config", &config(7, &routes, &["greens", "draws"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let hosts = [
        (11, "lautoka", "draws"),
        (12, "nadi", "greens"),
        (13, "sigatoka", "greens"),
    ];
    for (host, zone, service) in hosts {
        let id = format!("i-{host}");
        let identity = (id.as_str(), service, zone);
        let handler = uneven_handler();
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

    for _ in 0..WARM_UP {
        let answer = send(sender, "greens.example", "calm", "work-50", record);
        if !matches!(&answer, Ok(Some(answer)) if answer.status() == 200) {
            return Err(format!(
                "a request failed before the disruption: {}",
                describe(&answer)
            ));
        }
    }
    let mut threads = Vec::new();
    let lost: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut callers = Vec::new();
    for _ in 0..FILLING {
        callers.push(kept(frozen, record)?);
    }
    for mut caller in callers {
        let (record, lost) = (record.clone(), Arc::clone(&lost));
        threads.push(thread::spawn(move || {
            let answer = ask(&mut caller, "greens.example", "filling", "uneven", &record);
            if matches!(answer, Ok(None)) {
                lost.lock().unwrap().push(Instant::now());
            }
        }));
    }
    sleep(200);
    for _ in 0..QUEUED {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let work = format!("work-{QUEUED_MS}");
            let _ = send(sender, "greens.example", "queued", &work, &record);
        }));
    }
    sleep(100);
    let frozen_at = Instant::now();
    if has_trouble() {
        record.line(format!("{} is frozen (SIGSTOP)", nodes[1].name));
        nodes[1].signal(SIGSTOP);
    }
    for number in 0..LATER {
        let record = record.clone();
        let start = frozen_at + ms(2_600 + 5 * number);
        threads.push(thread::spawn(move || {
            thread::sleep(start.saturating_duration_since(Instant::now()));
            let work = format!("work-{LATER_MS}");
            let _ = send(sender, "greens.example", "next", &work, &record);
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
                let answer = ask(&mut caller, "draws.example", "draw", "work-150", &record);
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
    let answer = ask(&mut caller, "draws.example", "first", "work-5", record);
    match &answer {
        Ok(Some(answer)) if answer.status() == 200 => Ok(caller),
        _ => Err(format!("a first request failed: {}", describe(&answer))),
    }
}

/// Sends a request on a new connection, and waits for its answer.
fn send(
    address: SocketAddr,
    host: &str,
    kind: &str,
    work: &str,
    record: &Record,
) -> std::io::Result<Option<Message>> {
    ask(&mut Caller::connect(address)?, host, kind, work, record)
}

fn ask(
    caller: &mut Caller,
    host: &str,
    kind: &str,
    work: &str,
    record: &Record,
) -> std::io::Result<Option<Message>> {
    let id = new_id(&kind[..1]);
    let head = request_head("GET", host, &format!("/r/{work}/{id}"), &id, DEADLINE_MS);
    record.line(format!("caller sends {id} ({kind})"));
    caller.send(format!("{head}\r\n").as_bytes())?;
    let answer = caller.read(ms(DEADLINE_MS + 1_000));
    record.line(format!("{id}: {}", describe(&answer)));
    answer
}

/// A sound server. Requests named "uneven" take much longer at the slow server than at others.
fn uneven_handler() -> Arc<Handler> {
    Arc::new(
        |upstream: &Upstream, request: &Message, _: &mut ConnectionState| {
            if request.path() == "/healthz" {
                return Some(upstream.health());
            }
            if let Some(answer) = upstream.misdirected(request) {
                return Some(answer);
            }
            upstream.begin(request);
            let is_uneven = request.path().starts_with("/r/uneven/");
            sleep(match is_uneven {
                true if upstream.id == SLOW_SERVER => LONG_MS,
                true => SHORT_MS,
                false => work_ms(request),
            });
            upstream
                .record
                .line(format!("{}: ends {}", upstream.id, request.id()));
            Some(upstream.success(request, "done"))
        },
    )
}

/// The lines of a log that tell of a panic.
fn panic_lines(path: &std::path::Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let found = text
        .lines()
        .skip_while(|line| !line.contains("panicked at"));
    found.take(2).map(str::to_owned).collect()
}
