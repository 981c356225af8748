//! A small deployment for tests and experiments: stubs run in this process, nodes in their own.

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

/// A service and the number of its backend servers.
#[derive(Debug, Clone)]
struct ServiceSpec {
    name: String,
    servers: usize,
    limits: Value,
}

/// Builder of a [`Cluster`].
#[derive(Debug, Clone)]
pub struct Builder {
    name: String,
    net: u8,
    services: Vec<ServiceSpec>,
    zones: Vec<String>,
    behavior: Behavior,
    policy: String,
    settings: Value,
    routes: Value,
    proxied: bool,
    link_rate: u64,
    /// Whether all proxies share one link.
    shares_link: bool,
}

/// A running deployment. Its nodes are killed and its stubs aborted on drop.
#[derive(Debug)]
pub struct Cluster {
    /// Platform stub.
    pub platform: Platform,
    /// Backend server stubs, in the order of the nodes.
    pub servers: Vec<Server>,
    /// Node processes, in the order of the release note.
    pub nodes: Vec<Node>,
    /// Proxies in front of the nodes' peer addresses, in the order of the nodes; empty without
    /// [`Builder::with_proxies`].
    pub proxies: Vec<FaultProxy>,
    builder: Builder,
    tasks: Vec<JoinHandle<io::Result<()>>>,
}

/// Returns a builder for a cluster with addresses in `127.net.0.0/16` and output files in `out/NAME`.
pub fn cluster(name: &str, net: u8) -> Builder {
    Builder {
        name: name.to_owned(),
        net,
        services: Vec::new(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        behavior: Behavior::default(),
        policy: "two-choices".to_owned(),
        settings: json!({}),
        routes: json!([]),
        proxied: false,
        link_rate: 0,
        shares_link: false,
    }
}

impl Builder {
    /// Adds a service with `servers` backend servers, spread over the zones in rotation.
    pub fn service(self, name: &str, servers: usize) -> Self {
        self.service_with_limits(
            name,
            servers,
            json!({ "cold": 10, "warm_ms": 0, "timeout_ms": 2000 }),
        )
    }

    /// Adds a service with the given limits, as in a release note.
    pub fn service_with_limits(mut self, name: &str, servers: usize, limits: Value) -> Self {
        self.services.push(ServiceSpec {
            name: name.to_owned(),
            servers,
            limits,
        });
        self
    }

    /// Changes the initial behavior of the backend servers.
    pub fn server_behavior(mut self, change: impl FnOnce(&mut Behavior)) -> Self {
        change(&mut self.behavior);
        self
    }

    /// Sets the policy by which nodes choose backend servers.
    pub fn policy(mut self, policy: &str) -> Self {
        policy.clone_into(&mut self.policy);
        self
    }

    /// Sets fields that override those of the nodes' settings.
    pub fn settings(mut self, settings: Value) -> Self {
        self.settings = settings;
        self
    }

    /// Puts a [`FaultProxy`] in front of each node's peer address.
    pub fn with_proxies(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Puts a [`FaultProxy`] in front of each node's peer address, over a link of `rate` bytes a second.
    pub fn with_links(self, rate: u64) -> Self {
        Self {
            link_rate: rate,
            ..self.with_proxies()
        }
    }

    /// Puts a [`FaultProxy`] in front of each node's peer address, all over one link of `rate` bytes a second: that
    /// of the node that gets all requests.
    pub fn with_shared_link(self, rate: u64) -> Self {
        Self {
            shares_link: true,
            ..self.with_links(rate)
        }
    }

    /// Sets the routes, as in a release note. Requests name a host then, and not a service.
    pub fn routes(mut self, routes: Value) -> Self {
        self.routes = routes;
        self
    }

    /// Address `127.net.third_octet.(index + 1)`. The third octet is 0 for the platform, 1 for nodes and
    /// backend servers and 2 for proxies.
    fn address(&self, third_octet: u8, index: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, third_octet, index as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    fn node_specs(&self) -> Vec<NodeSpec> {
        let mut node_specs: Vec<NodeSpec> = Vec::new();
        for service in &self.services {
            for number in 0..service.servers {
                let index = node_specs.len();
                node_specs.push(NodeSpec {
                    host: format!("host-{index}"),
                    zone: self.zones[number % self.zones.len()].clone(),
                    node: self.address(1, index, 7000),
                    server: self.address(1, index, 9000),
                    service: service.name.clone(),
                });
            }
        }
        node_specs
    }

    /// Address at which peers reach a node: its own, or that of its proxy.
    fn peer_address(&self, index: usize) -> SocketAddr {
        if self.proxied {
            self.address(2, index, 7000)
        } else {
            self.address(1, index, 7000)
        }
    }

    /// The release note that adds all zones, services, backend servers and routes.
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
        let server = |(index, spec): (usize, &NodeSpec)| {
            json!({
                "id": format!("server-{index}"),
                "service": spec.service,
                "zone": spec.zone,
                "host": spec.host,
                "node": self.peer_address(index),
                "address": spec.server,
            })
        };
        let servers: Vec<Value> = self.node_specs().iter().enumerate().map(server).collect();
        let add = json!({
            "zones": zones, "services": services, "servers": servers, "routes": self.routes,
        });
        json!({ "author": "rig", "after": 0, "add": add })
    }

    /// Directory of the nodes' settings and logs.
    pub fn output_dir(&self) -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("../../out")
            .join(&self.name)
    }

    /// Starts stubs and nodes and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, or if a node isn't ready in time, for example
    /// because an address is in use.
    pub async fn start(self) -> io::Result<Cluster> {
        let mut cluster = self.prepare();
        let node_specs = cluster.builder.node_specs();
        for index in 0..node_specs.len() {
            let node = cluster.start_node(index)?;
            cluster.nodes.push(node);
        }
        for node in &cluster.nodes {
            node.wait_ready().await?;
        }
        Ok(cluster)
    }

    /// Starts the stubs and publishes the release note, but starts no node.
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
        for (index, spec) in cluster.builder.node_specs().into_iter().enumerate() {
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
                let proxy = match cluster.proxies.first() {
                    Some(first) if cluster.builder.shares_link => first.beside(),
                    _ => FaultProxy::with_rate(cluster.builder.link_rate),
                };
                cluster.proxies.push(proxy.clone());
                let peer_address = cluster.builder.peer_address(index);
                cluster
                    .tasks
                    .push(tokio::spawn(proxy.serve(peer_address, spec.node)));
            }
        }
        cluster
    }
}

impl Cluster {
    /// Kills the nodes, aborts the stubs and waits for their end, so that their addresses are free.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill().await;
        }
        for task in self.tasks.drain(..) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Address of the platform stub.
    pub fn platform_address(&self) -> SocketAddr {
        self.builder.address(0, 0, 6000)
    }

    /// Starts the node at `index`, for the first time or after its process has ended. The caller stores
    /// it in [`nodes`](Self::nodes).
    ///
    /// # Errors
    ///
    /// Returns an error if its files can't be written or the process can't be started.
    pub fn start_node(&self, index: usize) -> io::Result<Node> {
        let spec = self.builder.node_specs()[index].clone();
        let mut settings = spec.settings(self.platform_address(), &self.builder.policy);
        let overrides = self
            .builder
            .settings
            .as_object()
            .cloned()
            .unwrap_or_default();
        if let Some(fields) = settings.as_object_mut() {
            fields.insert("log".to_owned(), json!("debug"));
            fields.extend(overrides);
        }
        Node::start(spec, &settings, &self.output_dir())
    }

    /// The release note that the cluster started with.
    pub fn note(&self) -> Value {
        self.builder.note()
    }

    /// Indices of the nodes in an availability zone.
    pub fn zone_nodes(&self, zone: &str) -> Vec<usize> {
        let node_specs = self.builder.node_specs();
        (0..node_specs.len())
            .filter(|index| node_specs[*index].zone == zone)
            .collect()
    }

    /// Address of the node at `index` for callers.
    pub fn target(&self, index: usize) -> SocketAddr {
        self.builder.node_specs()[index].listen()
    }

    /// Directory of the nodes' settings and logs.
    pub fn output_dir(&self) -> PathBuf {
        self.builder.output_dir()
    }

    /// Addresses of all nodes for callers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.builder
            .node_specs()
            .iter()
            .map(NodeSpec::listen)
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
