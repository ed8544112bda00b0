//! Replication of cancellations, and the decision when a user may be told that a job is cancelled.
//!
//! A node that answers agents keeps their tasks running. In an outage of the store it may do so by lease votes of a
//! majority, without being able to read what was committed before. It must not keep a task running after the user was
//! told that the task's job is cancelled. The argument that it never does:
//!
//! - **Quorum to acknowledge.** No user is told of a cancellation before a majority of the nodes, this one
//!   included, knows the cancellation: [`CancellationReplicator::acknowledge_or_wait`].
//! - **Catch-up with a lease vote.** A node that grants a lease vote sends with it all cancellations that it knows and
//!   the requester lacks, and the vote counts only after the requester has applied them:
//!   [`CancellationReplicator::catch_up_for`]. If they don't fit into one message, the vote is not granted yet.
//! - **Quorum intersection.** Any two majorities share a node. So a node that holds the votes of a majority has, for
//!   each cancellation that was ever acknowledged to a user, caught up with a node that knows this cancellation, and
//!   stops the job's tasks.
//!
//! **Replication watermark.** A node knows all cancellations up to the revision that its watch (or its catch-up) has
//! reached, and possibly some later ones. That revision is its watermark. Nodes send their watermarks to each other
//! with heartbeats and replication messages. A node that wants to acknowledge a cancellation sends the cancellations
//! above a peer's watermark to that peer; each answer acknowledges the cancellations that were sent. A watermark may
//! only state that *everything* below it is known, so a catch-up that is cut off advances the watermark no further than
//! the cut.
//!
//! If too few peers acknowledge in time, the user's request is refused and may be sent again. The nodes that the store
//! serves then publish their watermarks through it (see `watermark_publication`), since links between nodes may fail
//! while each node reaches the store.
//!
//! **Exception.** A leader that holds a valid lease and has recovered all placements may acknowledge at once if
//! no task of the job is left: every start is recorded in the placement log that the leader has read back, and no other
//! node may start tasks. A task that is on no machine is kept running by no node.
//!
//! **Starts.** A node that *keeps* tasks running by votes has caught up, as argued above. A node that *starts* tasks does
//! so by its lease, without votes, and may lack what was committed in the last seconds. So no user is told either before
//! each node that may start tasks knows the cancellation: all nodes do, or the only one that may lead does, or the time
//! has passed for which a node may act on an older cache (see `lease_barrier`).

mod acknowledgement;
mod knowledge;
mod lease_barrier;
mod peer_links;
mod watermark_publication;

use crate::api::refusal::Refusal;
use crate::api::user_requests::PendingRequest;
use crate::cache::job_cache::JobCache;
use crate::store::records::WatermarkRecord;
use crate::units::{Span, Time};
use knowledge::ClusterKnowledge;
use lease_barrier::LeaseBarrier;
use peer_links::PeerLinks;
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::peer::{
    Catchup, Heartbeat, ReplicateCancellations, ReplicateCancellationsReply,
};
use std::collections::{BTreeMap, BTreeSet};
use watermark_publication::WatermarkPublication;

use acknowledgement::AcknowledgementBasis;
pub use acknowledgement::{Acknowledgement, AcknowledgementContext};
pub use watermark_publication::WriteOutcome;

/// Waiting time for the acknowledgements of a majority beyond which a request is refused, and from which the other nodes
/// are requested to publish what they know.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span(300);
/// Maximum number of requests that wait for acknowledgements.
const MAX_WAITING_REQUESTS: usize = 400;
/// Approximate number of cancellations in one message. Further ones follow with the next message.
const MAX_CANCELLATIONS_PER_MESSAGE: usize = 1_000;

/// Replicates cancellations to the other nodes, and holds the requests that wait until enough nodes know a
/// cancellation.
#[derive(Debug)]
pub struct CancellationReplicator {
    node: NodeName,
    knowledge: ClusterKnowledge,
    lease_barrier: LeaseBarrier,
    links: PeerLinks,
    waiting: Vec<WaitingRequest>,
    /// Whether there may be cancellations to send.
    send_due: bool,
    watermark_publication: WatermarkPublication,
}

/// A request whose job is cancelled, and which waits until its user may be told so.
#[derive(Debug)]
struct WaitingRequest {
    request: PendingRequest,
    since: Time,
}

/// A replication message to a peer.
#[derive(Debug)]
pub struct OutgoingReplication {
    /// The peer that the message is sent to.
    pub peer: NodeName,
    /// The message.
    pub message: ReplicateCancellations,
}

/// The cancellations that a node which asks for a lease vote lacks.
#[derive(Debug)]
pub struct CatchUpOffer {
    /// The cancellations to send to that node.
    pub catchup: Catchup,
    /// Whether these are all that this node knows and the other lacks. Otherwise the vote must not be granted.
    pub is_complete: bool,
}

impl CancellationReplicator {
    /// Creates the replicator of a node that has just started.
    pub fn new(node: NodeName, peers: impl IntoIterator<Item = NodeName>, majority: usize) -> Self {
        let peers: BTreeSet<NodeName> = peers.into_iter().collect();
        Self {
            node,
            links: PeerLinks::new(peers.iter().cloned()),
            knowledge: ClusterKnowledge::new(peers, majority),
            lease_barrier: LeaseBarrier::default(),
            waiting: Vec::new(),
            send_due: false,
            watermark_publication: WatermarkPublication::default(),
        }
    }

    /// Returns this node's watermark: every cancellation up to this revision is known to it.
    pub fn watermark(&self) -> Version {
        self.knowledge.own_watermark()
    }

    /// Records that the watch, a read of all jobs or a catch-up has reached a revision: every cancellation up to it is
    /// known to this node.
    pub fn advance_watermark(&mut self, revision: Version) {
        self.knowledge.advance_own_watermark(revision);
    }

    /// Records the watermark in a peer's message. Messages of nodes that are not peers are ignored.
    pub fn peer_watermark_received(&mut self, peer: &NodeName, watermark: Version) {
        if self.knowledge.is_peer(peer) {
            (self.knowledge).advance_reported_watermark(peer, watermark);
        }
    }

    /// Returns whether no request waits and no cancellation is being replicated.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.knowledge.has_no_replications()
    }

    /// Decides about a request whose answer is that its job was cancelled at a version. Returns none if the request has
    /// to wait for acknowledgements; the cancellation is then sent to the peers.
    pub fn acknowledge_or_wait(
        &mut self,
        request: PendingRequest,
        version: Version,
        context: &AcknowledgementContext<'_>,
    ) -> Option<Acknowledgement> {
        self.observe_cache(context.jobs, context.now.time);
        if let Some(basis) = self.basis_for(request.job(), version, context) {
            log_acknowledgement(request.job(), version, Span(0), basis);
            return Some(Acknowledgement::Respond(request));
        }
        (self.knowledge).request_replication(request.job(), version, context.now.time);
        self.send_due = true;
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            let refusal = Refusal::TooManyOpenRequests;
            return Some(Acknowledgement::Refuse(request, refusal));
        }
        let since = context.now.time;
        self.waiting.push(WaitingRequest { request, since });
        None
    }

    /// Records which leader this node's cache names, and which revision the cache has reached. To be called at short
    /// intervals.
    pub fn observe_cache(&mut self, jobs: &JobCache, now: Time) {
        self.lease_barrier.observe(jobs, now);
    }

    /// Returns the basis on which a user may be told that a job is cancelled; none if the user may not be told yet.
    fn basis_for(
        &self,
        id: &JobId,
        version: Version,
        context: &AcknowledgementContext<'_>,
    ) -> Option<AcknowledgementBasis> {
        if context.is_surely_without_tasks(id) {
            return Some(AcknowledgementBasis::NoTaskLeft);
        }
        if !self.knowledge.is_known_to_majority(id, version) {
            return None;
        }
        if self.knowledge.is_known_to_all(id, version) {
            return Some(AcknowledgementBasis::AllNodesKnow);
        }
        if self.is_known_to_sole_leader(id, version, context.now.time) {
            return Some(AcknowledgementBasis::LeaderKnows);
        }
        let known_for = self.knowledge.known_for(id, context.now.time);
        let barrier_passed =
            known_for >= LeaseBarrier::span() || self.lease_barrier.has_passed(version);
        barrier_passed.then_some(AcknowledgementBasis::OlderCachesExpired)
    }

    fn is_known_to_sole_leader(&self, id: &JobId, version: Version, now: Time) -> bool {
        let leader = self.lease_barrier.sole_leader(version, now);
        leader.is_some_and(|leader| {
            *leader == self.node || self.knowledge.is_known_to(leader, id, version)
        })
    }

    /// Decides about the waiting requests: answers those that may be answered by now, and refuses those that have
    /// waited too long.
    pub fn decide_waiting(&mut self, context: &AcknowledgementContext<'_>) -> Vec<Acknowledgement> {
        self.observe_cache(context.jobs, context.now.time);
        let mut decided = Vec::new();
        for WaitingRequest { request, since } in std::mem::take(&mut self.waiting) {
            let Some(known) = context.jobs.job(request.job()) else {
                continue;
            };
            let waited = context.now.time - since;
            let version = known.version;
            if let Some(basis) = self.basis_for(request.job(), version, context) {
                log_acknowledgement(request.job(), version, waited, basis);
                decided.push(Acknowledgement::Respond(request));
                continue;
            }
            if waited > ACKNOWLEDGEMENT_TIMEOUT {
                self.watermark_publication.request_from_peers(version);
            }
            match self.refusal_for(&request, version, waited, context.now.time) {
                Some(refusal) => decided.push(Acknowledgement::Refuse(request, refusal)),
                None => self.waiting.push(WaitingRequest { request, since }),
            }
        }
        decided
    }

    /// Returns the refusal of a request that has waited too long; none if the request goes on waiting.
    fn refusal_for(
        &self,
        request: &PendingRequest,
        version: Version,
        waited: Span,
        now: Time,
    ) -> Option<Refusal> {
        if self.knowledge.is_known_to_majority(request.job(), version) {
            let refusal = Refusal::CancellationUnknownToLeader;
            return (!request.is_awaited(now)).then_some(refusal);
        }
        (waited > ACKNOWLEDGEMENT_TIMEOUT).then_some(Refusal::CancellationNotReplicated)
    }

    /// Forgets the replications of cancellations that a majority knows according to the nodes' watermarks, except those
    /// that a request waits for, and those that nodes may still start tasks without knowing: for these it counts since
    /// when this node has known them.
    pub fn forget_replicated(&mut self) {
        let waited_for: BTreeSet<&JobId> = self.waiting.iter().map(|w| w.request.job()).collect();
        let barrier = &self.lease_barrier;
        (self.knowledge).forget_replicated(|id, version| {
            waited_for.contains(id) || !barrier.has_passed(version)
        });
        self.send_due |= self.knowledge.has_requested();
    }

    /// Returns the messages that are due: at most one to each peer, and none to a peer while one to it is in flight.
    pub fn messages_due(&mut self, jobs: &JobCache, now: Time) -> Vec<OutgoingReplication> {
        if !std::mem::take(&mut self.send_due) {
            return Vec::new();
        }
        let peers = self.links.peers_free_at(now);
        (peers.into_iter())
            .filter_map(|peer| self.message_to(peer, jobs))
            .collect()
    }

    /// Returns the message with the cancellations that a peer may not know, if there are any. It counts as in flight.
    fn message_to(&mut self, peer: NodeName, jobs: &JobCache) -> Option<OutgoingReplication> {
        let missing = (self.knowledge).missing_at(&peer, MAX_CANCELLATIONS_PER_MESSAGE);
        if missing.is_empty() {
            return None;
        }
        let cancelled = (missing.iter())
            .filter_map(|missing| jobs.cancellation(&missing.id, missing.version))
            .collect();
        self.links.message_sent(&peer, missing);
        Some(OutgoingReplication {
            peer,
            message: ReplicateCancellations {
                from: self.node.to_string(),
                cancellation_watermark: self.knowledge.own_watermark(),
                cancelled,
            },
        })
    }

    /// Records that a peer has sent cancellations, which the peer therefore knows itself. Returns the reply.
    pub fn replication_received(
        &mut self,
        message: &ReplicateCancellations,
    ) -> ReplicateCancellationsReply {
        let from = NodeName::from(message.from.as_str());
        if self.knowledge.is_peer(&from) {
            (self.knowledge).advance_reported_watermark(&from, message.cancellation_watermark);
            for job in &message.cancelled {
                if let Ok(id) = job.job.parse() {
                    self.knowledge.observe(&id, job.version, &from);
                }
            }
        }
        ReplicateCancellationsReply {
            cancellation_watermark: self.knowledge.own_watermark(),
        }
    }

    /// Records that a peer has acknowledged the message in flight to it. Returns whether a message was in flight.
    pub fn replication_acknowledged(
        &mut self,
        peer: &NodeName,
        reply: &ReplicateCancellationsReply,
    ) -> bool {
        let Some(acknowledged) = self.links.message_answered(peer) else {
            return false;
        };
        for cancellation in &acknowledged {
            self.knowledge.acknowledge(&cancellation.id, peer);
        }
        (self.knowledge).advance_reported_watermark(peer, reply.cancellation_watermark);
        self.send_due = true;
        true
    }

    /// Records that a peer gave no usable answer. The next message to it is sent after a delay.
    pub fn replication_unanswered(&mut self, peer: &NodeName, now: Time) {
        self.links.message_unanswered(peer, now);
    }

    /// Returns the cancellations that the sender of a heartbeat lacks, if it asks for a lease vote. Without this offer
    /// the vote must not be granted.
    pub fn catch_up_for(&self, heartbeat: &Heartbeat, jobs: &JobCache) -> Option<CatchUpOffer> {
        // A node that has not read the jobs lacks too many cancellations to send.
        let has_read_jobs = heartbeat.cancellation_watermark != Version(0);
        if !heartbeat.requests_lease_vote || !has_read_jobs {
            return None;
        }
        let later = jobs.cancelled_after(
            heartbeat.cancellation_watermark,
            MAX_CANCELLATIONS_PER_MESSAGE,
        );
        // Above its own watermark this node knows only some cancellations, and the watermark that is sent must not
        // cover a cancellation that is left out.
        let own = self.knowledge.own_watermark();
        let covered = later.cut_after.map_or(own, |cut| own.min(cut));
        Some(CatchUpOffer {
            catchup: Catchup {
                cancellation_watermark: covered,
                cancelled: later.jobs,
            },
            is_complete: later.cut_after.is_none(),
        })
    }

    /// Applies the watermark records that nodes have published in the store.
    pub fn watermark_records_read(&mut self, records: &BTreeMap<NodeName, WatermarkRecord>) {
        for (node, record) in records {
            (self.knowledge).advance_reported_watermark(node, record.cancellation_watermark);
            if *node != self.node {
                self.watermark_publication
                    .requested_by_peer(record.requested_watermark);
            }
        }
    }

    /// Returns the watermark record that has to be published now, if any. It counts as published until its write fails.
    pub fn watermark_record_due(&mut self, now: Time) -> Option<WatermarkRecord> {
        let watermark = self.knowledge.own_watermark();
        self.watermark_publication.write_due(watermark, now)
    }

    /// Records how the write of the watermark record has ended.
    pub fn watermark_record_written(&mut self, outcome: WriteOutcome) {
        self.watermark_publication.write_ended(outcome);
    }
}

/// Logs the basis on which a cancellation is acknowledged to its user, and the revision of the cancellation.
fn log_acknowledgement(id: &JobId, version: Version, waited: Span, basis: AcknowledgementBasis) {
    log::debug!(
        "cancellation acknowledged to its user job={id} version={version} waited_ms={} basis={basis:?}",
        waited.0
    );
}

#[cfg(test)]
mod tests;
