//! A node that can't read the platform takes the view of a peer.

use std::io;

use rig::{cluster::cluster, platform::Faults};
use serde_json::{Value, json};

/// Routes in the view: as many as the users add at once.
const ROUTES: usize = 485;

fn routes() -> String {
    let route = |number: usize| {
        json!({
            "id": format!("route-{number}"), "host": format!("host-{number}.example"),
            "path": format!("/path-{number}/"), "parts": [{ "service": "draws", "weight": 1 }],
            "idempotent": true, "attempts": 2, "timeout_ms": 800, "objective_ms": 200,
        })
    };
    let routes: Vec<Value> = (0..ROUTES).map(route).collect();
    json!({ "author": "rig", "after": 1, "add": { "routes": routes } }).to_string()
}

#[tokio::test]
async fn a_view_takes_far_fewer_bytes_between_nodes_than_its_text() -> io::Result<()> {
    let mut cluster = cluster("join-bytes", 78)
        .service("draws", 2)
        .settings(json!({ "seeds": ["127.78.2.1:7000"] }))
        .with_proxies()
        .prepare();
    let routes = routes();
    cluster.platform.publish(&routes);
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
    let (passed, whole) = (cluster.proxies[0].relayed_bytes(), routes.len() as u64);
    assert!(passed > 0, "nothing came over the link");
    assert!(passed * 3 < whole, "{passed} bytes for a text of {whole}");
    Ok(())
}
