//! Real controllers as child processes.

use crate::agents::{AGENT_LEASE, REPORT_INTERVAL};
use crate::stand_ins::Outside;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Tells the settings files of one test process apart.
static FILES: AtomicU32 = AtomicU32::new(0);

/// A team and the CPUs that it may use.
pub type TeamLimit = (&'static str, f64);

/// What controllers are started with.
pub struct Deployment {
    pub controllers: usize,
    pub sockets: u64,
    pub teams: Vec<TeamLimit>,
}

/// A controller, which is ended with this.
pub struct Controller {
    process: Child,
    settings: PathBuf,
    pub name: String,
    /// Where users and agents come.
    pub public_address: SocketAddr,
    /// Where peers and administrators come.
    pub peers: SocketAddr,
}

/// Addresses that are free at the moment.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listen = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(listen).collect();
    let addr = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(addr).collect()
}

/// Starts the controllers of a deployment.
pub fn start_all(deployment: &Deployment, outside: &Outside) -> Vec<Controller> {
    let public_addresses = free_addresses(deployment.controllers);
    let peers = free_addresses(deployment.controllers);
    (0..deployment.controllers)
        .map(|n| {
            let text = settings(deployment, outside, n, &public_addresses, &peers);
            Controller::start(format!("n{n}"), &text, public_addresses[n], peers[n])
        })
        .collect()
}

fn settings(
    deployment: &Deployment,
    outside: &Outside,
    me: usize,
    public_addresses: &[SocketAddr],
    peers: &[SocketAddr],
) -> String {
    let zone = |n: usize| ["a", "b"][n % 2];
    let (public_address, peer) = (public_addresses[me], peers[me]);
    let mut text = format!(
        "node = \"n{me}\"\ndomain = \"{}\"\nfront = \"{public_address}\"\npeer_bind = \"{peer}\"\n",
        zone(me)
    );
    for (n, addr) in peers.iter().enumerate().filter(|(n, _)| *n != me) {
        text += &format!(
            "[[members]]\nnode = \"n{n}\"\ndomain = \"{}\"\nendpoint = \"{addr}\"\n",
            zone(n)
        );
    }
    text += &format!(
        "[outside]\ncloud = \"{}\"\nstate = \"{}\"\n[params]\nnodes = {}\nzones = [\"a\", \"b\"]\n",
        outside.cloud,
        outside.state[me],
        peers.len()
    );
    for (team, cpus) in &deployment.teams {
        text += &format!("[[params.teams]]\nname = \"{team}\"\ncpus = 2.0\ncpus_max = {cpus:.1}\n");
    }
    text += &format!(
        "[params.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 10.0\ngang_peer_s = 2.0\n\
        cancel_s = 20.0\n[params.state]\nrps = 600.0\nwrite_rps = 200.0\nvalue_kb = 32.0\ntxn_ops = 20\n\
        [params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[params.machine_limits]\nfd_limit = {}\n",
        REPORT_INTERVAL.as_secs_f64(),
        AGENT_LEASE.as_secs_f64(),
        deployment.sockets
    );
    text
}

impl Controller {
    fn start(name: String, text: &str, public_address: SocketAddr, peers: SocketAddr) -> Self {
        let file = format!(
            "rudderreel-{}-{}.toml",
            std::process::id(),
            FILES.fetch_add(1, Ordering::Relaxed)
        );
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the settings are written");
        let process = spawn(&settings);
        Self {
            process,
            settings,
            name,
            public_address,
            peers,
        }
    }

    /// Ends the process without a signal that it could handle, and starts it again.
    pub fn restart(&mut self) {
        self.end();
        self.process = spawn(&self.settings);
    }

    fn end(&mut self) {
        self.process.kill().expect("it is ended");
        self.process.wait().expect("it has ended");
    }

    /// Has it stand still; its clocks go on.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Has it go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.process.id().to_string()])
            .status()
            .expect("a signal is sent");
        assert!(status.success());
    }

    /// The process's id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Bytes of memory that the process holds.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib * 1024)
    }
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_rudderreel"))
        .arg("--config")
        .arg(settings)
        .env("LOG_LEVEL", "error")
        .stdin(Stdio::null())
        .spawn()
        .expect("it starts")
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
