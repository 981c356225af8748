//! Nodes: which revision each has in force, and who lags.

use std::net::SocketAddr;

use futures::future::join_all;
use serde::Serialize;
use serde_json::Value;

use crate::client::AdminClient;

/// One node as the status shows it.
#[derive(Debug, Serialize)]
pub struct NodeStatus {
    /// Address of its admin API.
    pub admin: SocketAddr,
    /// Host, `-` if the node gives no answer.
    pub host: String,
    /// Where the process is in its life, or `silent`.
    pub phase: String,
    /// Revision in force.
    pub revision: u64,
    /// Digest of all notes up to it.
    pub digest: String,
    /// Time left in milliseconds for which the view may be acted on.
    pub lease: u64,
    /// Whether it is ready and has the newest revision that any node has.
    pub current: bool,
}

/// Asks all nodes at once.
pub async fn status(admins: &[SocketAddr]) -> Vec<NodeStatus> {
    let admin = AdminClient::new();
    let asking = admins.iter().map(|address| one(&admin, *address));
    let mut list = join_all(asking).await;
    let newest = list.iter().map(|s| s.revision).max().unwrap_or_default();
    for status in &mut list {
        status.current = status.phase == "ready" && status.revision == newest;
    }
    list
}

async fn one(admin: &AdminClient, address: SocketAddr) -> NodeStatus {
    let state = admin.state(address).await.unwrap_or_default();
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

/// The status for people.
pub fn render(list: &[NodeStatus]) -> String {
    let mut text = format!(
        "{:<22} {:<24} {:<9} {:>8} {:<13} {:>8} {}\n",
        "ADMIN", "HOST", "PHASE", "REVISION", "DIGEST", "LEASE ms", ""
    );
    for s in list {
        let mark = if s.current { "" } else { "LAGS" };
        text += &format!(
            "{:<22} {:<24} {:<9} {:>8} {:<13} {:>8} {mark}\n",
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
