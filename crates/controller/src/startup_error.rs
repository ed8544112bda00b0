//! Errors that keep a node from starting. Each message is one line that names the cause.

use rudderreel_wire::settings::BadSettings;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// An error that keeps a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The settings file could not be read.
    #[error("{}: {source}", path.display())]
    ReadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[error("{}: {source}", path.display())]
    InvalidSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Invalid setting.
        source: BadSettings,
    },
    /// A server could not listen on its address.
    #[error("{addr}: {source}")]
    Listen {
        /// Address of the server.
        addr: SocketAddrV4,
        /// Error of the socket.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start thread {name}: {source}")]
    Thread {
        /// Name of the thread.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The command line has neither a settings file nor a subcommand.
    #[error("--config FILE is required (see --help)")]
    MissingConfig,
}
