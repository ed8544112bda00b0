//! The threads of a node. [`ThreadRole`] lists all of them; the architecture page has the same table.

use crate::input_queues::InputSender;
use crate::startup_error::StartupError;
use crossbeam_channel::{bounded, Sender};
use rudderreel_core::Input;
use std::thread;

/// Stack of a thread: nodes may have a few dozen MB in all.
const STACK_BYTES: usize = 128 * 1024;

/// What a thread is for. Besides these there is the main thread, which runs the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThreadRole {
    /// The public server.
    PublicServer,
    /// The server for peers and administrators.
    PeerServer,
    /// Calls to the store.
    StoreCalls,
    /// Calls about this node's lease at the store, which other calls must not hold up.
    LeaseCalls,
    /// The watch of the store.
    StoreWatch,
    /// Calls to the cloud.
    CloudCalls,
    /// Commands to agents.
    AgentCommands,
    /// Calls that ask agents for a status report.
    AgentProbes,
    /// Heartbeats to one peer.
    PeerHeartbeats,
    /// Users' and administrators' requests that are forwarded to one peer.
    PeerForwards,
    /// Status reports that are forwarded to one peer.
    PeerReports,
    /// Cancellations that are replicated to one peer.
    PeerReplications,
}

impl ThreadRole {
    /// All of them, for the test that compares them with the architecture page.
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

    /// The thread's name, as the system shows it; threads of a pool have a number behind it.
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

/// Starts a thread.
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

/// How many threads take calls of a kind, and how many calls may wait for one.
#[derive(Clone, Copy, Debug)]
pub struct PoolSize {
    /// Threads.
    pub threads: usize,
    /// Calls that may wait. One more is answered as not made.
    pub queue: usize,
}

/// Starts threads that make the calls that are put in a queue, and returns the queue. What a call brings goes
/// to the core, if it brings anything.
pub fn spawn_pool<Call: Send + 'static>(
    role: ThreadRole,
    size: PoolSize,
    core: &InputSender,
    make: impl Fn(Call) -> Option<Input> + Clone + Send + 'static,
) -> Result<Sender<Call>, StartupError> {
    let (sender, queue) = bounded::<Call>(size.queue);
    for number in 0..size.threads {
        let (queue, core, make) = (queue.clone(), core.clone(), make.clone());
        spawn_named(format!("{}-{number}", role.name()), move || {
            for input in queue.into_iter().filter_map(make) {
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
