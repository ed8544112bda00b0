//! Limits on the size of the fleet that follow from the number of sockets that a process may open.
//!
//! The program itself does not bound the number of machines. The platform's limit on open sockets does, because each
//! agent keeps a connection to the node that it reports to. A larger fleet is served as far as the connections suffice.
//! The limits are logged at start-up, a fleet that exceeds them is logged as well, and the administrators' overview
//! shows both.

use rudderreel_wire::settings::Settings;
use serde::Serialize;
use std::fmt;

/// Numbers of connections that a node accepts, derived from the number of sockets that it may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections at the public API listener: those of users, agents and health checks.
    pub public_api: usize,
    /// Connections of agents, a part of `public_api`.
    pub agents: usize,
    /// Connections of peers and administrators.
    pub peers: usize,
}

/// Minimum number of connections that each listener accepts, however few sockets there are.
const MIN_CONNECTIONS: usize = 16;

impl ConnectionLimits {
    /// Divides the sockets that a process may open. Three quarters are for the public API listener, and three quarters
    /// of these are for agents; an eighth is for peers. The last eighth is left for this node's own calls.
    pub fn of_sockets(sockets: usize) -> Self {
        let public_api = (sockets * 3 / 4).max(MIN_CONNECTIONS);
        Self {
            public_api,
            agents: public_api * 3 / 4,
            peers: (sockets / 8).max(MIN_CONNECTIONS),
        }
    }
}

/// Largest numbers of agents that can report at the same time, each over a connection of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetLimits {
    /// Agents that can report to one node.
    #[serde(rename = "workers_of_one_node")]
    pub agents_of_one_node: usize,
    /// Agents that can report to all nodes together.
    #[serde(rename = "workers_of_all_nodes")]
    pub agents_of_all_nodes: usize,
}

impl FleetLimits {
    /// Returns the limits that follow from the settings; `None` if these contain no limit on sockets.
    pub fn of(settings: &Settings) -> Option<Self> {
        let limits = settings.params.limits.as_ref()?;
        let sockets = usize::try_from(limits.fd_limit).ok().filter(|n| *n > 0)?;
        let per_node = ConnectionLimits::of_sockets(sockets).agents;
        Some(Self {
            agents_of_one_node: per_node,
            agents_of_all_nodes: per_node * settings.params.nodes.max(1) as usize,
        })
    }

    /// Returns how many machines of a fleet of `machines` find no connection while the others report.
    pub fn beyond(&self, machines: usize) -> usize {
        machines.saturating_sub(self.agents_of_all_nodes)
    }
}

/// Formats the limits as fields of a log line.
impl fmt::Display for FleetLimits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "agents_of_one_node={} agents_of_all_nodes={}",
            self.agents_of_one_node, self.agents_of_all_nodes
        )
    }
}

#[cfg(test)]
mod tests;
