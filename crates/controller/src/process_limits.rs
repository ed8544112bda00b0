//! How much this process takes on, by what the platform and the system allow it.
//!
//! No number here bounds the fleet: connections follow from sockets, and queues and threads from
//! connections. What does not fit is refused at once, with a status that says when to come back.

use rudderreel_core::{ConnectionLimits, FleetLimits};
use rudderreel_wire::settings::{ProcessLimits as Allowed, Settings};

/// Sockets that are reckoned with if neither the platform nor the system names a limit.
const UNLIMITED_SOCKETS: usize = 65_536;
/// Reports that may wait for the core at least: of peers they come in batches.
const LEAST_REPORTS: usize = 1_024;
/// Calls that may wait for a thread at least.
const LEAST_CALLS: usize = 256;
/// Threads for commands to workers, and for calls that ask whether they are there, at least. The latter
/// wait for the ones that are not, and of a large fleet hundreds may be silent at once.
const LEAST_COMMAND_THREADS: usize = 16;
const LEAST_PROBE_THREADS: usize = 8;
/// One more thread of each kind for so many sockets.
const SOCKETS_PER_COMMAND_THREAD: usize = 100;
const SOCKETS_PER_PROBE_THREAD: usize = 60;
/// Threads of a kind at most: the platform allows a process some two thousand in all.
const MOST_THREADS: usize = 256;

/// What a node takes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Connections that it takes.
    pub connections: ConnectionLimits,
    /// Reports that may wait for the core: each worker has one under way.
    pub reports: usize,
    /// Calls to workers that may wait for a thread.
    pub calls: usize,
    /// Threads for commands to workers.
    pub command_threads: usize,
    /// Threads for asking workers whether they are there.
    pub probe_threads: usize,
}

impl ProcessLimits {
    /// By the sockets that the process may have.
    pub fn of_sockets(sockets: usize) -> Self {
        let connections = ConnectionLimits::of_sockets(sockets);
        let threads = |per: usize, least: usize| (sockets / per).clamp(least, MOST_THREADS);
        Self {
            connections,
            reports: connections.workers.max(LEAST_REPORTS),
            calls: connections.peers.max(LEAST_CALLS),
            command_threads: threads(SOCKETS_PER_COMMAND_THREAD, LEAST_COMMAND_THREADS),
            probe_threads: threads(SOCKETS_PER_PROBE_THREAD, LEAST_PROBE_THREADS),
        }
    }
}

/// Completes the settings with the system's limit of sockets if the platform names none, and says for
/// how many workers there are connections. Returns what the process takes on.
pub fn take_stock(settings: &mut Settings) -> ProcessLimits {
    let named = settings.params.limits.as_ref().map(|l| l.fd_limit as usize);
    let sockets = match named.filter(|sockets| *sockets > 0) {
        Some(sockets) => {
            raise_system_limit(sockets);
            sockets
        }
        None => {
            let sockets = system_limit().unwrap_or(UNLIMITED_SOCKETS);
            let limits = settings.params.limits.get_or_insert(Allowed {
                cpu_share: None,
                memory_mb: None,
                fd_limit: 0,
            });
            limits.fd_limit = u32::try_from(sockets).unwrap_or(u32::MAX);
            sockets
        }
    };
    if let Some(limits) = FleetLimits::of(settings) {
        log::info!("{sockets} sockets: {limits}");
    }
    ProcessLimits::of_sockets(sockets)
}

/// The system's own limit of sockets, raised as far as it allows; none if it can't be read.
fn system_limit() -> Option<usize> {
    let raised = rlimit::increase_nofile_limit(UNLIMITED_SOCKETS as u64);
    let limit =
        raised.or_else(|_| rlimit::getrlimit(rlimit::Resource::NOFILE).map(|(soft, _)| soft));
    let limit = usize::try_from(limit.ok()?).unwrap_or(UNLIMITED_SOCKETS);
    Some(limit.min(UNLIMITED_SOCKETS))
}

/// The platform may allow more sockets than the process begins with. Where the system does not say how
/// many those are, the platform is believed.
fn raise_system_limit(sockets: usize) {
    let Ok((soft, _)) = rlimit::getrlimit(rlimit::Resource::NOFILE) else {
        return;
    };
    if soft >= sockets as u64 {
        return;
    }
    let raised = rlimit::increase_nofile_limit(sockets as u64).unwrap_or(soft);
    if raised < sockets as u64 {
        log::warn!("the settings allow {sockets} sockets, and the system {raised}");
    }
}

#[cfg(test)]
mod tests;
