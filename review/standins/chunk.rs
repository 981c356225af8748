//! A caller sends a request whose chunked body is malformed, while other callers wait for answers on
//! the same node. They must get them.

#[path = "harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
};

use harness::*;

/// Callers that wait for an answer on a kept connection when the malformed request arrives.
const CALLERS: usize = 8;
/// Answers that may be missing without breaking LOST ("more than three times").
const MAX_LOST: usize = 3;

fn main() -> ExitCode {
    let record = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    run_case(&record, case)
}

fn case(record: &Record) -> CaseResult {
    let net = Net::new();
    let folder = TempFolder::new("chunk")?;
    let store = Store::start(net.store())?;
    let routes = [Route {
        name: "r-book",
        host: "rinks.example",
        prefix: "/book/",
        kind: "unsafe",
        service: "rinks",
        timeout_ms: 2_000,
        target_ms: 500,
        attempts: 2,
    }];
    store.put("op/config", &config(7, &routes, &["rinks"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    for (host, zone) in [(11, "lautoka"), (12, "nadi")] {
        let id = format!("i-{host}");
        let identity = (id.as_str(), "rinks", zone);
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
    for (host, zone) in [(11, "lautoka"), (12, "nadi")] {
        nodes.push(Node::start(
            net,
            host,
            ("rinks", zone),
            &[11, 12],
            &folder.0,
        )?);
    }
    for node in &mut nodes {
        node.wait_ready(record)?;
    }
    thread::sleep(STABLE_WINDOW);

    let address = nodes[0].outbound();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = Caller::connect(address).map_err(|e| e.to_string())?;
        let answer = book(&mut caller, 5, record);
        if !matches!(&answer, Ok(Some(answer)) if answer.status() == 200) {
            return Err(format!(
                "a request failed before the disruption: {}",
                describe(&answer)
            ));
        }
        callers.push(caller);
    }
    let waiting: Vec<_> = callers
        .into_iter()
        .map(|mut caller| {
            let record = record.clone();
            thread::spawn(move || book(&mut caller, 700, &record))
        })
        .collect();
    sleep(300);
    send_chunked(address, record)?;
    let answers: Vec<_> = waiting
        .into_iter()
        .map(|w| w.join().expect("a caller's thread"))
        .collect();
    sleep(200);
    let ended = nodes[0].exit();
    record.line(match &ended {
        Some(status) => format!(
            "the process of {} has ended by itself: {status}",
            nodes[0].name
        ),
        None => format!("the process of {} still runs", nodes[0].name),
    });
    let lost = answers
        .iter()
        .filter(|answer| matches!(answer, Ok(None)))
        .count();
    record.line(format!(
        "{lost} of {CALLERS} requests were lost, {MAX_LOST} are allowed"
    ));
    Ok(lost > MAX_LOST)
}

/// Sends a request on a kept connection, and waits for its answer.
fn book(caller: &mut Caller, work_ms: u64, record: &Record) -> std::io::Result<Option<Message>> {
    let id = new_id("b");
    let path = format!("/book/work-{work_ms}/{id}");
    let head = request_head("PUT", "rinks.example", &path, &id, 1_500);
    record.line(format!("caller sends {id} on a kept connection"));
    caller.send(format!("{head}Content-Length: 4\r\n\r\nrink").as_bytes())?;
    let answer = caller.read(ms(3_000));
    record.line(format!("{id}: {}", describe(&answer)));
    answer
}

/// Sends a request with a chunked body. With the disruption, the size of its second chunk is the
/// largest number of 64 bits.
fn send_chunked(address: std::net::SocketAddr, record: &Record) -> Result<(), String> {
    let id = new_id("c");
    let head = request_head(
        "PUT",
        "rinks.example",
        &format!("/book/work-5/{id}"),
        &id,
        1_500,
    );
    let rest = match has_trouble() {
        true => "ffffffffffffffff\r\nrink\r\n",
        false => "4\r\nrink\r\n0\r\n\r\n",
    };
    record.line(format!(
        "another caller sends {id} with chunks: {:?}",
        format!("1\r\na\r\n{rest}")
    ));
    let mut caller = Caller::connect(address).map_err(|e| e.to_string())?;
    let text = format!("{head}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n{rest}");
    caller.send(text.as_bytes()).map_err(|e| e.to_string())?;
    record.line(format!("{id}: {}", describe(&caller.read(ms(2_000)))));
    Ok(())
}
