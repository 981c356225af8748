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
