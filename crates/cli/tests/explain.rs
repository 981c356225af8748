//! `explain`, on lines as two nodes log them.

mod support;

use std::io;

use support::{stdout, tool, write};

/// The node that took the request.
const INGRESS: &str = "\
ts=10.100 level=info event=attempt_sent call=abc attempt=0 service=fees server=i-1 choosy=false left_ms=400 view=7
ts=10.100 level=info event=attempt_sent call=other attempt=0 service=fees server=i-1 choosy=false left_ms=400 view=7
ts=10.130 level=info event=attempt_heard call=abc attempt=0 server=i-1 outcome=busy took_us=30000 ran_us=0 running=4 waiting=9 allowed=4 pace=400 view=7
ts=10.131 level=info event=call_ended call=abc ending=busy took_us=31000 view=7
";

/// The gate, behind a prefix of whoever collected the logs.
const GATE: &str = "\
node-2 ts=10.120 level=info event=run_ended call=abc attempt=1.2.3 server=i-1 outcome=busy age_us=10 note=\"a \\\"b\\\" c\" running=4 waiting=9 allowed=4 pace=400 view=7
";

#[test]
fn lines_of_several_nodes_are_put_in_order_and_the_cause_is_named() -> io::Result<()> {
    let (ingress, gate) = (write("ingress.log", INGRESS)?, write("gate.log", GATE)?);
    let files = [&ingress, &gate].map(|path| path.to_string_lossy().into_owned());
    let output = tool(&["explain", "abc", &files[0], &files[1]])?;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let order: Vec<usize> = ["attempt_sent", "run_ended", "attempt_heard", "call_ended"]
        .iter()
        .map(|event| text.find(event).expect("a line"))
        .collect();
    assert!(order.is_sorted(), "{text}");
    assert!(!text.contains("call=other"));
    assert!(
        text.contains("=> It was refused and not run: no backend server"),
        "{text}"
    );
    assert!(text.contains("9 waiting, 4 allowed, pace 400 %"), "{text}");
    Ok(())
}

#[test]
fn what_can_not_be_explained_is_an_error() -> io::Result<()> {
    let ingress = write("ingress-alone.log", INGRESS)?;
    let file = ingress.to_string_lossy().into_owned();
    for arguments in [
        ["explain", "never-seen", &file],
        ["explain", "abc", "/nowhere/x.log"],
    ] {
        let output = tool(&arguments)?;
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(String::from_utf8_lossy(&output.stderr).starts_with("error: "));
    }
    Ok(())
}
