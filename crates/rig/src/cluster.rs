//! A small deployment for tests and experiments: stand-ins in this process, nodes as processes.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{
    platform::Platform,
    process::{Node, NodeSpec},
    proxy::FaultProxy,
    server::{Behavior, Server},
};

/// One service of a cluster.
#[derive(Debug, Clone)]
struct ServiceSpec {
    name: String,
    servers: usize,
    limits: Value,
}

/// Builds a [`Cluster`].
#[derive(Debug, Clone)]
pub struct Builder {
    name: String,
    net: u8,
    services: Vec<ServiceSpec>,
    zones: Vec<String>,
    behavior: Behavior,
    policy: String,
    settings: Value,
    proxied: bool,
}

/// A running deployment. Dropping it kills the nodes and ends the stand-ins.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// Backend servers, in the order of the nodes.
    pub servers: Vec<Server>,
    /// Nodes, in the order of the release note.
    pub nodes: Vec<Node>,
    /// Links in front of the nodes' addresses for peers, if they were asked for.
    pub proxies: Vec<FaultProxy>,
    builder: Builder,
    tasks: Vec<JoinHandle<io::Result<()>>>,
}

/// A cluster whose addresses lie in `127.net.0.0/16` and whose files go to `out/NAME`.
pub fn cluster(name: &str, net: u8) -> Builder {
    Builder {
        name: name.to_owned(),
        net,
        services: Vec::new(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        behavior: Behavior::default(),
        policy: "two-choices".to_owned(),
        settings: json!({}),
        proxied: false,
    }
}

impl Builder {
    /// Adds a service with so many backend servers.
    pub fn service(self, name: &str, servers: usize) -> Self {
        self.service_with_limits(
            name,
            servers,
            json!({ "cold": 10, "warm_ms": 0, "timeout_ms": 2000 }),
        )
    }

    /// Adds a service with these limits.
    pub fn service_with_limits(mut self, name: &str, servers: usize, limits: Value) -> Self {
        self.services.push(ServiceSpec {
            name: name.to_owned(),
            servers,
            limits,
        });
        self
    }

    /// Changes how backend servers behave at first.
    pub fn server_behavior(mut self, change: impl FnOnce(&mut Behavior)) -> Self {
        change(&mut self.behavior);
        self
    }

    /// Names the policy that chooses backend servers.
    pub fn policy(mut self, policy: &str) -> Self {
        policy.clone_into(&mut self.policy);
        self
    }

    /// Adds fields to the nodes' settings.
    pub fn settings(mut self, settings: Value) -> Self {
        self.settings = settings;
        self
    }

    /// Puts a [`Link`] in front of each node's address for peers.
    pub fn with_proxies(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Address of a part of the cluster. `row` 0 is the platform's.
    fn address(&self, row: u8, number: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, row, number as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    fn specs(&self) -> Vec<NodeSpec> {
        let mut specs: Vec<NodeSpec> = Vec::new();
        for service in &self.services {
            for number in 0..service.servers {
                let at = specs.len();
                specs.push(NodeSpec {
                    host: format!("host-{at}"),
                    zone: self.zones[number % self.zones.len()].clone(),
                    node: self.address(1, at, 7000),
                    server: self.address(1, at, 9000),
                    service: service.name.clone(),
                });
            }
        }
        specs
    }

    /// Address at which peers find a node: its own, or its link's.
    fn peer_address(&self, at: usize) -> SocketAddr {
        if self.proxied {
            self.address(2, at, 7000)
        } else {
            self.address(1, at, 7000)
        }
    }

    /// The release note that adds everything.
    pub fn note(&self) -> Value {
        let zones: Vec<Value> = self
            .zones
            .iter()
            .map(|z| json!({ "id": z, "region": "r" }))
            .collect();
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|s| json!({ "id": s.name, "limits": s.limits }))
            .collect();
        let server = |(at, spec): (usize, &NodeSpec)| {
            json!({
                "id": format!("server-{at}"),
                "service": spec.service,
                "zone": spec.zone,
                "host": spec.host,
                "node": self.peer_address(at),
                "address": spec.server,
            })
        };
        let servers: Vec<Value> = self.specs().iter().enumerate().map(server).collect();
        let add = json!({ "zones": zones, "services": services, "servers": servers });
        json!({ "author": "rig", "after": 0, "add": add })
    }

    /// Where the files of this cluster go.
    pub fn output_dir(&self) -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("../../out")
            .join(&self.name)
    }

    /// Starts everything and waits until the nodes take work.
    ///
    /// # Errors
    ///
    /// If an address is taken or a node doesn't become ready.
    pub async fn start(self) -> io::Result<Cluster> {
        let mut cluster = self.prepare();
        let specs = cluster.builder.specs();
        for at in 0..specs.len() {
            let node = cluster.start_node(at)?;
            cluster.nodes.push(node);
        }
        for node in &cluster.nodes {
            node.wait_ready().await?;
        }
        Ok(cluster)
    }

    /// Starts the stand-ins and publishes the note, but starts no node.
    pub fn prepare(self) -> Cluster {
        let platform = Platform::default();
        platform.publish(&self.note().to_string());
        let mut cluster = Cluster {
            platform: platform.clone(),
            servers: Vec::new(),
            nodes: Vec::new(),
            proxies: Vec::new(),
            tasks: Vec::new(),
            builder: self,
        };
        let address = cluster.platform_address();
        cluster
            .tasks
            .push(tokio::spawn(async move { platform.serve(address).await }));
        for (at, spec) in cluster.builder.specs().into_iter().enumerate() {
            let behavior = Behavior {
                node: Some(spec.listen()),
                ..cluster.builder.behavior.clone()
            };
            let server = Server::new(behavior);
            cluster.servers.push(server.clone());
            cluster
                .tasks
                .push(tokio::spawn(async move { server.serve(spec.server).await }));
            if cluster.builder.proxied {
                let proxy = FaultProxy::default();
                cluster.proxies.push(proxy.clone());
                let peer_address = cluster.builder.peer_address(at);
                cluster
                    .tasks
                    .push(tokio::spawn(proxy.serve(peer_address, spec.node)));
            }
        }
        cluster
    }
}

impl Cluster {
    /// Ends nodes and stand-ins and waits until they are gone, so that their addresses are free.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill().await;
        }
        for task in self.tasks.drain(..) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        self.builder.address(0, 0, 6000)
    }

    /// Starts the node with this number, again after it was killed.
    ///
    /// # Errors
    ///
    /// If the process can't be started.
    pub fn start_node(&self, at: usize) -> io::Result<Node> {
        let spec = self.builder.specs()[at].clone();
        let mut settings = spec.settings(self.platform_address(), &self.builder.policy);
        let extra = self
            .builder
            .settings
            .as_object()
            .cloned()
            .unwrap_or_default();
        if let Some(fields) = settings.as_object_mut() {
            fields.insert("log".to_owned(), json!("debug"));
            fields.extend(extra);
        }
        Node::start(spec, &settings, &self.output_dir())
    }

    /// The release note that added everything.
    pub fn note(&self) -> Value {
        self.builder.note()
    }

    /// Numbers of the nodes in an availability zone.
    pub fn zone_nodes(&self, zone: &str) -> Vec<usize> {
        let specs = self.builder.specs();
        (0..specs.len())
            .filter(|at| specs[*at].zone == zone)
            .collect()
    }

    /// Address of a node for callers.
    pub fn target(&self, at: usize) -> SocketAddr {
        self.builder.specs()[at].listen()
    }

    /// Where the files of this cluster go.
    pub fn output_dir(&self) -> PathBuf {
        self.builder.output_dir()
    }

    /// Addresses of all nodes for callers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.builder.specs().iter().map(NodeSpec::listen).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
