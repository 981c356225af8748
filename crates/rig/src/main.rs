//! The rig's command line: stand-ins as processes, and the demonstration.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use rig::{platform::Platform, server};

mod demo;

/// Stand-ins and load for amaranthyoke. Not part of the product
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run a stand-in for the platform
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Run a stand-in for a backend server
    #[bpaf(command)]
    Server {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
        /// How it behaves, as JSON
        #[bpaf(long, argument("JSON"), fallback("{}".to_owned()))]
        conduct: String,
    },
    /// Start a whole deployment, send load for some seconds and print what was measured
    #[bpaf(command)]
    Demo {
        /// Seconds of load
        #[bpaf(long, argument("SECONDS"), fallback(5))]
        seconds: u64,
        /// Requests per second
        #[bpaf(long, argument("RATE"), fallback(400.0))]
        rate: f64,
        /// Policy that chooses backend servers
        #[bpaf(long, argument("POLICY"), fallback("two-choices".to_owned()))]
        policy: String,
        /// Release note that describes the deployment
        #[bpaf(positional("NOTE"), fallback("examples/secretariat/note.json".into()))]
        note: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
        Command::Platform { listen } => Platform::default().serve(listen).await,
        Command::Server { listen, conduct } => match serde_json::from_str(&conduct) {
            Ok(conduct) => server::Server::new(conduct).serve(listen).await,
            Err(error) => Err(error.into()),
        },
        Command::Demo {
            seconds,
            rate,
            policy,
            note,
        } => {
            demo::run(&demo::Options {
                seconds,
                rate,
                policy,
                note,
            })
            .await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
