//! Why a node could not start. Each text is one line that names what is wrong.

use rudderreel_wire::settings::BadSettings;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The settings file could not be read.
    #[error("{}: {source}", path.display())]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The settings file is wrong.
    #[error("{}: {source}", path.display())]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: BadSettings,
    },
    /// A server could not listen.
    #[error("{addr}: {source}")]
    Listen {
        /// Where.
        addr: SocketAddrV4,
        /// What went wrong.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("thread {name}: {source}")]
    Thread {
        /// The thread's name.
        name: String,
        /// What went wrong.
        source: io::Error,
    },
    /// The command line names nothing to do.
    #[error("--config FILE is required (see --help)")]
    NothingToDo,
}
