//! Counting the answers of a majority of the nodes, each of which is valid for a limited time.

use crate::units::{Span, Time};
use rudderreel_wire::ids::NodeName;
use std::collections::BTreeMap;

/// Returns how many of `nodes` nodes make a majority. Any two majorities share a node.
pub fn majority_of(nodes: usize) -> usize {
    nodes / 2 + 1
}

/// The latest agreement of each other node. This node counts an agreement for a limited time from the *sending* of the
/// heartbeat that it answers, which is not later than the moment at which the other node agreed. So this node never
/// counts an agreement for longer after that moment than its validity. For a lease vote, the voter holds itself bound
/// for at least that long, clock drift included.
#[derive(Clone, Debug)]
pub struct QuorumTracker {
    ttl: Span,
    agreed_at: BTreeMap<NodeName, Time>,
}

impl QuorumTracker {
    /// Returns a tracker without agreements; each counts for `ttl`.
    pub fn new(ttl: Span) -> Self {
        Self {
            ttl,
            agreed_at: BTreeMap::new(),
        }
    }

    /// Records that a node agreed, in answer to a heartbeat sent at `sent`.
    pub fn record(&mut self, node: NodeName, sent: Time) {
        let at = self.agreed_at.entry(node).or_insert(sent);
        *at = (*at).max(sent);
    }

    /// Returns whether at least `majority` nodes agree now. This node is included and always agrees.
    pub fn is_reached(&self, now: Time, majority: usize) -> bool {
        let is_fresh = |sent: &&Time| now < **sent + self.ttl;
        let others = self.agreed_at.values().filter(is_fresh).count();
        others + 1 >= majority
    }

    /// Removes all agreements.
    pub fn clear(&mut self) {
        self.agreed_at.clear();
    }
}

#[cfg(test)]
mod tests;
