//! Confirmed changes at nodes that start as deployed, with a stand-in of the users' store.

use std::{io, time::Duration};

use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, ODD_NEIGHBOR, Route, publish_bytes},
    server::ODD_ENTRY,
    store::{Ack, MISSING},
};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time after its acknowledgement within which the users require a version to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const HOST: &str = "lakes.example";
const NODES: usize = 4;

/// A deployment with the latest sound version of its configuration.
struct Deployment {
    site: Site,
    config: Config,
    /// What didn't hold, one line each.
    failures: Vec<String>,
}

impl Deployment {
    async fn start(name: &str, net: (u8, u8)) -> io::Result<Self> {
        let mut site = Layout::new(name, net, NODES).prepare()?;
        let config = Config {
            version: 1,
            routes: vec![Route::new("first", HOST, "left")],
            services: ["left", "right"].map(str::to_owned).to_vec(),
            teams: Vec::new(),
            limits: CallerLimits::default(),
        };
        config.publish(&site.store).await;
        site.start_nodes().await?;
        let mut deployment = Self {
            site,
            config,
            failures: Vec::new(),
        };
        deployment.expect_served("at the start", "first").await;
        Ok(deployment)
    }

    /// Publishes a new version with one more route.
    async fn add_route(&mut self, route: Route) -> Ack {
        self.config.routes.push(route);
        self.config.version += 3;
        self.config.publish(&self.site.store).await
    }

    /// Asks every node on a route, which must be served.
    async fn expect_served(&mut self, case: &str, route: &str) {
        let request = Request::get(HOST, &format!("/{route}/x"));
        self.expect_request_served(case, &request).await;
    }

    /// Asks every node on a route that no version in force has.
    async fn expect_unknown(&mut self, case: &str, route: &str) {
        for node in 0..NODES {
            let request = Request::get(HOST, &format!("/{route}/x"));
            let answer = ask_once(self.site.target(node), &request).await;
            let unknown = Answer::Failed {
                status: 404,
                signed: false,
            };
            if answer != unknown {
                self.failures
                    .push(format!("{case}: node {node} on /{route}/: {answer:?}"));
            }
        }
    }

    async fn expect_request_served(&mut self, case: &str, request: &Request) {
        for node in 0..NODES {
            let request = Request {
                id: Request::get(HOST, "/").id,
                ..request.clone()
            };
            let answer = ask_once(self.site.target(node), &request).await;
            if !matches!(answer, Answer::Served(_)) {
                let path = &request.path;
                self.failures
                    .push(format!("{case}: node {node} on {path}: {answer:?}"));
            }
        }
    }

    fn finish(self) {
        assert!(self.failures.is_empty(), "{:#?}", self.failures);
    }
}

async fn sleep_until_due(ack: Ack) {
    tokio::time::sleep_until((ack.at + CONFIG_APPLY).into()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreadable_item_keeps_no_change_from_being_in_force() -> io::Result<()> {
    let mut deployment = Deployment::start("site-unreadable", (93, 0)).await?;
    let cases = [
        (ODD_ENTRY, "not base64", json!({ "value": "@@@" })),
        (ODD_ENTRY, "missing value", json!({ "value": MISSING })),
        (ODD_ENTRY, "null value", json!({ "value": null })),
        (ODD_ENTRY, "a number as value", json!({ "value": 7 })),
        (ODD_ENTRY, "a key that isn't text", json!({ "key": 7 })),
        (ODD_ENTRY, "a missing key", json!({ "key": MISSING })),
        (
            ODD_ENTRY,
            "bytes that are no text",
            json!({ "value": "/w==" }),
        ),
        (
            ODD_NEIGHBOR,
            "not base64, beside the configuration",
            json!({ "value": "@@@" }),
        ),
        (
            ODD_NEIGHBOR,
            "a key that isn't text, beside the configuration",
            json!({ "key": 7 }),
        ),
    ];
    for (number, (key, case, fields)) in cases.iter().enumerate() {
        deployment.site.store.put_raw(key, fields);
        let name = format!("beside-{number}");
        let ack = deployment.add_route(Route::new(&name, HOST, "right")).await;
        sleep_until_due(ack).await;
        deployment.expect_served(case, &name).await;
        deployment.site.store.remove(key);
    }
    deployment.finish();
    Ok(())
}

/// The configuration with one more route, which was changed.
fn with_route(config: &Config, change: impl FnOnce(&mut Route)) -> Vec<u8> {
    let mut config = config.clone();
    let mut route = Route::new("odd", HOST, "left");
    change(&mut route);
    config.routes.push(route);
    config.to_bytes()
}

fn with_limits(config: &Config, change: impl FnOnce(&mut CallerLimits)) -> Vec<u8> {
    let mut config = config.clone();
    change(&mut config.limits);
    config.to_bytes()
}

/// Configurations that aren't valid, as bytes. Those that can be read have one more route, `trap`.
fn invalid_configs(config: &Config) -> Vec<(&'static str, Vec<u8>)> {
    let mut config = config.clone();
    config.routes.push(Route::new("trap", HOST, "left"));
    let config = &config;
    let mut without_prefix_slash = config.clone();
    without_prefix_slash.routes[0].prefix = "first".to_owned();
    let mut without_attempts = config.clone();
    without_attempts.routes[0].attempts = json!(0);
    let mut without_timeout = config.clone();
    without_timeout.routes[0].timeout = json!("0ms");
    let mut unknown_service = config.clone();
    unknown_service.routes[0].parts[0].0 = "nowhere".to_owned();
    let odd_service = |route: &mut Route| route.parts[0].0 = "nowhere".to_owned();
    vec![
        ("no JSON", br#"{"version":"#.to_vec()),
        ("no fields", b"{}".to_vec()),
        (
            "a moved route to an unknown service",
            unknown_service.to_bytes(),
        ),
        (
            "a new route to an unknown service",
            with_route(config, odd_service),
        ),
        (
            "a route without a service",
            with_route(config, |r| r.parts.clear()),
        ),
        ("no attempts", without_attempts.to_bytes()),
        ("a timeout of 0", without_timeout.to_bytes()),
        ("a prefix without slashes", without_prefix_slash.to_bytes()),
        (
            "a head of 0 bytes",
            with_limits(config, |l| l.head_bytes = json!(0)),
        ),
        (
            "a head timeout of 0",
            with_limits(config, |l| l.head_timeout = json!("0ms")),
        ),
        (
            "an idle timeout of 0",
            with_limits(config, |l| l.idle_timeout = json!("0ms")),
        ),
    ]
}

fn with_version(config: &Config, version: u64) -> Config {
    Config {
        version,
        ..config.clone()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_configuration_takes_no_place_of_a_sound_one() -> io::Result<()> {
    let mut deployment = Deployment::start("site-invalid", (93, 1)).await?;
    for number in 0..invalid_configs(&deployment.config).len() {
        let newer = with_version(&deployment.config, deployment.config.version + 1);
        let (case, bytes) = invalid_configs(&newer).swap_remove(number);
        let ack = publish_bytes(&deployment.site.store, &bytes).await;
        sleep_until_due(ack).await;
        deployment.expect_served(case, "first").await;
        deployment.expect_unknown(case, "trap").await;
        let name = format!("after-{number}");
        let ack = deployment.add_route(Route::new(&name, HOST, "right")).await;
        sleep_until_due(ack).await;
        let case = format!("after {case}");
        deployment.expect_served(&case, &name).await;
    }
    deployment.finish();
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_version_just_before_an_invalid_one_is_in_force() -> io::Result<()> {
    let mut deployment = Deployment::start("site-before-invalid", (93, 2)).await?;
    for number in 0..invalid_configs(&deployment.config).len() {
        let name = format!("before-{number}");
        let ack = deployment.add_route(Route::new(&name, HOST, "right")).await;
        let newer = with_version(&deployment.config, deployment.config.version + 1);
        let (case, bytes) = invalid_configs(&newer).swap_remove(number);
        publish_bytes(&deployment.site.store, &bytes).await;
        sleep_until_due(ack).await;
        sleep(Duration::from_millis(50)).await;
        deployment.expect_served(case, "first").await;
        deployment.expect_unknown(case, "trap").await;
        deployment.expect_served(case, &name).await;
    }
    deployment.finish();
    Ok(())
}

/// Changes one of a route's numbers to another form of a sound value.
type NumberForm = fn(&mut Route);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_form_of_a_number_keeps_no_sound_version_off() -> io::Result<()> {
    let mut deployment = Deployment::start("site-numbers", (93, 3)).await?;
    let halves = |weight: Value| {
        let part = |service: &str| (service.to_owned(), weight.clone());
        vec![part("left"), part("right")]
    };
    let cases: [(&str, NumberForm); 6] = [
        ("a priority of 1.0", |r| r.priority = json!(1.0)),
        ("a priority of 2^40", |r| r.priority = json!(1_u64 << 40)),
        ("attempts of 2.0", |r| r.attempts = json!(2.0)),
        ("a timeout of 1.5s", |r| r.timeout = json!("1.5s")),
        ("a timeout of 1500.0ms", |r| r.timeout = json!("1500.0ms")),
        ("attempts of 2^40", |r| r.attempts = json!(1_u64 << 40)),
    ];
    for (number, (case, change)) in cases.iter().enumerate() {
        let name = format!("number-{number}");
        let mut route = Route::new(&name, HOST, "right");
        change(&mut route);
        let ack = deployment.add_route(route).await;
        sleep_until_due(ack).await;
        deployment.expect_served(case, &name).await;
        deployment.config.routes.pop();
    }
    for (number, weight) in [json!(0.5), json!(50.0), json!(1_u64 << 33)]
        .into_iter()
        .enumerate()
    {
        let name = format!("weight-{number}");
        let case = format!("weights of {weight}");
        let mut route = Route::new(&name, HOST, "left");
        route.parts = halves(weight);
        let ack = deployment.add_route(route).await;
        sleep_until_due(ack).await;
        deployment.expect_served(&case, &name).await;
        deployment.config.routes.pop();
    }
    deployment.finish();
    Ok(())
}

/// Without routes, the first segment of the path named the service: bookings of withdrawn routes ran, some twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_withdrawn_routes_run_nowhere() -> io::Result<()> {
    let mut deployment = Deployment::start("site-withdrawn", (93, 5)).await?;
    let mut route = Route::new("left", HOST, "left");
    route.idempotent = false;
    let ack = deployment.add_route(route).await;
    sleep_until_due(ack).await;
    deployment.expect_served("before", "left").await;
    deployment.config.routes.clear();
    deployment.config.version += 1;
    let ack = deployment.config.publish(&deployment.site.store).await;
    sleep_until_due(ack).await;
    let arrived = deployment.site.journal.all().len();
    deployment.expect_unknown("withdrawn", "left").await;
    for node in 0..NODES {
        for method in ["PUT", "DELETE"] {
            let request = Request {
                method,
                ..Request::post(HOST, "/left/x", b"booking")
            };
            ask_once(deployment.site.target(node), &request).await;
        }
    }
    assert_eq!(deployment.site.journal.all().len(), arrived);
    deployment.finish();
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proper_request_with_many_short_headers_is_served() -> io::Result<()> {
    let mut deployment = Deployment::start("site-headers", (93, 4)).await?;
    for count in [60, 140, 300] {
        let request = Request {
            headers: (0..count)
                .map(|number| (format!("x-h-{number}"), "v".to_owned()))
                .collect(),
            ..Request::get(HOST, "/first/x")
        };
        let case = format!("{count} headers, {} bytes", request.to_bytes().len());
        deployment.expect_request_served(&case, &request).await;
    }
    deployment.finish();
    Ok(())
}
