//! A backend server answers some messages twice. The second copy arrives late, at the point where the
//! next answer on that connection is expected. No request that isn't idempotent may run twice for it, or
//! be answered as not run although it has run.

#[path = "harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use harness::*;

/// Requests that a backend server runs at once, and that it queues beyond these.
const SLOTS: u64 = 1;
const QUEUED: u64 = 2;
/// Hosts of the faulty backend servers: two of four, a share of 0.5.
const FAULTY_HOSTS: [u8; 2] = [11, 12];
/// Share of the answers that are sent twice while the disruption lasts, in percent.
const COPIED_PERCENT: u64 = 3;
/// Length of one disruption, and time from the start of one to the next.
const COPYING: Duration = Duration::from_millis(5_000);
const PERIOD: Duration = Duration::from_millis(6_000);
const PLAYED: Duration = Duration::from_millis(95_000);
const WORK_MS: u64 = 300;
const CALLERS: usize = 8;

/// The slots and the queue of one backend server.
#[derive(Default)]
struct Slots {
    /// Requests that run, and that are queued.
    used: Mutex<(u64, u64)>,
    freed: Condvar,
}

impl Slots {
    /// Takes a slot, after a wait in the queue if none is free. Returns whether the server had room.
    fn take(&self) -> bool {
        let mut used = self.used.lock().unwrap();
        if used.0 >= SLOTS {
            if used.1 >= QUEUED {
                return false;
            }
            used.1 += 1;
            used = self.freed.wait_while(used, |used| used.0 >= SLOTS).unwrap();
            used.1 -= 1;
        }
        used.0 += 1;
        true
    }

    fn release(&self) {
        self.used.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// A sequence of pseudo-random numbers from a fixed seed.
fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.load(Ordering::SeqCst);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::SeqCst);
    x
}

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("copy")?;
    let store = Store::start(net.store())?;
    let routes = [Route {
        name: "r-book",
        host: "rinks.example",
        prefix: "/book/",
        kind: "unsafe",
        service: "rinks",
        timeout_ms: 1_000,
        target_ms: 300,
        attempts: 2,
    }];
    store.put("op/config", &config(7, &routes, &["rinks"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now() + ms(7_000);
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let hosts = [
        (11, "lautoka"),
        (12, "nadi"),
        (13, "sigatoka"),
        (14, "nadi"),
    ];
    for (host, zone) in hosts {
        let id = format!("i-{host}");
        let identity = (id.as_str(), "rinks", zone);
        let handler = handler((FAULTY_HOSTS.contains(&host) && has_trouble()).then_some(started));
        let capacity = (SLOTS as u32, false);
        servers.push(Upstream::start(
            &store, net, host, identity, capacity, &runs, record, handler,
        )?);
    }
    for (host, zone) in hosts {
        nodes.push(Node::start(
            net,
            host,
            ("rinks", zone),
            &[11, 12, 13],
            &folder.0,
        )?);
    }
    for node in &mut nodes {
        node.wait_ready(record)?;
    }
    thread::sleep(started.saturating_duration_since(Instant::now()));

    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let addresses: Vec<_> = nodes.iter().map(Node::outbound).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (answers, record) = (Arc::clone(&answers), record.clone());
            let address = addresses[number % addresses.len()];
            thread::spawn(move || {
                while started.elapsed() < PLAYED {
                    let id = new_id("b");
                    let answer = book(address, &id, &record);
                    answers.lock().unwrap().insert(id, answer);
                    sleep(60 + random() % 120);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a caller's thread");
    }
    sleep(1_500);

    let mut count: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter() {
        count
            .entry(run.id.clone())
            .or_default()
            .push(run.server.clone());
    }
    let (mut twice, mut refused) = (0, 0);
    for (id, servers) in &count {
        if servers.len() > 1 {
            twice += 1;
            record.line(format!("TWICE: {id} ran at {}", servers.join(", ")));
        }
        let status = *answers.lock().unwrap().get(id).unwrap_or(&0);
        if [408, 421, 429, 503].contains(&status) {
            refused += 1;
            record.line(format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                servers.join(", ")
            ));
        }
    }
    record.line(format!(
        "{} requests, {} ran, {twice} ran twice, {refused} ran and were answered as not run",
        answers.lock().unwrap().len(),
        count.len()
    ));
    Ok(twice + refused > 0)
}

fn book(address: std::net::SocketAddr, id: &str, record: &Record) -> u16 {
    let path = format!("/book/work-{WORK_MS}/{id}");
    let head = request_head("PUT", "rinks.example", &path, id, 1_000);
    record.line(format!("caller sends {id}"));
    let Ok(mut caller) = Caller::connect(address) else {
        return 0;
    };
    if caller
        .send(format!("{head}Content-Length: 4\r\n\r\nrink").as_bytes())
        .is_err()
    {
        return 0;
    }
    let answer = caller.read(ms(2_000));
    record.line(format!("{id}: {}", describe(&answer)));
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

/// A server that rejects what it can neither run nor queue, its health probe too. From `faulty` on, it
/// sends some answers twice.
fn handler(faulty: Option<Instant>) -> Arc<Handler> {
    let slots = Slots::default();
    Arc::new(
        move |upstream: &Upstream, request: &Message, connection: &mut ConnectionState| {
            let answer = answer(upstream, request, &slots);
            let copies = faulty.is_some_and(|from| {
                let since = Instant::now().checked_duration_since(from);
                since.is_some_and(|s| s.as_millis() % PERIOD.as_millis() < COPYING.as_millis())
            });
            if copies && random() % 100 < COPIED_PERCENT {
                connection.late_copy = Some(answer.clone());
            }
            Some(answer)
        },
    )
}

fn answer(upstream: &Upstream, request: &Message, slots: &Slots) -> Vec<u8> {
    if let Some(answer) = upstream.misdirected(request) {
        return answer;
    }
    let is_probe = request.path() == "/healthz";
    if !slots.take() {
        upstream.record.line(format!(
            "{}: is full, rejects {}",
            upstream.id,
            if is_probe {
                "a health probe"
            } else {
                request.id()
            }
        ));
        let id = match is_probe {
            true => String::new(),
            false => format!("X-Request-Id: {}\r\n", request.id()),
        };
        return format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{id}Content-Length: 0\r\n\r\n"
        )
        .into_bytes();
    }
    let answer = if is_probe {
        sleep(6);
        upstream.health()
    } else {
        upstream.begin(request);
        sleep(work_ms(request));
        upstream.success(request, "done")
    };
    slots.release();
    answer
}
