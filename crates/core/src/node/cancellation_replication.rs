//! Replication of cancellations.

use crate::api::cancellation_replication::CancellationReplication;
use crate::api::user_requests::Waiting;
use crate::io::{Output, ReqId, StoreCall};
use crate::jobs::job::Job;
use crate::node::pending_call::PendingCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::{WatermarkRecord, WATERMARK_PREFIX};
use crate::store::transactions::put;
use crate::units::{Now, Span};
use rudderreel_wire::ids::{JobId, NodeName, Version};
use rudderreel_wire::peer::{
    CancelledJob, Catchup, Heartbeat, HeartbeatReply, ReplicateCancellations,
    ReplicateCancellationsReply,
};
use rudderreel_wire::state::Transaction;
use std::collections::BTreeSet;

/// The leader's own answer is waited for so long, so that it starts nothing of a job after its user was
/// told. That is not a rule that hangs on it: without the leader a majority is enough.
const FOR_LEADER: Span = Span(150);
/// Requests that may wait.
const MOST_WAITING: usize = 400;
/// How often a node writes how much it knows, at most.
const WRITE: Span = Span(1_000);

/// A user's request waits so long for other nodes' answers; then it is refused, and the user asks again.
const PATIENCE: Span = Span(300);
/// An announcement that was not answered is repeated after so long.
const AGAIN: Span = Span(250);
/// Cancellations in one message, about. More follow with the next.
const MOST: usize = 1_000;

impl Node {
    /// Whether a user may be told that a job is cancelled.
    fn may_acknowledge_cancellation(
        &self,
        id: &JobId,
        version: Version,
        waited: Span,
        now: Now,
    ) -> bool {
        let known = &self.cancellations;
        let knowing = self.peers.keys().filter(|p| known.knows(p, id, version));
        let majority = knowing.count() + 1 >= self.election.majority();
        let leader = self.reachable_leader(now.time);
        let led = leader.is_none_or(|l| known.knows(&l, id, version)) || waited >= FOR_LEADER;
        majority && led || self.no_task_left(id, now)
    }

    /// Whether this node leads and surely no task of a cancelled job is anywhere. Every start stands in
    /// the placement log that it has read back, and nobody may start more.
    fn no_task_left(&self, id: &JobId, now: Now) -> bool {
        let nothing = |job: &Job| !job.is_active() && job.placements.is_empty();
        self.leader.as_ref().is_some_and(|leader| {
            leader.recovery.is_complete
                && leader.term.is_lease_valid(now.time)
                && leader.jobs.get(id).is_none_or(nothing)
        })
    }

    /// Whether the answer to a request that a job is cancelled must wait for other nodes; if so, it is
    /// kept for a moment, or refused.
    pub(crate) fn waits_for_replication(
        &mut self,
        waiting: &Waiting,
        version: Version,
        now: Now,
    ) -> bool {
        let id = waiting.job().clone();
        if self.may_acknowledge_cancellation(&id, version, Span(0), now) {
            return false;
        }
        self.replication_of(&id, version).announce = true;
        self.cancellations.due = true;
        if self.cancellations.waiting.len() < MOST_WAITING {
            self.cancellations.waiting.push((waiting.clone(), now.time));
        } else {
            self.refuse(waiting.req(), "too many requests are open");
        }
        true
    }

    fn replication_of(&mut self, id: &JobId, version: Version) -> &mut CancellationReplication {
        let spread = self.cancellations.replications.entry(id.clone());
        spread.or_insert_with(|| CancellationReplication {
            version,
            knows: BTreeSet::new(),
            announce: false,
        })
    }

    /// Answers what may be answered now, and refuses what has waited too long.
    fn respond_to_waiting(&mut self, now: Now) {
        for (waiting, since) in std::mem::take(&mut self.cancellations.waiting) {
            let Some(known) = self.job_cache.jobs.get(waiting.job()) else {
                continue;
            };
            let (version, waited) = (known.version, now.time - since);
            if self.may_acknowledge_cancellation(waiting.job(), version, waited, now) {
                self.respond_now(&waiting, now);
            } else if waited > PATIENCE {
                let asks = &mut self.cancellations.watermark_wanted;
                *asks = version.max(*asks);
                self.refuse(waiting.req(), "too few nodes know of the cancellation yet");
            } else {
                self.cancellations.waiting.push((waiting, since));
            }
        }
    }

    /// What is due: answers, announcements, and what is written if those fail.
    pub(crate) fn cancellations_tick(&mut self, now: Now) {
        let written = std::mem::take(&mut self.job_cache.peer_watermarks);
        for (node, record) in &written {
            self.cancellations
                .peer_watermark_received(node, record.cancellation_watermark);
        }
        let others = (written.iter()).filter(|(node, _)| **node != self.settings.node);
        let asked = others.map(|(_, record)| record.asks).max();
        let c = &mut self.cancellations;
        c.watermark_asked_for = c.watermark_asked_for.max(asked.unwrap_or_default());
        self.write_watermark(now);
        if self.cancellations.replications.is_empty() {
            return;
        }
        self.respond_to_waiting(now);
        // What most nodes know by their watches needs no keeping.
        let majority = self.election.majority();
        let peers = &self.cancellations.peers;
        let by_watch = |version: Version| peers.values().filter(|to| **to >= version).count() + 1;
        let waiting: BTreeSet<JobId> = (self.cancellations.waiting.iter())
            .map(|(w, _)| w.job().clone())
            .collect();
        (self.cancellations.replications)
            .retain(|id, s| by_watch(s.version) < majority || waiting.contains(id));
        let c = &mut self.cancellations;
        c.due |= c.replications.values().any(|s| s.announce);
    }

    /// Writes how much this node knows if another asks for that, or if it has to ask itself.
    fn write_watermark(&mut self, now: Now) {
        let c = &mut self.cancellations;
        let answers = c.watermark_asked_for > c.written.cancellation_watermark
            && c.cancellation_watermark >= c.watermark_asked_for;
        let asks = c.watermark_wanted > c.written.asks;
        let may = !c.writing && now.time >= c.next_write && self.election.store_reachable(now.time);
        if !may || !(answers || asks) {
            return;
        }
        let record = WatermarkRecord {
            cancellation_watermark: c.cancellation_watermark,
            asks: c.watermark_wanted,
        };
        (c.written, c.writing, c.next_write) = (record, true, now.time + WRITE);
        let key = format!("{WATERMARK_PREFIX}{}", self.settings.node);
        let call = StoreCall::Commit(Transaction {
            conditions: Vec::new(),
            changes: vec![put(key, &record)],
        });
        self.store_calls
            .enqueue(CallPriority::User, call, PendingCall::WriteWatermark);
    }

    /// The answer to that. If it failed it is written again when next asked for.
    pub(crate) fn watermark_written(&mut self, written: bool) {
        self.cancellations.writing = false;
        if !written {
            self.cancellations.written = WatermarkRecord::default();
        }
    }

    /// Sends what other nodes have to be told, one message to each at a time.
    pub(crate) fn send_cancellation_replications(&mut self, now: Now) {
        let c = &mut self.cancellations;
        if !std::mem::take(&mut c.due) {
            return;
        }
        for peer in self.peers.keys() {
            let wait = c.again.get(peer).is_some_and(|at| now.time < *at);
            if wait || c.open.contains_key(peer) {
                continue;
            }
            let told = c.peers.get(peer).copied().unwrap_or_default();
            let ids: Vec<JobId> = (c.replications.iter())
                .filter(|(_, s)| s.announce && s.version > told && !s.knows.contains(peer))
                .map(|(id, _)| id.clone())
                .take(MOST)
                .collect();
            if ids.is_empty() {
                continue;
            }
            let cancelled = (ids.iter())
                .filter_map(|id| self.job_cache.cancellation(id, c.replications[id].version))
                .collect();
            let announcement = ReplicateCancellations {
                from: self.settings.node.to_string(),
                cancellation_watermark: c.cancellation_watermark,
                cancelled,
            };
            c.open.insert(peer.clone(), ids);
            self.out
                .push(Output::ReplicateCancellations(peer.clone(), announcement));
        }
    }

    /// A peer makes cancellations known.
    pub(crate) fn cancellations_replicated(&mut self, req: ReqId, told: ReplicateCancellations) {
        let from = NodeName::from(told.from.as_str());
        self.update_cancelled(&told.cancelled);
        if self.peers.contains_key(&from) {
            self.cancellations
                .peer_watermark_received(&from, told.cancellation_watermark);
            for job in &told.cancelled {
                if let Ok(id) = job.job.parse() {
                    self.replication_of(&id, job.version)
                        .knows
                        .insert(from.clone());
                }
            }
        }
        let cancellation_watermark = self.cancellations.cancellation_watermark;
        let reply = ReplicateCancellationsReply {
            cancellation_watermark,
        };
        self.out
            .push(Output::AnswerReplicateCancellations(req, reply));
    }

    fn update_cancelled(&mut self, told: &[CancelledJob]) {
        for job in told {
            self.job_cache.update_cancelled(job);
        }
    }

    /// A peer's answer to what was made known to it.
    pub(crate) fn replication_answered(
        &mut self,
        peer: NodeName,
        reply: Option<ReplicateCancellationsReply>,
        now: Now,
    ) {
        let c = &mut self.cancellations;
        let Some(ids) = c.open.remove(&peer) else {
            return;
        };
        let Some(reply) = reply else {
            c.again.insert(peer, now.time + AGAIN);
            return;
        };
        c.again.remove(&peer);
        for id in &ids {
            if let Some(spread) = c.replications.get_mut(id) {
                spread.knows.insert(peer.clone());
            }
        }
        c.peer_watermark_received(&peer, reply.cancellation_watermark);
        c.due = true;
        self.respond_to_waiting(now);
    }

    /// All jobs were read, or the watch has come to a revision: everything up to it is known.
    pub(crate) fn advance_cancellation_watermark(&mut self, revision: Version) {
        let cancellation_watermark = &mut self.cancellations.cancellation_watermark;
        *cancellation_watermark = revision.max(*cancellation_watermark);
        self.election.jobs_read = true;
    }

    /// A heartbeat: what the node that sends it knows, and, if it asks for a word, what it lacks. Only
    /// with that may the word be given.
    /// Returns it with whether it holds all that this node knows.
    pub(crate) fn catch_up_for(&mut self, heartbeat: &Heartbeat) -> Option<(Catchup, bool)> {
        let peer = NodeName::from(heartbeat.from.as_str());
        if self.peers.contains_key(&peer) {
            self.cancellations
                .peer_watermark_received(&peer, heartbeat.cancellation_watermark);
        }
        // A node that has not read the jobs lacks too much to be told so.
        if !heartbeat.requests_lease_vote || heartbeat.cancellation_watermark == Version(0) {
            return None;
        }
        let later = self
            .job_cache
            .cancelled_after(heartbeat.cancellation_watermark, MOST);
        // Beyond what its watch has come to this node knows only some, and none of them may be left out.
        let cancellation_watermark = self.cancellations.cancellation_watermark;
        let catchup = Catchup {
            cancellation_watermark: later.cut_after.map_or(cancellation_watermark, |cut| {
                cancellation_watermark.min(cut)
            }),
            cancelled: later.jobs,
        };
        Some((catchup, later.cut_after.is_none()))
    }

    /// Takes in what a peer's answer to a heartbeat says, before its word counts.
    pub(crate) fn catch_up(&mut self, reply: &mut HeartbeatReply) {
        let peer = NodeName::from(reply.from.as_str());
        if self.peers.contains_key(&peer) {
            self.cancellations
                .peer_watermark_received(&peer, reply.cancellation_watermark);
        }
        if let Some(catchup) = reply.catchup.take() {
            self.update_cancelled(&catchup.cancelled);
            self.advance_cancellation_watermark(catchup.cancellation_watermark);
        }
    }
}
