//! Starts real controllers as child processes, and pauses, resumes and restarts them.

use crate::agents::{AGENT_LEASE, REPORT_INTERVAL};
use crate::stand_ins::ExternalServices;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of the next settings file; keeps the names of the files of one test process distinct.
static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A team and the maximum number of CPUs that its tasks may use.
pub type TeamLimit = (&'static str, f64);

/// Settings that the controllers of a test are started with.
pub struct Deployment {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of sockets that each controller may open.
    pub sockets: u64,
    pub teams: Vec<TeamLimit>,
}

/// A controller process, which is killed when this is dropped.
pub struct Controller {
    process: Child,
    settings: PathBuf,
    pub name: String,
    /// Address of the public API listener, for users and agents.
    pub public_address: SocketAddr,
    /// Address of the listener for peers and administrators.
    pub peer_address: SocketAddr,
}

/// Returns loopback addresses that are free at the time of the call.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listen = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(listen).collect();
    let addr = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(addr).collect()
}

/// Starts the controllers of a deployment, named n0, n1 and so on.
pub fn start_all(deployment: &Deployment, services: &ExternalServices) -> Vec<Controller> {
    let public_addresses = free_addresses(deployment.controllers);
    let peer_addresses = free_addresses(deployment.controllers);
    (0..deployment.controllers)
        .map(|n| {
            let text = settings(deployment, services, n, &public_addresses, &peer_addresses);
            Controller::start(
                format!("n{n}"),
                &text,
                public_addresses[n],
                peer_addresses[n],
            )
        })
        .collect()
}

/// Returns the settings file of the controller with the given index.
fn settings(
    deployment: &Deployment,
    services: &ExternalServices,
    index: usize,
    public_addresses: &[SocketAddr],
    peer_addresses: &[SocketAddr],
) -> String {
    let zone = |n: usize| ["a", "b"][n % 2];
    let (public_address, peer) = (public_addresses[index], peer_addresses[index]);
    let mut text = format!(
        "node = \"n{index}\"\ndomain = \"{}\"\nfront = \"{public_address}\"\npeer_bind = \"{peer}\"\n",
        zone(index)
    );
    for (n, addr) in peer_addresses
        .iter()
        .enumerate()
        .filter(|(n, _)| *n != index)
    {
        text += &format!(
            "[[members]]\nnode = \"n{n}\"\ndomain = \"{}\"\nendpoint = \"{addr}\"\n",
            zone(n)
        );
    }
    text += &format!(
        "[outside]\ncloud = \"{}\"\nstate = \"{}\"\n[params]\nnodes = {}\nzones = [\"a\", \"b\"]\n",
        services.cloud_address,
        services.store_addresses[index],
        peer_addresses.len()
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
    fn start(
        name: String,
        text: &str,
        public_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        let file = format!(
            "rudderreel-{}-{}.toml",
            std::process::id(),
            NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed)
        );
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the settings are written");
        let process = spawn(&settings);
        Self {
            process,
            settings,
            name,
            public_address,
            peer_address,
        }
    }

    /// Kills the process with SIGKILL, which it can't handle, and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill_process();
        self.process = spawn(&self.settings);
    }

    fn kill_process(&mut self) {
        self.process.kill().expect("the controller is killed");
        self.process.wait().expect("the controller has exited");
    }

    /// Pauses the process with SIGSTOP; the clocks that it reads keep running.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.process.id().to_string()])
            .status()
            .expect("a signal is sent");
        assert!(status.success());
    }

    /// Returns the id of the process.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_memory(&self) -> Option<u64> {
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
        .expect("the controller starts")
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
