//! Messages that a correct caller or backend server doesn't send, at nodes that start as deployed.

use std::{
    collections::HashMap,
    io,
    time::{Duration, Instant},
};

use rig::site::{
    caller::{Answer, Connection, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route},
    server::Behavior,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

const HOST: &str = "lakes.example";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts nodes with a route `post` to the service `left`, for requests that run once.
async fn start(layout: Layout) -> io::Result<Site> {
    let mut site = layout.prepare()?;
    let mut route = Route::new("post", HOST, "left");
    route.idempotent = false;
    route.timeout = json!("5s");
    route.objective = json!("2s");
    let config = Config {
        version: 1,
        routes: vec![route],
        services: ["left", "right"].map(str::to_owned).to_vec(),
        teams: Vec::new(),
        limits: CallerLimits::default(),
    };
    config.publish(&site.store).await;
    site.start_nodes().await?;
    Ok(site)
}

/// The size of a chunk overflowed, and the node ended with the requests of all its callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chunk_of_the_largest_size_ends_no_process() -> io::Result<()> {
    let mut site = start(Layout::new("faulty-chunk", (97, 0), 2)).await?;
    let target = site.target(0);
    let others: Vec<_> = (0..8)
        .map(|_| {
            let request = Request {
                timeout: ANSWER_TIMEOUT,
                ..Request::post(HOST, "/post/work-600/x", b"entry")
            };
            tokio::spawn(async move { ask_once(target, &request).await })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    for size in ["ffffffffffffffff", "fffffffffffffffe", "7fffffffffffffff"] {
        let mut stream = TcpStream::connect(target).await?;
        let head = format!(
            "POST /post/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {size}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let text = format!("{head}3\r\nabc\r\n{size}\r\nxyz\r\n0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
        let mut answer = [0; 1_024];
        let read = timeout(ANSWER_TIMEOUT, stream.read(&mut answer)).await??;
        let answer = String::from_utf8_lossy(&answer[..read]);
        assert!(answer.starts_with("HTTP/1.1 413 "), "{size}: {answer:?}");
    }
    for other in others {
        assert_eq!(other.await?, Answer::Served("left".to_owned()));
    }
    assert!(!site.nodes[0].has_exited());
    Ok(())
}

/// A late copy of a rejected health probe, which has no id, was taken for the rejection of the request that
/// used the connection next: it ran, and was sent to another server or answered 503.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_copies_of_rejected_probes_reject_no_request() -> io::Result<()> {
    const CALLERS: usize = 6;
    let mut layout = Layout::new("faulty-copies", (97, 1), 4);
    layout.slots = 1;
    layout.behavior = Behavior {
        queue: 1,
        work: Duration::from_millis(40),
        // Health probes wait for a slot, and are rejected by a server that is full.
        tells_load: false,
        late_copies: 0.3,
        ..Behavior::default()
    };
    let site = start(layout).await?;
    let until = Instant::now() + Duration::from_secs(8);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS * site.nodes.len() {
        let target = site.target(number % site.nodes.len());
        callers.spawn(async move {
            let mut answers = Vec::new();
            while Instant::now() < until {
                let Ok(mut connection) = Connection::open(target).await else {
                    continue;
                };
                while Instant::now() < until && !connection.is_closing {
                    let request = Request::post(HOST, "/post/x", b"entry");
                    let answer = connection.ask(&request).await;
                    let is_last = !matches!(answer, Answer::Served(_) | Answer::Failed { .. });
                    answers.push((request.id, answer));
                    if is_last {
                        break;
                    }
                    sleep(Duration::from_millis(5)).await;
                }
            }
            answers
        });
    }
    let answers: HashMap<String, Answer> = callers.join_all().await.into_iter().flatten().collect();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for arrival in site.journal.all() {
        *runs.entry(arrival.id).or_default() += usize::from(arrival.run_at.is_some());
    }
    let repeated: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
    let not_run = Answer::Failed {
        status: 503,
        signed: false,
    };
    let refused = answers.iter().filter(|(_, answer)| **answer == not_run);
    let false_ones: Vec<_> = refused
        .filter(|(id, _)| runs.get(*id).is_some_and(|runs| *runs > 0))
        .collect();
    assert!(
        false_ones.is_empty(),
        "ran, and was told as not run: {false_ones:?}"
    );
    let served = answers
        .values()
        .filter(|a| matches!(a, Answer::Served(_)))
        .count();
    assert!(served > 100, "{served} of {} answered", answers.len());
    Ok(())
}
