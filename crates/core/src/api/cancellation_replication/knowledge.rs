//! The record of which nodes surely know which cancellations.
//!
//! A node's knowledge consists of its watermark, up to which it knows every cancellation, and of the later
//! cancellations that it has acknowledged one by one. Knowledge only grows: no node forgets a cancellation.

use crate::units::{Span, Time};
use rudderreel_wire::ids::{JobId, NodeName, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The knowledge of all nodes, as far as this node knows it.
#[derive(Debug)]
pub(super) struct ClusterKnowledge {
    /// The other nodes.
    peers: BTreeSet<NodeName>,
    /// Number of nodes that make a majority.
    majority: usize,
    /// Every cancellation up to this revision is known to this node; 0 before the jobs were read.
    own_watermark: Version,
    /// The highest watermark that each other node has reported. This node's own published record may be among them.
    reported_watermarks: BTreeMap<NodeName, Version>,
    /// Replications of the cancellations that, by the watermarks alone, no majority surely knows.
    replications: BTreeMap<JobId, Replication>,
}

/// The state of the replication of one cancellation.
#[derive(Debug)]
struct Replication {
    /// The revision of the cancellation.
    version: Version,
    /// Peers that surely know the cancellation, whatever their watermarks.
    acknowledged_by: BTreeSet<NodeName>,
    /// Whether the cancellation is sent to peers.
    demand: Demand,
    /// The time of the first request of a user of this node for its acknowledgement: this node has known the cancellation
    /// since then, or longer.
    requested_at: Option<Time>,
}

/// Whether a cancellation is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Demand {
    /// The cancellation is not sent: no user of this node has asked, and only the peers that know it are recorded.
    Observed,
    /// The cancellation is sent to peers: a user waits, or has waited, for its acknowledgement.
    Requested,
}

/// A cancellation that has to be sent to a peer, because the peer may not know it.
#[derive(Clone, Debug)]
pub(super) struct MissingCancellation {
    pub(super) id: JobId,
    pub(super) version: Version,
}

impl ClusterKnowledge {
    pub(super) fn new(peers: BTreeSet<NodeName>, majority: usize) -> Self {
        Self {
            peers,
            majority,
            own_watermark: Version::default(),
            reported_watermarks: BTreeMap::new(),
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

    /// Records a watermark that a node has reported.
    pub(super) fn advance_reported_watermark(&mut self, node: &NodeName, watermark: Version) {
        let known = self.reported_watermarks.entry(node.clone()).or_default();
        *known = watermark.max(*known);
    }

    /// Returns whether a node surely knows a cancellation.
    pub(super) fn is_known_to(&self, node: &NodeName, id: &JobId, version: Version) -> bool {
        let watermark = self.reported_watermarks.get(node);
        let acknowledged = |replication: &Replication| replication.acknowledged_by.contains(node);
        watermark.is_some_and(|watermark| *watermark >= version)
            || self.replications.get(id).is_some_and(acknowledged)
    }

    /// Returns whether a majority of the nodes, this node included, surely knows a cancellation.
    pub(super) fn is_known_to_majority(&self, id: &JobId, version: Version) -> bool {
        let knowing_peers = self.peers.iter();
        let knowing_peers = knowing_peers.filter(|peer| self.is_known_to(peer, id, version));
        knowing_peers.count() + 1 >= self.majority
    }

    /// Returns whether all nodes surely know a cancellation.
    pub(super) fn is_known_to_all(&self, id: &JobId, version: Version) -> bool {
        let mut peers = self.peers.iter();
        peers.all(|peer| self.is_known_to(peer, id, version))
    }

    /// Requests that a cancellation is sent to the peers that lack it.
    pub(super) fn request_replication(&mut self, id: &JobId, version: Version, now: Time) {
        let replication = self.replication_of(id, version);
        replication.demand = Demand::Requested;
        replication.requested_at.get_or_insert(now);
    }

    /// Returns the time for which this node has known a cancellation, counted from the first request for its
    /// acknowledgement that is still on record.
    pub(super) fn known_for(&self, id: &JobId, now: Time) -> Span {
        let replication = self.replications.get(id);
        let requested_at = replication.and_then(|replication| replication.requested_at);
        requested_at.map_or(Span(0), |at| now - at)
    }

    /// Records that a peer has sent a cancellation, and therefore knows it.
    pub(super) fn observe(&mut self, id: &JobId, version: Version, peer: &NodeName) {
        let replication = self.replication_of(id, version);
        replication.acknowledged_by.insert(peer.clone());
    }

    /// Records that a peer has acknowledged a cancellation that was sent to it.
    pub(super) fn acknowledge(&mut self, id: &JobId, peer: &NodeName) {
        if let Some(replication) = self.replications.get_mut(id) {
            replication.acknowledged_by.insert(peer.clone());
        }
    }

    /// Returns the replication of a cancellation. If there is none, creates one that is only observed.
    fn replication_of(&mut self, id: &JobId, version: Version) -> &mut Replication {
        let replication = self.replications.entry(id.clone());
        replication.or_insert_with(|| Replication {
            version,
            acknowledged_by: BTreeSet::new(),
            demand: Demand::Observed,
            requested_at: None,
        })
    }

    /// Returns at most `max_count` of the requested cancellations that a peer may not know.
    pub(super) fn missing_at(&self, peer: &NodeName, max_count: usize) -> Vec<MissingCancellation> {
        let watermark = self.reported_watermarks.get(peer);
        let watermark = watermark.copied().unwrap_or_default();
        let is_missing = |replication: &Replication| {
            replication.demand == Demand::Requested
                && replication.version > watermark
                && !replication.acknowledged_by.contains(peer)
        };
        (self.replications.iter())
            .filter(|(_, replication)| is_missing(replication))
            .map(|(id, replication)| MissingCancellation {
                id: id.clone(),
                version: replication.version,
            })
            .take(max_count)
            .collect()
    }

    /// Forgets the replications of cancellations that a majority knows according to the nodes' watermarks, except those
    /// that are needed, by job and revision.
    pub(super) fn forget_replicated(&mut self, is_needed: impl Fn(&JobId, Version) -> bool) {
        let watermarks = &self.reported_watermarks;
        let nodes_past = |version: Version| watermarks.values().filter(|w| **w >= version).count();
        self.replications.retain(|id, replication| {
            nodes_past(replication.version) + 1 < self.majority
                || is_needed(id, replication.version)
        });
    }

    /// Returns whether no cancellation is being replicated.
    pub(super) fn has_no_replications(&self) -> bool {
        self.replications.is_empty()
    }

    /// Returns whether a replication is left that a user has requested.
    pub(super) fn has_requested(&self) -> bool {
        let mut replications = self.replications.values();
        replications.any(|replication| replication.demand == Demand::Requested)
    }
}
