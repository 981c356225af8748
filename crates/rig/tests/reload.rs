//! Settings that change while a node runs.

use std::{fs, io, path::PathBuf, time::Duration};

use rig::{
    cluster::{Cluster, cluster},
    process::client,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Time within which a change must show in the logs, several times what a node takes to look.
const MOST_TIME: Duration = Duration::from_secs(8);

fn file(cluster: &Cluster, kind: &str) -> PathBuf {
    let host = &cluster.nodes[0].spec.host;
    cluster.output_dir().join(format!("{host}.{kind}"))
}

fn change(cluster: &Cluster, field: &str, value: Value) -> io::Result<()> {
    let path = file(cluster, "json");
    let mut settings: Value = serde_json::from_str(&fs::read_to_string(&path)?)?;
    settings[field] = value;
    fs::write(path, settings.to_string())
}

/// Waits until a line of the log has all of these parts.
async fn logged(cluster: &Cluster, parts: &[&str]) -> io::Result<()> {
    let began = Instant::now();
    loop {
        let text = fs::read_to_string(file(cluster, "log"))?;
        let found = |line: &str| parts.iter().all(|part| line.contains(part));
        match text.lines().any(found) {
            true => return Ok(()),
            false if began.elapsed() > MOST_TIME => panic!("no line with {parts:?} in {text}"),
            false => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serves(cluster: &Cluster) -> bool {
    let url = format!("http://{}/draws/item", cluster.target(0));
    let answer = client().get(url).send().await;
    answer.is_ok_and(|answer| answer.status() == 200)
}

#[tokio::test]
async fn a_changed_file_and_a_signal_are_followed_and_a_bad_file_changes_nothing() -> io::Result<()>
{
    let name = "reload";
    let _ = fs::remove_dir_all(cluster(name, 67).prepare().output_dir());
    let cluster = cluster(name, 67).service("draws", 1).start().await?;

    change(&cluster, "stop_ms", json!(9_000))?;
    logged(
        &cluster,
        &["event=settings_reloaded", "cause=file", "changed=true"],
    )
    .await?;

    change(&cluster, "stop_ms", json!(1))?;
    logged(&cluster, &["event=settings_refused", "100 to 600000"]).await?;
    assert!(serves(&cluster).await);

    change(&cluster, "stop_ms", json!(9_000))?;
    change(&cluster, "reads", json!(50))?;
    cluster.nodes[0].signal("HUP").await;
    logged(&cluster, &["event=settings_need_restart", "reads"]).await?;
    assert!(serves(&cluster).await);
    Ok(())
}
