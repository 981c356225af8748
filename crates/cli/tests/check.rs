//! Check of a configuration before it is sent.

#[expect(dead_code, reason = "other tests write files")]
mod support;

use std::io;

use support::{run_tool, stdout};

/// Path of a configuration in the platform's form.
fn config(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/tests/configs");
    format!("{folder}/{name}.json")
}

#[test]
fn a_sound_version_is_in_order_and_shows_what_differs() -> io::Result<()> {
    let against = format!("--against={}", config("in-force"));
    let output = run_tool(&["check", &against, &config("next")])?;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let expected = "version 8, after 7\ndiffers  routes[r-1].timeout_ms: 800 -> 900\nin order\n";
    assert_eq!(text, expected);
    Ok(())
}

#[test]
fn a_version_that_is_not_newer_is_said_to_be_ignored() -> io::Result<()> {
    let against = format!("--against={}", config("next"));
    let output = run_tool(&["check", &against, &config("in-force")])?;
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(
        text.starts_with("version 7, not above 8: nodes ignore it\n"),
        "{text}"
    );
    Ok(())
}

#[test]
fn faults_are_those_for_which_nodes_refuse_it() -> io::Result<()> {
    let output = run_tool(&["check", &config("refused")])?;
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(
        text.contains("refused  routes[r-1].parts: names a service that does not exist"),
        "{text}"
    );
    assert!(
        text.contains("refused  routes[r-1].path: must begin and end"),
        "{text}"
    );
    Ok(())
}

#[test]
fn services_that_nodes_leave_out_are_named() -> io::Result<()> {
    let output = run_tool(&["check", &config("unused")])?;
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(
        text.contains("left out resources[3]: can't be read: \"soon\" is not a duration"),
        "{text}"
    );
    assert!(!text.contains("refused"), "{text}");
    Ok(())
}

#[test]
fn entries_that_never_match_and_limits_that_contradict_are_doubtful() -> io::Result<()> {
    let output = run_tool(&["--json", "check", &config("doubtful")])?;
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let places: Vec<&str> = report["findings"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|finding| finding["place"].as_str())
        .collect();
    let expected = [
        "routes[r-1].host",
        "routes[r-1].objective_ms",
        "services[fees]",
    ];
    assert_eq!(places, expected);
    Ok(())
}

#[test]
fn a_file_or_node_that_cannot_be_read_ends_with_code_2() -> io::Result<()> {
    assert_eq!(run_tool(&["check", "no-such-file"])?.status.code(), Some(2));
    let live = ["check", "--live=127.0.0.1:1", &config("next")];
    assert_eq!(run_tool(&live)?.status.code(), Some(2));
    let against = format!("--against={}", config("refused"));
    let output = run_tool(&["check", &against, &config("next")])?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}
