//! Status of nodes: the revision that each has in force, and which nodes lag behind.

use std::net::SocketAddr;

use futures::future::join_all;
use serde::Serialize;
use serde_json::Value;

use crate::client::AdminClient;

/// Status of one node.
#[derive(Debug, Serialize)]
pub struct NodeStatus {
    /// Address of the node's admin API.
    pub admin: SocketAddr,
    /// Host, or `-` if the node does not respond.
    pub host: String,
    /// Lifecycle phase of the node, or `silent` if it does not respond.
    pub phase: String,
    /// Revision of the view in force.
    pub revision: u64,
    /// Digest of the view in force.
    pub digest: String,
    /// Remaining lease of the view in milliseconds.
    pub lease: u64,
    /// Whether the node is ready and has the newest revision of all listed nodes.
    pub current: bool,
}

/// Queries all nodes concurrently.
pub async fn status(admins: &[SocketAddr]) -> Vec<NodeStatus> {
    let client = AdminClient::new();
    let requests = admins.iter().map(|address| node_status(&client, *address));
    let mut statuses = join_all(requests).await;
    let newest = statuses
        .iter()
        .map(|s| s.revision)
        .max()
        .unwrap_or_default();
    for status in &mut statuses {
        status.current = status.phase == "ready" && status.revision == newest;
    }
    statuses
}

async fn node_status(client: &AdminClient, address: SocketAddr) -> NodeStatus {
    let state = client.state(address).await.unwrap_or_default();
    let text = |field: &Value, default: &str| field.as_str().unwrap_or(default).to_owned();
    NodeStatus {
        admin: address,
        host: text(&state["identity"]["host"], "-"),
        phase: text(&state["phase"], "silent"),
        revision: state["revision"].as_u64().unwrap_or_default(),
        digest: text(&state["digest"], "-"),
        lease: state["lease_ms"].as_u64().unwrap_or_default(),
        current: false,
    }
}

/// Formats the statuses as a table.
pub fn render(statuses: &[NodeStatus]) -> String {
    let mut text = format!(
        "{:<22} {:<24} {:<9} {:>8} {:<13} {:>8} {}\n",
        "ADMIN", "HOST", "PHASE", "REVISION", "DIGEST", "LEASE ms", ""
    );
    for s in statuses {
        let lag = if s.current { "" } else { "LAGS" };
        text += &format!(
            "{:<22} {:<24} {:<9} {:>8} {:<13} {:>8} {lag}\n",
            s.admin.to_string(),
            s.host,
            s.phase,
            s.revision,
            s.digest,
            s.lease
        );
    }
    text
}
