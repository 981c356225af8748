//! Checks the output and exit codes of the `amaranthyoke` program.

mod support;

use std::io;

use support::{run_tool, stdout, write_file};

#[test]
fn example_notes_have_no_faults() -> io::Result<()> {
    for name in ["secretariat", "bakeries"] {
        let path = format!(
            "{}/../../examples/{name}/note.json",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = run_tool(&["note", "check", &path])?;
        assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    }
    Ok(())
}

#[test]
fn note_check_prints_all_faults_with_their_places() -> io::Result<()> {
    let text = r#"{ "author": "op", "after": 3, "withdraw": { "zones": ["a"] } }"#;
    let path = write_file("faults.json", text)?;
    let output = run_tool(&["note", "check", &path.to_string_lossy()])?;
    assert_eq!(output.status.code(), Some(1));
    let text = stdout(&output);
    assert!(
        text.contains("after: names a revision that does not exist yet"),
        "{text}"
    );
    assert!(text.contains("withdraw.zones[0]: does not exist"), "{text}");
    Ok(())
}

#[test]
fn malformed_note_error_names_the_field() -> io::Result<()> {
    let path = write_file(
        "malformed.json",
        r#"{ "author": "op", "after": 0, "rename": 1 }"#,
    )?;
    let output = run_tool(&["note", "check", &path.to_string_lossy()])?;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout(&output).contains("unknown field `rename`"),
        "{}",
        stdout(&output)
    );
    Ok(())
}

#[test]
fn unreadable_file_or_node_exits_with_code_2() -> io::Result<()> {
    let output = run_tool(&["note", "check", "no-such-file"])?;
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("caused by:"));
    let output = run_tool(&["dump", "127.0.0.1:1"])?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}

#[test]
fn unresponsive_node_is_silent_and_lags() -> io::Result<()> {
    let output = run_tool(&["--json", "status", "127.0.0.1:1"])?;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout(&output).contains("\"silent\""),
        "{}",
        stdout(&output)
    );
    Ok(())
}
