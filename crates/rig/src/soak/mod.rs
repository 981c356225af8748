//! Soak test: injects random faults from a seed into node processes under load and checks invariants.
//!
//! Node processes are killed, terminated, reloaded, paused and started again. Connections between nodes are
//! delayed, refused, stalled or dropped in one direction. Backend servers restart, become slow and send
//! faulty responses; they name limits, say that they are leaving, and end under deadly requests. The platform becomes unavailable or throttles reads, and operators take backend
//! servers and zones out and back. Faults overlap and come in series. The load goes on throughout: some
//! clients keep using their connection to a node until its process is gone. No fault affects the wall clock or a disk, which nodes use only for logs and
//! settings.
//!
//! [`run`] returns the violated invariants, as callers and backend servers observed them.

mod check;
mod schedule;
mod statements;

use std::{
    fs, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use check::Observations;
use schedule::{Fault, FaultKind, draw_faults};
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::{
    cluster::{Cluster, cluster},
    load::{self, Measurements, Workload},
    platform::Faults,
    process::Node,
    server::ResponseMode,
};

/// Availability zones of the cluster.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time within which the users require a change to be in effect.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(11);
/// Time after the last fault within which the users require the system to recover.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Minimum fraction of calls answered after the recovery, which a cluster without faults reaches.
const MIN_ANSWERED: f64 = 0.97;
/// Duration of the load after the recovery.
const RECOVERY_LOAD_TIME: Duration = Duration::from_secs(3);
/// Concurrency limit of a cold backend server. At the default rate of calls and with [`SERVICE_MS`], more
/// than one request would often run at once if nodes didn't enforce the limit.
const COLD_LIMIT: usize = 1;
/// Time from its start until a backend server is warm.
const WARM_MS: u64 = 1_500;
/// Clients of each node that keep using one connection until the node closes it.
const CLIENTS_PER_NODE: usize = 2;
/// Mean service time of backend servers.
const SERVICE_MS: f64 = 30.0;
/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after SIGTERM for which a node still takes calls.
const LINGER_MS: u64 = 500;
/// Time after SIGTERM within which a node must exit, including [`LINGER_MS`]. It leaves a call that is
/// received at the end of the linger time a second more than its [`DEADLINE`].
const STOP_MS: u64 = 3_000;
/// Reads per second that a throttling platform serves.
const THROTTLED_READS: usize = 2;
/// Factor on the service time of a slow backend server.
const SLOWDOWN: f64 = 10.0;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of faults and load.
    pub seed: u64,
    /// Time in which faults are injected and load is sent.
    pub duration: Duration,
    /// Number of nodes, and of backend servers.
    pub nodes: usize,
    /// Requests per second.
    pub rate: f64,
    /// Second octet of all addresses. Concurrent soaks need different ones.
    pub net: u8,
}

/// Result of a soak.
#[derive(Debug)]
pub struct Report {
    /// Violated invariants, one line each.
    pub violations: Vec<String>,
    /// Number of injected faults.
    pub fault_count: usize,
    /// Calls that were sent while faults were injected.
    pub calls: Measurements,
}

/// Runs a soak.
///
/// # Errors
///
/// Returns an error if a process can't be started, or if a node isn't ready in time, for example because
/// an address is in use.
pub async fn run(options: &Options) -> io::Result<Report> {
    let limits = json!({ "cold": COLD_LIMIT, "warm_ms": WARM_MS, "timeout_ms": DEADLINE.as_millis() as u64 });
    let builder = cluster(
        &format!("soak-{}-{}", options.seed, options.net),
        options.net,
    )
    .service_with_limits("draws", options.nodes.div_ceil(2), limits.clone())
    .service_with_limits("fees", options.nodes / 2, limits)
    .server_behavior(|behavior| {
        (behavior.cold, behavior.warm_ms, behavior.service_ms) = (COLD_LIMIT, WARM_MS, SERVICE_MS);
        behavior.deadly = Some(statements::DEADLY.to_owned());
    })
    .settings(json!({ "linger_ms": LINGER_MS, "stop_ms": STOP_MS, "log": "info" }))
    .with_proxies();
    let _ = fs::remove_dir_all(builder.output_dir());
    let cluster = builder.start().await?;
    let targets = cluster.targets();
    let mut faults = draw_faults(options.seed, options.duration, options.nodes, ZONES.len());
    let start = Instant::now();
    let workload = workload(options.seed, options, &targets, options.duration);
    let mut soak = Soak {
        cluster,
        start,
        violations: Vec::new(),
        drained: Vec::new(),
        deadly_until: start + options.duration + RECOVERY_TIME / 2,
    };
    let persistent = workload_of_clients(options, &targets);
    let (mut calls, persistent, injected) = tokio::join!(
        load::run(&workload),
        load::run_persistent(&persistent, CLIENTS_PER_NODE),
        soak.run_schedule(&mut faults)
    );
    injected?;
    calls.samples.extend(persistent.samples);
    sleep(RECOVERY_TIME).await;
    let observations = Observations {
        samples: &calls.samples,
        servers: &soak.cluster.servers,
        faults: &faults,
        targets: &targets,
    };
    let violations = observations.violations();
    soak.violations.extend(violations);
    soak.check_ends(&faults);
    soak.check_recovery(options, &targets).await;
    soak.cluster.stop().await;
    Ok(Report {
        violations: soak.violations,
        fault_count: faults.len(),
        calls,
    })
}

fn workload(seed: u64, options: &Options, targets: &[SocketAddr], duration: Duration) -> Workload {
    Workload {
        targets: targets.to_vec(),
        services: vec!["draws".into(), "fees".into()],
        rate: options.rate,
        duration,
        post_ratio: 0.5,
        deadline_ms: DEADLINE.as_millis() as u64,
        seed,
    }
}

/// Workload of the clients that keep using their connections, with other request ids.
fn workload_of_clients(options: &Options, targets: &[SocketAddr]) -> Workload {
    workload(
        options.seed.rotate_left(32),
        options,
        targets,
        options.duration,
    )
}

/// Backend servers that were taken out and must get no more requests.
struct Drained {
    /// The change that took them out.
    cause: FaultKind,
    servers: Vec<usize>,
    /// Number of their runs when the change had to be in effect.
    runs: u64,
}

struct Soak {
    cluster: Cluster,
    start: Instant,
    violations: Vec<String>,
    drained: Vec<Drained>,
    /// Until when deadly requests are sent.
    deadly_until: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Inject,
    Watch,
    Recover,
}

impl Soak {
    /// Injects the faults, and replaces their planned times by the actual ones.
    async fn run_schedule(&mut self, faults: &mut [Fault]) -> io::Result<()> {
        let mut steps: Vec<(Duration, Step, usize)> = Vec::new();
        for (index, fault) in faults.iter().enumerate() {
            steps.push((fault.start, Step::Inject, index));
            steps.push((fault.end, Step::Recover, index));
            if matches!(
                fault.kind,
                FaultKind::ServerLeaving(_) | FaultKind::ZoneOut(_)
            ) {
                steps.push((fault.start + CHANGE_TIMEOUT, Step::Watch, index));
            }
        }
        steps.sort();
        for (time, step, index) in steps {
            sleep_until((self.start + time).into()).await;
            let fault = faults[index];
            let began = self.start.elapsed();
            match step {
                Step::Inject => self.inject(index, fault.kind).await?,
                Step::Watch => self.watch_drained(&fault, faults),
                Step::Recover => self.recover(&fault, faults).await?,
            }
            let ended = self.start.elapsed();
            match step {
                Step::Inject => (faults[index].start, faults[index].injected) = (began, ended),
                Step::Watch => {}
                Step::Recover => faults[index].end = ended,
            }
        }
        Ok(())
    }

    async fn inject(&mut self, index: usize, kind: FaultKind) -> io::Result<()> {
        match kind {
            FaultKind::Kill(node) => self.cluster.nodes[node].kill().await,
            FaultKind::Terminate(node) => self.signal(node, "TERM").await,
            FaultKind::Reload(node) => {
                if !self.cluster.nodes[node].has_exited() {
                    self.cluster.nodes[node].signal("HUP").await;
                }
            }
            FaultKind::Pause(node) => self.signal(node, "STOP").await,
            FaultKind::DropInbound(node) => {
                self.cluster.proxies[node].configure(|faults| faults.drop_inbound = true)
            }
            FaultKind::DropOutbound(node) => {
                self.cluster.proxies[node].configure(|faults| faults.drop_outbound = true)
            }
            FaultKind::CloseNew(node) => {
                self.cluster.proxies[node].configure(|faults| faults.close_new = true)
            }
            FaultKind::StallOpen(node) => self.cluster.proxies[node].stall_open(),
            FaultKind::Delay(node, ms) => {
                self.cluster.proxies[node].configure(|faults| faults.delay_ms = ms)
            }
            FaultKind::RestartServer(node) => self.cluster.servers[node].restart(),
            FaultKind::SlowServer(node) => {
                self.cluster.servers[node].configure(|behavior| behavior.slow = SLOWDOWN)
            }
            FaultKind::FaultyResponse(node, mode) => {
                self.cluster.servers[node].configure(|behavior| behavior.answering = mode);
            }
            FaultKind::PlatformDown => self.set_platform_faults(Faults {
                down: true,
                ..Faults::default()
            }),
            FaultKind::PlatformThrottled => self.set_platform_faults(Faults {
                limit: Some(THROTTLED_READS),
                ..Faults::default()
            }),
            FaultKind::ServerLeaving(_) => self.publish_status(kind, "leaving"),
            FaultKind::ZoneOut(_) => self.publish_status(kind, "out"),
            FaultKind::LimitedServer(node) => self.cluster.servers[node]
                .configure(|behavior| behavior.limit = Some(statements::LIMIT)),
            FaultKind::DepartingServer(node) => {
                self.cluster.servers[node].configure(|behavior| behavior.leaving = true);
            }
            FaultKind::DeadlyRequest(node) => {
                let path = self.deadly_path(node, index);
                let service = &self.cluster.nodes[node].spec.service;
                let (callers, others) = (0..self.cluster.nodes.len())
                    .map(|index| (index, self.cluster.target(index)))
                    .partition::<Vec<_>, _>(|(index, _)| {
                        self.cluster.nodes[*index].spec.service == *service
                    });
                tokio::spawn(statements::send_deadly(
                    callers,
                    others,
                    path,
                    self.deadly_until,
                ));
            }
        }
        Ok(())
    }

    /// The path of the requests of the deadly fault with this index, which are sent to the service of
    /// `node`.
    fn deadly_path(&self, node: usize, index: usize) -> String {
        let service = &self.cluster.nodes[node].spec.service;
        format!("/{service}/{}/{index}", statements::DEADLY)
    }

    /// Checks how many servers ended under each deadly request.
    fn check_ends(&mut self, faults: &[Fault]) {
        for (index, fault) in faults.iter().enumerate() {
            if let FaultKind::DeadlyRequest(node) = fault.kind {
                let path = self.deadly_path(node, index);
                let line =
                    statements::check_ends(fault, &path, &self.cluster.servers, faults, self.start);
                self.violations.extend(line);
            }
        }
    }

    async fn recover(&mut self, fault: &Fault, faults: &[Fault]) -> io::Result<()> {
        match fault.kind {
            FaultKind::Kill(node) => self.cluster.nodes[node] = self.cluster.start_node(node)?,
            FaultKind::Terminate(node) => {
                if !self.cluster.nodes[node].has_exited() {
                    self.violations
                        .push(format!("{fault}: the node process didn't exit"));
                    self.cluster.nodes[node].kill().await;
                }
                self.cluster.nodes[node] = self.cluster.start_node(node)?;
            }
            FaultKind::Pause(node) => self.signal(node, "CONT").await,
            FaultKind::DropInbound(node) => {
                self.cluster.proxies[node].configure(|faults| faults.drop_inbound = false)
            }
            FaultKind::DropOutbound(node) => {
                self.cluster.proxies[node].configure(|faults| faults.drop_outbound = false)
            }
            FaultKind::CloseNew(node) => {
                self.cluster.proxies[node].configure(|faults| faults.close_new = false)
            }
            FaultKind::Delay(node, _) => {
                self.cluster.proxies[node].configure(|faults| faults.delay_ms = 0)
            }
            FaultKind::SlowServer(node) => {
                self.cluster.servers[node].configure(|behavior| behavior.slow = 1.0)
            }
            FaultKind::FaultyResponse(node, _) => {
                self.cluster.servers[node]
                    .configure(|behavior| behavior.answering = ResponseMode::Whole);
            }
            FaultKind::PlatformDown | FaultKind::PlatformThrottled => {
                self.set_platform_faults(Faults::default())
            }
            FaultKind::LimitedServer(node) => {
                let server = &self.cluster.servers[node];
                self.violations
                    .extend(statements::check_limit(fault, server));
                server.configure(|behavior| behavior.limit = None);
            }
            FaultKind::DepartingServer(node) => {
                let server = &self.cluster.servers[node];
                self.violations
                    .extend(statements::check_leaving(fault, server, faults));
                server.configure(|behavior| behavior.leaving = false);
                self.publish_status(fault.kind, "in");
            }
            FaultKind::DeadlyRequest(_) => {}
            FaultKind::Reload(_) | FaultKind::StallOpen(_) | FaultKind::RestartServer(_) => {}
            FaultKind::ServerLeaving(_) | FaultKind::ZoneOut(_) => {
                self.check_drained(fault);
                self.publish_status(fault.kind, "in");
            }
        }
        Ok(())
    }

    /// Signals a node. It is a violation if the node has exited before.
    async fn signal(&mut self, index: usize, name: &str) {
        let node: &mut Node = &mut self.cluster.nodes[index];
        if node.has_exited() {
            let host = node.spec.host.clone();
            self.violations.push(format!("{host} exited unexpectedly"));
        } else {
            node.signal(name).await;
        }
    }

    fn set_platform_faults(&self, faults: Faults) {
        self.cluster.platform.set_faults(faults);
    }

    /// Publishes a new status of a backend server or a zone.
    fn publish_status(&self, kind: FaultKind, status: &str) {
        let change = match kind {
            FaultKind::ZoneOut(zone) => {
                json!({ "zones": [{ "id": ZONES[zone], "region": "r", "status": status }] })
            }
            FaultKind::ServerLeaving(index) | FaultKind::DepartingServer(index) => {
                let mut server = self.cluster.note()["add"]["servers"][index].clone();
                server["status"] = json!(status);
                json!({ "servers": [server] })
            }
            _ => return,
        };
        let platform = &self.cluster.platform;
        let note = json!({ "author": "rig", "after": platform.head(), "change": change });
        platform.publish(&note.to_string());
    }

    /// Starts to watch the backend servers that this fault takes out: they may get no requests from now on,
    /// unless a fault of the platform kept nodes from reading the change in time.
    fn watch_drained(&mut self, fault: &Fault, faults: &[Fault]) {
        let effective_by = fault.start + CHANGE_TIMEOUT;
        let platform_faulty = faults.iter().any(|f| {
            matches!(
                f.kind,
                FaultKind::PlatformDown | FaultKind::PlatformThrottled
            ) && f.start < effective_by
                && fault.start < f.end
        });
        let servers: Vec<usize> = match fault.kind {
            _ if platform_faulty => return,
            FaultKind::ServerLeaving(index) => vec![index],
            FaultKind::ZoneOut(zone) => self.cluster.zone_nodes(ZONES[zone]),
            _ => return,
        };
        let runs = self.run_count(&servers);
        self.drained.push(Drained {
            cause: fault.kind,
            servers,
            runs,
        });
    }

    fn check_drained(&mut self, fault: &Fault) {
        let Some(index) = self.drained.iter().position(|d| d.cause == fault.kind) else {
            return;
        };
        let drained = self.drained.swap_remove(index);
        let runs = self.run_count(&drained.servers);
        if runs > drained.runs {
            let extra_runs = runs - drained.runs;
            let line = format!("{fault}: {extra_runs} requests ran more than 11 s after its start");
            self.violations.push(line);
        }
    }

    fn run_count(&self, servers: &[usize]) -> u64 {
        let all_servers = &self.cluster.servers;
        servers
            .iter()
            .map(|index| all_servers[*index].counts().runs)
            .sum()
    }

    /// Checks after all faults that no node has exited, that a new load is answered, and that no request
    /// of the load under faults exceeded the limit of a backend server.
    async fn check_recovery(&mut self, options: &Options, targets: &[SocketAddr]) {
        for node in 0..self.cluster.nodes.len() {
            if self.cluster.nodes[node].has_exited() {
                self.violations
                    .push(format!("host-{node} exited unexpectedly"));
            }
        }
        let breaches: u64 = self
            .cluster
            .servers
            .iter()
            .map(|s| s.counts().breaches)
            .sum();
        // The seed determines the request ids, which must differ from those of the first load.
        let recovery_load = workload(!options.seed, options, targets, RECOVERY_LOAD_TIME);
        let recovery = load::run(&recovery_load).await;
        let (answered, all) = (recovery.ok_count(), recovery.samples.len());
        if (answered as f64) < MIN_ANSWERED * all as f64 {
            let line = format!("{answered} of {all} calls answered after the faults");
            self.violations.push(line);
        }
        if breaches > 0 {
            let line = format!("{breaches} requests beyond the limits of backend servers");
            self.violations.push(line);
        }
    }
}
