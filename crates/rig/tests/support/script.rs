//! What the commands of scripted scenarios do.

use std::{
    collections::{BTreeMap, HashMap},
    error::Error,
    future::Future,
    time::Duration,
};

use goldenscript::{Context, Runner};
use rig::{
    cluster::{Cluster, cluster},
    platform::Faults,
    process::client,
};
use serde_json::{Value, json};
use tokio::{
    runtime::Runtime,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    command::Command,
    request::{Ended, Request},
};

/// Longest time that a scenario waits for anything.
const PATIENCE: Duration = Duration::from_secs(40);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(10);

/// A scenario that runs.
pub(crate) struct Script {
    name: &'static str,
    net: u8,
    runtime: Runtime,
    cluster: Option<Cluster>,
    requests: HashMap<String, (String, JoinHandle<Ended>)>,
    published: u64,
    /// Requests begun at each backend server by the last look.
    seen: HashMap<usize, u64>,
}

impl Script {
    pub(crate) fn new(name: &'static str, net: u8) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        Self {
            name,
            net,
            runtime,
            cluster: None,
            requests: HashMap::new(),
            published: 1,
            seen: HashMap::new(),
        }
    }

    fn cluster(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("the scenario starts a cluster first")
    }

    fn wait<T>(&self, until: impl Future<Output = T>) -> Result<T, Box<dyn Error>> {
        self.runtime
            .block_on(async { timeout(PATIENCE, until).await.map_err(Into::into) })
    }

    fn start(&mut self, options: &[String], services: &[(String, usize)]) -> Outcome {
        let mut builder = cluster(self.name, self.net);
        for (service, servers) in services {
            builder = match options.iter().any(|o| o == "cold") {
                true => builder.service_with_limits(
                    service,
                    *servers,
                    json!({ "cold": 2, "warm_ms": 1_000 }),
                ),
                false => builder.service(service, *servers),
            };
        }
        if options.iter().any(|o| o == "linked") {
            builder = builder.with_proxies();
        }
        if options.iter().any(|o| o == "cold") {
            builder = builder.server_behavior(|c| (c.cold, c.warm_ms) = (2, 1_000));
        }
        if options.iter().any(|o| o == "slow") {
            builder = builder.server_behavior(|c| c.service_ms = 300.0);
        }
        self.cluster = Some(self.wait(builder.start())??);
        Ok(String::new())
    }

    fn send(&mut self, name: &str, request: Request) -> Outcome {
        let id = format!("{:032x}", self.requests.len() + 1);
        let target = self.cluster().target(request.via);
        let sending = self
            .runtime
            .spawn(request.send(target.to_string(), id.clone()));
        self.requests.insert(name.to_owned(), (id, sending));
        Ok(String::new())
    }

    fn burst(&mut self, count: usize, request: &Request) -> Outcome {
        let mut endings: BTreeMap<String, usize> = BTreeMap::new();
        for _ in 0..count {
            let id = format!("{:032x}", rand::random::<u128>());
            let target = self.cluster().target(request.via).to_string();
            let ended = self.wait(request.clone().send(target, id))?;
            *endings.entry(ended.text).or_default() += 1;
        }
        Ok(endings
            .iter()
            .map(|(text, count)| format!("{count} x {text}\n"))
            .collect())
    }

    /// Many at once. Only that each got an answer or a refusal that is true is the same every time.
    fn rush(&mut self, count: usize, request: &Request) -> Outcome {
        let target = self.cluster().target(request.via).to_string();
        let shot = || {
            let id = format!("{:032x}", rand::random::<u128>());
            request.clone().send(target.clone(), id)
        };
        let shots: Vec<_> = (0..count).map(|_| shot()).collect();
        let ended = self.wait(futures::future::join_all(shots))?;
        let settled = |e: &&Ended| e.text.contains("whole answer") || e.text.contains("not-run");
        let settled = ended.iter().filter(settled).count();
        Ok(format!("{settled} answered or not run\n"))
    }

    fn await_all(&mut self, names: &[String]) -> Outcome {
        let mut output = String::new();
        for name in names {
            let (id, sending) = self.requests.remove(name).ok_or("no such request")?;
            let ended = self.wait(sending)??;
            output += &format!("{name}: {}\n", ended.text);
            let done = self.runtime.spawn(async move { ended });
            self.requests.insert(name.clone(), (id, done));
        }
        Ok(output)
    }

    fn runs(&mut self, name: &str) -> u64 {
        let id = self.requests[name].0.clone();
        self.cluster()
            .servers
            .iter()
            .map(|s| s.run_count(&id))
            .sum()
    }

    fn begun(&mut self, name: &str) -> Outcome {
        let id = self.requests[name].0.clone();
        let servers = self.cluster().servers.clone();
        self.wait(async move {
            while servers.iter().all(|s| s.run_count(&id) == 0) {
                sleep(POLL).await;
            }
        })?;
        Ok(String::new())
    }

    fn began(&mut self, at: usize, count: u64) -> Outcome {
        let server = self.cluster().servers[at].clone();
        self.wait(async move {
            while server.counts().runs < count {
                sleep(POLL).await;
            }
        })?;
        Ok(String::new())
    }

    fn cancelled(&mut self, at: usize, count: u64) -> Outcome {
        let server = self.cluster().servers[at].clone();
        self.wait(async move {
            while server.counts().cancelled < count {
                sleep(POLL).await;
            }
        })?;
        Ok(format!("{count} cancelled\n"))
    }

    fn change_server(&mut self, at: usize, fields: &[(String, String)]) -> Outcome {
        let server = self.cluster().servers[at].clone();
        for (field, value) in fields {
            let value: Value = serde_json::from_str(value).unwrap_or_else(|_| json!(value));
            let mut changed = Ok(());
            server.configure(|conduct| {
                let mut all = json!(conduct);
                all[field] = value;
                changed = serde_json::from_value(all).map(|new| *conduct = new);
            });
            changed?;
        }
        Ok(String::new())
    }

    fn change_link(&mut self, at: usize, what: &str) -> Outcome {
        let link = self.cluster().proxies[at].clone();
        match what {
            "silence" => link.stall_open(),
            "deaf" => link.configure(|w| w.drop_inbound = true),
            "mute" => link.configure(|w| w.drop_outbound = true),
            "closed" => link.configure(|w| w.close_new = true),
            "heal" => link.configure(|w| {
                (w.drop_inbound, w.drop_outbound, w.close_new) = (false, false, false)
            }),
            _ => return Err("no such weather".into()),
        }
        Ok(String::new())
    }

    fn platform(&mut self, what: &str) -> Outcome {
        let conduct = match what.split_once('-') {
            None if what == "down" => Faults {
                down: true,
                ..Faults::default()
            },
            None if what == "up" => Faults::default(),
            Some(("stale", revision)) => Faults {
                stale: Some(revision.parse()?),
                ..Faults::default()
            },
            _ => return Err("no such conduct".into()),
        };
        self.cluster().platform.set_faults(conduct);
        Ok(String::new())
    }

    fn publish(&mut self, words: &[String]) -> Outcome {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let change = match words.as_slice() {
            ["zone", zone, status] => {
                json!({ "zones": [{ "id": zone, "region": "r", "status": status }] })
            }
            ["server", at, status] => {
                let at: usize = at.parse()?;
                let mut server = self.server_entry(at)?;
                server["status"] = json!(status);
                json!({ "servers": [server] })
            }
            _ => return Err("no such change".into()),
        };
        let note = json!({ "author": "op", "after": self.published, "change": change });
        self.published = self.cluster().platform.publish(&note.to_string());
        Ok(format!("revision {}\n", self.published))
    }

    fn server_entry(&mut self, at: usize) -> Result<Value, Box<dyn Error>> {
        let notes = self.notes(0)?;
        Ok(notes["state"]["servers"][format!("server-{at}")]["item"].clone())
    }

    fn notes(&mut self, at: usize) -> Result<Value, Box<dyn Error>> {
        let admin = self.cluster().nodes[at].spec.admin();
        let notes = async move {
            client()
                .get(format!("http://{admin}/notes"))
                .send()
                .await?
                .json::<Value>()
                .await
        };
        Ok(self.wait(notes)??)
    }

    fn gates(&mut self, nodes: &[usize], open: bool) -> Outcome {
        for at in nodes {
            let node = &self.cluster.as_ref().expect("a cluster").nodes[*at];
            self.wait(async {
                let is_open = async || node.state().await.and_then(|s| s["gate"]["open"].as_bool());
                while is_open().await != Some(open) {
                    sleep(POLL).await;
                }
            })?;
        }
        Ok(format!("{}\n", if open { "open" } else { "closed" }))
    }

    fn faults(&mut self, nodes: &[usize]) -> Outcome {
        let mut output = String::new();
        for at in nodes {
            let notes = self.notes(*at)?;
            let last = notes["rejected"].as_array().and_then(|r| r.last()).cloned();
            let last = last.ok_or("nothing was rejected")?;
            output += &format!(
                "node {at}: revision {} {}\n",
                last["revision"], last["faults"]
            );
        }
        Ok(output)
    }

    fn revision(&mut self, at: usize) -> Result<Option<u64>, Box<dyn Error>> {
        let node = &self.cluster.as_ref().expect("a cluster").nodes[at];
        Ok(self
            .wait(node.state())?
            .and_then(|state| state["revision"].as_u64()))
    }

    fn in_force(&mut self, revision: u64, nodes: &[usize]) -> Outcome {
        for at in nodes {
            let node = &self.cluster.as_ref().expect("a cluster").nodes[*at];
            self.wait(async {
                while node.state().await.and_then(|s| s["revision"].as_u64()) != Some(revision) {
                    sleep(POLL).await;
                }
            })?;
        }
        Ok(format!("revision {revision} is in force\n"))
    }

    fn signal(&mut self, at: usize, signal: &str) -> Outcome {
        let node = &self.cluster.as_ref().expect("a cluster").nodes[at];
        self.wait(node.signal(signal))?;
        Ok(String::new())
    }

    fn kill(&mut self, at: usize) -> Outcome {
        let runtime = &self.runtime;
        let node = &mut self.cluster.as_mut().expect("a cluster").nodes[at];
        runtime.block_on(node.kill());
        Ok(String::new())
    }

    fn start_node(&mut self, at: usize) -> Outcome {
        let _guard = self.runtime.enter();
        let cluster = self.cluster.as_mut().expect("a cluster");
        let node = cluster.start_node(at)?;
        cluster.nodes[at] = node;
        Ok(String::new())
    }

    fn ready(&mut self, at: usize) -> Outcome {
        let node = &self.cluster.as_ref().expect("a cluster").nodes[at];
        self.wait(node.wait_ready())??;
        Ok(format!("node {at} is ready\n"))
    }

    fn exit(&mut self, at: usize) -> Outcome {
        let runtime = &self.runtime;
        let node = &mut self.cluster.as_mut().expect("a cluster").nodes[at];
        let code = runtime.block_on(async { timeout(PATIENCE, node.wait_exit()).await })?;
        Ok(format!(
            "exit code {}\n",
            code.map_or("none".to_owned(), |c| c.to_string())
        ))
    }
}

type Outcome = Result<String, Box<dyn Error>>;

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Outcome {
        match command {
            Command::Cluster(options, services) => self.start(options, services),
            Command::Send {
                name,
                method,
                service,
                via,
                deadline,
                depth,
                to,
            } => {
                let request = Request {
                    method: method.clone(),
                    service: service.clone(),
                    via: *via,
                    deadline: deadline.unwrap_or(20_000),
                    depth: depth.unwrap_or_default(),
                    to: to.clone(),
                };
                self.send(name, request)
            }
            Command::Burst {
                count,
                method,
                service,
                via,
            } => self.burst(*count, &Request::new(method, service, *via)),
            Command::Await(names) => self.await_all(names),
            Command::Leave(name) => {
                self.requests[name].1.abort();
                Ok(String::new())
            }
            Command::Begun(name) => self.begun(name),
            Command::Began(at, count) => self.began(*at, *count),
            Command::Runs(names) => Ok(names
                .iter()
                .map(|n| format!("{n}: {} runs\n", self.runs(n)))
                .collect()),
            Command::Cancelled(at, count) => self.cancelled(*at, *count),
            Command::Server(at, fields) => self.change_server(*at, fields),
            Command::Restart(at) => {
                self.cluster().servers[*at].restart();
                Ok(String::new())
            }
            Command::Rush {
                count,
                method,
                service,
                via,
            } => self.rush(*count, &Request::new(method, service, *via)),
            Command::Breaches(servers) => {
                let list = &self.cluster().servers;
                let breaches = servers.iter().map(|at| list[*at].counts().breaches);
                Ok(format!("{} breaches\n", breaches.sum::<u64>()))
            }
            Command::Down(at) | Command::Up(at) => {
                let up = matches!(command, Command::Up(_));
                self.cluster().servers[*at].set_listening(up);
                Ok(String::new())
            }
            Command::Signal(at, signal) => self.signal(*at, signal),
            Command::Kill(at) => self.kill(*at),
            Command::Start(at) => self.start_node(*at),
            Command::Ready(at) => self.ready(*at),
            Command::Exit(at) => self.exit(*at),
            Command::Link(at, what) => self.change_link(*at, what),
            Command::Platform(what) => self.platform(what),
            Command::Publish(words) => self.publish(words),
            Command::Leaving(at) => {
                let host = format!("host-{at}");
                self.cluster().platform.set_host(&host, "leaving");
                Ok(String::new())
            }
            Command::InForce(revision, nodes) => self.in_force(*revision, nodes),
            Command::Revisions(nodes) => {
                let mut output = String::new();
                for at in nodes {
                    let revision = self.revision(*at)?.unwrap_or_default();
                    output += &format!("node {at}: revision {revision}\n");
                }
                Ok(output)
            }
            Command::Race(words) => {
                let before = self.published;
                self.publish(words)?;
                self.published = before;
                self.publish(words)
            }
            Command::Closed(nodes) => self.gates(nodes, false),
            Command::Open(nodes) => self.gates(nodes, true),
            Command::Faults(nodes) => self.faults(nodes),
            Command::Idle(at) => {
                let runs = self.cluster().servers[*at].counts().runs;
                let before = self.seen.insert(*at, runs).unwrap_or_default();
                let idle = runs == before;
                Ok(format!(
                    "server {at}: {}\n",
                    if idle { "no work" } else { "work" }
                ))
            }
            Command::Sleep(ms) => {
                self.runtime
                    .block_on(async { sleep(Duration::from_millis(*ms)).await });
                Ok(String::new())
            }
        }
    }
}
