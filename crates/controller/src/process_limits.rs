//! How much this process takes on, by what the platform and the system allow it.
//!
//! No number here bounds the fleet: connections follow from sockets, and queues and threads from
//! connections. What does not fit is refused at once, with a status that says when to come back.

use rudderreel_core::{ConnectionLimits, FleetLimits};
use rudderreel_wire::peer::MAX_MESSAGE_BYTES;
use rudderreel_wire::settings::{ProcessLimits as Allowed, Settings};

/// Sockets that are reckoned with if neither the platform nor the system names a limit.
const UNLIMITED_SOCKETS: usize = 65_536;
/// Reports that may wait for the core at least: of peers they come in batches.
const MIN_QUEUED_REPORTS: usize = 1_024;
/// Calls that may wait for a thread at least.
const MIN_QUEUED_CALLS: usize = 256;
/// Threads for commands to agents, and for calls that ask whether they are there, at least. The latter
/// wait for the ones that are not, and of a large fleet hundreds may be silent at once.
const MIN_COMMAND_THREADS: usize = 16;
const MIN_PROBE_THREADS: usize = 8;
/// One more thread of each kind for so many sockets.
const SOCKETS_PER_COMMAND_THREAD: usize = 100;
const SOCKETS_PER_PROBE_THREAD: usize = 60;
/// Threads of a kind at most: the platform allows a process some two thousand in all.
const MAX_THREADS_PER_POOL: usize = 256;

/// Of the memory that the process may have so much may hold requests that have not come in whole, at each
/// of its two servers; without a limit in the settings it is this many bytes.
const BUFFERED_PART_OF_MEMORY: f64 = 1.0 / 16.0;
const DEFAULT_BUFFERED_BYTES: usize = 16 << 20;
/// With less memory a node of a few hundred machines can hardly serve.
const LOW_MEMORY_MB: f64 = 24.0;
/// With a smaller share of a core it can hardly answer its agents.
const LOW_CORE_SHARE: f64 = 0.01;

/// What a node takes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Connections that it takes.
    pub connections: ConnectionLimits,
    /// Reports that may wait for the core: each agent has one under way.
    pub queued_reports: usize,
    /// Calls to agents that may wait for a thread.
    pub queued_calls: usize,
    /// Threads for commands to agents.
    pub command_threads: usize,
    /// Threads for asking agents whether they are there.
    pub probe_threads: usize,
    /// Bytes of requests that have not come in whole, at each server.
    pub buffered_bytes: usize,
}

impl ProcessLimits {
    /// Determines what the process takes on, and says in the log for how many agents there are connections.
    /// The settings are completed with the system's limit of sockets if the platform names none.
    pub fn determine(settings: &mut Settings) -> Self {
        let sockets = complete_socket_limit(settings);
        if let Some(limits) = FleetLimits::of(settings) {
            log::info!("connection limits sockets={sockets} {limits}");
        }
        let allowed = settings.params.limits.as_ref();
        if let Some(allowed) = allowed {
            warn_of_low_limits(allowed);
        }
        Self::of(sockets, allowed.and_then(|allowed| allowed.memory_mb))
    }

    /// By the sockets that the process may have, and by its memory if that is named.
    pub fn of(sockets: usize, memory_mb: Option<f64>) -> Self {
        let connections = ConnectionLimits::of_sockets(sockets);
        let threads = |per: usize, least: usize| (sockets / per).clamp(least, MAX_THREADS_PER_POOL);
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
    ((memory_mb * 1e6 * BUFFERED_PART_OF_MEMORY) as usize).max(MAX_MESSAGE_BYTES)
}

/// Says what the platform gives too little of. The process serves all the same, as well as it can.
fn warn_of_low_limits(allowed: &Allowed) {
    if let Some(share) = allowed.cpu_share.filter(|share| *share < LOW_CORE_SHARE) {
        log::error!("core_share is {share}: too little to answer a fleet's workers in time");
    }
    if let Some(memory) = allowed.memory_mb.filter(|memory| *memory < LOW_MEMORY_MB) {
        log::error!("memory_mb is {memory}: the process will probably be ended for memory");
    }
}

/// The sockets that the process may have. If the platform names none, the settings are completed.
fn complete_socket_limit(settings: &mut Settings) -> usize {
    let named = (settings.params.limits.as_ref()).map(|limits| limits.fd_limit as usize);
    if let Some(sockets) = named.filter(|sockets| *sockets > 0) {
        raise_system_socket_limit(sockets);
        return sockets;
    }
    let sockets = system_socket_limit().unwrap_or(UNLIMITED_SOCKETS);
    let limits = settings.params.limits.get_or_insert(Allowed {
        cpu_share: None,
        memory_mb: None,
        fd_limit: 0,
    });
    limits.fd_limit = u32::try_from(sockets).unwrap_or(u32::MAX);
    sockets
}

/// The system's own limit of sockets, raised as far as it allows; none if it can't be read.
fn system_socket_limit() -> Option<usize> {
    let raised = rlimit::increase_nofile_limit(UNLIMITED_SOCKETS as u64);
    let limit =
        raised.or_else(|_| rlimit::getrlimit(rlimit::Resource::NOFILE).map(|(soft, _)| soft));
    let limit = usize::try_from(limit.ok()?).unwrap_or(UNLIMITED_SOCKETS);
    Some(limit.min(UNLIMITED_SOCKETS))
}

/// The platform may allow more sockets than the process begins with. Where the system does not say how
/// many those are, the platform is believed.
fn raise_system_socket_limit(sockets: usize) {
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
