//! Reloading of settings while a node runs.

use std::{fs, io, path::PathBuf, time::Duration};

use rig::{
    cluster::{Cluster, cluster},
    process::client,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Limit for a change to appear in the log: several times the interval at which a node checks its
/// settings file.
const LOG_TIMEOUT: Duration = Duration::from_secs(8);

fn node_file(cluster: &Cluster, extension: &str) -> PathBuf {
    let host = &cluster.nodes[0].spec.host;
    cluster.output_dir().join(format!("{host}.{extension}"))
}

fn change_setting(cluster: &Cluster, field: &str, value: Value) -> io::Result<()> {
    let path = node_file(cluster, "json");
    let mut settings: Value = serde_json::from_str(&fs::read_to_string(&path)?)?;
    settings[field] = value;
    fs::write(path, settings.to_string())
}

/// Waits until a line of the log contains all of `parts`.
async fn wait_for_log(cluster: &Cluster, parts: &[&str]) -> io::Result<()> {
    let start = Instant::now();
    loop {
        let text = fs::read_to_string(node_file(cluster, "log"))?;
        let matches = |line: &str| parts.iter().all(|part| line.contains(part));
        match text.lines().any(matches) {
            true => return Ok(()),
            false if start.elapsed() > LOG_TIMEOUT => panic!("no line has {parts:?} in {text}"),
            false => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn is_serving(cluster: &Cluster) -> bool {
    let url = format!("http://{}/draws/item", cluster.target(0));
    let response = client().get(url).send().await;
    response.is_ok_and(|r| r.status() == 200)
}

#[tokio::test]
async fn settings_reload_on_file_change_and_sighup_unless_invalid() -> io::Result<()> {
    let name = "reload";
    let _ = fs::remove_dir_all(cluster(name, 67).prepare().output_dir());
    let cluster = cluster(name, 67).service("draws", 1).start().await?;

    change_setting(&cluster, "stop_ms", json!(9_000))?;
    wait_for_log(
        &cluster,
        &["event=settings_reloaded", "cause=file", "changed=true"],
    )
    .await?;

    change_setting(&cluster, "stop_ms", json!(1))?;
    wait_for_log(&cluster, &["event=settings_refused", "100 to 600000"]).await?;
    assert!(is_serving(&cluster).await);

    change_setting(&cluster, "stop_ms", json!(9_000))?;
    change_setting(&cluster, "reads", json!(50))?;
    cluster.nodes[0].signal("HUP").await;
    wait_for_log(&cluster, &["event=settings_need_restart", "reads"]).await?;
    assert!(is_serving(&cluster).await);
    Ok(())
}
