//! How large a fleet the limits of the outside carry.
//!
//! Nothing in the program bounds the number of machines. What the platform allows a process does: each
//! worker keeps a connection to the node that it reports to. A fleet beyond that is served as far as the
//! connections go, and it is said at start-up, in the log and in the overview.

use rudderreel_wire::settings::Settings;
use serde::Serialize;
use std::fmt;

/// Connections that a node takes, by the sockets that it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of users, workers and health checks.
    pub front: usize,
    /// Of these, of workers.
    pub workers: usize,
    /// Of peers and administrators.
    pub peers: usize,
}

/// Fewer connections are never taken.
const LEAST_CONNECTIONS: usize = 16;

impl ConnectionLimits {
    /// Three quarters of the sockets are for the front, of these three quarters for workers, and an
    /// eighth is for peers. The last eighth is left for this node's own calls.
    pub fn of_sockets(sockets: usize) -> Self {
        let front = (sockets * 3 / 4).max(LEAST_CONNECTIONS);
        Self {
            front,
            workers: front * 3 / 4,
            peers: (sockets / 8).max(LEAST_CONNECTIONS),
        }
    }
}

/// How many workers can report at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetLimits {
    /// To one node alone.
    pub workers_of_one_node: usize,
    /// To all nodes together.
    pub workers_of_all_nodes: usize,
}

impl FleetLimits {
    /// By the settings; none if they name no limit of sockets.
    pub fn of(settings: &Settings) -> Option<Self> {
        let limits = settings.params.limits.as_ref()?;
        let sockets = usize::try_from(limits.fd_limit).ok().filter(|n| *n > 0)?;
        let one = ConnectionLimits::of_sockets(sockets).workers;
        Some(Self {
            workers_of_one_node: one,
            workers_of_all_nodes: one * settings.params.nodes.max(1) as usize,
        })
    }

    /// How many machines of a fleet can't report at the same time as the others.
    pub fn beyond(&self, machines: usize) -> usize {
        machines.saturating_sub(self.workers_of_all_nodes)
    }
}

impl fmt::Display for FleetLimits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "connections for {} workers, {} with all nodes",
            self.workers_of_one_node, self.workers_of_all_nodes
        )
    }
}

#[cfg(test)]
mod tests;
