//! Checks the `explain` command on log lines of two nodes.

mod support;

use std::io;

use support::{run_tool, stdout, write_file};

/// Log of the node whose ingress took the request.
const INGRESS: &str = "\
ts=10.100 level=info event=attempt_sent call=abc attempt=0 service=fees server=i-1 choosy=false left_ms=400 view=7
ts=10.100 level=info event=attempt_sent call=other attempt=0 service=fees server=i-1 choosy=false left_ms=400 view=7
ts=10.130 level=info event=attempt_heard call=abc attempt=0 server=i-1 outcome=busy took_us=30000 ran_us=0 running=4 waiting=9 allowed=4 pace=400 view=7
ts=10.131 level=info event=call_ended call=abc ending=busy took_us=31000 view=7
";

/// Log of the gate's node, with a prefix that a log collector added.
const GATE: &str = "\
node-2 ts=10.120 level=info event=run_ended call=abc attempt=1.2.3 server=i-1 outcome=busy age_us=10 note=\"a \\\"b\\\" c\" running=4 waiting=9 allowed=4 pace=400 view=7
";

#[test]
fn sorts_the_lines_of_several_nodes_and_states_the_cause() -> io::Result<()> {
    let (ingress, gate) = (
        write_file("ingress.log", INGRESS)?,
        write_file("gate.log", GATE)?,
    );
    let files = [&ingress, &gate].map(|path| path.to_string_lossy().into_owned());
    let output = run_tool(&["explain", "abc", &files[0], &files[1]])?;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let positions: Vec<usize> = ["attempt_sent", "run_ended", "attempt_heard", "call_ended"]
        .iter()
        .map(|event| text.find(event).expect("the event is printed"))
        .collect();
    assert!(positions.is_sorted(), "{text}");
    assert!(!text.contains("call=other"));
    assert!(
        text.contains("=> It was refused and not run: no backend server"),
        "{text}"
    );
    assert!(text.contains("9 waiting, 4 allowed, pace 400 %"), "{text}");
    Ok(())
}

#[test]
fn unknown_call_or_unreadable_log_exits_with_code_2() -> io::Result<()> {
    let ingress = write_file("ingress-alone.log", INGRESS)?;
    let file = ingress.to_string_lossy().into_owned();
    for arguments in [
        ["explain", "never-seen", &file],
        ["explain", "abc", "/nowhere/x.log"],
    ] {
        let output = run_tool(&arguments)?;
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(String::from_utf8_lossy(&output.stderr).starts_with("error: "));
    }
    Ok(())
}

/// A server whose name nodes log in quotes.
const QUOTED: &str = r#"
ts=10.130 level=info event=attempt_heard call="a b" attempt=0 server="i \"1\"\t\u{e9}\n\\" outcome=busy running=4 waiting=9 allowed=4 pace=400 view=7
ts=10.131 level=info event=call_ended call="a b" ending=busy took_us=31000 view=7
"#;

#[test]
fn names_that_are_logged_in_quotes_are_shown_as_they_are() -> io::Result<()> {
    let log = write_file("quoted.log", QUOTED)?;
    let output = run_tool(&["--json", "explain", "a b", &log.to_string_lossy()])?;
    let explanation: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let server = &explanation["lines"][0]["pairs"]["server"];
    assert_eq!(server, "i \"1\"\t\u{e9}\n\\");
    let output = run_tool(&["explain", "a b", &log.to_string_lossy()])?;
    let text = stdout(&output);
    let cause = text.lines().last().unwrap_or_default();
    let told = "from the gate of i \"1\"\\t\u{e9}\\n\\: busy, with 4 running";
    assert!(cause.contains(told), "{cause}");
    Ok(())
}

/// Requests that were rejected before any attempt.
const REJECTED: &str = "\
ts=10.100 level=info event=key_rejected call=old has_key=true proof_ms=4912
ts=10.101 level=info event=call_ended call=old ending=keys_unproven took_us=90 view=7
ts=10.200 level=info event=key_rejected call=none has_key=false proof_ms=None
ts=10.201 level=info event=call_ended call=none ending=no_team took_us=90 view=7
ts=10.250 level=info event=call_ended call=gone ending=no_team took_us=90 view=8
ts=10.300 level=info event=team_refused call=over team=club room_ms=350
ts=10.301 level=info event=call_ended call=over ending=over_allowance took_us=90 view=7
ts=10.400 level=info event=team_refused call=lost team=club room_ms=None
ts=10.401 level=info event=call_ended call=lost ending=allowance_unknown took_us=400000 view=7
";

#[test]
fn says_what_rejected_a_key_or_a_team() -> io::Result<()> {
    let log = write_file("rejected.log", REJECTED)?;
    let file = log.to_string_lossy().into_owned();
    for (call, expected) in [
        ("old", "The last proof was 4912 ms old."),
        (
            "none",
            "came with none or several (no_team after 90 us, view 7).\n",
        ),
        ("gone", "no team held its key any more"),
        ("over", "There was room for team club in 350 ms."),
        ("lost", "It was of team club."),
    ] {
        let text = stdout(&run_tool(&["explain", call, &file])?);
        assert!(text.contains(expected), "{text}");
        assert!(text.contains("not run"), "{text}");
    }
    Ok(())
}

/// Calls of two services, one of a team, one whose caller left and one without an ending.
const MANY: &str = "\
ts=10.100 level=info event=attempt_sent call=a attempt=0 service=fees server=i-1 left_ms=400 view=7
ts=10.110 level=info event=attempt_heard call=a attempt=0 server=i-1 outcome=busy took_us=9 running=4 waiting=8 allowed=4 pace=100 view=7
ts=10.111 level=info event=attempt_sent call=a attempt=1 service=fees server=i-2 left_ms=390 view=7
ts=10.120 level=info event=attempt_heard call=a attempt=1 server=i-2 outcome=busy took_us=9 running=3 waiting=0 allowed=3 pace=100 view=7
ts=10.121 level=info event=call_ended call=a ending=busy took_us=21000 view=7
ts=10.200 level=info event=attempt_sent call=b attempt=0 service=fees server=i-1 left_ms=400 view=7
ts=10.205 level=info event=attempt_heard call=b attempt=0 server=i-1 outcome=busy took_us=9 running=2 waiting=2 allowed=4 pace=100 view=7
ts=10.210 level=info event=call_ended call=b ending=busy took_us=10000 view=7
ts=10.300 level=info event=attempt_sent call=c attempt=0 service=draws server=i-9 left_ms=400 view=7
ts=10.340 level=info event=attempt_heard call=c attempt=0 server=i-9 outcome=answer took_us=9 running=1 waiting=0 allowed=4 pace=100 view=7
ts=10.341 level=info event=call_ended call=c ending=answer took_us=41000 view=7
ts=10.350 level=info event=team_refused call=d team=club room_ms=350
ts=10.351 level=info event=call_ended call=d ending=over_allowance took_us=90 view=7
ts=10.400 level=info event=attempt_sent call=e attempt=0 service=draws server=i-9 left_ms=400 view=7
ts=10.410 level=info event=caller_left call=e attempts=1
ts=10.500 level=info event=attempt_sent call=f attempt=0 service=draws server=i-9 left_ms=400 view=7
ts=10.600 level=warn event=logs_left_out of=run_ended of_level=info count=17
";

/// The gate's own lines, which repeat what the ingresses heard.
const GATES: &str = "\
ts=10.105 level=info event=run_ended call=a attempt=1.2.3 server=i-1 outcome=busy age_us=10 running=4 waiting=8 allowed=4 pace=100 view=7
ts=10.105 level=info event=run_ended call=elsewhere attempt=1.2.4 server=i-1 outcome=busy age_us=10 running=4 waiting=8 allowed=4 pace=100 view=7
";

#[test]
fn sums_who_was_refused_where_and_why() -> io::Result<()> {
    let (many, gates) = (
        write_file("many.log", MANY)?,
        write_file("gates.log", GATES)?,
    );
    let files = [&many, &gates].map(|path| path.to_string_lossy().into_owned());
    let output = run_tool(&["explain", "--sum", &files[0], &files[1]])?;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().take(7).collect())
        .collect();
    let expected = [
        "- fees busy 2 3 21.0 It",
        "- draws answer 1 1 41.0 It",
        "- draws caller_left 1 1 0.0 The",
        "- draws unfinished 1 1 0.0 No",
        "club - over_allowance 1 0 0.1 It",
        "fees i-1 busy 2 3.0 5.0 4.0",
        "fees i-2 busy 1 3.0 0.0 3.0",
    ];
    for row in expected {
        let row: Vec<&str> = row.split(' ').collect();
        assert!(rows.contains(&row), "{row:?} is not in\n{text}");
    }
    // Two headings, an empty line, and a remark after another one.
    assert_eq!(text.lines().count(), expected.len() + 5, "{text}");
    assert!(
        text.contains("its team had used up its allowance"),
        "{text}"
    );
    assert!(
        text.ends_with("Nodes left out 17 lines, so the counts are samples\n"),
        "{text}"
    );
    assert_eq!(
        rows[1][3], "2",
        "the most frequent ending comes first: {text}"
    );
    Ok(())
}

#[test]
fn sums_as_json_or_of_an_empty_log() -> io::Result<()> {
    let many = write_file("many-json.log", MANY)?;
    let file = many.to_string_lossy().into_owned();
    let text = stdout(&run_tool(&["--json", "explain", "--sum", &file])?);
    let sum: serde_json::Value = serde_json::from_str(&text)?;
    assert_eq!(sum["calls"][0]["ending"], "busy", "{text}");
    assert_eq!(sum["calls"][0]["calls"], 2, "{text}");
    assert_eq!(sum["left_out"], 17, "{text}");
    let empty = write_file("empty.log", "")?;
    let output = run_tool(&["explain", "--sum", &empty.to_string_lossy()])?;
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output).lines().count(), 3, "two headings alone");
    let output = run_tool(&["explain", "--sum", "/nowhere/x.log"])?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}
