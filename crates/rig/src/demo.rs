//! The demonstration: a whole deployment, every process separate, under load.

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

/// Requests per second of the comparison under light load.
const LIGHT_RATE: f64 = 200.0;
/// Mean service time of the stand-ins in milliseconds.
const SERVICE_MS: f64 = 5.0;
/// Time that backend servers get to become warm.
const WARM_UP: Duration = Duration::from_millis(3_500);
/// Where files of a run go.
const FOLDER: &str = "out/demo";

/// What the demonstration does.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) seconds: u64,
    pub(crate) rate: f64,
    pub(crate) policy: String,
    pub(crate) note: PathBuf,
}

/// Processes of a deployment. They are killed when dropped.
struct Deployment {
    nodes: Vec<Node>,
    _stand_ins: Vec<Child>,
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
    load::run(&workload(&nodes, &services, options.rate / 2.0, WARM_UP)).await;

    let duration = Duration::from_secs(options.seconds);
    set_work(&specs, 0.0).await;
    println!(
        "light load without work, directly and through the nodes, {} s each",
        options.seconds
    );
    let first = &services[..1];
    let direct: Vec<SocketAddr> = specs
        .iter()
        .filter(|s| s.service == services[0])
        .map(|s| s.server)
        .collect();
    let straight = load::run(&workload(&direct, first, LIGHT_RATE, duration)).await;
    let light = load::run(&workload(&nodes, first, LIGHT_RATE, duration)).await;
    set_work(&specs, SERVICE_MS).await;
    println!(
        "load of {} requests/s for {} s",
        options.rate, options.seconds
    );
    let busy = load::run(&workload(&nodes, &services, options.rate, duration)).await;
    print_report(&straight, &light, &busy);
    print_servers(&specs, &deployment).await;
    Ok(())
}

async fn start(specs: &[NodeSpec], note: &str, policy: &str) -> io::Result<Deployment> {
    let _ = fs::remove_dir_all(FOLDER);
    let net = specs[0].node.ip().to_string();
    let second = net.split('.').nth(1).unwrap_or("0");
    let platform: SocketAddr = format!("127.{second}.0.1:6000")
        .parse()
        .map_err(io::Error::other)?;
    let mut stand_ins = vec![stand_in(&["platform", "--listen", &platform.to_string()])?];
    for spec in specs {
        let conduct = json!({ "node": spec.listen(), "cold": 2, "warm_ms": 3000 });
        let listen = spec.server.to_string();
        stand_ins.push(stand_in(&[
            "server",
            "--listen",
            &listen,
            "--conduct",
            &conduct.to_string(),
        ])?);
    }
    publish(platform, note).await?;
    let start = |spec: &NodeSpec| {
        Node::start(
            spec.clone(),
            &spec.settings(platform, policy),
            Path::new(FOLDER),
        )
    };
    let nodes = specs.iter().map(start).collect::<io::Result<Vec<_>>>()?;
    for node in &nodes {
        node.wait_ready().await?;
    }
    Ok(Deployment {
        nodes,
        _stand_ins: stand_ins,
        platform,
    })
}

/// Mean time that backend servers work on a request, in milliseconds.
async fn set_work(specs: &[NodeSpec], service_ms: f64) {
    for spec in specs {
        let conduct = json!({
            "service_ms": service_ms, "node": spec.listen(), "cold": 2, "warm_ms": 3000,
        });
        let url = format!("http://{}/control/conduct", spec.server);
        let _ = client().post(url).json(&conduct).send().await;
    }
}

fn stand_in(arguments: &[&str]) -> io::Result<Child> {
    Command::new(program_path("amaranthyoke-rig"))
        .args(arguments)
        .kill_on_drop(true)
        .spawn()
}

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

fn print_report(straight: &Measurements, light: &Measurements, busy: &Measurements) {
    println!("\n{}", report::header());
    println!("{}", report::row("light, direct", straight));
    println!("{}", report::row("light, through nodes", light));
    println!("{}", report::row("load", busy));
    let added = |p| {
        report::percentile_ms(&light.latencies(), p)
            - report::percentile_ms(&straight.latencies(), p)
    };
    println!(
        "\nadded by the path: p50 {:.2} ms, p99 {:.2} ms",
        added(50.0),
        added(99.0)
    );
}

async fn print_servers(specs: &[NodeSpec], deployment: &Deployment) {
    let mut total = Counts::default();
    for spec in specs {
        let url = format!("http://{}/control/counts", spec.server);
        let Ok(answer) = client().get(url).send().await else {
            continue;
        };
        let counts: Counts = answer.json().await.unwrap_or_default();
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
    if let Ok(answer) = client().get(url).send().await {
        let (reads, refused): (u64, u64) = answer.json().await.unwrap_or_default();
        println!(
            "platform: {reads} reads by {} nodes, {refused} refused",
            deployment.nodes.len()
        );
    }
}
