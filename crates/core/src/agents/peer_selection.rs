//! Which node an agent should report to: the load of a large fleet's status reports is spread over all nodes.
//!
//! Each node counts the agents that report to it and tells its peers with its heartbeats. An agent that reports to a
//! node with far more load than another is redirected there.
//!
//! **Guards.** Agents are moved only if it is worth while, so that they don't go back and forth. A node that no agent
//! reaches looks idle; if it can't be reached, every agent sent there would be lost time, so only one is sent now
//! and then on trial. A leader that was cut off from agents looked idle to the others, which sent it all of theirs,
//! again and again, until their leases expired.

use crate::leadership::peers::{PeerStatus, PeerTable};
use crate::overload::backlog::Backlog;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, NodeName};
use std::collections::BTreeMap;

/// A peer that is silent for so long has probably failed: an agent that tries it next loses time.
const PEER_FAILURE_TIMEOUT: Span = Span(3_000);
/// A report weighs so much more at the leader, which has other things to do.
const LEADER_WEIGHT: u32 = 3;
/// And at a node if the one that an agent would try after it has probably failed.
const FAILED_SUCCESSOR_WEIGHT: u32 = 4;
/// How uneven the nodes' loads may be, in agents, beside a quarter of the smaller one.
const MAX_IMBALANCE: u32 = 8;
/// An agent that has missed a report by so much reports elsewhere, ...
const AGENT_LEFT_MARGIN: Span = Span(2_000);
/// ... but does not count as gone before this.
const MIN_TIME_TO_LEAVE: Span = Span(8_000);
/// How often agents that have left are looked for: the count is asked for with every report, so to look through all
/// of them each time would cost by the square of the fleet.
const PRUNE_INTERVAL: Span = Span(200);
/// A node that none of its agents has reached for so long is perhaps cut off from them; ...
const MAX_AGENT_SILENCE: Span = Span(1_500);
/// ... with few agents, for so many times the usual pause between their reports.
const PAUSES_OF_AGENT_SILENCE: u64 = 5;
/// How often an agent is sent on trial to a node that none reaches.
const TRIAL_INTERVAL: Span = Span(1_000);

/// The agents that report to this node, and those that it has redirected.
#[derive(Default)]
pub struct AgentBalancer {
    /// When each agent last reported here.
    reporting: BTreeMap<MachineId, Time>,
    pruned_at: Time,
    /// Agents redirected to each peer since it last said how many it has.
    redirected: BTreeMap<NodeName, u32>,
    /// When an agent was last redirected to each peer.
    redirected_at: BTreeMap<NodeName, Time>,
}

/// What is known of all nodes, when an agent reports.
pub(crate) struct ClusterLoad<'a> {
    /// This node's name.
    pub(crate) own_name: &'a NodeName,
    /// Whether this node leads.
    pub(crate) own_leads: bool,
    /// How far this node is behind with its own work.
    pub(crate) backlog: &'a Backlog,
    /// The other nodes.
    pub(crate) peers: &'a PeerTable,
    /// The interval of an agent's reports.
    pub(crate) report_interval: Span,
    /// When it reports.
    pub(crate) now: Time,
}

impl ClusterLoad<'_> {
    /// How much a report weighs at a node.
    fn weight(&self, name: &NodeName, leads: bool) -> u32 {
        let leader_weight = if leads { LEADER_WEIGHT } else { 1 };
        let successor_weight = if self.has_failed_successor(name) {
            FAILED_SUCCESSOR_WEIGHT
        } else {
            1
        };
        leader_weight * successor_weight
    }

    /// Whether the node after one, by name, has probably failed. An agent whose node ends or freezes waits 4 s for its
    /// answer and then tries the next; if that is gone, too, its lease is nearly over before it finds a third.
    fn has_failed_successor(&self, name: &NodeName) -> bool {
        let names = || self.peers.names().chain([self.own_name]);
        let successor = (names().filter(|other| *other > name).min()).or_else(|| names().min());
        (successor.and_then(|successor| self.peers.get(successor)))
            .is_some_and(|peer| self.now > peer.last_heartbeat_at + PEER_FAILURE_TIMEOUT)
    }
}

impl AgentBalancer {
    /// An agent reports here.
    pub fn agent_reported(&mut self, machine: &MachineId, now: Time) {
        self.reporting.insert(machine.clone(), now);
    }

    /// An agent was refused, and reports elsewhere.
    pub fn agent_left(&mut self, machine: &MachineId) {
        self.reporting.remove(machine);
    }

    /// A peer has said how many agents it has, with those that were redirected to it.
    pub fn peer_load_updated(&mut self, peer: &NodeName) {
        self.redirected.remove(peer);
    }

    /// How many agents report here.
    pub fn agent_count(&mut self, report_interval: Span, now: Time) -> u32 {
        if now - self.pruned_at >= PRUNE_INTERVAL {
            let missed_report = Span(report_interval.0 * 5 / 4) + AGENT_LEFT_MARGIN;
            let time_to_leave = MIN_TIME_TO_LEAVE.max(missed_report);
            self.reporting
                .retain(|_, heard| now - *heard < time_to_leave);
            self.pruned_at = now;
        }
        self.reporting.len() as u32
    }

    /// A peer that an agent should rather report to, since that has far less load. The agent counts as redirected
    /// there.
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
        // Agents that are here already move only if it is worth while.
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

    /// The peer with the least weighted load of those that may take an agent, and that load.
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

    /// Whether an agent may be redirected to a peer: if none reaches it, only one now and then, to see whether it
    /// can be reached again.
    fn may_redirect_to(
        &self,
        name: &NodeName,
        peer: &PeerStatus,
        report_interval: Span,
        now: Time,
    ) -> bool {
        let usual_silence =
            Span(PAUSES_OF_AGENT_SILENCE * report_interval.0 / u64::from(peer.agent_count.max(1)));
        let is_reached =
            peer.agent_count > 0 && peer.agent_silence < MAX_AGENT_SILENCE.max(usual_silence);
        is_reached || (self.redirected_at.get(name)).is_none_or(|at| now - *at > TRIAL_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
