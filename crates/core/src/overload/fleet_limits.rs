//! How large a fleet the process limits carry.
//!
//! Nothing in the program bounds the number of machines. What the platform allows a process does: each agent keeps a
//! connection to the node that it reports to. A fleet beyond that is served as far as the connections go, and that is
//! shown at start-up, in the log and in the administrators' overview.

use rudderreel_wire::settings::Settings;
use serde::Serialize;
use std::fmt;

/// Connections that a node accepts, by the sockets that it may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// At the public API listener: of users, agents and health checks.
    pub public_api: usize,
    /// Of these, how many of agents.
    pub agents: usize,
    /// Of peers and administrators.
    pub peers: usize,
}

/// So many connections are accepted in any case.
const MIN_CONNECTIONS: usize = 16;

impl ConnectionLimits {
    /// Three quarters of the sockets are for the public API listener, of these three quarters for agents, and an eighth
    /// is for peers. The last eighth is left for this node's own calls.
    pub fn of_sockets(sockets: usize) -> Self {
        let public_api = (sockets * 3 / 4).max(MIN_CONNECTIONS);
        Self {
            public_api,
            agents: public_api * 3 / 4,
            peers: (sockets / 8).max(MIN_CONNECTIONS),
        }
    }
}

/// How many agents can report at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetLimits {
    /// To one node alone.
    #[serde(rename = "workers_of_one_node")]
    pub agents_of_one_node: usize,
    /// To all nodes together.
    #[serde(rename = "workers_of_all_nodes")]
    pub agents_of_all_nodes: usize,
}

impl FleetLimits {
    /// By the settings; none if they have no limit of sockets.
    pub fn of(settings: &Settings) -> Option<Self> {
        let limits = settings.params.limits.as_ref()?;
        let sockets = usize::try_from(limits.fd_limit).ok().filter(|n| *n > 0)?;
        let per_node = ConnectionLimits::of_sockets(sockets).agents;
        Some(Self {
            agents_of_one_node: per_node,
            agents_of_all_nodes: per_node * settings.params.nodes.max(1) as usize,
        })
    }

    /// How many machines of a fleet find no connection while the others report.
    pub fn beyond(&self, machines: usize) -> usize {
        machines.saturating_sub(self.agents_of_all_nodes)
    }
}

impl fmt::Display for FleetLimits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "connections for {} workers, {} with all nodes",
            self.agents_of_one_node, self.agents_of_all_nodes
        )
    }
}

#[cfg(test)]
mod tests;
