//! The operators' tool: parses the command line and runs one command.

use std::{
    error::Error,
    io::{self, Read},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
};

use bpaf::Bpaf;
use cli::{AdminClient, ToolError, config, config::Baseline, explain, nodes, notes};
use note::KeyHash;
use serde::Serialize;
use types::{CallId, Fingerprint};

/// Exit code if a command could not be run.
const EXIT_ERROR: u8 = 2;

/// Check release notes and inspect the nodes of amaranthyoke. All commands but `clear` are read-only
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Print JSON instead of text
    json: bool,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Release notes
    #[bpaf(command)]
    Note(#[bpaf(external(note_command))] NoteCommand),
    /// Check a configuration before it is sent: faults, entries that can never match, limits that contradict each
    /// other, and what differs from the one in force. Exit code 1 if nodes refuse it or something is doubtful
    #[bpaf(command)]
    Check {
        /// File with the configuration in force
        #[bpaf(argument("FILE"), optional)]
        against: Option<PathBuf>,
        /// Admin address of a node that has the configuration in force, and the servers
        #[bpaf(argument("ADMIN"), optional)]
        live: Option<SocketAddr>,
        /// File with the configuration, as the platform stores it
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the revision that each node has in force, and which nodes lag behind
    #[bpaf(command)]
    Status {
        /// Addresses of the nodes' admin APIs
        #[bpaf(positional("ADMIN"), some("name at least one admin address"))]
        admins: Vec<SocketAddr>,
    },
    /// Explain the outcome of a call from the nodes' logs, or count who was refused where and why. Exit code 2 if no
    /// log line belongs to the call
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Print the hash of a team's key, which is read from standard input so that it reaches no command line. A line
    /// break at its end isn't part of it
    #[bpaf(command)]
    Key,
    /// Print the state dump of a node as JSON
    #[bpaf(command)]
    Dump {
        /// Address of the node's admin API
        #[bpaf(positional("ADMIN"))]
        admin: SocketAddr,
    },
    /// Let a request run again that is held back or blocked since backend servers ended under it. Exit code 1
    /// if the node knows no such request
    #[bpaf(command)]
    Clear {
        /// Address of the admin API of any node
        #[bpaf(positional("ADMIN"))]
        admin: SocketAddr,
        /// Fingerprint of the request, as in logs and dumps
        #[bpaf(positional("REQUEST"))]
        request: Fingerprint,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum ExplainCommand {
    Sum {
        /// Count the calls in the logs by their ending, and the replies of gates by their outcome
        #[bpaf(long("sum"), req_flag(()))]
        sum: (),
        /// Logs of the nodes [default: standard input]
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    Call {
        /// Identifier of the call, as in the caller's request
        #[bpaf(positional("ID"))]
        call: CallId,
        /// Logs of the nodes that may have handled the call [default: standard input]
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum NoteCommand {
    /// List all faults of release notes, which are applied in the given order
    #[bpaf(command)]
    Check {
        /// Admin address of a node on whose view the notes are checked [default: an empty view]
        #[bpaf(argument("ADMIN"), optional)]
        admin: Option<SocketAddr>,
        /// Files with one release note each
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show the view that a node has in force
    #[bpaf(command)]
    Show {
        /// Address of the node's admin API
        #[bpaf(positional("ADMIN"))]
        admin: SocketAddr,
    },
}

fn main() -> ExitCode {
    match run(arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => report_error(&error),
    }
}

/// Runs a command and returns whether it found no problem.
#[tokio::main(flavor = "current_thread")]
async fn run(arguments: Arguments) -> Result<bool, ToolError> {
    let json = arguments.json;
    match arguments.command {
        Command::Note(NoteCommand::Check { admin, files }) => {
            let results = notes::check(&files, admin).await?;
            print(json, &results, || notes::render_results(&results));
            Ok(results.iter().all(|r| r.faults.is_empty()))
        }
        Command::Note(NoteCommand::Show { admin }) => {
            let view = AdminClient::new().view(admin).await?;
            print(json, &view, || notes::render_view(&view));
            Ok(true)
        }
        Command::Check {
            against,
            live,
            file,
        } => {
            let baseline = Baseline {
                file: against,
                admin: live,
            };
            let report = config::check(&file, &baseline).await?;
            print(json, &report, || config::render(&report));
            Ok(report.is_clean())
        }
        Command::Status { admins } => {
            let statuses = nodes::status(&admins).await;
            print(json, &statuses, || nodes::render(&statuses));
            Ok(statuses.iter().all(|s| s.current))
        }
        Command::Explain(ExplainCommand::Sum { sum: (), files }) => {
            let sum = explain::sum(&files)?;
            print(json, &sum, || explain::render_sum(&sum));
            Ok(true)
        }
        Command::Explain(ExplainCommand::Call { call, files }) => {
            let explanation = explain::explain(&call, &files)?;
            print(json, &explanation, || explain::render(&explanation));
            Ok(true)
        }
        Command::Key => {
            let hash = hash_key(&mut io::stdin()).map_err(|cause| ToolError::File {
                path: PathBuf::from("standard input"),
                cause,
            })?;
            print(json, &hash, || format!("{hash}\n"));
            Ok(true)
        }
        Command::Dump { admin } => {
            let state = AdminClient::new().state(admin).await?;
            print(true, &state, String::new);
            Ok(true)
        }
        Command::Clear { admin, request } => {
            let cleared = AdminClient::new().clear(admin, request).await?;
            print(json, &cleared, || match cleared {
                true => format!("{request} is clear\n"),
                false => format!("{request} is not known, or clear already\n"),
            });
            Ok(cleared)
        }
    }
}

/// Reads a key up to the end of the input.
fn hash_key(input: &mut impl Read) -> io::Result<KeyHash> {
    let mut key = Vec::new();
    input.read_to_end(&mut key)?;
    let line = key.strip_suffix(b"\n").unwrap_or(&key);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    match line.is_empty() {
        true => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "the key is empty",
        )),
        false => Ok(KeyHash::of(line)),
    }
}

fn print<T: Serialize>(json: bool, value: &T, render: impl FnOnce() -> String) {
    match json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        ),
        false => print!("{}", render()),
    }
}

/// Prints an error and its causes, outermost first, and returns the exit code.
fn report_error(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
    ExitCode::from(EXIT_ERROR)
}
