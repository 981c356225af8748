//! Soak on the users' platform: operators' changes and faults from a seed, judged by the users' rules from
//! what callers and backend servers saw.
//!
//! Operators add, move and drop routes, change timeouts, and take zones out and back. The store, processes and
//! backend servers have faults meanwhile, which come in series and overlap. Some callers ask every node for
//! what was just changed; others keep their connections until the node closes them or is gone.

mod check;
mod load;
mod operator;
mod schedule;
mod step;
#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    fmt, io,
    sync::Arc,
    time::{Duration, Instant},
};

use check::{Impairment, Observations, Scope};
use load::{Caller, Samples};
use operator::{Operator, SharedHistory};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use schedule::{Fault, Kind};
use step::{LONG_STEP, STEP, Step, within};
use tokio::{sync::Mutex, task::JoinSet, time::sleep};

pub use check::{Rule, Violation};

use super::{
    cluster::{Layout, Site},
    server::{Behavior, LEASE, WhenFull},
    store::{Copy, Trouble},
};

/// Host that requests name.
const HOST: &str = "lakes.example";
/// Time after the last fault for which changes and requests go on: longer than any bound of the rules.
const CALM: Duration = Duration::from_secs(7);
/// Time after the last request in which answers and runs end.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Largest number of callers of each node that keep their connections, so that servers are full in some soaks.
const MAX_KEPT: u64 = 4;
/// Time after which a key that was taken away must run nowhere, and time between two changes of keys.
const KEY_LEASE: &str = "5000ms";
const KEY_INTERVAL: Duration = Duration::from_millis(1_300);
/// Time between two copies of the store. The second last one is restored.
const COPY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Shares of a faulty server's answers.
const COPIED: f64 = 0.1;
const CUT: f64 = 0.2;
/// Queue of a server, and slots for even and odd seeds: few, so that some are full at times.
const QUEUE: usize = 2;
const SLOTS: [usize; 2] = [2, 1];

/// What faults are played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Faults drawn for this time.
    Drawn(Duration),
    /// Each trouble of the store once, for all nodes.
    Troubles,
    /// Each trouble of the store once, for single nodes.
    SingleTroubles,
}

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of faults, changes and requests.
    pub seed: u64,
    /// Faults.
    pub plan: Plan,
    /// Whether odd items and invalid configurations are written too.
    pub odd: bool,
    /// Whether callers need keys of teams, which operators change.
    pub teams: bool,
    /// Number of nodes, and of backend servers.
    pub nodes: usize,
    /// Second and third octet of all addresses. Concurrent soaks need different ones.
    pub net: (u8, u8),
}

/// Result of a soak.
#[derive(Debug)]
pub struct Report {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Number of faults.
    pub faults: usize,
    /// Number of versions of the configuration.
    pub versions: usize,
    /// Number of answers by kind: a status, or what came in place of an answer.
    pub answers: BTreeMap<String, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            faults,
            versions,
            answers,
            ..
        } = self;
        let mut rules: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        write!(
            f,
            "{faults} faults, {versions} versions, answers {answers:?}, broken {rules:?}"
        )
    }
}

/// Runs a soak.
///
/// # Errors
///
/// Returns an error if a process can't be started, or if a node isn't ready in time, for example because
/// an address is in use.
pub async fn run(options: &Options) -> io::Result<Report> {
    let name = format!("site-{}-{}-{}", options.seed, options.net.0, options.net.1);
    let mut layout = Layout::new(&name, options.net, options.nodes);
    layout.slots = SLOTS[options.seed as usize % SLOTS.len()];
    layout.behavior = Behavior {
        queue: QUEUE,
        ..Behavior::default()
    };
    if options.teams {
        layout.revoke = KEY_LEASE.to_owned();
    }
    let mut site = layout.prepare()?;
    // Health probes of the others wait for a slot, and are turned away if they are full.
    for server in site.servers.iter().step_by(2) {
        server.configure(|b| b.tells_load = false);
    }
    let history = SharedHistory::default();
    let operator = Operator::new(
        site.store.clone(),
        history.clone(),
        site.zones().to_vec(),
        options.seed,
        options.odd,
        options.teams,
    );
    let operator = Arc::new(Mutex::new(operator));
    operator.lock().await.publish().await;
    site.start_nodes().await?;
    let faults = match options.plan {
        Plan::Drawn(duration) => {
            schedule::draw(options.seed, duration, options.nodes, options.teams)
        }
        Plan::Troubles => schedule::all_troubles(options.seed, options.nodes, false),
        Plan::SingleTroubles => schedule::all_troubles(options.seed, options.nodes, true),
    };
    let last = faults.iter().map(|f| f.end).max().unwrap_or_default();
    let start = Instant::now();
    let until = start + last + CALM;
    let samples = Samples::default();
    let mut callers = start_callers(options, &site, &history, &samples, until);
    let mut changes = JoinSet::new();
    changes.spawn(make_changes(Arc::clone(&operator), options.seed, until));
    if options.teams {
        changes.spawn(change_keys(Arc::clone(&operator), until));
    }
    let mut soak = Soak {
        site,
        start,
        operator,
        history: history.clone(),
        impairments: Vec::new(),
        starts: vec![Vec::new(); options.nodes],
        copies: Vec::new(),
        violations: Vec::new(),
        tasks: JoinSet::new(),
    };
    soak.play(&faults).await?;
    while callers.join_next().await.is_some() {}
    sleep(SETTLE).await;
    changes.abort_all();
    soak.check_processes();
    let samples = samples.take();
    let history = history.lock().clone();
    let arrivals = soak.site.journal.all();
    let places = soak.site.servers.iter().map(|s| s.place().clone());
    let observations = Observations {
        start,
        samples: &samples,
        arrivals: &arrivals,
        zones: places.map(|place| place.zone).collect(),
        history: &history,
        impairments: &soak.impairments,
        starts: &soak.starts,
    };
    let mut violations = std::mem::take(&mut soak.violations);
    violations.extend(observations.violations());
    soak.site.stop().await;
    Ok(Report {
        violations,
        faults: faults.len(),
        versions: history.versions.len(),
        answers: check::count_answers(&samples),
    })
}

fn start_callers(
    options: &Options,
    site: &Site,
    history: &SharedHistory,
    samples: &Samples,
    until: Instant,
) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for node in 0..options.nodes {
        let caller = |number: usize| Caller {
            node,
            target: site.target(node),
            history: history.clone(),
            samples: samples.clone(),
            until,
            seed: options.seed ^ (number as u64) << 32,
            teams: options.teams,
        };
        if options.teams {
            callers.spawn(caller(0).ask_with_keys());
            callers.spawn(caller(0).ask_too_much());
        }
        callers.spawn(caller(0).ask_changes());
        for number in 0..=options.seed % MAX_KEPT {
            callers.spawn(caller(number as usize + 1).keep_asking());
        }
    }
    callers
}

/// Makes changes at uneven steps.
async fn make_changes(operator: Arc<Mutex<Operator>>, seed: u64, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(100..1_800))).await;
        operator.lock().await.change().await;
    }
}

/// Gives and takes keys.
async fn change_keys(operator: Arc<Mutex<Operator>>, until: Instant) {
    while Instant::now() < until {
        sleep(KEY_INTERVAL).await;
        operator.lock().await.change_keys().await;
    }
}

struct Soak {
    site: Site,
    start: Instant,
    operator: Arc<Mutex<Operator>>,
    history: SharedHistory,
    impairments: Vec<Impairment>,
    /// When each node's process was started again.
    starts: Vec<Vec<Instant>>,
    copies: Vec<(Instant, Copy)>,
    violations: Vec<Violation>,
    tasks: JoinSet<()>,
}

impl Soak {
    /// Plays the faults. A process or a server has one fault at a time, the store too.
    async fn play(&mut self, faults: &[Fault]) -> io::Result<()> {
        let mut steps: Vec<(Duration, bool, usize)> = Vec::new();
        for (index, fault) in faults.iter().enumerate() {
            steps.push((fault.start, false, index));
            steps.push((fault.end, true, index));
        }
        steps.sort();
        let mut open: BTreeMap<usize, usize> = BTreeMap::new();
        for (time, is_end, index) in steps {
            let due = Instant::now().max(self.start + time);
            let wait = due.saturating_duration_since(Instant::now()) + STEP;
            let fault = &faults[index];
            within(Step::Wait(*fault), wait, self.sleep_and_copy(due)).await?;
            log::info!(fault:% = fault, is_end; "soak_step");
            match is_end {
                false => {
                    open.insert(index, self.impairments.len());
                    within(Step::Begin(*fault), STEP, self.begin(fault.kind)).await?;
                }
                true => {
                    // Later ones were added behind it.
                    let first = open.remove(&index).unwrap_or_default();
                    let begun = self.impairments.get(first).map_or(self.start, |i| i.start);
                    within(Step::End(*fault), LONG_STEP, self.end(fault, begun)).await??;
                    self.close(fault.kind, first);
                }
            }
        }
        Ok(())
    }

    /// Sleeps, and copies the store meanwhile.
    async fn sleep_and_copy(&mut self, until: Instant) {
        loop {
            let last = self.copies.last().map_or(self.start, |(at, _)| *at);
            let next = last + COPY_INTERVAL;
            if next > until {
                return tokio::time::sleep_until(until.into()).await;
            }
            tokio::time::sleep_until(next.into()).await;
            self.copies.push((Instant::now(), self.site.store.copy()));
        }
    }

    fn impair(&mut self, scope: Scope, kind: Kind) {
        self.impairments.push(Impairment {
            scope,
            kind,
            start: Instant::now(),
            end: None,
        });
    }

    fn close(&mut self, kind: Kind, first: usize) {
        let mut opened = self.impairments.iter_mut().skip(first);
        let ended = opened.find(|i| i.kind == kind && i.end.is_none());
        if let Some(impairment) = ended {
            impairment.end = Some(Instant::now());
        }
    }

    async fn begin(&mut self, kind: Kind) {
        match kind {
            Kind::Store(trouble) => {
                self.impair(Scope::Store, kind);
                self.site.store.trouble(trouble);
            }
            Kind::StoreOf(node, trouble) => {
                self.impair(Scope::Node(node), kind);
                self.site.store.trouble_node(node, trouble);
            }
            Kind::Unread => {
                self.impair(Scope::Store, kind);
                self.trouble_nodes(Trouble::Refused);
            }
            // A store that forgets its history early isn't impaired.
            Kind::Forget => self.site.store.forget_history(),
            Kind::Restore => {
                self.impair(Scope::Store, kind);
                self.site.store.trouble(Trouble::Refused);
            }
            Kind::Kill(node) => {
                self.impair(Scope::Node(node), kind);
                self.site.nodes[node].kill().await;
            }
            Kind::Terminate(node) => {
                self.impair(Scope::Node(node), kind);
                self.signal(node, "TERM").await;
            }
            Kind::Reload(node) => {
                self.impair(Scope::None, kind);
                self.signal(node, "HUP").await;
            }
            // It may have stopped already.
            Kind::Resignal(node, name) => {
                if !self.site.nodes[node].has_exited() {
                    self.site.nodes[node].signal(name).await;
                }
            }
            Kind::Freeze(node) => {
                self.impair(Scope::Node(node), kind);
                self.signal(node, "STOP").await;
            }
            Kind::Crash(server) => self.site.servers[server].crash().await,
            Kind::Drain(server) => self.drain(server),
            Kind::CopyAnswers(server) => {
                self.site.servers[server].configure(|b| b.late_copies = COPIED);
            }
            Kind::CutAnswers(server) => {
                self.site.servers[server].configure(|b| b.cut_answers = CUT);
            }
            Kind::ResetFull(server) => {
                self.site.servers[server].configure(|b| b.when_full = WhenFull::Resets);
            }
        }
    }

    /// Ends a fault that began at a time, which is later than planned if other steps took long.
    async fn end(&mut self, fault: &Fault, begun: Instant) -> io::Result<()> {
        match fault.kind {
            Kind::Store(_) => self.site.store.trouble(Trouble::None),
            Kind::StoreOf(node, _) => self.site.store.trouble_node(node, Trouble::None),
            Kind::Forget | Kind::Reload(_) | Kind::Resignal(..) => {}
            Kind::Unread => self.trouble_nodes(Trouble::None),
            Kind::Restore => self.restore(fault).await?,
            Kind::Kill(node) => self.restart(node)?,
            Kind::Terminate(node) => {
                let due = begun + (fault.end - fault.start);
                tokio::time::sleep_until(due.into()).await;
                if !self.site.nodes[node].has_exited() {
                    self.fail(Rule::Process, format!("{fault}: the process goes on"));
                    self.site.nodes[node].kill().await;
                }
                self.restart(node)?;
            }
            Kind::Freeze(node) => self.signal(node, "CONT").await,
            Kind::Crash(server) => self.site.servers[server].start(&self.site.store),
            Kind::Drain(server) => {
                let store = self.site.store.clone();
                let deleted = self.site.servers[server].leave(&store).await;
                self.tasks.spawn(deleted);
                self.site.servers[server].start(&store);
            }
            Kind::CopyAnswers(server) => {
                self.site.servers[server].configure(|b| b.late_copies = 0.0);
            }
            Kind::CutAnswers(server) => {
                self.site.servers[server].configure(|b| b.cut_answers = 0.0);
            }
            Kind::ResetFull(server) => {
                self.site.servers[server].configure(|b| b.when_full = WhenFull::Rejects);
            }
        }
        Ok(())
    }

    /// Brings the store back from an older copy. Operators and servers write again what they wrote.
    async fn restore(&mut self, fault: &Fault) -> io::Result<()> {
        let copy = self.copies.iter().rev().nth(1).or(self.copies.last());
        if let Some((_, copy)) = copy {
            self.site.store.restore(copy.clone(), LEASE);
        }
        self.site.store.trouble(Trouble::None);
        let operator = Arc::clone(&self.operator);
        let mut operator = within(Step::Operators(*fault), STEP, operator.lock()).await?;
        within(Step::Repeat(*fault), STEP, operator.repeat()).await?;
        Ok(())
    }

    fn trouble_nodes(&self, trouble: Trouble) {
        for node in 0..self.site.nodes.len() {
            self.site.store.trouble_node(node, trouble);
        }
    }

    fn restart(&mut self, node: usize) -> io::Result<()> {
        self.site.nodes[node] = self.site.start_node(node)?;
        self.starts[node].push(Instant::now());
        Ok(())
    }

    fn drain(&mut self, server: usize) {
        let server = &self.site.servers[server];
        let (id, acked) = (server.id().to_owned(), server.drain(&self.site.store));
        let history = self.history.clone();
        self.tasks.spawn(async move {
            if let Some(ack) = acked.await {
                history.lock().drains.push((id, ack.at));
            }
        });
    }

    /// Signals a node. It is a violation if its process has ended before.
    async fn signal(&mut self, node: usize, name: &str) {
        match self.site.nodes[node].has_exited() {
            true => self.fail(Rule::Process, format!("node-{node} ended by itself")),
            false => self.site.nodes[node].signal(name).await,
        }
    }

    fn check_processes(&mut self) {
        if self.site.has_failed() {
            self.fail(Rule::Process, "a stand-in could not listen".to_owned());
        }
        for node in 0..self.site.nodes.len() {
            if self.site.nodes[node].has_exited() {
                self.fail(Rule::Process, format!("node-{node} ended by itself"));
            }
        }
    }

    fn fail(&mut self, rule: Rule, text: String) {
        let at = self.start.elapsed();
        self.violations.push(Violation { rule, at, text });
    }
}
