//! The operators' changes, and what of them may be in force when.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::time::sleep;

use super::HOST;
use crate::site::{
    config::{
        CallerLimits, Config, KEY_MARK, ODD_NEIGHBOR, Route, Team, evacuate, publish_bytes,
        take_back,
    },
    server::ODD_ENTRY,
    store::Store,
};

/// Services of the deployment.
pub(super) const SERVICES: [&str; 2] = ["left", "right"];
/// A route that only invalid versions have.
pub(super) const TRAP: &str = "trap";
/// Begin of the names of routes whose requests may run once.
pub(super) const ONCE: &str = "post-";
/// A route that needs no key.
pub(super) const OPEN: &str = "open";
/// Key that is never taken away, of a team without an allowance.
pub(super) const KEPT_KEY: &str = "rigkey-kept";
/// Key that is never taken away, of a team that asks for more than its allowance.
pub(super) const HOT_KEY: &str = "rigkey-hot";
/// Number of teams that keep their keys.
const KEEPING: usize = 2;
/// Allowance of the second one.
pub(super) const HOT_RATE: f64 = 1.0;
pub(super) const HOT_BURST: u32 = 1;
/// Time for which all routes are withdrawn: longer than until that must be in force.
const WITHDRAWN: Duration = Duration::from_millis(2_600);
/// Largest number of routes that come and go.
const MAX_ROUTES: usize = 10;

/// A sound version of the configuration.
#[derive(Debug, Clone)]
pub(super) struct Version {
    pub(super) number: u64,
    pub(super) sent: Instant,
    pub(super) ack: Option<Instant>,
    /// Services by the names of the routes.
    pub(super) routes: BTreeMap<String, String>,
    /// Teams by their keys.
    pub(super) keys: BTreeMap<String, String>,
}

/// A zone taken out of service.
#[derive(Debug, Clone)]
pub(super) struct Evacuation {
    pub(super) zone: String,
    pub(super) ack: Option<Instant>,
    /// When its end was sent.
    pub(super) back: Option<Instant>,
}

/// All changes up to now.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    pub(super) versions: Vec<Version>,
    pub(super) evacuations: Vec<Evacuation>,
    /// Identifiers of servers that leave, with the acknowledgements.
    pub(super) drains: Vec<(String, Instant)>,
}

/// The history, shared by those who add to it and those who draw requests from it.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    pub(super) fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().expect("mutex isn't poisoned")
    }
}

/// The first two teams keep their keys; the others change theirs.
fn first_teams() -> Vec<Team> {
    let team = |name: &str, key: &str| Team {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        rate: 0.0,
        burst: 0,
    };
    let (kept, one, two) = (
        team("kept", KEPT_KEY),
        team("one", "rigkey-one"),
        team("two", "rigkey-two"),
    );
    let hot = Team {
        rate: HOT_RATE,
        burst: HOT_BURST,
        ..team("hot", HOT_KEY)
    };
    vec![kept, hot, one, two]
}

pub(super) struct Operator {
    store: Store,
    history: SharedHistory,
    config: Config,
    zones: Vec<String>,
    zone_out: Option<String>,
    rng: SmallRng,
    /// Number of the next route.
    next: u32,
    /// Whether odd items and invalid versions are written too.
    odd: bool,
    /// Number of routes that stay.
    fixed: usize,
    /// Draws for keys, so that other changes of a seed stay the same.
    key_rng: SmallRng,
    /// Number of the next key.
    next_key: u32,
}

impl Operator {
    pub(super) fn new(
        store: Store,
        history: SharedHistory,
        zones: Vec<String>,
        seed: u64,
        odd: bool,
        teams: bool,
    ) -> Self {
        let mut routes = Vec::new();
        for service in SERVICES {
            for (kind, idempotent) in [("get-", true), (ONCE, false)] {
                let mut route = Route::new(&format!("{kind}{service}"), HOST, service);
                route.idempotent = idempotent;
                // Longer than callers wait.
                route.timeout = json!("8s");
                routes.push(route);
            }
        }
        if teams {
            let mut route = Route::new(OPEN, HOST, SERVICES[0]);
            route.open = true;
            routes.push(route);
        }
        let fixed = routes.len();
        let config = Config {
            version: 1,
            routes,
            services: SERVICES.map(str::to_owned).to_vec(),
            teams: if teams { first_teams() } else { Vec::new() },
            limits: CallerLimits::default(),
        };
        Self {
            store,
            history,
            config,
            zones,
            zone_out: None,
            rng: SmallRng::seed_from_u64(seed ^ 0x0b),
            next: 0,
            odd,
            fixed,
            key_rng: SmallRng::seed_from_u64(seed ^ 0x6b),
            next_key: 0,
        }
    }

    /// Publishes the present configuration as a new version.
    pub(super) async fn publish(&mut self) {
        self.config.version += self.rng.random_range(1..9);
        let routes = self.config.routes.iter();
        let routes = routes.map(|r| (r.name.clone(), r.parts[0].0.clone()));
        let teams = self.config.teams.iter();
        let keys = teams.flat_map(|t| t.keys.iter().map(|key| (key.clone(), t.name.clone())));
        let version = Version {
            number: self.config.version,
            sent: Instant::now(),
            ack: None,
            routes: routes.collect(),
            keys: keys.collect(),
        };
        let index = {
            let mut history = self.history.lock();
            history.versions.push(version);
            history.versions.len() - 1
        };
        let ack = self.config.publish(&self.store).await;
        self.history.lock().versions[index].ack = Some(ack.at);
    }

    /// Writes again what is in force, after the store came back from an older copy.
    pub(super) async fn repeat(&mut self) {
        self.config.publish(&self.store).await;
        for zone in &self.zones {
            match self.zone_out == Some(zone.clone()) {
                true => evacuate(&self.store, zone).await,
                false => take_back(&self.store, zone).await,
            };
        }
    }

    /// Gives a team a new key, and takes its oldest one away if it has more than two. Keys never come back.
    pub(super) async fn change_keys(&mut self) {
        let index = self.key_rng.random_range(KEEPING..self.config.teams.len());
        let team = &mut self.config.teams[index];
        team.keys
            .push(format!("{KEY_MARK}{}-{}", team.name, self.next_key));
        self.next_key += 1;
        if team.keys.len() > 2 {
            team.keys.remove(0);
        }
        self.publish().await;
    }

    /// Makes one change.
    pub(super) async fn change(&mut self) {
        let fixed = self.fixed;
        let added = self.config.routes.len() - fixed;
        let draw = self.rng.random_range(0..12);
        let is_rare = self.rng.random_bool(0.3);
        let any = || fixed..fixed + added;
        match draw {
            0 | 1 if self.odd => return self.write_odd(draw == 0).await,
            2 => return self.evacuate_or_back().await,
            9 if is_rare => return self.withdraw_all().await,
            3..=5 if added > 0 => {
                let index = self.rng.random_range(any());
                let part = &mut self.config.routes[index].parts[0].0;
                *part = SERVICES[usize::from(part == SERVICES[0])].to_owned();
            }
            6 | 7 if added > 0 => {
                let index = self.rng.random_range(any());
                self.config.routes.remove(index);
            }
            8 if added > 0 => {
                let index = self.rng.random_range(any());
                let timeout = self.rng.random_range(900..1_800);
                self.config.routes[index].timeout = json!(format!("{timeout}ms"));
            }
            _ => {
                if added == MAX_ROUTES {
                    self.config.routes.remove(fixed);
                }
                let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
                let route = Route::new(&format!("r{}", self.next), HOST, service);
                self.next += 1;
                self.config.routes.push(route);
            }
        }
        self.publish().await;
    }

    /// Withdraws all routes until that is in force, and puts them back.
    async fn withdraw_all(&mut self) {
        let routes = std::mem::take(&mut self.config.routes);
        self.publish().await;
        sleep(WITHDRAWN).await;
        self.config.routes = routes;
        self.publish().await;
    }

    async fn evacuate_or_back(&mut self) {
        match self.zone_out.take() {
            Some(zone) => {
                if let Some(last) = self.history.lock().evacuations.last_mut() {
                    last.back = Some(Instant::now());
                }
                take_back(&self.store, &zone).await;
            }
            None => {
                let zone = self.zones[self.rng.random_range(0..self.zones.len())].clone();
                self.zone_out = Some(zone.clone());
                let ack = evacuate(&self.store, &zone).await;
                self.history.lock().evacuations.push(Evacuation {
                    zone,
                    ack: Some(ack.at),
                    back: None,
                });
            }
        }
    }

    /// Writes an odd item, or an invalid version, which a sound one with a new number follows.
    async fn write_odd(&mut self, is_item: bool) {
        if is_item {
            let key = [ODD_ENTRY, ODD_NEIGHBOR][self.rng.random_range(0..2)];
            let value = [json!("@@@"), json!(null), json!(7)][self.rng.random_range(0..3)].clone();
            self.store.put_raw(key, &json!({ "value": value }));
            return;
        }
        let mut invalid = self.config.clone();
        invalid.version += 1;
        invalid.routes.push(Route::new(TRAP, HOST, SERVICES[0]));
        match self.rng.random_range(0..4) {
            0 => invalid.routes[0].parts[0].0 = "nowhere".to_owned(),
            1 => invalid.routes[1].attempts = json!(0),
            2 => invalid.limits.head_bytes = json!(0),
            _ => invalid.routes[2].prefix = "nowhere".to_owned(),
        }
        publish_bytes(&self.store, &invalid.to_bytes()).await;
        self.config.version += 1;
        self.publish().await;
    }
}
