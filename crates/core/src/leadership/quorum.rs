//! Counting answers of a majority of the nodes, each of which is good for a limited time.

use crate::units::{Span, Time};
use rudderreel_wire::ids::NodeName;
use std::collections::BTreeMap;

/// How many of some nodes make a majority. Any two majorities share a node.
pub fn majority_of(nodes: usize) -> usize {
    nodes / 2 + 1
}

/// When each of the other nodes last agreed to something. Each agreement counts for a limited time from the *sending*
/// of the heartbeat that it answers, so the node that agreed has not counted it for longer.
#[derive(Clone, Debug)]
pub struct QuorumTracker {
    ttl: Span,
    agreed_at: BTreeMap<NodeName, Time>,
}

impl QuorumTracker {
    /// Nobody has agreed yet; agreements count for so long.
    pub fn new(ttl: Span) -> Self {
        Self {
            ttl,
            agreed_at: BTreeMap::new(),
        }
    }

    /// A node agreed, in answer to a heartbeat sent at a moment.
    pub fn record(&mut self, node: NodeName, sent: Time) {
        let at = self.agreed_at.entry(node).or_insert(sent);
        *at = (*at).max(sent);
    }

    /// Whether so many nodes agree now, this one included, which always does.
    pub fn is_reached(&self, now: Time, majority: usize) -> bool {
        let is_fresh = |sent: &&Time| now < **sent + self.ttl;
        let others = self.agreed_at.values().filter(is_fresh).count();
        others + 1 >= majority
    }

    /// Forgets all agreements.
    pub fn clear(&mut self) {
        self.agreed_at.clear();
    }
}

#[cfg(test)]
mod tests;
