//! What a node knows of its peers, the other nodes of the deployment, by their heartbeats and the answers to its own.
//!
//! Who the peers are is fixed by the settings file: a heartbeat from anybody else changes nothing here. All of it is
//! only as fresh as the last heartbeat, so what depends on a peer asks first whether it [is
//! reachable](PeerStatus::is_reachable).

use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, NodeName};
use rudderreel_wire::peer::Heartbeat;
use std::collections::btree_map::{Iter, Keys};
use std::collections::BTreeMap;

/// A peer that was not heard for so long counts as unreachable: three intervals of the heartbeats.
const PEER_HEARTBEAT_TIMEOUT: Span = Span(1_500);
/// Agents reach a peer if one of them did so within this time.
const AGENT_CONTACT_TIMEOUT: Span = Span(2_000);

/// What is known of a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    /// When a heartbeat of it, or an answer to one, last came.
    pub last_heartbeat_at: Time,
    /// Whether the store answers it, as it said.
    pub store_reachable: bool,
    /// How long no agent had reached it, as it said.
    pub agent_silence: Span,
    /// Whether it leads, as it said last.
    pub leads: bool,
    /// The highest epoch that it knew.
    pub epoch: Epoch,
    /// Agents that report to it.
    pub agent_count: u32,
    /// Whether it hears the leader, so that it can forward status reports.
    pub forwards_reports: bool,
}

impl PeerStatus {
    /// Whether it was heard lately.
    pub fn is_reachable(&self, now: Time) -> bool {
        now < self.last_heartbeat_at + PEER_HEARTBEAT_TIMEOUT
    }

    /// Whether it was heard lately, and the store answers it.
    pub fn is_served_by_store(&self, now: Time) -> bool {
        self.is_reachable(now) && self.store_reachable
    }

    /// Whether agents reach it.
    fn is_reached_by_agents(&self) -> bool {
        self.agent_silence < AGENT_CONTACT_TIMEOUT
    }
}

/// The peers by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    by_name: BTreeMap<NodeName, PeerStatus>,
}

impl PeerTable {
    /// Peers of these names, none of which has been heard.
    pub fn new(names: impl IntoIterator<Item = NodeName>) -> Self {
        let unheard = |name| (name, PeerStatus::default());
        Self {
            by_name: names.into_iter().map(unheard).collect(),
        }
    }

    /// The names, in their order.
    pub fn names(&self) -> Keys<'_, NodeName, PeerStatus> {
        self.by_name.keys()
    }

    /// Whether a node is a peer.
    pub fn contains(&self, name: &NodeName) -> bool {
        self.by_name.contains_key(name)
    }

    /// What is known of a peer.
    pub fn get(&self, name: &NodeName) -> Option<&PeerStatus> {
        self.by_name.get(name)
    }

    /// All peers, in the order of their names.
    pub fn iter(&self) -> Iter<'_, NodeName, PeerStatus> {
        self.by_name.iter()
    }

    /// The first peer by name that was heard lately and that the store answers.
    pub fn first_served_by_store(&self, now: Time) -> Option<&NodeName> {
        (self.by_name.iter())
            .find(|(_, peer)| peer.is_served_by_store(now))
            .map(|(name, _)| name)
    }

    /// Whether agents reach some peer that could lead, since the store answers it.
    pub fn is_any_reached_by_agents(&self, now: Time) -> bool {
        (self.by_name.values())
            .any(|peer| peer.is_served_by_store(now) && peer.is_reached_by_agents())
    }

    /// A heartbeat of a node came, or an answer to one; what it said of the store and of agents.
    pub fn record_contact(
        &mut self,
        name: &NodeName,
        store_reachable: bool,
        agent_silence: Span,
        now: Time,
    ) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.last_heartbeat_at = now;
            peer.store_reachable = store_reachable;
            peer.agent_silence = agent_silence;
        }
    }

    /// What a node's heartbeat says of leadership and of its load.
    pub fn record_heartbeat(&mut self, name: &NodeName, heartbeat: &Heartbeat) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.leads = heartbeat.leads;
            peer.epoch = heartbeat.epoch;
            peer.agent_count = heartbeat.workers;
            peer.forwards_reports = heartbeat.forwards_reports;
        }
    }

    /// Sets what is known of a peer.
    #[cfg(test)]
    pub fn insert(&mut self, name: NodeName, status: PeerStatus) {
        self.by_name.insert(name, status);
    }
}

#[cfg(test)]
mod tests;
