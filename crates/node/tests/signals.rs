//! Signals that reach a process while it starts.

use std::{
    fs, io,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use serde_json::json;

/// Time for a process to install its handlers, thousands of times the usual one.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(20);
const SIGHUP: u32 = 1;

/// A pipe that a process reads its settings from, so that it waits for them.
fn settings_pipe(name: &str) -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let made = Command::new("mkfifo").arg(&path).status()?;
    assert!(made.success());
    Ok(path)
}

/// Whether the process handles the signal.
fn handles(process: &Child, signal: u32) -> io::Result<bool> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = line.and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
    Ok(mask.unwrap_or_default() & (1 << (signal - 1)) != 0)
}

#[test]
fn a_hangup_before_the_settings_are_read_ends_nothing() -> io::Result<()> {
    let path = settings_pipe("signals-hangup")?;
    let mut process = Command::new(env!("CARGO_BIN_EXE_amaranthyoked"))
        .arg("--check")
        .arg(&path)
        .stdout(Stdio::null())
        .spawn()?;
    let started = Instant::now();
    while !handles(&process, SIGHUP)? && started.elapsed() < INSTALL_TIMEOUT {
        sleep(Duration::from_millis(5));
    }
    let id = process.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status()?.success());
    let settings = json!({
        "host": "h", "zone": "z", "listen": "127.0.0.1:1", "node": "127.0.0.1:2",
        "admin": "127.0.0.1:3", "platform": "http://127.0.0.1:4",
    });
    let pipe = path.clone();
    // A process that has ended leaves the writer waiting.
    spawn(move || fs::write(pipe, settings.to_string()));
    let status = process.wait()?;
    fs::remove_file(&path)?;
    assert!(status.success(), "{status}");
    Ok(())
}
