//! Which nodes are known to know which cancellations.
//!
//! A node's knowledge is its watermark, up to which it knows every cancellation, and the single later ones that it
//! has acknowledged. Knowledge only grows: no node forgets a cancellation.

use rudderreel_wire::ids::{JobId, NodeName, Version};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of all nodes' knowledge.
#[derive(Debug)]
pub(super) struct ClusterKnowledge {
    /// The other nodes.
    peers: BTreeSet<NodeName>,
    /// How many nodes make a majority.
    majority: usize,
    /// Every cancellation up to this revision is known here; 0 before the jobs were read.
    own_watermark: Version,
    /// The same for other nodes, as they said last. This node's own published record may be among them.
    published_watermarks: BTreeMap<NodeName, Version>,
    /// Cancellations that no majority is known to know by its watermarks.
    replications: BTreeMap<JobId, Replication>,
}

/// The replication of one cancellation.
#[derive(Debug)]
struct Replication {
    /// The revision of the cancellation.
    version: Version,
    /// Peers that are known to know it, whatever their watermarks.
    acknowledged_by: BTreeSet<NodeName>,
    demand: Demand,
}

/// Whether a cancellation is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Demand {
    /// No user of this node has asked: it is only recorded who knows it.
    Observed,
    /// A user waits, or has waited, to be told.
    Requested,
}

/// A cancellation that a peer is not known to know.
#[derive(Clone, Debug)]
pub(super) struct LackedCancellation {
    pub(super) id: JobId,
    pub(super) version: Version,
}

impl ClusterKnowledge {
    pub(super) fn new(peers: BTreeSet<NodeName>, majority: usize) -> Self {
        Self {
            peers,
            majority,
            own_watermark: Version::default(),
            published_watermarks: BTreeMap::new(),
            replications: BTreeMap::new(),
        }
    }

    pub(super) fn own_watermark(&self) -> Version {
        self.own_watermark
    }

    pub(super) fn advance_own_watermark(&mut self, revision: Version) {
        self.own_watermark = self.own_watermark.max(revision);
    }

    pub(super) fn is_peer(&self, node: &NodeName) -> bool {
        self.peers.contains(node)
    }

    /// A node has said how far its watermark is.
    pub(super) fn advance_published_watermark(&mut self, node: &NodeName, watermark: Version) {
        let known = self.published_watermarks.entry(node.clone()).or_default();
        *known = watermark.max(*known);
    }

    /// Whether a node knows a cancellation.
    pub(super) fn is_known_to(&self, node: &NodeName, id: &JobId, version: Version) -> bool {
        let watermark = self.published_watermarks.get(node);
        let acknowledged = |replication: &Replication| replication.acknowledged_by.contains(node);
        watermark.is_some_and(|watermark| *watermark >= version)
            || self.replications.get(id).is_some_and(acknowledged)
    }

    /// Whether a majority knows a cancellation, this node included.
    pub(super) fn is_known_to_majority(&self, id: &JobId, version: Version) -> bool {
        let knowing_peers = self.peers.iter();
        let knowing_peers = knowing_peers.filter(|peer| self.is_known_to(peer, id, version));
        knowing_peers.count() + 1 >= self.majority
    }

    /// Has a cancellation sent to those that lack it.
    pub(super) fn request_replication(&mut self, id: &JobId, version: Version) {
        self.replication_of(id, version).demand = Demand::Requested;
    }

    /// A peer has made a cancellation known, so it knows it.
    pub(super) fn observe(&mut self, id: &JobId, version: Version, peer: &NodeName) {
        let replication = self.replication_of(id, version);
        replication.acknowledged_by.insert(peer.clone());
    }

    /// A peer has acknowledged a cancellation that was sent to it.
    pub(super) fn acknowledge(&mut self, id: &JobId, peer: &NodeName) {
        if let Some(replication) = self.replications.get_mut(id) {
            replication.acknowledged_by.insert(peer.clone());
        }
    }

    fn replication_of(&mut self, id: &JobId, version: Version) -> &mut Replication {
        let replication = self.replications.entry(id.clone());
        replication.or_insert_with(|| Replication {
            version,
            acknowledged_by: BTreeSet::new(),
            demand: Demand::Observed,
        })
    }

    /// The requested cancellations that a peer is not known to know, so many at most.
    pub(super) fn lacked_by(&self, peer: &NodeName, most: usize) -> Vec<LackedCancellation> {
        let watermark = self.published_watermarks.get(peer);
        let watermark = watermark.copied().unwrap_or_default();
        let is_lacked = |replication: &Replication| {
            replication.demand == Demand::Requested
                && replication.version > watermark
                && !replication.acknowledged_by.contains(peer)
        };
        (self.replications.iter())
            .filter(|(_, replication)| is_lacked(replication))
            .map(|(id, replication)| LackedCancellation {
                id: id.clone(),
                version: replication.version,
            })
            .take(most)
            .collect()
    }

    /// Forgets the replications of what a majority knows by its watermarks, unless a request waits for it.
    pub(super) fn forget_replicated(&mut self, is_waited_for: impl Fn(&JobId) -> bool) {
        let watermarks = &self.published_watermarks;
        let nodes_past = |version: Version| watermarks.values().filter(|w| **w >= version).count();
        self.replications.retain(|id, replication| {
            nodes_past(replication.version) + 1 < self.majority || is_waited_for(id)
        });
    }

    /// Whether no cancellation is replicated.
    pub(super) fn has_no_replications(&self) -> bool {
        self.replications.is_empty()
    }

    /// Whether a replication is left that a user has asked for.
    pub(super) fn has_requested(&self) -> bool {
        let mut replications = self.replications.values();
        replications.any(|replication| replication.demand == Demand::Requested)
    }
}
