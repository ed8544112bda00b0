//! The controller program: settings, sockets, threads and timers around the core.
//!
//! `docs/architecture.md` lists the threads and describes the path of a request from socket to effect.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

mod admin;
mod clients;
mod clock;
mod http;
mod input_queues;
mod logging;
mod outgoing;
mod process_limits;
mod process_usage;
mod refusal_counters;
mod runtime;
mod servers;
mod startup_error;
mod threads;

use admin::AdminError;
use clap::{Parser, Subcommand};
use rudderreel_wire::settings::Settings;
use startup_error::StartupError;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for every failure.
const FAILURE: u8 = 2;

/// rudderreel: a cluster scheduler with hierarchical team shares.
#[derive(Parser)]
#[command(name = "rudderreel", version, about)]
struct Args {
    /// Run a controller node with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Query or change a running node through its administration API.
    Admin(admin::AdminArgs),
    /// Check a settings file and report what is wrong with it.
    Check {
        /// Settings file to check.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error(transparent)]
    Admin(#[from] AdminError),
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("rudderreel: {failure}");
            ExitCode::from(FAILURE)
        }
    }
}

fn run(args: Args) -> Result<(), Failure> {
    match (args.command, args.config) {
        (Some(Command::Check { config }), _) => check(&config)?,
        (Some(Command::Admin(args)), _) => admin::run(&args)?,
        (None, Some(config)) => {
            logging::start();
            runtime::run(read_settings(&config)?)?;
        }
        (None, None) => return Err(StartupError::MissingConfig.into()),
    }
    Ok(())
}

fn check(path: &Path) -> Result<(), StartupError> {
    let settings = read_settings(path)?;
    let (node, nodes) = (settings.node, settings.params.nodes);
    println!("{}: node {node} of {nodes}", path.display());
    Ok(())
}

fn read_settings(path: &Path) -> Result<Settings, StartupError> {
    let text = std::fs::read_to_string(path).map_err(|source| StartupError::ReadSettings {
        path: path.into(),
        source,
    })?;
    Settings::parse(&text).map_err(|source| StartupError::InvalidSettings {
        path: path.into(),
        source,
    })
}
