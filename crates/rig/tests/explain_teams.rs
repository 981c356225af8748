//! `amaranthyoke explain` on requests that were rejected for their key or their team.

use std::{fs, io, path::PathBuf, time::Duration};

use cli::explain::explain;
use note::KeyHash;
use reqwest::{Client, Method};
use rig::{
    cluster::{Cluster, cluster},
    process::client,
};
use serde_json::json;
use tokio::time::{Instant, sleep};
use types::CallId;

/// Several times the interval at which nodes write out their logs.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(500);
/// Time for a note to be in force, and for an allowance to be used up.
const LIMIT: Duration = Duration::from_secs(5);

async fn post(client: &Client, cluster: &Cluster, number: u64, key: Option<&str>) -> u16 {
    let url = format!("http://{}/draws/item", cluster.target(0));
    let request = client.request(Method::POST, url);
    let request = request.header("x-request-id", CallId::from(u128::from(number)).as_str());
    let request = match key {
        Some(key) => request.header("x-team-key", key),
        None => request,
    };
    let response = request.send().await;
    response.expect("no response").status().as_u16()
}

/// Sends requests until one gets this status, and returns its number.
async fn post_until(cluster: &Cluster, numbers: u64, key: Option<&str>, status: u16) -> u64 {
    let (client, end) = (client(), Instant::now() + LIMIT);
    for number in numbers.. {
        if post(&client, cluster, number, key).await == status {
            return number;
        }
        assert!(Instant::now() < end, "no status {status}");
        sleep(Duration::from_millis(20)).await;
    }
    unreachable!("numbers don't end")
}

async fn cause(cluster: &Cluster, number: u64) -> String {
    sleep(LOG_FLUSH_TIME).await;
    let files = fs::read_dir(cluster.output_dir()).expect("cannot read the log directory");
    let files = files.map(|entry| entry.expect("cannot read a directory entry").path());
    let is_log = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "log");
    let files: Vec<PathBuf> = files.filter(is_log).collect();
    let explanation = explain(&CallId::from(u128::from(number)), &files);
    explanation.expect("no explanation").cause
}

#[tokio::test]
async fn says_what_was_wrong_with_the_key_or_the_allowance() -> io::Result<()> {
    let cluster = cluster("explain-teams", 98)
        .service("draws", 2)
        .start()
        .await?;
    let team = json!({
        "id": "club",
        "keys": [KeyHash::of(b"sunfish-9-lantern")],
        "allowance": { "rate": 1.0, "burst": 1 },
    });
    let note = json!({ "author": "rig", "after": 1, "add": { "teams": [team] } });
    cluster.platform.publish(&note.to_string());
    let missing = post_until(&cluster, 1_000, None, 401).await;
    let unknown = post_until(&cluster, 2_000, Some("other"), 401).await;
    let over = post_until(&cluster, 3_000, Some("sunfish-9-lantern"), 429).await;
    for (number, expected) in [
        (missing, "came with none or several"),
        (unknown, "no team holds the key"),
        (over, "There was room for team club in"),
    ] {
        let cause = cause(&cluster, number).await;
        assert!(cause.contains(expected), "{cause}");
        assert!(cause.contains("not run"), "{cause}");
    }
    Ok(())
}
