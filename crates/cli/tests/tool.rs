//! The operators' tool, run as operators run it.

mod support;

use std::io;

use support::{stdout, tool, write};

#[test]
fn the_examples_are_in_order() -> io::Result<()> {
    for name in ["secretariat", "bakeries"] {
        let path = format!(
            "{}/../../examples/{name}/note.json",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = tool(&["note", "check", &path])?;
        assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    }
    Ok(())
}

#[test]
fn all_faults_of_a_note_are_printed_at_once_with_their_places() -> io::Result<()> {
    let text = r#"{ "author": "op", "after": 3, "withdraw": { "zones": ["a"] } }"#;
    let path = write("faults.json", text)?;
    let output = tool(&["note", "check", &path.to_string_lossy()])?;
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
fn a_malformed_note_names_the_field() -> io::Result<()> {
    let path = write(
        "malformed.json",
        r#"{ "author": "op", "after": 0, "rename": 1 }"#,
    )?;
    let output = tool(&["note", "check", &path.to_string_lossy()])?;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout(&output).contains("unknown field `rename`"),
        "{}",
        stdout(&output)
    );
    Ok(())
}

#[test]
fn what_can_not_be_read_is_exit_code_2_with_its_cause() -> io::Result<()> {
    let output = tool(&["note", "check", "no-such-file"])?;
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("caused by:"));
    let output = tool(&["dump", "127.0.0.1:1"])?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}

#[test]
fn a_silent_node_lags() -> io::Result<()> {
    let output = tool(&["--json", "status", "127.0.0.1:1"])?;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stdout(&output).contains("\"silent\""),
        "{}",
        stdout(&output)
    );
    Ok(())
}
