//! Callers of a soak: some ask for what was just changed, others keep their connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use super::{
    HOST,
    operator::{HOT_KEY, KEPT_KEY, ONCE, OPEN, SERVICES, SharedHistory, TRAP},
};
use crate::site::{
    caller::{Answer, Connection, Request, Sample, ask_once},
    config::TEAM_HEADER,
};

/// What precedes a key in its header.
pub(super) const BEARER: &str = "Bearer ";

/// Time between two requests that ask for changes, at one node.
const ASK_INTERVAL: Duration = Duration::from_millis(80);
/// Longest work of a usual request in milliseconds.
const MAX_WORK_MS: u64 = 250;
/// Longest work of the few requests that take long, their share, and the time that their callers wait.
const MAX_LONG_MS: u64 = 4_500;
const LONG_SHARE: f64 = 0.04;
const LONG_TIMEOUT: Duration = Duration::from_secs(6);
/// Versions whose changes are asked for.
const RECENT: usize = 3;
/// Time between two requests beyond a team's allowance, at one node: 40 times the allowance with six nodes.
const HOT_INTERVAL: Duration = Duration::from_millis(150);
/// Versions from which keys are drawn, so that many were taken away.
const RECENT_KEYS: usize = 24;
/// Time after which a caller connects again that had no connection.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Requests and answers of all callers.
#[derive(Debug, Clone, Default)]
pub(super) struct Samples(Arc<Mutex<Vec<Sample>>>);

impl Samples {
    fn push(&self, node: usize, request: Request, sent: Instant, answer: Answer) {
        // Without a connection nothing was asked.
        if answer != Answer::Unconnected {
            let mut samples = self.0.lock().expect("mutex isn't poisoned");
            samples.push(Sample {
                node,
                request,
                sent,
                ended: Instant::now(),
                answer,
            });
        }
    }

    pub(super) fn take(&self) -> Vec<Sample> {
        std::mem::take(&mut self.0.lock().expect("mutex isn't poisoned"))
    }
}

/// A caller of one node.
pub(super) struct Caller {
    pub(super) node: usize,
    pub(super) target: SocketAddr,
    pub(super) history: SharedHistory,
    pub(super) samples: Samples,
    pub(super) until: Instant,
    pub(super) seed: u64,
    /// Whether the deployment has teams.
    pub(super) teams: bool,
}

impl Caller {
    /// Asks for routes that were just added, moved or removed, that stay, or that never existed.
    pub(super) async fn ask_changes(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ self.node as u64);
        while Instant::now() < self.until {
            let route = self.draw_route(&mut rng);
            let mut request = Request::get(HOST, &format!("/{route}/x"));
            self.add_key(&mut request, Some(KEPT_KEY));
            self.ask(request).await;
            sleep(ASK_INTERVAL).await;
        }
    }

    /// Asks with keys that are valid, were taken away, never existed or are missing.
    pub(super) async fn ask_with_keys(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (self.node as u64) << 16);
        while Instant::now() < self.until {
            let draw = rng.random_range(0..10);
            let route = if draw < 2 { OPEN } else { "get-left" };
            let key = match draw {
                0 | 2 => None,
                3 => Some("rigkey-never".to_owned()),
                _ => self.draw_key(&mut rng),
            };
            let mut request = Request::get(HOST, &format!("/{route}/work-5/x"));
            self.add_key(&mut request, key.as_deref());
            self.ask(request).await;
            sleep(ASK_INTERVAL).await;
        }
    }

    /// Asks for more than a team's allowance.
    pub(super) async fn ask_too_much(self) {
        while Instant::now() < self.until {
            let mut request = Request::get(HOST, "/get-left/work-5/x");
            self.add_key(&mut request, Some(HOT_KEY));
            self.ask(request).await;
            sleep(HOT_INTERVAL).await;
        }
    }

    async fn ask(&self, request: Request) {
        let sent = Instant::now();
        let answer = ask_once(self.target, &request).await;
        self.samples.push(self.node, request, sent, answer);
    }

    /// Adds a key, and a false team.
    fn add_key(&self, request: &mut Request, key: Option<&str>) {
        if self.teams {
            let team = (TEAM_HEADER.to_owned(), "false".to_owned());
            request.headers.push(team);
            let key = key.map(|key| ("Authorization".to_owned(), format!("{BEARER}{key}")));
            request.headers.extend(key);
        }
    }

    /// A key of a recent version, but that of the team that asks too much.
    fn draw_key(&self, rng: &mut SmallRng) -> Option<String> {
        let history = self.history.lock();
        let versions = &history.versions;
        let age = rng.random_range(1..=RECENT_KEYS.min(versions.len()));
        let keys = versions[versions.len() - age].keys.keys();
        let keys: Vec<&String> = keys.filter(|key| *key != HOT_KEY).collect();
        Some(
            keys.get(rng.random_range(0..keys.len().max(1)))?
                .to_string(),
        )
    }

    fn draw_route(&self, rng: &mut SmallRng) -> String {
        let history = self.history.lock();
        let versions = &history.versions;
        let age = rng.random_range(1..=RECENT).min(versions.len());
        // Either the routes of a recent version, or those of the one before it.
        let version = &versions[versions.len() - age];
        let names: Vec<&String> = version.routes.keys().collect();
        match rng.random_range(0..10) {
            0 => "never".to_owned(),
            // Not a route, though a service has this name.
            2 => SERVICES[0].to_owned(),
            1 => TRAP.to_owned(),
            _ if names.is_empty() => "never".to_owned(),
            _ => names[rng.random_range(0..names.len())].clone(),
        }
    }

    /// Keeps a connection for requests on the routes that stay until the node closes it or is gone.
    pub(super) async fn keep_asking(self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (self.node as u64) << 8);
        while Instant::now() < self.until {
            match Connection::open(self.target).await {
                Ok(connection) => self.use_connection(connection, &mut rng).await,
                Err(_) => sleep(CONNECT_PAUSE).await,
            }
        }
    }

    async fn use_connection(&self, mut connection: Connection, rng: &mut SmallRng) {
        while Instant::now() < self.until {
            let service = SERVICES[rng.random_range(0..SERVICES.len())];
            let is_long = rng.random_bool(LONG_SHARE);
            let longest = if is_long { MAX_LONG_MS } else { MAX_WORK_MS };
            let work = rng.random_range(1..=longest);
            let mut request = match rng.random_bool(0.5) {
                true => Request::get(HOST, &format!("/get-{service}/work-{work}/x")),
                false => {
                    let path = format!("/{ONCE}{service}/work-{work}/x");
                    Request::post(HOST, &path, b"entry")
                }
            };
            self.add_key(&mut request, Some(KEPT_KEY));
            if is_long {
                request.timeout = LONG_TIMEOUT;
            }
            let sent = Instant::now();
            let answer = connection.ask(&request).await;
            let is_last = matches!(answer, Answer::Cut | Answer::None | Answer::Mixed(_));
            self.samples.push(self.node, request.clone(), sent, answer);
            if is_last || connection.is_closing {
                return;
            }
            let pause = Duration::from_millis(rng.random_range(5..60));
            let (bytes, has_ended) = connection.unasked(pause).await;
            if bytes > 0 {
                let text = format!("{bytes} bytes on a connection with no request waiting");
                self.samples
                    .push(self.node, request, sent, Answer::Mixed(text));
            }
            if bytes > 0 || has_ended {
                return;
            }
        }
    }
}
