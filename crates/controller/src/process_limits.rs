//! Limits of this process, derived from what the platform and the operating system allow.
//!
//! No constant here limits the size of the fleet: the number of connections follows from the number of sockets, and the
//! sizes of queues and thread pools follow from those. A request above a limit is refused at once, with a status that
//! says when to retry.

use rudderreel_core::{ConnectionLimits, FleetLimits};
use rudderreel_wire::peer::MAX_MESSAGE_BYTES;
use rudderreel_wire::settings::{PlatformLimits, Settings};

/// Number of sockets that is assumed if neither the platform nor the system sets a limit, and the maximum up to which
/// the system's own limit is used.
const DEFAULT_SOCKET_LIMIT: usize = 65_536;
/// Minimum capacity of the core's queue of status reports; peers send status reports in batches.
const MIN_QUEUED_REPORTS: usize = 1_024;
/// Minimum capacity of each queue of calls to agents.
const MIN_QUEUED_CALLS: usize = 256;
/// Minimum numbers of threads for commands to agents, and for probes, which request a status report. Probes wait for
/// agents that do not answer, and in a large fleet hundreds of agents may be silent at once.
const MIN_COMMAND_THREADS: usize = 16;
const MIN_PROBE_THREADS: usize = 8;
/// Number of sockets for which there is one thread of each kind.
const SOCKETS_PER_COMMAND_THREAD: usize = 100;
const SOCKETS_PER_PROBE_THREAD: usize = 60;
/// Maximum number of threads of each kind. The platform allows a process about two thousand threads in all.
const MAX_THREADS_PER_POOL: usize = 256;

/// Fraction of the process's memory limit that incompletely received requests may use at each of its two servers, and
/// the number of bytes that they may use if the settings have no memory limit.
const BUFFERED_MEMORY_FRACTION: f64 = 1.0 / 16.0;
const DEFAULT_BUFFERED_BYTES: usize = 16 << 20;
/// Memory limit below which an error is logged. With less memory, a node with a few hundred machines can hardly serve.
const LOW_MEMORY_MB: f64 = 24.0;
/// Share of a core below which an error is logged. With a smaller share, a node can hardly answer its agents.
const LOW_CORE_SHARE: f64 = 0.01;

/// Limits of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum numbers of connections that the node accepts.
    pub connections: ConnectionLimits,
    /// Capacity of the core's queue of status reports: each agent has one in flight.
    pub queued_reports: usize,
    /// Capacity of each queue of calls to agents.
    pub queued_calls: usize,
    /// Number of threads for commands to agents.
    pub command_threads: usize,
    /// Number of threads for probes, which request a status report of an agent.
    pub probe_threads: usize,
    /// Maximum total size of incompletely received requests at each server, in bytes.
    pub buffered_bytes: usize,
}

impl ProcessLimits {
    /// Determines the limits, and logs for how many agents there are connections. If the platform sets no limit of
    /// sockets, that of the system is stored in the settings.
    pub fn determine(settings: &mut Settings) -> Self {
        let sockets = complete_socket_limit(settings);
        if let Some(limits) = FleetLimits::of(settings) {
            log::info!("connection limits sockets={sockets} {limits}");
        }
        let platform = settings.params.limits.as_ref();
        if let Some(platform) = platform {
            warn_of_low_limits(platform);
        }
        Self::of(sockets, platform.and_then(|platform| platform.memory_mb))
    }

    /// Derives the limits from the number of sockets that the process may open, and from its memory limit if there is
    /// one.
    pub fn of(sockets: usize, memory_mb: Option<f64>) -> Self {
        let connections = ConnectionLimits::of_sockets(sockets);
        let threads = |per: usize, min: usize| (sockets / per).clamp(min, MAX_THREADS_PER_POOL);
        Self {
            connections,
            queued_reports: connections.agents.max(MIN_QUEUED_REPORTS),
            queued_calls: connections.peers.max(MIN_QUEUED_CALLS),
            command_threads: threads(SOCKETS_PER_COMMAND_THREAD, MIN_COMMAND_THREADS),
            probe_threads: threads(SOCKETS_PER_PROBE_THREAD, MIN_PROBE_THREADS),
            buffered_bytes: memory_mb.map_or(DEFAULT_BUFFERED_BYTES, buffered_bytes_of),
        }
    }
}

fn buffered_bytes_of(memory_mb: f64) -> usize {
    ((memory_mb * 1e6 * BUFFERED_MEMORY_FRACTION) as usize).max(MAX_MESSAGE_BYTES)
}

/// Logs limits of the platform that are too low. The process serves nevertheless, as well as it can.
fn warn_of_low_limits(platform: &PlatformLimits) {
    if let Some(share) = platform.cpu_share.filter(|share| *share < LOW_CORE_SHARE) {
        log::error!("core share too low to answer a fleet's agents in time core_share={share}");
    }
    if let Some(memory) = platform.memory_mb.filter(|memory| *memory < LOW_MEMORY_MB) {
        log::error!(
            "memory limit too low, the system will probably kill the process memory_mb={memory}"
        );
    }
}

/// Returns the number of sockets that the process may open. If the platform sets no limit, that of the system is stored
/// in the settings.
fn complete_socket_limit(settings: &mut Settings) -> usize {
    let configured = (settings.params.limits.as_ref()).map(|limits| limits.fd_limit as usize);
    if let Some(sockets) = configured.filter(|sockets| *sockets > 0) {
        raise_system_socket_limit(sockets);
        return sockets;
    }
    let sockets = system_socket_limit().unwrap_or(DEFAULT_SOCKET_LIMIT);
    let limits = settings.params.limits.get_or_insert(PlatformLimits {
        cpu_share: None,
        memory_mb: None,
        fd_limit: 0,
    });
    limits.fd_limit = u32::try_from(sockets).unwrap_or(u32::MAX);
    sockets
}

/// Raises the system's limit of sockets for this process as far as the system allows, to at most
/// [`DEFAULT_SOCKET_LIMIT`], and returns it; returns `None` if it cannot be read.
fn system_socket_limit() -> Option<usize> {
    let raised = rlimit::increase_nofile_limit(DEFAULT_SOCKET_LIMIT as u64);
    let limit =
        raised.or_else(|_| rlimit::getrlimit(rlimit::Resource::NOFILE).map(|(soft, _)| soft));
    let limit = usize::try_from(limit.ok()?).unwrap_or(DEFAULT_SOCKET_LIMIT);
    Some(limit.min(DEFAULT_SOCKET_LIMIT))
}

/// Raises the system's limit of sockets to the platform's limit, which may be higher than the limit that the process
/// starts with. If the system's limit cannot be read, the platform's is assumed to hold.
fn raise_system_socket_limit(sockets: usize) {
    let Ok((soft, _)) = rlimit::getrlimit(rlimit::Resource::NOFILE) else {
        return;
    };
    if soft >= sockets as u64 {
        return;
    }
    let raised = rlimit::increase_nofile_limit(sockets as u64).unwrap_or(soft);
    if raised < sockets as u64 {
        log::warn!("socket limit of the system below that of the settings settings={sockets} system={raised}");
    }
}

#[cfg(test)]
mod tests;
