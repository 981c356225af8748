//! The daemon: parses its command line and runs a node.

use std::{
    error::Error,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use node::{lifecycle, logs, settings};
use tokio::runtime::Builder;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// A node of the amaranthyoke load balancer, run beside each backend server
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and stop
    check: bool,

    /// File with the settings, in JSON
    #[bpaf(positional("SETTINGS"))]
    path: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match settings::load(&arguments.path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_SETTINGS),
    };
    if arguments.check {
        println!("settings of {} are in order", settings.host);
        return ExitCode::SUCCESS;
    }
    let _logs = logs::init(settings.log);
    match serve(settings, &arguments.path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, 1),
    }
}

fn serve(settings: settings::Settings, path: &Path) -> Result<(), lifecycle::RunError> {
    let mut builder = match settings.threads {
        Some(1) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if let Some(threads) = settings.threads.filter(|threads| *threads > 1) {
        builder.worker_threads(threads);
    }
    let runtime = builder
        .enable_all()
        .build()
        .map_err(lifecycle::RunError::Runtime)?;
    runtime.block_on(lifecycle::run(settings, path))
}

/// Prints an error and its causes, outermost first.
fn fail(error: &dyn Error, code: u8) -> ExitCode {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
    ExitCode::from(code)
}
