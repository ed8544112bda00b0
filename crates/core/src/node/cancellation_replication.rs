//! Carries out the decisions of [`CancellationReplicator`]: sends messages to peers, answers users, and writes the
//! record that publishes this node's watermark.
//!
//! [`CancellationReplicator`]: crate::api::cancellation_replication::CancellationReplicator

use crate::api::cancellation_replication::{
    Acknowledgement, AcknowledgementContext, CatchUpOffer, WriteOutcome,
};
use crate::api::user_requests::PendingRequest;
use crate::io::{Output, ReqId, StoreAnswer, StoreCall};
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::WATERMARK_PREFIX;
use crate::store::transactions::put;
use crate::units::Now;
use rudderreel_wire::ids::{NodeName, Version};
use rudderreel_wire::peer::{
    CancelledJob, Heartbeat, HeartbeatReply, ReplicateCancellations, ReplicateCancellationsReply,
};
use rudderreel_wire::state::Transaction;

impl Node {
    /// Answers a request with the cancellation of its job, once enough nodes know of the cancellation.
    pub(crate) fn respond_cancelled(
        &mut self,
        request: PendingRequest,
        version: Version,
        now: Now,
    ) {
        let context = AcknowledgementContext {
            jobs: &self.job_cache,
            leader: self.leader.as_ref(),
            now,
        };
        let replicator = &mut self.cancellations;
        let decided = replicator.acknowledge_or_wait(request, version, &context);
        self.carry_out_acknowledgements(decided, now);
    }

    fn respond_to_waiting(&mut self, now: Now) {
        let context = AcknowledgementContext {
            jobs: &self.job_cache,
            leader: self.leader.as_ref(),
            now,
        };
        let decided = self.cancellations.decide_waiting(&context);
        self.carry_out_acknowledgements(decided, now);
    }

    fn carry_out_acknowledgements(
        &mut self,
        decided: impl IntoIterator<Item = Acknowledgement>,
        now: Now,
    ) {
        for acknowledgement in decided {
            match acknowledgement {
                Acknowledgement::Respond(request) => self.respond_now(&request, now),
                Acknowledgement::Refuse(request, refusal) => self.refuse(request.id(), refusal),
            }
        }
    }

    /// Publishes the watermark if that is due, and decides on the waiting requests.
    pub(crate) fn cancellations_tick(&mut self, now: Now) {
        let records = self.job_cache.take_written_watermarks();
        self.cancellations.watermark_records_read(&records);
        self.publish_watermark(now);
        self.cancellations.observe_cache(&self.job_cache, now.time);
        if self.cancellations.is_idle() {
            return;
        }
        self.respond_to_waiting(now);
        self.cancellations.forget_replicated();
    }

    fn publish_watermark(&mut self, now: Now) {
        if !self.election.store_reachable(now.time) {
            return;
        }
        let Some(record) = self.cancellations.watermark_record_due(now.time) else {
            return;
        };
        let key = format!("{WATERMARK_PREFIX}{}", self.settings.node);
        let call = StoreCall::Commit(Transaction {
            conditions: Vec::new(),
            changes: vec![put(key, &record)],
        });
        self.store_calls
            .enqueue(CallPriority::User, call, PendingCall::WriteWatermark);
    }

    /// Handles the answer to the write of the watermark record.
    pub(crate) fn watermark_written(&mut self, answer: &StoreAnswer) {
        let outcome = match answer {
            StoreAnswer::Committed(_) => WriteOutcome::Committed,
            _ => WriteOutcome::Failed,
        };
        self.cancellations.watermark_record_written(outcome);
    }

    /// Sends the due messages that replicate cancellations to the peers.
    pub(crate) fn send_cancellation_replications(&mut self, now: Now) {
        let due = self.cancellations.messages_due(&self.job_cache, now.time);
        let outputs = due
            .into_iter()
            .map(|outgoing| Output::ReplicateCancellations(outgoing.peer, outgoing.message));
        self.out.extend(outputs);
    }

    /// Handles a peer's message that replicates cancellations to this node.
    pub(crate) fn cancellations_replicated(&mut self, req: ReqId, message: ReplicateCancellations) {
        self.cache_cancelled_jobs(&message.cancelled);
        let reply = self.cancellations.replication_received(&message);
        self.out
            .push(Output::AnswerReplicateCancellations(req, reply));
    }

    fn cache_cancelled_jobs(&mut self, cancelled: &[CancelledJob]) {
        for job in cancelled {
            self.job_cache.update_cancelled(job);
        }
    }

    /// Handles a peer's reply to the cancellations sent to it; `reply` is `None` if the peer gave none.
    pub(crate) fn replication_answered(
        &mut self,
        peer: NodeName,
        reply: Option<ReplicateCancellationsReply>,
        now: Now,
    ) {
        let Some(reply) = reply else {
            return self.cancellations.replication_unanswered(&peer, now.time);
        };
        if self.cancellations.replication_acknowledged(&peer, &reply) {
            self.respond_to_waiting(now);
        }
    }

    /// Records that the watch, a read of all jobs or a catch-up has reached a revision.
    pub(crate) fn advance_cancellation_watermark(&mut self, revision: Version) {
        self.cancellations.advance_watermark(revision);
        self.election.observe_jobs_read();
    }

    /// Records the watermark of a heartbeat's sender; returns the cancellations that the sender lacks, if it requests a
    /// lease vote.
    pub(crate) fn catch_up_for(&mut self, heartbeat: &Heartbeat) -> Option<CatchUpOffer> {
        let peer = NodeName::from(heartbeat.from.as_str());
        let replicator = &mut self.cancellations;
        replicator.peer_watermark_received(&peer, heartbeat.cancellation_watermark);
        replicator.catch_up_for(heartbeat, &self.job_cache)
    }

    /// Applies the watermark and the catch-up in a peer's reply to a heartbeat. This must be done before the reply's
    /// lease vote counts.
    pub(crate) fn apply_catch_up(&mut self, reply: &mut HeartbeatReply) {
        let peer = NodeName::from(reply.from.as_str());
        let watermark = reply.cancellation_watermark;
        self.cancellations.peer_watermark_received(&peer, watermark);
        if let Some(catchup) = reply.catchup.take() {
            self.cache_cancelled_jobs(&catchup.cancelled);
            self.advance_cancellation_watermark(catchup.cancellation_watermark);
        }
    }
}
