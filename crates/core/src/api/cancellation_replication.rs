//! Who knows of a cancellation, and when a user may be told.
//!
//! A node that answers workers keeps their tasks alive. In an outage of the state service it does so by
//! the words of a majority, and can't see what was committed before. So no user is told that a job is
//! cancelled before a majority of the nodes knows it, and a word brings along the cancellations that its
//! giver knows: any two majorities share a node, so whoever lives by words knows all that was told.
//!
//! A node knows all cancellations up to the revision that its watch has come to (`cancellation_watermark`), and single
//! later ones. The node that wants to tell a user sends those that are not known widely to all others at
//! once; each answer says that they are known there. If too few answer, the user is refused and comes
//! back; then nodes that the state service serves say through it how much they know. A leader by its
//! lease may tell of a job of which surely nothing is left: what no machine holds nobody keeps alive.

use crate::api::user_requests::Waiting;
use crate::store::records::WatermarkRecord;
use crate::units::Time;
use rudderreel_wire::ids::{JobId, NodeName, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A cancellation that not every node is known to know.
#[derive(Debug)]
pub(crate) struct CancellationReplication {
    pub(crate) version: Version,
    /// Nodes that have said so.
    pub(crate) knows: BTreeSet<NodeName>,
    /// A user waits to be told, so the others are to be told first.
    pub(crate) announce: bool,
}

/// What this node knows of the others' knowledge.
#[derive(Default)]
pub struct Cancellations {
    /// Every cancellation up to this revision is known here; 0 before the jobs were read.
    pub cancellation_watermark: Version,
    /// The same for each peer, as it said last.
    pub(crate) peers: BTreeMap<NodeName, Version>,
    pub(crate) replications: BTreeMap<JobId, CancellationReplication>,
    /// Requests that wait, and since when.
    pub(crate) waiting: Vec<(Waiting, Time)>,
    /// Announcements under way, with what they name.
    pub(crate) open: BTreeMap<NodeName, Vec<JobId>>,
    /// Peers that did not answer are asked again only then.
    pub(crate) again: BTreeMap<NodeName, Time>,
    /// Something may have to be announced.
    pub(crate) due: bool,
    /// What the other nodes are asked to write that they know, and what they ask.
    pub(crate) watermark_wanted: Version,
    pub(crate) watermark_asked_for: Version,
    pub(crate) written: WatermarkRecord,
    pub(crate) next_write: Time,
    pub(crate) writing: bool,
}

impl Cancellations {
    /// A peer says how much it knows.
    pub(crate) fn peer_watermark_received(
        &mut self,
        peer: &NodeName,
        cancellation_watermark: Version,
    ) {
        let known = self.peers.entry(peer.clone()).or_default();
        *known = (*known).max(cancellation_watermark);
    }

    pub(crate) fn knows(&self, peer: &NodeName, id: &JobId, version: Version) -> bool {
        let all = self.peers.get(peer).is_some_and(|to| *to >= version);
        all || (self.replications.get(id)).is_some_and(|s| s.knows.contains(peer))
    }
}
