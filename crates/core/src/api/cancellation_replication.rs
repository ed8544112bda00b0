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
//! serves publish their watermarks through it (see `watermark_publication`): links between nodes may fail while each
//! reaches the state service.
//!
//! **Exception.** A leader that holds a valid lease and has recovered all placements may acknowledge at once if
//! no task of the job is left: every start stands in the placement log that it has read back, and nobody else may
//! start tasks. What no machine holds nobody keeps running.
//!
//! The leader's own acknowledgement is awaited for a moment, so that it starts nothing more of the job after its
//! user was told. Safety does not depend on that. Who *keeps* tasks running by votes has caught up, as argued above. Who
//! *starts* them does so by its lease, without votes, and only while its cache is as fresh as the lease
//! ([`Term::may_act_until`](crate::leadership::term::Term::may_act_until)).

mod acknowledgement;
mod knowledge;
mod watermark_publication;

use crate::api::refusal::Refusal;
use crate::api::user_requests::PendingRequest;
use crate::cache::job_cache::JobCache;
use crate::store::records::WatermarkRecord;
use crate::units::{Span, Time};
use knowledge::{ClusterKnowledge, LackedCancellation};
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::peer::{
    Catchup, Heartbeat, ReplicateCancellations, ReplicateCancellationsReply,
};
use std::collections::{BTreeMap, BTreeSet};
use watermark_publication::WatermarkPublication;

pub use acknowledgement::{Acknowledgement, AcknowledgementContext};
pub use watermark_publication::WriteOutcome;

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

/// Replicates cancellations to the other nodes, and holds the requests that wait until enough of them know.
#[derive(Debug)]
pub struct CancellationReplicator {
    node: NodeName,
    knowledge: ClusterKnowledge,
    /// The messages to each peer.
    links: BTreeMap<NodeName, PeerLink>,
    waiting: Vec<WaitingRequest>,
    /// Whether there may be something to send.
    send_due: bool,
    watermark_publication: WatermarkPublication,
}

/// The messages to one peer: one at a time.
#[derive(Debug, Default)]
struct PeerLink {
    /// What the message holds that is under way.
    in_flight: Option<Vec<LackedCancellation>>,
    /// After a message without an answer: when the next may be sent.
    retry_at: Option<Time>,
}

/// A request whose answer is that a job is cancelled.
#[derive(Debug)]
struct WaitingRequest {
    request: PendingRequest,
    since: Time,
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

impl PeerLink {
    fn may_send(&self, now: Time) -> bool {
        self.in_flight.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }
}

impl CancellationReplicator {
    /// The replicator of a node that has just started.
    pub fn new(node: NodeName, peers: impl IntoIterator<Item = NodeName>, majority: usize) -> Self {
        let peers: BTreeSet<NodeName> = peers.into_iter().collect();
        let links = peers.iter().cloned();
        Self {
            node,
            links: links.map(|peer| (peer, PeerLink::default())).collect(),
            knowledge: ClusterKnowledge::new(peers, majority),
            waiting: Vec::new(),
            send_due: false,
            watermark_publication: WatermarkPublication::default(),
        }
    }

    /// Every cancellation up to this revision is known to this node.
    pub fn watermark(&self) -> Version {
        self.knowledge.own_watermark()
    }

    /// The watch, a read of all jobs or a catch-up has reached a revision: everything up to it is known.
    pub fn advance_watermark(&mut self, revision: Version) {
        self.knowledge.advance_own_watermark(revision);
    }

    /// A peer's message says how far its watermark is. Others than peers are ignored.
    pub fn peer_watermark_received(&mut self, peer: &NodeName, watermark: Version) {
        if self.knowledge.is_peer(peer) {
            (self.knowledge).advance_published_watermark(peer, watermark);
        }
    }

    /// Whether no request waits and no cancellation is replicated.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.knowledge.has_no_replications()
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
            self.log_acknowledgement(request.job(), version);
            return Some(Acknowledgement::Respond(request));
        }
        (self.knowledge).request_replication(request.job(), version);
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
        let is_known_to_leader = |leader| self.knowledge.is_known_to(leader, id, version);
        let leader_settled = (context.reachable_leader.as_ref()).is_none_or(is_known_to_leader)
            || waited >= LEADER_ACKNOWLEDGEMENT_TIMEOUT;
        let is_majority = self.knowledge.is_known_to_majority(id, version);
        is_majority && leader_settled || context.is_surely_without_tasks(id)
    }

    /// Names what a user is told of a cancellation on: its revision, and whether a majority knows it, or no task is left.
    fn log_acknowledgement(&self, id: &JobId, version: Version) {
        let is_known_to_majority = self.knowledge.is_known_to_majority(id, version);
        log::debug!(
            "cancellation acknowledged to its user job={id} version={version} known_to_majority={is_known_to_majority}"
        );
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
                self.log_acknowledgement(request.job(), known.version);
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
        let waited_for: BTreeSet<&JobId> = self.waiting.iter().map(|w| w.request.job()).collect();
        (self.knowledge).forget_replicated(|id| waited_for.contains(id));
        self.send_due |= self.knowledge.has_requested();
    }

    /// The messages that are due: one to each peer at a time.
    pub fn messages_due(&mut self, jobs: &JobCache, now: Time) -> Vec<OutgoingReplication> {
        if !std::mem::take(&mut self.send_due) {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (peer, link) in &mut self.links {
            if !link.may_send(now) {
                continue;
            }
            let lacked = (self.knowledge).lacked_by(peer, MAX_CANCELLATIONS_PER_MESSAGE);
            if lacked.is_empty() {
                continue;
            }
            let cancelled = (lacked.iter())
                .filter_map(|lacked| jobs.cancellation(&lacked.id, lacked.version))
                .collect();
            link.in_flight = Some(lacked);
            messages.push(OutgoingReplication {
                peer: peer.clone(),
                message: ReplicateCancellations {
                    from: self.node.to_string(),
                    cancellation_watermark: self.knowledge.own_watermark(),
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
        if self.knowledge.is_peer(&from) {
            (self.knowledge).advance_published_watermark(&from, message.cancellation_watermark);
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

    /// A peer has acknowledged the message that is under way to it. Returns whether there was one.
    pub fn replication_acknowledged(
        &mut self,
        peer: &NodeName,
        reply: &ReplicateCancellationsReply,
    ) -> bool {
        let Some(acknowledged) = self.message_ended(peer, None) else {
            return false;
        };
        for cancellation in &acknowledged {
            self.knowledge.acknowledge(&cancellation.id, peer);
        }
        (self.knowledge).advance_published_watermark(peer, reply.cancellation_watermark);
        self.send_due = true;
        true
    }

    /// A peer gave no usable answer: the next message waits for a while.
    pub fn replication_unanswered(&mut self, peer: &NodeName, now: Time) {
        self.message_ended(peer, Some(now + REPLICATION_RETRY_INTERVAL));
    }

    /// Ends the message that is under way to a peer; returns what it held.
    fn message_ended(
        &mut self,
        peer: &NodeName,
        retry_at: Option<Time>,
    ) -> Option<Vec<LackedCancellation>> {
        let link = self.links.get_mut(peer)?;
        let held = link.in_flight.take()?;
        link.retry_at = retry_at;
        Some(held)
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

    /// Takes in the watermark records that nodes have published in the state service.
    pub fn watermark_records_read(&mut self, records: &BTreeMap<NodeName, WatermarkRecord>) {
        for (node, record) in records {
            (self.knowledge).advance_published_watermark(node, record.cancellation_watermark);
            if *node != self.node {
                self.watermark_publication
                    .requested_by_peer(record.requested_watermark);
            }
        }
    }

    /// The watermark record that has to be published now, if any.
    pub fn watermark_record_due(&mut self, now: Time) -> Option<WatermarkRecord> {
        let watermark = self.knowledge.own_watermark();
        self.watermark_publication.write_due(watermark, now)
    }

    /// The write of the watermark record has ended.
    pub fn watermark_record_written(&mut self, outcome: WriteOutcome) {
        self.watermark_publication.write_ended(outcome);
    }
}

#[cfg(test)]
mod tests;
