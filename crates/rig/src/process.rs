//! Starts nodes as processes of their own and ends them.

use std::{
    env, fs, io,
    net::SocketAddr,
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

/// Longest time that nodes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at threads that are being stopped, which takes them microseconds.
const STOPPING: Duration = Duration::from_millis(1);
/// States of threads that run no more: stopped, traced, zombie and dead, as `proc(5)` names them.
const STOPPED: [char; 5] = ['T', 't', 'Z', 'X', 'x'];
/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// Addresses and names of one node.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Host that it runs on.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for other nodes.
    pub node: SocketAddr,
    /// Address of the backend server beside it.
    pub server: SocketAddr,
    /// Service that the backend server belongs to.
    pub service: String,
}

impl NodeSpec {
    /// The nodes beside the backend servers that a note adds.
    pub fn from_note(note: &Note) -> Vec<Self> {
        let spec = |s: &note::Server| Self {
            host: s.host.to_string(),
            zone: s.zone.to_string(),
            node: s.node,
            server: s.address,
            service: s.service.to_string(),
        };
        note.add.servers.iter().map(spec).collect()
    }

    /// Address for callers: the node's with another port.
    pub fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.node.ip(), 8080)
    }

    /// Address of the admin API.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.node.ip(), 9900)
    }

    /// Settings of the node.
    pub fn settings(&self, platform: SocketAddr, policy: &str) -> Value {
        json!({
            "host": self.host,
            "zone": self.zone,
            "listen": self.listen(),
            "node": self.node,
            "admin": self.admin(),
            "platform": format!("http://{platform}"),
            "policy": policy,
        })
    }
}

/// A running node. It is killed when dropped.
#[derive(Debug)]
pub struct Node {
    /// Its addresses and names.
    pub spec: NodeSpec,
    child: Child,
}

impl Node {
    /// Starts a node with these settings, which are written below `folder`.
    ///
    /// # Errors
    ///
    /// If files can't be written or the process can't be started.
    pub fn start(spec: NodeSpec, settings: &Value, folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = folder.join(format!("{}.json", spec.host));
        fs::write(&file, settings.to_string())?;
        let log = folder.join(format!("{}.log", spec.host));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(program_path("amaranthyoked"))
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { spec, child })
    }

    /// The process's number.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    /// Sends a signal by its name, such as `STOP`, which has taken effect on return: a thread that runs
    /// on another processor goes on for a moment after the signal was sent.
    pub async fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status().await;
        while name == "STOP" && self.runs() {
            sleep(STOPPING).await;
        }
    }

    /// Whether a thread of the process isn't stopped yet. One that has ended doesn't run.
    fn runs(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.pid()));
        let stats = tasks.into_iter().flatten().flatten();
        let stats = stats.filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
        let state = |stat: &str| {
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        stats
            .filter_map(|stat| state(&stat))
            .any(|state| !STOPPED.contains(&state))
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until the process ends by itself, and returns its exit code.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        self.child
            .wait()
            .await
            .ok()
            .and_then(|status| status.code())
    }

    /// Waits until the node takes work.
    ///
    /// # Errors
    ///
    /// If it doesn't in time.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let client = client();
        let url = format!("http://{}/readyz", self.spec.admin());
        let ready = async {
            while !client
                .get(&url)
                .send()
                .await
                .is_ok_and(|a| a.status() == 200)
            {
                sleep(POLL).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| io::ErrorKind::TimedOut.into())
    }

    /// The process's dump.
    pub async fn state(&self) -> Option<Value> {
        let url = format!("http://{}/state", self.spec.admin());
        client().get(url).send().await.ok()?.json().await.ok()
    }
}

/// A client that uses no proxy.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a plain client")
}

/// A program that was built together with this one.
pub fn program_path(name: &str) -> PathBuf {
    let own = env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.exists());
    found.unwrap_or_else(|| PathBuf::from(name))
}
