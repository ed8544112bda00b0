//! Selects the node that an agent should report to: the load of a large fleet's status reports is spread over all
//! nodes.
//!
//! Each node counts the agents that report to it and sends the count to its peers with its heartbeats. An agent that
//! reports to a node with far more load than another is redirected to that other node.
//!
//! **Guards.** An agent is moved only if the loads differ enough to make it worthwhile, so that agents don't move back
//! and forth. A node that no agent reaches seems idle; if it can't be reached, every agent sent there loses time, so
//! only one is sent there on trial from time to time. Without this limit a leader that is cut off from agents would
//! seem idle to the other nodes, which would redirect all of their agents to it, again and again, until the leases
//! expire.

use crate::leadership::peers::{PeerStatus, PeerTable};
use crate::overload::backlog::Backlog;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, NodeName};
use std::collections::BTreeMap;

/// Silence after which a peer has probably failed: an agent that tries it next loses time.
const PEER_FAILURE_TIMEOUT: Span = Span(3_000);
/// Factor of the weight of a report at the leader, which has other work to do.
const LEADER_WEIGHT: u32 = 3;
/// Factor of the weight of a report at a node if the node that an agent would try next has probably failed.
const FAILED_SUCCESSOR_WEIGHT: u32 = 4;
/// Difference between the loads of two nodes that is accepted, in agents, in addition to a quarter of the smaller load.
const MAX_IMBALANCE: u32 = 8;
/// Time by which a report has to be late for its agent to count as reporting elsewhere. Its last report must also be
/// [`MIN_AGENT_TIMEOUT`] old.
const AGENT_TIMEOUT_MARGIN: Span = Span(2_000);
/// Minimum time since an agent's last report for the agent to count as reporting elsewhere.
const MIN_AGENT_TIMEOUT: Span = Span(8_000);
/// Interval at which agents that report elsewhere are removed. The count is needed with every report, so looking
/// through all agents each time would have a cost that is quadratic in the size of the fleet.
const PRUNE_INTERVAL: Span = Span(200);
/// Time without any agent reaching a node after which the node is perhaps cut off from its agents.
const MAX_AGENT_SILENCE: Span = Span(1_500);
/// Time without any agent reaching a node with few agents after which the node is perhaps cut off from them, as a
/// multiple of the mean time between their reports.
const AGENT_SILENCE_IN_REPORT_GAPS: u64 = 5;
/// Interval at which an agent is sent on trial to a node that no agent reaches.
const TRIAL_INTERVAL: Span = Span(1_000);

/// The agents that report to this node, and those that it has redirected.
#[derive(Default)]
pub struct AgentBalancer {
    /// Time at which each agent last reported here.
    reporting: BTreeMap<MachineId, Time>,
    pruned_at: Time,
    /// Number of agents redirected to each peer since the peer last sent its own count.
    redirected: BTreeMap<NodeName, u32>,
    /// Time at which an agent was last redirected to each peer.
    redirected_at: BTreeMap<NodeName, Time>,
}

/// The load and state of all nodes at the time when an agent reports.
pub(crate) struct ClusterLoad<'a> {
    /// Name of this node.
    pub(crate) own_name: &'a NodeName,
    /// Whether this node leads.
    pub(crate) own_leads: bool,
    /// Backlog of this node's own work.
    pub(crate) backlog: &'a Backlog,
    /// State of the other nodes.
    pub(crate) peers: &'a PeerTable,
    /// Interval between an agent's reports.
    pub(crate) report_interval: Span,
    /// Time of the report.
    pub(crate) now: Time,
}

impl ClusterLoad<'_> {
    /// Returns the weight of a report at a node.
    fn weight(&self, name: &NodeName, leads: bool) -> u32 {
        let leader_weight = if leads { LEADER_WEIGHT } else { 1 };
        let successor_weight = if self.has_failed_successor(name) {
            FAILED_SUCCESSOR_WEIGHT
        } else {
            1
        };
        leader_weight * successor_weight
    }

    /// Returns whether the node after the named one, in the order of names, has probably failed. An agent whose node
    /// ends or freezes waits 4 s for its answer and then tries the next node; if that one is gone, too, the agent's
    /// lease has nearly expired before it finds a third.
    fn has_failed_successor(&self, name: &NodeName) -> bool {
        let names = || self.peers.names().chain([self.own_name]);
        let successor = (names().filter(|other| *other > name).min()).or_else(|| names().min());
        (successor.and_then(|successor| self.peers.get(successor)))
            .is_some_and(|peer| self.now > peer.last_heartbeat_at + PEER_FAILURE_TIMEOUT)
    }
}

impl AgentBalancer {
    /// Records that an agent reports to this node.
    pub fn agent_reported(&mut self, machine: &MachineId, now: Time) {
        self.reporting.insert(machine.clone(), now);
    }

    /// Records that an agent was refused, and reports elsewhere.
    pub fn agent_left(&mut self, machine: &MachineId) {
        self.reporting.remove(machine);
    }

    /// Records that a peer has sent its number of agents, which includes those that were redirected to it.
    pub fn peer_load_updated(&mut self, peer: &NodeName) {
        self.redirected.remove(peer);
    }

    /// Returns the number of agents that report to this node.
    pub fn agent_count(&mut self, report_interval: Span, now: Time) -> u32 {
        if now - self.pruned_at >= PRUNE_INTERVAL {
            let missed_report = Span(report_interval.0 * 5 / 4) + AGENT_TIMEOUT_MARGIN;
            let agent_timeout = MIN_AGENT_TIMEOUT.max(missed_report);
            self.reporting
                .retain(|_, heard| now - *heard < agent_timeout);
            self.pruned_at = now;
        }
        self.reporting.len() as u32
    }

    /// Returns a peer that the agent should report to instead of this node, since the peer has far less load. The agent
    /// then counts as redirected to that peer.
    pub(crate) fn redirect(
        &mut self,
        machine: &MachineId,
        cluster: &ClusterLoad<'_>,
    ) -> Option<NodeName> {
        let is_counted = self.reporting.contains_key(machine);
        let agents = self.agent_count(cluster.report_interval, cluster.now);
        let load = cluster.backlog.load_for_agents(agents) + u32::from(!is_counted);
        let own_load = load * cluster.weight(cluster.own_name, cluster.own_leads);
        let (peer_load, peer) = self.least_loaded_peer(cluster)?;
        // An agent that reports here already is moved only if the loads differ enough to make it worthwhile.
        let slack = if is_counted {
            MAX_IMBALANCE * 3 + peer_load / 2
        } else {
            MAX_IMBALANCE
        };
        if own_load <= peer_load + peer_load / 4 + slack {
            return None;
        }
        let peer = peer.clone();
        self.redirected_at.insert(peer.clone(), cluster.now);
        *self.redirected.entry(peer.clone()).or_default() += 1;
        self.reporting.remove(machine);
        Some(peer)
    }

    /// Returns the peer with the least weighted load of those that an agent may be redirected to, and that load.
    fn least_loaded_peer<'a>(&self, cluster: &ClusterLoad<'a>) -> Option<(u32, &'a NodeName)> {
        (cluster.peers.iter())
            .filter(|(_, peer)| peer.is_reachable(cluster.now) && peer.forwards_reports)
            .filter(|(name, peer)| {
                self.may_redirect_to(name, peer, cluster.report_interval, cluster.now)
            })
            .map(|(name, peer)| {
                let redirected = self.redirected.get(name).copied().unwrap_or(0);
                let load = (peer.agent_count + redirected) * cluster.weight(name, peer.leads);
                (load, name)
            })
            .min()
    }

    /// Returns whether an agent may be redirected to a peer. If no agent reaches the peer, only one is redirected from
    /// time to time, to find out whether the peer can be reached again.
    fn may_redirect_to(
        &self,
        name: &NodeName,
        peer: &PeerStatus,
        report_interval: Span,
        now: Time,
    ) -> bool {
        let usual_silence = Span(
            AGENT_SILENCE_IN_REPORT_GAPS * report_interval.0 / u64::from(peer.agent_count.max(1)),
        );
        let is_reached =
            peer.agent_count > 0 && peer.agent_silence < MAX_AGENT_SILENCE.max(usual_silence);
        is_reached || (self.redirected_at.get(name)).is_none_or(|at| now - *at > TRIAL_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
