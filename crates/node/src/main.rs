//! The `amaranthyoked` daemon: parses the command line and runs a node.

use std::{error::Error, path::PathBuf, process::ExitCode, str::ParseBoolError};

use bpaf::Bpaf;
use node::{
    lifecycle::{self, Signals},
    logs,
    settings::{self, Settings, SettingsError},
    stop::{Grace, GraceError},
};
use tokio::runtime::Builder;

/// Exit code for unreadable or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// A node of the amaranthyoke load balancer, run beside each backend server
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and exit
    check: bool,

    /// Time that the platform gives the node to stop, as in 6s or 1500ms, in place of stop_ms; empty for none
    #[bpaf(long, argument::<String>("SPAN"), parse(parse_grace), fallback(None))]
    grace: Option<Grace>,

    /// Time for which the teams' keys may be served without a proof that they are current, as in 5s, in place of
    /// key_lease_ms; empty for none. Takes effect with --strict-keys=true
    #[bpaf(long, argument("SPAN"), fallback(String::new()))]
    key_lease: String,

    /// Whether keys need such a proof: true, or else false or empty
    #[bpaf(long, argument::<String>("BOOL"), parse(parse_bool), fallback(false))]
    strict_keys: bool,

    /// Settings file in JSON
    #[bpaf(positional("SETTINGS"))]
    path: PathBuf,
}

/// Parses a grace period. The platform fills in an empty text if it names none.
fn parse_grace(text: String) -> Result<Option<Grace>, GraceError> {
    match text.is_empty() {
        true => Ok(None),
        false => text.parse().map(Some),
    }
}

/// Parses a truth value. The platform fills in an empty text if it names none.
fn parse_bool(text: String) -> Result<bool, ParseBoolError> {
    match text.is_empty() {
        true => Ok(false),
        false => text.parse(),
    }
}

/// Loads the settings, with what the command line says in their place.
fn load(arguments: &Arguments) -> Result<Settings, SettingsError> {
    let settings = settings::load(&arguments.path)?;
    match arguments.strict_keys && !arguments.key_lease.is_empty() {
        true => settings.with_key_lease(&arguments.key_lease),
        false => Ok(settings),
    }
}

fn main() -> ExitCode {
    // A signal whose handler isn't installed yet would end the process.
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(error) => return report_error(&error, 1),
    };
    let arguments = arguments().run();
    let settings = match load(&arguments) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, EXIT_INVALID_SETTINGS),
    };
    if arguments.check {
        println!("settings of {} are in order", settings.host);
        return ExitCode::SUCCESS;
    }
    let _flush_guard = logs::init(settings.log);
    match run_node(settings, &arguments, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, 1),
    }
}

fn run_node(
    settings: Settings,
    arguments: &Arguments,
    signals: Signals,
) -> Result<(), lifecycle::RunError> {
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
    let Arguments { path, grace, .. } = arguments;
    runtime.block_on(lifecycle::run(settings, path, *grace, signals))
}

/// Prints an error and its chain of causes to standard error, and returns the exit code.
fn report_error(error: &dyn Error, code: u8) -> ExitCode {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
    ExitCode::from(code)
}
