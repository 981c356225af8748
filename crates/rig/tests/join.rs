//! A node that cannot read the platform fetches the view from a peer.

use std::io;

use rig::{cluster::cluster, platform::Faults};
use serde_json::{Value, json};

/// Routes in the release note: as many as users add at once.
const ROUTE_COUNT: usize = 485;

fn routes_note() -> String {
    let route = |number: usize| {
        json!({
            "id": format!("route-{number}"), "host": format!("host-{number}.example"),
            "path": format!("/path-{number}/"), "parts": [{ "service": "draws", "weight": 1 }],
            "idempotent": true, "attempts": 2, "timeout_ms": 800, "objective_ms": 200,
        })
    };
    let routes: Vec<Value> = (0..ROUTE_COUNT).map(route).collect();
    json!({ "author": "rig", "after": 1, "add": { "routes": routes } }).to_string()
}

#[tokio::test]
async fn view_is_compressed_between_nodes() -> io::Result<()> {
    let mut cluster = cluster("join-bytes", 78)
        .service("draws", 2)
        .settings(json!({ "seeds": ["127.78.2.1:7000"] }))
        .with_proxies()
        .prepare();
    let note = routes_note();
    cluster.platform.publish(&note);
    let node = cluster.start_node(0)?;
    cluster.nodes.push(node);
    cluster.nodes[0].wait_ready().await?;
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let node = cluster.start_node(1)?;
    cluster.nodes.push(node);
    cluster.nodes[1].wait_ready().await?;
    let (relayed_bytes, note_bytes) = (cluster.proxies[0].relayed_bytes(), note.len() as u64);
    assert!(relayed_bytes > 0, "the proxy relayed no bytes");
    assert!(
        relayed_bytes * 3 < note_bytes,
        "the proxy relayed {relayed_bytes} bytes for a release note of {note_bytes} bytes"
    );
    Ok(())
}
