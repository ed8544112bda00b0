//! Replication of cancellations, and when a user may be told that a job is cancelled.
//!
//! A node that answers agents keeps their tasks running. In an outage of the state service it may do so by lease
//! votes of a majority, without being able to read what was committed before. What it must not do is to keep a
//! task running whose user was told that its job is cancelled. The argument that it never does:
//!
//! - **Quorum to acknowledge.** No user is told of a cancellation before a majority of the nodes (this one
//!   included) knows it: [`CancellationReplicator::acknowledge_or_wait`].
//! - **Catch-up with a lease vote.** A node that grants a lease vote sends with it all cancellations that it knows
//!   and the candidate lacks, and the vote counts only after the candidate has taken them in:
//!   [`CancellationReplicator::catch_up_for`]. If they don't fit into one message there is no vote yet.
//! - **Quorum intersection.** Any two majorities share a node. So whoever holds votes of a majority has caught up
//!   with a node that knows each cancellation that was ever acknowledged to a user, and stops its tasks.
//!
//! **Replication watermark.** A node knows all cancellations up to the revision that its watch (or its catch-up)
//! has reached, which is its watermark, and single later ones. Nodes tell each other their watermarks with
//! heartbeats and replication messages. The node that wants to acknowledge a cancellation sends those that lie
//! above a peer's watermark to that peer; each answer acknowledges them. A watermark may only say that *everything*
//! below it is known, so a catch-up that is cut off moves it no further than the cut.
//!
//! If too few peers acknowledge in time, the user is refused and comes back. Then nodes that the state service
//! serves publish their watermarks through it (see [`watermark_publication`]): links between nodes may fail while each
//! reaches the state service.
//!
//! **Exception.** A leader that holds a valid lease and has recovered all placements may acknowledge at once if
//! no task of the job is left: every start stands in the placement log that it has read back, and nobody else may
//! start tasks. What no machine holds nobody keeps running.
//!
//! The leader's own acknowledgement is awaited for a moment, so that it starts nothing more of the job after its
//! user was told. Safety does not depend on that: without the leader a majority is enough.

mod watermark_publication;

use crate::api::refusal::Refusal;
use crate::api::user_requests::PendingRequest;
use crate::cache::job_cache::JobCache;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::store::records::WatermarkRecord;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::peer::{
    Catchup, Heartbeat, ReplicateCancellations, ReplicateCancellationsReply,
};
use std::collections::{BTreeMap, BTreeSet};
use watermark_publication::WatermarkPublication;

/// For how long the leader's own acknowledgement is awaited once a majority has acknowledged.
const LEADER_ACKNOWLEDGEMENT_TIMEOUT: Span = Span(150);
/// A request that has waited longer for acknowledgements is refused.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span(300);
/// Requests that may wait for acknowledgements.
const MAX_WAITING_REQUESTS: usize = 400;
/// A message that a peer did not answer is followed by the next one only after so long.
const REPLICATION_RETRY_INTERVAL: Span = Span(250);
/// Cancellations in one message, about. More follow with the next.
const MAX_CANCELLATIONS_PER_MESSAGE: usize = 1_000;

/// Which nodes know which cancellations, and the requests that wait until enough of them do.
#[derive(Debug)]
pub struct CancellationReplicator {
    node: NodeName,
    /// The other nodes.
    peers: BTreeMap<NodeName, PeerReplication>,
    /// How many nodes make a majority.
    majority: usize,
    /// Every cancellation up to this revision is known here; 0 before the jobs were read.
    watermark: Version,
    /// The same for other nodes, as they said last. This node's own published record may be among them.
    published_watermarks: BTreeMap<NodeName, Version>,
    /// Cancellations that no majority is known to know by its watermarks.
    replications: BTreeMap<JobId, Replication>,
    waiting: Vec<WaitingRequest>,
    /// Whether there may be something to send.
    send_due: bool,
    watermark_publication: WatermarkPublication,
}

/// The messages to one peer: one at a time.
#[derive(Debug, Default)]
struct PeerReplication {
    /// The jobs that the message names which is under way.
    in_flight: Option<Vec<JobId>>,
    /// After a message without an answer: when the next may be sent.
    retry_at: Option<Time>,
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

/// A request whose answer is that a job is cancelled.
#[derive(Debug)]
struct WaitingRequest {
    request: PendingRequest,
    since: Time,
}

/// What a decision about an acknowledgement depends on besides the replicator.
pub struct AcknowledgementContext<'a> {
    /// This node's cache of jobs.
    pub jobs: &'a JobCache,
    /// This node's state as the leader, if it leads.
    pub leader: Option<&'a Leader>,
    /// The node that leads, if it is another one that can be reached.
    pub reachable_leader: Option<NodeName>,
    /// The moment.
    pub now: Now,
}

/// What becomes of a request that has been decided.
#[derive(Debug)]
pub enum Acknowledgement {
    /// Its user may be told that the job is cancelled.
    Respond(PendingRequest),
    /// It is refused.
    Refuse(PendingRequest, Refusal),
}

/// A message to a peer.
#[derive(Debug)]
pub struct OutgoingReplication {
    /// Whom it is for.
    pub peer: NodeName,
    /// The message.
    pub message: ReplicateCancellations,
}

/// What a node that asks for a lease vote lacks.
#[derive(Debug)]
pub struct CatchUpOffer {
    /// What is sent to it.
    pub catchup: Catchup,
    /// Whether that is all that this node knows. Otherwise the vote must not be granted.
    pub is_complete: bool,
}

impl AcknowledgementContext<'_> {
    /// Whether this node leads and surely no task of a job is left on any machine. Every start stands in the
    /// placement log that it has read back, and nobody else may start tasks.
    fn is_surely_without_tasks(&self, id: &JobId) -> bool {
        let is_without_tasks = |job: &Job| !job.is_active() && job.placements.is_empty();
        self.leader.is_some_and(|leader| {
            leader.recovery.is_complete
                && leader.term.is_lease_valid(self.now.time)
                && leader.jobs.get(id).is_none_or(is_without_tasks)
        })
    }
}

impl CancellationReplicator {
    /// The replicator of a node that has just started.
    pub fn new(node: NodeName, peers: impl IntoIterator<Item = NodeName>, majority: usize) -> Self {
        let peers = peers.into_iter();
        Self {
            node,
            peers: peers
                .map(|peer| (peer, PeerReplication::default()))
                .collect(),
            majority,
            watermark: Version::default(),
            published_watermarks: BTreeMap::new(),
            replications: BTreeMap::new(),
            waiting: Vec::new(),
            send_due: false,
            watermark_publication: WatermarkPublication::default(),
        }
    }

    /// Every cancellation up to this revision is known to this node.
    pub fn watermark(&self) -> Version {
        self.watermark
    }

    /// The watch, a read of all jobs or a catch-up has reached a revision: everything up to it is known.
    pub fn advance_watermark(&mut self, revision: Version) {
        self.watermark = self.watermark.max(revision);
    }

    /// A peer's message says how far its watermark is. Others than peers are ignored.
    pub fn peer_watermark_received(&mut self, peer: &NodeName, watermark: Version) {
        if self.peers.contains_key(peer) {
            self.raise_published_watermark(peer, watermark);
        }
    }

    fn raise_published_watermark(&mut self, node: &NodeName, watermark: Version) {
        let known = self.published_watermarks.entry(node.clone()).or_default();
        *known = watermark.max(*known);
    }

    /// Decides about a request whose answer is that its job was cancelled at a version. None if it has to wait for
    /// acknowledgements; then the cancellation is sent to the peers.
    pub fn acknowledge_or_wait(
        &mut self,
        request: PendingRequest,
        version: Version,
        context: &AcknowledgementContext<'_>,
    ) -> Option<Acknowledgement> {
        if self.may_acknowledge(request.job(), version, Span(0), context) {
            return Some(Acknowledgement::Respond(request));
        }
        self.replication_of(request.job(), version).demand = Demand::Requested;
        self.send_due = true;
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            let refusal = Refusal::TooManyOpenRequests;
            return Some(Acknowledgement::Refuse(request, refusal));
        }
        let since = context.now.time;
        self.waiting.push(WaitingRequest { request, since });
        None
    }

    /// Whether a user who has waited for some time may be told that a job is cancelled.
    fn may_acknowledge(
        &self,
        id: &JobId,
        version: Version,
        waited: Span,
        context: &AcknowledgementContext<'_>,
    ) -> bool {
        let knows = |peer: &NodeName| self.is_known_to(peer, id, version);
        let knowing_peers = self.peers.keys().filter(|peer| knows(peer)).count();
        let is_majority = knowing_peers + 1 >= self.majority;
        let leader_settled = context.reachable_leader.as_ref().is_none_or(knows)
            || waited >= LEADER_ACKNOWLEDGEMENT_TIMEOUT;
        is_majority && leader_settled || context.is_surely_without_tasks(id)
    }

    fn is_known_to(&self, node: &NodeName, id: &JobId, version: Version) -> bool {
        let watermark = self.published_watermarks.get(node);
        let acknowledged = |replication: &Replication| replication.acknowledged_by.contains(node);
        watermark.is_some_and(|watermark| *watermark >= version)
            || self.replications.get(id).is_some_and(acknowledged)
    }

    fn replication_of(&mut self, id: &JobId, version: Version) -> &mut Replication {
        let replication = self.replications.entry(id.clone());
        replication.or_insert_with(|| Replication {
            version,
            acknowledged_by: BTreeSet::new(),
            demand: Demand::Observed,
        })
    }

    /// Decides about the waiting requests: answers what may be answered by now, and refuses what has waited too
    /// long.
    pub fn decide_waiting(&mut self, context: &AcknowledgementContext<'_>) -> Vec<Acknowledgement> {
        let mut decided = Vec::new();
        for WaitingRequest { request, since } in std::mem::take(&mut self.waiting) {
            let Some(known) = context.jobs.job(request.job()) else {
                continue;
            };
            let waited = context.now.time - since;
            if self.may_acknowledge(request.job(), known.version, waited, context) {
                decided.push(Acknowledgement::Respond(request));
            } else if waited > ACKNOWLEDGEMENT_TIMEOUT {
                self.watermark_publication.request_from_peers(known.version);
                let refusal = Refusal::CancellationNotReplicated;
                decided.push(Acknowledgement::Refuse(request, refusal));
            } else {
                self.waiting.push(WaitingRequest { request, since });
            }
        }
        decided
    }

    /// Forgets what a majority knows by its watermarks, unless a request waits for it.
    pub fn forget_replicated(&mut self) {
        let watermarks = &self.published_watermarks;
        let nodes_past = |version: Version| watermarks.values().filter(|w| **w >= version).count();
        let is_waited_for: BTreeSet<&JobId> =
            self.waiting.iter().map(|w| w.request.job()).collect();
        self.replications.retain(|id, replication| {
            nodes_past(replication.version) + 1 < self.majority || is_waited_for.contains(id)
        });
        let mut left = self.replications.values();
        self.send_due |= left.any(|replication| replication.demand == Demand::Requested);
    }

    /// The messages that are due: one to each peer at a time.
    pub fn messages_due(&mut self, jobs: &JobCache, now: Time) -> Vec<OutgoingReplication> {
        if !std::mem::take(&mut self.send_due) {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (peer, state) in &mut self.peers {
            if state.in_flight.is_some() || state.retry_at.is_some_and(|at| now < at) {
                continue;
            }
            let watermark = self.published_watermarks.get(peer).copied();
            let lacked = lacked_by(peer, watermark.unwrap_or_default(), &self.replications);
            if lacked.is_empty() {
                continue;
            }
            let cancelled = (lacked.iter())
                .filter_map(|id| jobs.cancellation(id, self.replications[id].version))
                .collect();
            state.in_flight = Some(lacked);
            messages.push(OutgoingReplication {
                peer: peer.clone(),
                message: ReplicateCancellations {
                    from: self.node.to_string(),
                    cancellation_watermark: self.watermark,
                    cancelled,
                },
            });
        }
        messages
    }

    /// A peer makes cancellations known, which it knows therefore itself.
    pub fn replication_received(
        &mut self,
        message: &ReplicateCancellations,
    ) -> ReplicateCancellationsReply {
        let from = NodeName::from(message.from.as_str());
        if self.peers.contains_key(&from) {
            self.raise_published_watermark(&from, message.cancellation_watermark);
            for job in &message.cancelled {
                if let Ok(id) = job.job.parse() {
                    let replication = self.replication_of(&id, job.version);
                    replication.acknowledged_by.insert(from.clone());
                }
            }
        }
        ReplicateCancellationsReply {
            cancellation_watermark: self.watermark,
        }
    }

    /// A peer has acknowledged the message that is under way to it. Returns whether there was one.
    pub fn replication_acknowledged(
        &mut self,
        peer: &NodeName,
        reply: &ReplicateCancellationsReply,
    ) -> bool {
        let Some(ids) = self.take_in_flight(peer, None) else {
            return false;
        };
        for id in &ids {
            if let Some(replication) = self.replications.get_mut(id) {
                replication.acknowledged_by.insert(peer.clone());
            }
        }
        self.raise_published_watermark(peer, reply.cancellation_watermark);
        self.send_due = true;
        true
    }

    /// A peer gave no usable answer: the next message waits for a while.
    pub fn replication_unanswered(&mut self, peer: &NodeName, now: Time) {
        self.take_in_flight(peer, Some(now + REPLICATION_RETRY_INTERVAL));
    }

    /// Ends the message that is under way to a peer.
    fn take_in_flight(&mut self, peer: &NodeName, retry_at: Option<Time>) -> Option<Vec<JobId>> {
        let state = self.peers.get_mut(peer)?;
        let ids = state.in_flight.take()?;
        state.retry_at = retry_at;
        Some(ids)
    }

    /// What the sender of a heartbeat lacks, if it asks for a lease vote. Without that it must not be granted.
    pub fn catch_up_for(&self, heartbeat: &Heartbeat, jobs: &JobCache) -> Option<CatchUpOffer> {
        // A node that has not read the jobs lacks too much to be sent.
        let has_read_jobs = heartbeat.cancellation_watermark != Version(0);
        if !heartbeat.requests_lease_vote || !has_read_jobs {
            return None;
        }
        let later = jobs.cancelled_after(
            heartbeat.cancellation_watermark,
            MAX_CANCELLATIONS_PER_MESSAGE,
        );
        // Above its own watermark this node knows only some, and the watermark sent must not leave any out.
        let covered = (later.cut_after).map_or(self.watermark, |cut| self.watermark.min(cut));
        Some(CatchUpOffer {
            catchup: Catchup {
                cancellation_watermark: covered,
                cancelled: later.jobs,
            },
            is_complete: later.cut_after.is_none(),
        })
    }

    /// Takes in the watermark records that nodes have published in the state service.
    pub fn watermark_records_read(&mut self, records: &BTreeMap<NodeName, WatermarkRecord>) {
        for (node, record) in records {
            self.raise_published_watermark(node, record.cancellation_watermark);
            if *node != self.node {
                self.watermark_publication.requested_by_peer(record.asks);
            }
        }
    }

    /// The watermark record that has to be published now, if any.
    pub fn watermark_record_due(&mut self, now: Time) -> Option<WatermarkRecord> {
        self.watermark_publication.write_due(self.watermark, now)
    }

    /// The write of the watermark record has ended.
    pub fn watermark_record_written(&mut self, outcome: WriteOutcome) {
        self.watermark_publication.write_ended(outcome);
    }
}

/// The requested cancellations that a peer with a watermark is not known to know, as many as a message holds.
fn lacked_by(
    peer: &NodeName,
    watermark: Version,
    replications: &BTreeMap<JobId, Replication>,
) -> Vec<JobId> {
    let is_lacked = |replication: &Replication| {
        replication.demand == Demand::Requested
            && replication.version > watermark
            && !replication.acknowledged_by.contains(peer)
    };
    (replications.iter())
        .filter(|(_, replication)| is_lacked(replication))
        .map(|(id, _)| id.clone())
        .take(MAX_CANCELLATIONS_PER_MESSAGE)
        .collect()
}

pub use watermark_publication::WriteOutcome;

#[cfg(test)]
mod tests;
