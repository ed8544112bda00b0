//! A real controller as a child process.

use crate::stand_ins::Addresses;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Tells the settings files of one test process apart.
static FILES: AtomicU32 = AtomicU32::new(0);

/// A controller, which is ended with this.
pub struct Controller {
    process: Child,
    settings: PathBuf,
    /// Where users and workers come.
    pub front: SocketAddr,
    /// Where peers and administrators come.
    pub peers: SocketAddr,
}

/// An address that is free at the moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Controller {
    /// Starts one that is alone, with so many sockets.
    pub fn start(outside: &Addresses, sockets: u64) -> Self {
        let (front, peers) = (free_address(), free_address());
        let text = format!(
            "node = \"n0\"\ndomain = \"a\"\nfront = \"{front}\"\npeer_bind = \"{peers}\"\n\
            [outside]\ncloud = \"{}\"\nstate = \"{}\"\n[params]\nnodes = 1\nzones = [\"a\", \"b\"]\n\
            [[params.teams]]\nname = \"red\"\ncpus = 100.0\n\
            [params.workers]\nreport_s = 6.0\nlease_s = 31.0\ngang_wait_s = 10.0\ngang_peer_s = 2.0\n\
            cancel_s = 56.0\n[params.state]\nrps = 600.0\nwrite_rps = 60.0\nvalue_kb = 32.0\ntxn_ops = 20\n\
            [params.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n[params.machine_limits]\nfd_limit = {sockets}\n",
            outside.cloud, outside.state
        );
        let file = format!(
            "rudderreel-{}-{}.toml",
            std::process::id(),
            FILES.fetch_add(1, Ordering::Relaxed)
        );
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_rudderreel"))
            .arg("--config")
            .arg(&settings)
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .expect("it starts");
        Self {
            process,
            settings,
            front,
            peers,
        }
    }

    /// Bytes of memory that the process holds.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib * 1024)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
