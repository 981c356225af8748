//! The demonstration: a deployment under load in which every node and every stub is its own process.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use rig::{
    load::{self, Measurements, Workload},
    process::{Node, NodeSpec, client, program_path},
    report,
    server::Counts,
};
use serde_json::json;
use tokio::{
    process::{Child, Command},
    time::{Instant, sleep},
};

/// Requests per second of the latency comparison between direct requests and requests through nodes.
const LIGHT_RATE: f64 = 200.0;
/// Mean service time of the backend server stubs under load.
const SERVICE_MS: f64 = 5.0;
/// Load before the measurements, longer than the 3,000 ms in which a backend server becomes warm.
const WARMUP: Duration = Duration::from_millis(3_500);
/// Directory of the nodes' settings and logs.
const OUTPUT_DIR: &str = "out/demo";

/// Arguments of the `demo` subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) seconds: u64,
    pub(crate) rate: f64,
    pub(crate) policy: String,
    pub(crate) note: PathBuf,
}

/// Processes of a deployment, which are killed on drop.
struct Deployment {
    nodes: Vec<Node>,
    _stubs: Vec<Child>,
    platform: SocketAddr,
}

pub(crate) async fn run(options: &Options) -> io::Result<()> {
    let text = fs::read_to_string(&options.note)?;
    let note = note::parse(&text).map_err(io::Error::other)?;
    let specs = NodeSpec::from_note(&note);
    println!(
        "starting {} nodes, {} backend servers and the platform",
        specs.len(),
        specs.len()
    );
    let deployment = start(&specs, &text, &options.policy).await?;
    println!("all nodes are ready, warming up");
    let services: Vec<String> = note.add.services.iter().map(|s| s.id.to_string()).collect();
    let nodes: Vec<SocketAddr> = specs.iter().map(NodeSpec::listen).collect();
    let mut seed = 0;
    let mut workload = |targets: &[SocketAddr], services: &[String], rate, duration| Workload {
        targets: targets.to_vec(),
        services: services.to_vec(),
        rate,
        duration,
        post_ratio: 0.3,
        deadline_ms: 2_000,
        seed: {
            seed += 1;
            seed
        },
    };
    load::run(&workload(&nodes, &services, options.rate / 2.0, WARMUP)).await;

    let duration = Duration::from_secs(options.seconds);
    set_service_time(&specs, 0.0).await;
    println!(
        "light load without work, directly and through the nodes, {} s each",
        options.seconds
    );
    let first_service = &services[..1];
    let server_addresses: Vec<SocketAddr> = specs
        .iter()
        .filter(|s| s.service == services[0])
        .map(|s| s.server)
        .collect();
    let direct = load::run(&workload(
        &server_addresses,
        first_service,
        LIGHT_RATE,
        duration,
    ))
    .await;
    let through_nodes = load::run(&workload(&nodes, first_service, LIGHT_RATE, duration)).await;
    set_service_time(&specs, SERVICE_MS).await;
    println!(
        "load of {} requests/s for {} s",
        options.rate, options.seconds
    );
    let loaded = load::run(&workload(&nodes, &services, options.rate, duration)).await;
    print_report(&direct, &through_nodes, &loaded);
    print_counts(&specs, &deployment).await;
    Ok(())
}

async fn start(specs: &[NodeSpec], note: &str, policy: &str) -> io::Result<Deployment> {
    let _ = fs::remove_dir_all(OUTPUT_DIR);
    let node_ip = specs[0].node.ip().to_string();
    let second_octet = node_ip.split('.').nth(1).unwrap_or("0");
    let platform: SocketAddr = format!("127.{second_octet}.0.1:6000")
        .parse()
        .map_err(io::Error::other)?;
    let mut stubs = vec![spawn_stub(&[
        "platform",
        "--listen",
        &platform.to_string(),
    ])?];
    for spec in specs {
        let behavior = json!({ "node": spec.listen(), "cold": 2, "warm_ms": 3000 });
        let listen = spec.server.to_string();
        stubs.push(spawn_stub(&[
            "server",
            "--listen",
            &listen,
            "--behavior",
            &behavior.to_string(),
        ])?);
    }
    publish(platform, note).await?;
    let start = |spec: &NodeSpec| {
        Node::start(
            spec.clone(),
            &spec.settings(platform, policy),
            Path::new(OUTPUT_DIR),
        )
    };
    let nodes = specs.iter().map(start).collect::<io::Result<Vec<_>>>()?;
    for node in &nodes {
        node.wait_ready().await?;
    }
    Ok(Deployment {
        nodes,
        _stubs: stubs,
        platform,
    })
}

/// Sets the mean service time of all backend servers.
async fn set_service_time(specs: &[NodeSpec], service_ms: f64) {
    for spec in specs {
        let behavior = json!({
            "service_ms": service_ms, "node": spec.listen(), "cold": 2, "warm_ms": 3000,
        });
        let url = format!("http://{}/control/behavior", spec.server);
        let _ = client().post(url).json(&behavior).send().await;
    }
}

/// Runs a subcommand of `amaranthyoke-rig` as a process of its own.
fn spawn_stub(arguments: &[&str]) -> io::Result<Child> {
    Command::new(program_path("amaranthyoke-rig"))
        .args(arguments)
        .kill_on_drop(true)
        .spawn()
}

/// Publishes a release note, and retries until the platform stub listens.
async fn publish(platform: SocketAddr, note: &str) -> io::Result<()> {
    let url = format!("http://{platform}/control/notes");
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        match client().post(&url).body(note.to_owned()).send().await {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() > deadline => return Err(io::Error::other(error)),
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

fn print_report(direct: &Measurements, through_nodes: &Measurements, loaded: &Measurements) {
    println!("\n{}", report::header());
    println!("{}", report::row("light, direct", direct));
    println!("{}", report::row("light, through nodes", through_nodes));
    println!("{}", report::row("load", loaded));
    let overhead_ms = |percentile| {
        report::percentile_ms(&through_nodes.latencies(), percentile)
            - report::percentile_ms(&direct.latencies(), percentile)
    };
    println!(
        "\nadded by the path: p50 {:.2} ms, p99 {:.2} ms",
        overhead_ms(50.0),
        overhead_ms(99.0)
    );
}

async fn print_counts(specs: &[NodeSpec], deployment: &Deployment) {
    let mut total = Counts::default();
    for spec in specs {
        let url = format!("http://{}/control/counts", spec.server);
        let Ok(response) = client().get(url).send().await else {
            continue;
        };
        let counts: Counts = response.json().await.unwrap_or_default();
        total.runs += counts.runs;
        total.doubled += counts.doubled;
        total.breaches += counts.breaches;
        total.probes += counts.probes;
    }
    println!(
        "backend servers: {} runs, {} doubled, {} beyond what is borne, {} probes",
        total.runs, total.doubled, total.breaches, total.probes
    );
    let url = format!("http://{}/control/reads", deployment.platform);
    if let Ok(response) = client().get(url).send().await {
        let (reads, refused): (u64, u64) = response.json().await.unwrap_or_default();
        println!(
            "platform: {reads} reads by {} nodes, {refused} refused",
            deployment.nodes.len()
        );
    }
}
