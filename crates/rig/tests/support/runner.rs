//! Runs the commands of scripts against a [`Cluster`].

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
    request::{Request, RequestResult},
};

/// Longest time that a command waits for its condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a running script.
pub(crate) struct ScriptRunner {
    name: &'static str,
    /// Second octet of the cluster's loopback addresses.
    net: u8,
    runtime: Runtime,
    cluster: Option<Cluster>,
    /// Ids and tasks of the requests sent, by their names in the script.
    requests: HashMap<String, (String, JoinHandle<RequestResult>)>,
    /// Revision of the last published release note.
    last_revision: u64,
    /// Requests started at each backend server by the previous `idle` command.
    previous_runs: HashMap<usize, u64>,
}

impl ScriptRunner {
    pub(crate) fn new(name: &'static str, net: u8) -> Self {
        let runtime = Runtime::new().expect("failed to start the Tokio runtime");
        Self {
            name,
            net,
            runtime,
            cluster: None,
            requests: HashMap::new(),
            last_revision: 1,
            previous_runs: HashMap::new(),
        }
    }

    fn cluster(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("the script has started no cluster")
    }

    fn wait<T>(&self, condition: impl Future<Output = T>) -> Result<T, Box<dyn Error>> {
        self.runtime
            .block_on(async { timeout(WAIT_TIMEOUT, condition).await.map_err(Into::into) })
    }

    fn wait_until(&self, condition: impl Fn() -> bool) -> Result<(), Box<dyn Error>> {
        self.wait(async {
            while !condition() {
                sleep(POLL_INTERVAL).await;
            }
        })
    }

    fn start_cluster(&mut self, options: &[String], services: &[(String, usize)]) -> CommandResult {
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
            builder =
                builder.server_behavior(|behavior| (behavior.cold, behavior.warm_ms) = (2, 1_000));
        }
        if options.iter().any(|o| o == "slow") {
            builder = builder.server_behavior(|behavior| behavior.service_ms = 300.0);
        }
        self.cluster = Some(self.wait(builder.start())??);
        Ok(String::new())
    }

    fn send(&mut self, name: &str, request: Request) -> CommandResult {
        let id = format!("{:032x}", self.requests.len() + 1);
        let target = self.cluster().target(request.via);
        let task = self
            .runtime
            .spawn(request.send(target.to_string(), id.clone()));
        self.requests.insert(name.to_owned(), (id, task));
        Ok(String::new())
    }

    fn burst(&mut self, count: usize, request: &Request) -> CommandResult {
        let mut results: BTreeMap<String, usize> = BTreeMap::new();
        for _ in 0..count {
            let id = format!("{:032x}", rand::random::<u128>());
            let target = self.cluster().target(request.via).to_string();
            let result = self.wait(request.clone().send(target, id))?;
            *results.entry(result.text).or_default() += 1;
        }
        Ok(results
            .iter()
            .map(|(text, count)| format!("{count} x {text}\n"))
            .collect())
    }

    /// Sends requests at once. How many of them are refused depends on timing, so only the sum of
    /// complete responses and `not-run` refusals is printed.
    fn rush(&mut self, count: usize, request: &Request) -> CommandResult {
        let target = self.cluster().target(request.via).to_string();
        let send = || {
            let id = format!("{:032x}", rand::random::<u128>());
            request.clone().send(target.clone(), id)
        };
        let requests: Vec<_> = (0..count).map(|_| send()).collect();
        let results = self.wait(futures::future::join_all(requests))?;
        let is_settled =
            |r: &&RequestResult| r.text.contains("whole answer") || r.text.contains("not-run");
        let settled = results.iter().filter(is_settled).count();
        Ok(format!("{settled} answered or not run\n"))
    }

    fn await_all(&mut self, names: &[String]) -> CommandResult {
        let mut output = String::new();
        for name in names {
            let (id, task) = self
                .requests
                .remove(name)
                .ok_or("the script sent no request of this name")?;
            let result = self.wait(task)??;
            output += &format!("{name}: {}\n", result.text);
            let finished = self.runtime.spawn(async move { result });
            self.requests.insert(name.clone(), (id, finished));
        }
        Ok(output)
    }

    fn count_runs(&mut self, name: &str) -> u64 {
        let id = self.requests[name].0.clone();
        self.cluster()
            .servers
            .iter()
            .map(|s| s.run_count(&id))
            .sum()
    }

    fn wait_for_start(&mut self, name: &str) -> CommandResult {
        let id = self.requests[name].0.clone();
        let servers = self.cluster().servers.clone();
        self.wait_until(|| servers.iter().any(|s| s.run_count(&id) > 0))?;
        Ok(String::new())
    }

    fn wait_for_runs(&mut self, index: usize, count: u64) -> CommandResult {
        let server = self.cluster().servers[index].clone();
        self.wait_until(|| server.counts().runs >= count)?;
        Ok(String::new())
    }

    fn wait_for_cancellations(&mut self, index: usize, count: u64) -> CommandResult {
        let server = self.cluster().servers[index].clone();
        self.wait_until(|| server.counts().cancelled >= count)?;
        Ok(format!("{count} cancelled\n"))
    }

    fn change_server(&mut self, index: usize, fields: &[(String, String)]) -> CommandResult {
        let server = self.cluster().servers[index].clone();
        for (field, value) in fields {
            let value: Value = serde_json::from_str(value).unwrap_or_else(|_| json!(value));
            let mut result = Ok(());
            server.configure(|behavior| {
                let mut object = json!(behavior);
                object[field] = value;
                result = serde_json::from_value(object).map(|new| *behavior = new);
            });
            result?;
        }
        Ok(String::new())
    }

    fn change_proxy(&mut self, index: usize, state: &str) -> CommandResult {
        let proxy = self.cluster().proxies[index].clone();
        match state {
            "silence" => proxy.stall_open(),
            "deaf" => proxy.configure(|faults| faults.drop_inbound = true),
            "mute" => proxy.configure(|faults| faults.drop_outbound = true),
            "closed" => proxy.configure(|faults| faults.close_new = true),
            "heal" => proxy.configure(|faults| {
                (faults.drop_inbound, faults.drop_outbound, faults.close_new) =
                    (false, false, false)
            }),
            _ => return Err("unknown link state".into()),
        }
        Ok(String::new())
    }

    fn change_platform(&mut self, state: &str) -> CommandResult {
        let faults = match state.split_once('-') {
            None if state == "down" => Faults {
                down: true,
                ..Faults::default()
            },
            None if state == "up" => Faults::default(),
            Some(("stale", revision)) => Faults {
                stale: Some(revision.parse()?),
                ..Faults::default()
            },
            _ => return Err("unknown platform state".into()),
        };
        self.cluster().platform.set_faults(faults);
        Ok(String::new())
    }

    fn publish(&mut self, args: &[String]) -> CommandResult {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let change = match args.as_slice() {
            ["zone", zone, status] => {
                json!({ "zones": [{ "id": zone, "region": "r", "status": status }] })
            }
            ["server", index, status] => {
                let index: usize = index.parse()?;
                let mut server = self.server_entry(index)?;
                server["status"] = json!(status);
                json!({ "servers": [server] })
            }
            _ => return Err("unknown change".into()),
        };
        let note = json!({ "author": "op", "after": self.last_revision, "change": change });
        self.last_revision = self.cluster().platform.publish(&note.to_string());
        Ok(format!("revision {}\n", self.last_revision))
    }

    fn server_entry(&mut self, index: usize) -> Result<Value, Box<dyn Error>> {
        let notes = self.fetch_notes(0)?;
        Ok(notes["state"]["servers"][format!("server-{index}")]["item"].clone())
    }

    fn fetch_notes(&mut self, index: usize) -> Result<Value, Box<dyn Error>> {
        let admin = self.cluster().nodes[index].spec.admin();
        let request = async move {
            client()
                .get(format!("http://{admin}/notes"))
                .send()
                .await?
                .json::<Value>()
                .await
        };
        Ok(self.wait(request)??)
    }

    fn wait_for_gates(&mut self, nodes: &[usize], open: bool) -> CommandResult {
        for index in nodes {
            let node = &self
                .cluster
                .as_ref()
                .expect("the script has started no cluster")
                .nodes[*index];
            self.wait(async {
                let is_open = async || node.state().await.and_then(|s| s["gate"]["open"].as_bool());
                while is_open().await != Some(open) {
                    sleep(POLL_INTERVAL).await;
                }
            })?;
        }
        Ok(format!("{}\n", if open { "open" } else { "closed" }))
    }

    fn last_faults(&mut self, nodes: &[usize]) -> CommandResult {
        let mut output = String::new();
        for index in nodes {
            let notes = self.fetch_notes(*index)?;
            let last = notes["rejected"].as_array().and_then(|r| r.last()).cloned();
            let last = last.ok_or("the node has rejected no release note")?;
            output += &format!(
                "node {index}: revision {} {}\n",
                last["revision"], last["faults"]
            );
        }
        Ok(output)
    }

    fn revision(&mut self, index: usize) -> Result<Option<u64>, Box<dyn Error>> {
        let node = &self
            .cluster
            .as_ref()
            .expect("the script has started no cluster")
            .nodes[index];
        Ok(self
            .wait(node.state())?
            .and_then(|state| state["revision"].as_u64()))
    }

    fn wait_for_revision(&mut self, revision: u64, nodes: &[usize]) -> CommandResult {
        for index in nodes {
            let node = &self
                .cluster
                .as_ref()
                .expect("the script has started no cluster")
                .nodes[*index];
            self.wait(async {
                while node.state().await.and_then(|s| s["revision"].as_u64()) != Some(revision) {
                    sleep(POLL_INTERVAL).await;
                }
            })?;
        }
        Ok(format!("revision {revision} is in force\n"))
    }

    fn send_signal(&mut self, index: usize, signal: &str) -> CommandResult {
        let node = &self
            .cluster
            .as_ref()
            .expect("the script has started no cluster")
            .nodes[index];
        self.wait(node.signal(signal))?;
        Ok(String::new())
    }

    fn kill_node(&mut self, index: usize) -> CommandResult {
        let runtime = &self.runtime;
        let node = &mut self
            .cluster
            .as_mut()
            .expect("the script has started no cluster")
            .nodes[index];
        runtime.block_on(node.kill());
        Ok(String::new())
    }

    fn start_node(&mut self, index: usize) -> CommandResult {
        let _guard = self.runtime.enter();
        let cluster = self
            .cluster
            .as_mut()
            .expect("the script has started no cluster");
        let node = cluster.start_node(index)?;
        cluster.nodes[index] = node;
        Ok(String::new())
    }

    fn wait_until_ready(&mut self, index: usize) -> CommandResult {
        let node = &self
            .cluster
            .as_ref()
            .expect("the script has started no cluster")
            .nodes[index];
        self.wait(node.wait_ready())??;
        Ok(format!("node {index} is ready\n"))
    }

    fn wait_for_exit(&mut self, index: usize) -> CommandResult {
        let runtime = &self.runtime;
        let node = &mut self
            .cluster
            .as_mut()
            .expect("the script has started no cluster")
            .nodes[index];
        let code = runtime.block_on(async { timeout(WAIT_TIMEOUT, node.wait_exit()).await })?;
        Ok(format!(
            "exit code {}\n",
            code.map_or("none".to_owned(), |c| c.to_string())
        ))
    }
}

type CommandResult = Result<String, Box<dyn Error>>;

impl Runner for ScriptRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> CommandResult {
        match command {
            Command::Cluster(options, services) => self.start_cluster(options, services),
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
                    deadline_ms: deadline.unwrap_or(20_000),
                    depth: depth.unwrap_or_default(),
                    nested_service: to.clone(),
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
            Command::Begun(name) => self.wait_for_start(name),
            Command::Began(index, count) => self.wait_for_runs(*index, *count),
            Command::Runs(names) => Ok(names
                .iter()
                .map(|n| format!("{n}: {} runs\n", self.count_runs(n)))
                .collect()),
            Command::Cancelled(index, count) => self.wait_for_cancellations(*index, *count),
            Command::Server(index, fields) => self.change_server(*index, fields),
            Command::Restart(index) => {
                self.cluster().servers[*index].restart();
                Ok(String::new())
            }
            Command::Rush {
                count,
                method,
                service,
                via,
            } => self.rush(*count, &Request::new(method, service, *via)),
            Command::Breaches(servers) => {
                let all = &self.cluster().servers;
                let breaches = servers.iter().map(|index| all[*index].counts().breaches);
                Ok(format!("{} breaches\n", breaches.sum::<u64>()))
            }
            Command::Down(index) | Command::Up(index) => {
                let up = matches!(command, Command::Up(_));
                self.cluster().servers[*index].set_listening(up);
                Ok(String::new())
            }
            Command::Signal(index, signal) => self.send_signal(*index, signal),
            Command::Kill(index) => self.kill_node(*index),
            Command::Start(index) => self.start_node(*index),
            Command::Ready(index) => self.wait_until_ready(*index),
            Command::Exit(index) => self.wait_for_exit(*index),
            Command::Link(index, state) => self.change_proxy(*index, state),
            Command::Platform(state) => self.change_platform(state),
            Command::Publish(args) => self.publish(args),
            Command::Leaving(index) => {
                let host = format!("host-{index}");
                self.cluster().platform.set_host(&host, "leaving");
                Ok(String::new())
            }
            Command::InForce(revision, nodes) => self.wait_for_revision(*revision, nodes),
            Command::Revisions(nodes) => {
                let mut output = String::new();
                for index in nodes {
                    let revision = self.revision(*index)?.unwrap_or_default();
                    output += &format!("node {index}: revision {revision}\n");
                }
                Ok(output)
            }
            Command::Race(args) => {
                let base = self.last_revision;
                self.publish(args)?;
                self.last_revision = base;
                self.publish(args)
            }
            Command::Closed(nodes) => self.wait_for_gates(nodes, false),
            Command::Open(nodes) => self.wait_for_gates(nodes, true),
            Command::Faults(nodes) => self.last_faults(nodes),
            Command::Idle(index) => {
                let runs = self.cluster().servers[*index].counts().runs;
                let previous = self.previous_runs.insert(*index, runs).unwrap_or_default();
                let idle = runs == previous;
                Ok(format!(
                    "server {index}: {}\n",
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
