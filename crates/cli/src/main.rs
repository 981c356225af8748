//! The operators' tool: parses its command line and calls one operation.

use std::{error::Error, net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use cli::{AdminClient, ToolError, explain, nodes, notes};
use serde::Serialize;
use types::CallId;

/// Exit code if the tool could not look.
const EXIT_TOOL: u8 = 2;

/// Checks release notes and looks at the nodes of amaranthyoke. It changes nothing
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Print JSON for machines
    json: bool,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Release notes
    #[bpaf(command)]
    Note(#[bpaf(external(note_command))] NoteCommand),
    /// Show which revision each node has in force, and who lags
    #[bpaf(command)]
    Status {
        /// Addresses of admin APIs
        #[bpaf(positional("ADMIN"), some("name at least one admin address"))]
        admins: Vec<SocketAddr>,
    },
    /// Tell from the nodes' logs what became of a request. Exit code 2 if no line names it
    #[bpaf(command)]
    Explain {
        /// The request's name, as the caller gave it
        #[bpaf(positional("ID"))]
        call: CallId,
        /// Logs of the nodes that it may have passed; standard input without them
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Print the whole state of a process as JSON
    #[bpaf(command)]
    Dump {
        /// Address of its admin API
        #[bpaf(positional("ADMIN"))]
        admin: SocketAddr,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum NoteCommand {
    /// List all faults of notes, folded in the order given
    #[bpaf(command)]
    Check {
        /// Admin address of a node whose notes in force come before; none without it
        #[bpaf(argument("ADMIN"), optional)]
        admin: Option<SocketAddr>,
        /// Files with one note each
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show what is in force at a node
    #[bpaf(command)]
    Show {
        /// Address of its admin API
        #[bpaf(positional("ADMIN"))]
        admin: SocketAddr,
    },
}

fn main() -> ExitCode {
    match run(arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

/// Runs a command and tells whether all is well.
#[tokio::main(flavor = "current_thread")]
async fn run(arguments: Arguments) -> Result<bool, ToolError> {
    let json = arguments.json;
    match arguments.command {
        Command::Note(NoteCommand::Check { admin, files }) => {
            let verdicts = notes::check(&files, admin).await?;
            print(json, &verdicts, || notes::render_results(&verdicts));
            Ok(verdicts.iter().all(|v| v.faults.is_empty()))
        }
        Command::Note(NoteCommand::Show { admin }) => {
            let view = AdminClient::new().view(admin).await?;
            print(json, &view, || notes::render_state(&view));
            Ok(true)
        }
        Command::Status { admins } => {
            let list = nodes::status(&admins).await;
            print(json, &list, || nodes::render(&list));
            Ok(list.iter().all(|s| s.current))
        }
        Command::Explain { call, files } => {
            let explanation = explain::explain(&call, &files)?;
            print(json, &explanation, || explain::render(&explanation));
            Ok(true)
        }
        Command::Dump { admin } => {
            let state = AdminClient::new().state(admin).await?;
            print(true, &state, String::new);
            Ok(true)
        }
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

/// Prints an error and its causes, outermost first.
fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
    ExitCode::from(EXIT_TOOL)
}
