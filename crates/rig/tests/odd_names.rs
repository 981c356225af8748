//! Nodes as deployed, with names that the users' platform chooses.

use std::{io, time::Duration};

use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route, evacuate},
};
use tokio::time::{sleep, sleep_until};

/// Time after its acknowledgement within which the users require a version to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time after its acknowledgement within which the users require a zone to be out of service.
const EVAC: Duration = Duration::from_millis(5_000);
const HOST: &str = "lakes.example";
const FEES: &str = "Club_Fees \u{e9}/1";
const DRAWS: &str = "draws=\"A\"";
const ZONES: [&str; 3] = ["Viti_Levu", "no zone", "\u{e9}t\u{e9}"];

async fn start() -> io::Result<(Site, Config)> {
    let mut layout = Layout::new("site-odd-names", (112, 0), 0);
    layout.services = [FEES, DRAWS].map(|name| (name.to_owned(), 3)).to_vec();
    layout.zones = ZONES.map(str::to_owned).to_vec();
    layout.prefix = "I_\u{e9} /".to_owned();
    let mut site = layout.prepare()?;
    let route = |name: &str, path: &str, service: &str| Route {
        prefix: format!("/{path}/"),
        ..Route::new(name, HOST, service)
    };
    let config = Config {
        version: 1,
        routes: vec![
            route("R_1", "fees", FEES),
            route("a \"b\"\n\u{e9}", "draws", DRAWS),
        ],
        services: [FEES, DRAWS].map(str::to_owned).to_vec(),
        teams: Vec::new(),
        limits: CallerLimits::default(),
    };
    config.publish(&site.store).await;
    site.start_nodes().await?;
    Ok((site, config))
}

async fn expect_served(site: &Site, path: &str, service: &str) {
    for node in 0..site.nodes.len() {
        let request = Request::get(HOST, &format!("/{path}/x"));
        let answer = ask_once(site.target(node), &request).await;
        assert_eq!(answer, Answer::Served(service.to_owned()), "node {node}");
    }
}

/// Nodes refused names with other characters than their own release notes allow: a version with such a route wasn't
/// in force, such servers got no request, and such a zone was never taken out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn names_of_any_kind_are_in_force_at_all_nodes() -> io::Result<()> {
    let (site, mut config) = start().await?;
    expect_served(&site, "fees", FEES).await;
    expect_served(&site, "draws", DRAWS).await;
    config.version = 2;
    config.routes[0].parts[0].0 = DRAWS.to_owned();
    config.routes.push(Route::new("r_lists", HOST, FEES));
    let ack = config.publish(&site.store).await;
    sleep_until((ack.at + CONFIG_APPLY).into()).await;
    expect_served(&site, "fees", DRAWS).await;
    expect_served(&site, "r_lists", FEES).await;
    let ack = evacuate(&site.store, ZONES[1]).await;
    sleep_until((ack.at + EVAC).into()).await;
    let before = site.journal.all().len();
    expect_served(&site, "fees", DRAWS).await;
    expect_served(&site, "r_lists", FEES).await;
    let arrivals = site.journal.all();
    for arrival in &arrivals[before..] {
        assert_ne!(site.servers[arrival.server].place().zone, ZONES[1]);
    }
    let callers = |service: &str| {
        let named = arrivals
            .iter()
            .filter(|a| a.caller.as_deref() == Some(service));
        named.count()
    };
    assert_eq!(callers(FEES) + callers(DRAWS), arrivals.len());
    assert_eq!(callers(FEES), callers(DRAWS));
    sleep(Duration::from_millis(200)).await;
    for node in 0..site.nodes.len() {
        let log = std::fs::read_to_string(site.output_dir().join(format!("node-{node}.log")))?;
        assert!(log.lines().all(|line| line.starts_with("ts=")), "{log}");
    }
    site.stop().await;
    Ok(())
}
