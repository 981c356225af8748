//! A request that ends each backend server that runs it.

use std::{io, time::Duration};

use rig::{
    cluster::{Cluster, cluster},
    load::{self, Workload},
    process::client,
    server::{Behavior, Server},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Number of times that callers send the deadly request, and the time between.
const REQUESTS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(250);
/// Ends after which the users' rule counts each further one.
const MAX_ENDS: u64 = 3;
/// Share of the other requests that is answered although servers are away for a while.
const MIN_ANSWERED: f64 = 0.95;

/// Sends the deadly request through one node of a service after the other, since requests of another service
/// are others, and returns the statuses.
async fn send_deadly(cluster: &Cluster) -> Vec<u16> {
    let mut statuses = Vec::new();
    let is_caller = |index: &usize| cluster.nodes[*index].spec.service.as_str() == "draws";
    let callers: Vec<usize> = (0..cluster.nodes.len()).filter(is_caller).collect();
    for index in 0..REQUESTS {
        let target = cluster.target(callers[index % callers.len()]);
        let url = format!("http://{target}/draws/deadly");
        let request = client().get(url).header("x-deadline-ms", 1_000);
        let response = request.send().await.expect("no response");
        statuses.push(response.status().as_u16());
        sleep(INTERVAL).await;
    }
    statuses
}

#[tokio::test]
async fn a_request_that_ends_its_backend_servers_is_held_back() -> io::Result<()> {
    let limits = json!({ "cold": 10, "warm_ms": 0, "timeout_ms": 1000, "probes": 20.0 });
    let cluster = cluster("deadly-request", 92)
        .service_with_limits("draws", 4, limits.clone())
        .service_with_limits("fees", 2, limits)
        .server_behavior(|behavior| behavior.deadly = Some("deadly".into()))
        .start()
        .await?;
    let others = Workload {
        targets: cluster.targets(),
        services: vec!["draws".into()],
        rate: 60.0,
        duration: INTERVAL * REQUESTS as u32,
        post_ratio: 0.0,
        deadline_ms: 1_000,
        seed: 27,
    };
    let (statuses, others) = tokio::join!(send_deadly(&cluster), load::run(&others));
    let ends: u64 = cluster.servers.iter().map(|s| s.counts().ends).sum();
    assert!(ends <= MAX_ENDS, "{ends} servers ended: {statuses:?}");
    let rejected = statuses.iter().filter(|status| **status == 503).count();
    assert!(rejected > REQUESTS / 2, "{statuses:?}");
    let answered = others.ok_count() as f64 / others.samples.len() as f64;
    assert!(
        answered >= MIN_ANSWERED,
        "{answered} {:?}",
        others.result_counts()
    );
    Ok(())
}

/// The verdict of a node on the request that has ended its servers.
async fn verdict(cluster: &Cluster, node: usize) -> Option<(String, String)> {
    let state = cluster.nodes[node].state().await?;
    let suspect = state["suspects"].as_array()?.first()?.clone();
    let text = |field: &str| suspect[field].as_str().map(str::to_owned);
    Some((text("request")?, text("verdict")?))
}

#[tokio::test]
async fn an_operator_clears_a_request_on_all_nodes() -> io::Result<()> {
    let cluster = cluster("deadly-cleared", 96)
        .service("draws", 3)
        .server_behavior(|behavior| behavior.deadly = Some("deadly".into()))
        .start()
        .await?;
    send_deadly(&cluster).await;
    let (request, held) = verdict(&cluster, 0).await.expect("a suspect");
    assert_eq!(held, "held");
    let admin = cluster.nodes[0].spec.admin();
    let url = format!("http://{admin}/suspects/{request}/clear");
    let response = client().post(url).send().await.expect("no response");
    assert_eq!(response.status().as_u16(), 200);
    sleep(Duration::from_secs(1)).await;
    for node in 0..cluster.nodes.len() {
        let (_, verdict) = verdict(&cluster, node).await.expect("evidence");
        assert_eq!(verdict, "clear", "node {node}");
    }
    Ok(())
}

/// The stand-in ran requests that reached it together with a deadly one, after its end. Two of them exceeded the
/// limit of a server that has just started, which no gate could have kept.
#[tokio::test]
async fn a_server_that_has_ended_runs_no_request_of_an_open_connection() -> io::Result<()> {
    let behavior = Behavior {
        deadly: Some("deadly".to_owned()),
        ..Behavior::default()
    };
    let server = Server::new(behavior);
    let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let serving = server.clone();
    tokio::spawn(async move { serving.serve(address).await });
    let connect = async || loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let (mut first, mut second) = (connect().await, connect().await);
    let id = "00000000000000000000000000000abc";
    let head = format!("GET /draws/item HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\n");
    first.write_all(head.as_bytes()).await?;
    sleep(Duration::from_millis(100)).await;
    second
        .write_all(b"GET /draws/deadly HTTP/1.1\r\nhost: h\r\n\r\n")
        .await?;
    let mut received = Vec::new();
    let _ = second.read_to_end(&mut received).await;
    assert_eq!(server.counts().ends, 1);
    first.write_all(b"\r\n").await?;
    let _ = first.read_to_end(&mut received).await;
    let received = String::from_utf8_lossy(&received);
    assert!(!received.contains(id), "{received}");
    assert_eq!((server.arrival_count(id), server.run_count(id)), (1, 0));
    Ok(())
}
