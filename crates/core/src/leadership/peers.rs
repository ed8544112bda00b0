//! What a node knows about its peers, the other nodes of the deployment, from their heartbeats and the answers to its
//! own.
//!
//! The settings file fixes the set of peers: a heartbeat from any other node changes nothing here. The status of a peer
//! is only as fresh as its last heartbeat, so code that depends on a peer first checks whether it
//! [is reachable](PeerStatus::is_reachable).

use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, NodeName};
use rudderreel_wire::peer::Heartbeat;
use std::collections::btree_map::{Iter, Keys};
use std::collections::BTreeMap;

/// Time without a heartbeat after which a peer counts as unreachable: three heartbeat intervals.
const PEER_HEARTBEAT_TIMEOUT: Span = Span(1_500);
/// Agents count as reaching a peer if at least one of them did so within this time.
const AGENT_CONTACT_TIMEOUT: Span = Span(2_000);

/// The last known status of a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    /// Time at which the last heartbeat from the peer, or answer to a heartbeat, was received.
    pub last_heartbeat_at: Time,
    /// Whether the store answers the peer, as it reported.
    pub store_reachable: bool,
    /// Time since any agent last reached the peer, as it reported.
    pub agent_silence: Span,
    /// Whether the peer leads, as it last reported.
    pub leads: bool,
    /// Highest epoch known to the peer.
    pub epoch: Epoch,
    /// Number of agents that report to the peer.
    pub agent_count: u32,
    /// Whether the peer receives heartbeats of the leader, or leads itself, so that it can forward status reports.
    pub forwards_reports: bool,
}

impl PeerStatus {
    /// Returns whether a heartbeat or answer was received from the peer within the heartbeat timeout.
    pub fn is_reachable(&self, now: Time) -> bool {
        now < self.last_heartbeat_at + PEER_HEARTBEAT_TIMEOUT
    }

    /// Returns whether the peer is reachable and the store answers it.
    pub fn is_served_by_store(&self, now: Time) -> bool {
        self.is_reachable(now) && self.store_reachable
    }

    /// Returns whether an agent has reached the peer recently.
    fn is_reached_by_agents(&self) -> bool {
        self.agent_silence < AGENT_CONTACT_TIMEOUT
    }
}

/// The status of each peer, by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    by_name: BTreeMap<NodeName, PeerStatus>,
}

impl PeerTable {
    /// Returns a table of the peers with these names, none of which has sent a heartbeat yet.
    pub fn new(names: impl IntoIterator<Item = NodeName>) -> Self {
        let without_heartbeat = |name| (name, PeerStatus::default());
        Self {
            by_name: names.into_iter().map(without_heartbeat).collect(),
        }
    }

    /// Returns the names of the peers, in ascending order.
    pub fn names(&self) -> Keys<'_, NodeName, PeerStatus> {
        self.by_name.keys()
    }

    /// Returns whether a node is a peer.
    pub fn contains(&self, name: &NodeName) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns the status of a node, if it is a peer.
    pub fn get(&self, name: &NodeName) -> Option<&PeerStatus> {
        self.by_name.get(name)
    }

    /// Returns all peers, in the order of their names.
    pub fn iter(&self) -> Iter<'_, NodeName, PeerStatus> {
        self.by_name.iter()
    }

    /// Returns the first peer by name that is reachable and that the store answers.
    pub fn first_served_by_store(&self, now: Time) -> Option<&NodeName> {
        (self.by_name.iter())
            .find(|(_, peer)| peer.is_served_by_store(now))
            .map(|(name, _)| name)
    }

    /// Returns whether agents reach at least one peer that could lead: it is reachable and the store answers it.
    pub fn is_any_reached_by_agents(&self, now: Time) -> bool {
        (self.by_name.values())
            .any(|peer| peer.is_served_by_store(now) && peer.is_reached_by_agents())
    }

    /// Records that a heartbeat of a node, or an answer to one, was received, and what it reports about the store and
    /// agents.
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

    /// Records what a node's heartbeat reports about leadership and load.
    pub fn record_heartbeat(&mut self, name: &NodeName, heartbeat: &Heartbeat) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.leads = heartbeat.leads;
            peer.epoch = heartbeat.epoch;
            peer.agent_count = heartbeat.agents;
            peer.forwards_reports = heartbeat.forwards_reports;
        }
    }

    /// Sets the status of a peer.
    #[cfg(test)]
    pub fn insert(&mut self, name: NodeName, status: PeerStatus) {
        self.by_name.insert(name, status);
    }
}

#[cfg(test)]
mod tests;
