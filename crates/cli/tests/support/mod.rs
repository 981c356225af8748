//! Helpers that run the `amaranthyoke` program and create its input files.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::{Command, Output},
};

pub(crate) fn run_tool(arguments: &[&str]) -> io::Result<Output> {
    Command::new(env!("CARGO_BIN_EXE_amaranthyoke"))
        .args(arguments)
        .output()
}

pub(crate) fn write_file(name: &str, text: &str) -> io::Result<PathBuf> {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text)?;
    Ok(path)
}

pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
