//! The threads of a node. [`ThreadRole`] lists all of them, as does the table in `docs/architecture.md`.

use crate::input_queues::InputSender;
use crate::startup_error::StartupError;
use crossbeam_channel::{bounded, Sender};
use rudderreel_core::Input;
use std::thread;

/// Stack size of a thread. It is small because a node may have only a few dozen MB of memory in all.
const STACK_BYTES: usize = 128 * 1024;

/// Purpose of a thread. The main thread, which runs the core, is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThreadRole {
    /// Serves users, agents and health checks.
    PublicServer,
    /// Serves peers and administrators.
    PeerServer,
    /// Makes calls to the store.
    StoreCalls,
    /// Makes calls to the store about this node's lease, which other calls must not delay.
    LeaseCalls,
    /// Watches the store for changes.
    StoreWatch,
    /// Makes calls to the cloud.
    CloudCalls,
    /// Sends commands to agents.
    AgentCommands,
    /// Requests status reports of agents.
    AgentProbes,
    /// Sends heartbeats to one peer.
    PeerHeartbeats,
    /// Forwards users' and administrators' requests to one peer.
    PeerForwards,
    /// Forwards status reports to one peer.
    PeerReports,
    /// Replicates cancellations to one peer.
    PeerReplications,
}

impl ThreadRole {
    /// All roles, for the test that compares them with `docs/architecture.md`.
    #[cfg(test)]
    pub const ALL: [Self; 12] = [
        Self::PublicServer,
        Self::PeerServer,
        Self::StoreCalls,
        Self::LeaseCalls,
        Self::StoreWatch,
        Self::CloudCalls,
        Self::AgentCommands,
        Self::AgentProbes,
        Self::PeerHeartbeats,
        Self::PeerForwards,
        Self::PeerReports,
        Self::PeerReplications,
    ];

    /// Returns the thread's name, as the system shows it. Threads of a pool append their number to it.
    pub fn name(self) -> &'static str {
        match self {
            Self::PublicServer => "public",
            Self::PeerServer => "peers",
            Self::StoreCalls => "store",
            Self::LeaseCalls => "lease",
            Self::StoreWatch => "watch",
            Self::CloudCalls => "cloud",
            Self::AgentCommands => "command",
            Self::AgentProbes => "probe",
            Self::PeerHeartbeats => "peer-beat",
            Self::PeerForwards => "peer-fwd",
            Self::PeerReports => "peer-report",
            Self::PeerReplications => "peer-cancel",
        }
    }
}

/// Starts a thread that is not part of a pool.
pub fn spawn(role: ThreadRole, work: impl FnOnce() + Send + 'static) -> Result<(), StartupError> {
    spawn_named(role.name().into(), work)
}

fn spawn_named(name: String, work: impl FnOnce() + Send + 'static) -> Result<(), StartupError> {
    let builder = thread::Builder::new()
        .name(name.clone())
        .stack_size(STACK_BYTES);
    match builder.spawn(work) {
        Ok(_) => Ok(()),
        Err(source) => Err(StartupError::Thread { name, source }),
    }
}

/// Number of threads of a pool and capacity of its queue.
#[derive(Clone, Copy, Debug)]
pub struct PoolSize {
    /// Number of threads.
    pub threads: usize,
    /// Maximum number of calls that wait for a thread. A call above it is answered as not made.
    pub queue: usize,
}

/// Starts threads that make the calls in a queue, and returns the queue's sending end. If `execute` returns an input,
/// the input is queued for the core.
pub fn spawn_pool<Call: Send + 'static>(
    role: ThreadRole,
    size: PoolSize,
    core: &InputSender,
    execute: impl Fn(Call) -> Option<Input> + Clone + Send + 'static,
) -> Result<Sender<Call>, StartupError> {
    let (sender, queue) = bounded::<Call>(size.queue);
    for number in 0..size.threads {
        let (queue, core, execute) = (queue.clone(), core.clone(), execute.clone());
        spawn_named(format!("{}-{number}", role.name()), move || {
            for input in queue.into_iter().filter_map(execute) {
                if core.send(input).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(sender)
}

#[cfg(test)]
mod tests;
