//! Starts, signals and ends node processes.

use std::{
    env, fs, io,
    net::SocketAddr,
    ops::{Deref, DerefMut},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use note::Note;
use serde_json::{Value, json};
use tokio::{
    process::{Child, Command},
    time::{sleep, timeout},
};

/// Maximum time until a started node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between reads of the thread states after SIGSTOP, which takes effect within microseconds.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// States of `proc(5)` in which a thread doesn't run: stopped, traced, zombie and dead.
const STOPPED_STATES: [char; 5] = ['T', 't', 'Z', 'X', 'x'];
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Identity and addresses of one node.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Host that the node runs on.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address that the node serves other nodes on.
    pub node: SocketAddr,
    /// Address of the backend server on the same host.
    pub server: SocketAddr,
    /// Service that the backend server belongs to.
    pub service: String,
}

impl NodeSpec {
    /// Returns the spec of one node for each backend server that a release note adds.
    pub fn from_note(note: &Note) -> Vec<Self> {
        let spec = |server: &note::Server| Self {
            host: server.host.to_string(),
            zone: server.zone.to_string(),
            node: server.node,
            server: server.address,
            service: server.service.to_string(),
        };
        note.add.servers.iter().map(spec).collect()
    }

    /// Address that callers connect to: the IP address of the node with port 8080.
    pub fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.node.ip(), 8080)
    }

    /// Address of the admin API: the IP address of the node with port 9900.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.node.ip(), 9900)
    }

    /// Settings of the node as JSON.
    pub fn settings(&self, platform: SocketAddr, policy: &str) -> Value {
        json!({
            "host": self.host,
            "zone": self.zone,
            "listen": self.listen(),
            "node": self.node,
            "admin": self.admin(),
            "platform": format!("http://{platform}"),
            "policy": policy,
            "service": self.service,
        })
    }
}

/// A process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// A node process with its spec.
#[derive(Debug)]
pub struct Node {
    /// Identity and addresses of the node.
    pub spec: NodeSpec,
    process: Process,
}

impl Deref for Node {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Node {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Node {
    /// Starts a node. Its settings and its log go to `HOST.json` and `HOST.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be written or the process can't be started.
    pub fn start(spec: NodeSpec, settings: &Value, dir: &Path) -> io::Result<Self> {
        fs::create_dir_all(dir)?;
        let file = dir.join(format!("{}.json", spec.host));
        fs::write(&file, settings.to_string())?;
        let log = dir.join(format!("{}.log", spec.host));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(program_path("amaranthyoked"));
        command
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let process = Process::spawn(&mut command)?;
        Ok(Self { spec, process })
    }

    /// Waits until the readiness endpoint of the admin API answers 200.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::TimedOut`] if the node isn't ready within 30 s.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let client = client();
        let url = format!("http://{}/readyz", self.spec.admin());
        let ready = async {
            while !client
                .get(&url)
                .send()
                .await
                .is_ok_and(|response| response.status() == 200)
            {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| io::ErrorKind::TimedOut.into())
    }

    /// State dump of the node as JSON, or `None` if it can't be read.
    pub async fn state(&self) -> Option<Value> {
        let url = format!("http://{}/state", self.spec.admin());
        client().get(url).send().await.ok()?.json().await.ok()
    }
}

impl Process {
    /// Starts a command.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        let child = command.kill_on_drop(true).spawn()?;
        Ok(Self { child })
    }

    /// Process ID, or 0 after the process has been reaped.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    /// Sends a signal by name, such as `STOP`.
    ///
    /// With `STOP` the call returns when no thread runs any more: a thread on another CPU still runs for
    /// a moment after the signal is sent.
    pub async fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status().await;
        while name == "STOP" && self.has_running_threads() {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Whether any thread of the process is neither stopped nor ended.
    fn has_running_threads(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.pid()));
        let stats = threads.into_iter().flatten().flatten();
        let stats = stats.filter_map(|thread| fs::read_to_string(thread.path().join("stat")).ok());
        let state = |stat: &str| {
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        stats
            .filter_map(|stat| state(&stat))
            .any(|state| !STOPPED_STATES.contains(&state))
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        self.child
            .wait()
            .await
            .ok()
            .and_then(|status| status.code())
    }
}

/// An HTTP client that ignores the proxy settings of the environment.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("HTTP client can be built")
}

/// Path of a program of the same build: beside the current executable or one directory above (tests run
/// in `deps/`). Returns the bare name, which is looked up in `PATH`, if there is none.
pub fn program_path(name: &str) -> PathBuf {
    let program = env::current_exe().unwrap_or_default();
    let dirs = program.ancestors().skip(1).take(2);
    let path = dirs
        .map(|dir| dir.join(name))
        .find(|candidate| candidate.exists());
    path.unwrap_or_else(|| PathBuf::from(name))
}
