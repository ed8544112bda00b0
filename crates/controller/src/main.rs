//! The program: settings, sockets, threads and timers round the core.
#![forbid(unsafe_code)]

mod admin;
mod clients;
mod clock;
mod counters;
mod front;
mod http;
mod inputs;
mod logs;
mod outgoing;
mod process_limits;
mod process_usage;
mod requests;
mod shell;

use clap::{Parser, Subcommand};
use rudderreel_wire::settings::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// rudderreel: a cluster scheduler with hierarchical team shares.
#[derive(Parser)]
#[command(name = "rudderreel", version, about)]
struct Args {
    /// Settings file; runs a controller node with it.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Asks or changes something through the administration API of a running node.
    Admin(admin::AdminArgs),
    /// Checks a settings file and says what is wrong with it.
    Check {
        /// Settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

fn read(path: &Path) -> Result<Settings, String> {
    let show = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{show}: {e}"))?;
    Settings::parse(&text).map_err(|e| format!("{show}: {e}"))
}

fn run() -> Result<(), String> {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Verb::Check { config }), _) => {
            let settings = read(&config)?;
            println!(
                "{}: node {} of {}",
                config.display(),
                settings.node,
                settings.params.nodes
            );
            Ok(())
        }
        (Some(Verb::Admin(args)), _) => admin::run(&args),
        (None, Some(config)) => {
            logs::start();
            shell::run(read(&config)?)
        }
        (None, None) => Err("--config FILE is required (see --help)".into()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("rudderreel: {text}");
            ExitCode::from(2)
        }
    }
}
