//! What each open call to the store is for, so that its answer finds its handler.
//!
//! One convention for all: a call is queued with its [`PendingCall`], and the answer is handed to the handler that
//! belongs to it, together with what the variant carries. Nothing else about an open call is kept.

use crate::api::user_requests::UserCall;
use crate::cache::cache_sync::Listing;
use crate::io::{CallId, ReqId, StoreAnswer, StoreCall};
use crate::leader::recovery_progress::RecoveryPage;
use crate::leadership::election::ElectionCall;
use crate::node::Node;
use crate::store::calls::CallPriority;
use crate::store::records::{JobRecord, SegmentId};
use crate::units::{Now, Time};
use rudderreel_wire::admin::AdminSettings;
use rudderreel_wire::ids::{Epoch, JobId, LeaseId};

/// What a call to the store is for.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// A step of the election, or the renewal of the leader's lease.
    Election(ElectionCall),
    /// List the watched keys into the cache: the listing so far, none for the first page.
    CacheSync(Option<Listing>),
    /// Read what has changed since the cache was last confirmed.
    ConfirmCache,
    /// A step of a user's request.
    User(UserCall),
    /// A call of a leader. The lease identifies its term: answers to calls of an earlier term are dropped.
    Leader(LeaseId, LeaderCall),
    /// Replace the operators' settings for an administrator's request.
    ReplaceAdminSettings(ReqId, Box<AdminSettings>),
    /// Write this node's cancellation watermark.
    WriteWatermark,
}

/// What a call of the leader is for.
#[derive(Clone, Debug)]
pub(crate) enum LeaderCall {
    /// Read a page of the state for the failover recovery.
    RecoverPage(RecoveryPage),
    /// Write a segment of the placement log.
    CommitSegment(SegmentId),
    /// Record that jobs are done.
    CommitCompletions(Vec<JobId>),
    /// See what a job's key holds after a commit that failed.
    RereadJob(JobId),
    /// Bump the epoch to this one.
    BumpEpoch(Epoch),
    /// See whether the epoch was bumped to this one.
    VerifyEpochBump(Epoch),
    /// Store the machine types for the other nodes.
    StoreCatalog,
    /// A step of closing the version gate; the term knows which.
    CloseVersionGate,
    /// Record that jobs are cancelled with what they depend on.
    CommitCascade(Vec<(JobId, JobRecord)>),
}

impl Node {
    /// Queues a call of the leader; nothing if this node does not lead.
    pub(crate) fn call_store_as_leader(&mut self, call: StoreCall, purpose: LeaderCall) {
        let Some(leader) = &self.leader else {
            return;
        };
        let purpose = PendingCall::Leader(leader.term.lease_id(), purpose);
        self.store_calls
            .enqueue(CallPriority::Leader, call, purpose);
    }

    /// Hands the store's answer to the handler of the call.
    pub(super) fn store_call_answered(
        &mut self,
        id: CallId,
        sent: Time,
        answer: StoreAnswer,
        now: Now,
    ) {
        self.election.observe_store_answer(now.time, &answer);
        if matches!(answer, StoreAnswer::Rejected) {
            self.lower_store_limits();
        }
        let Some(purpose) = self.store_calls.complete(id) else {
            return log::debug!("an answer to a call that is not open");
        };
        match purpose {
            PendingCall::Election(call) => self.election_call_answered(call, sent, answer, now),
            PendingCall::CacheSync(listing) => {
                self.cache_sync_page_answered(listing, sent, answer, now)
            }
            PendingCall::ConfirmCache => self.cache_confirmation_answered(sent, answer, now),
            PendingCall::User(call) => self.user_call_answered(call, answer, now),
            PendingCall::Leader(term, call) => {
                if self.is_leading_in(term) {
                    self.leader_call_answered(call, answer, now);
                }
            }
            PendingCall::ReplaceAdminSettings(req, settings) => {
                self.admin_settings_replaced(req, *settings, answer)
            }
            PendingCall::WriteWatermark => self.watermark_written(&answer),
        }
    }

    /// Whether this node leads in the term of a lease.
    fn is_leading_in(&self, term: LeaseId) -> bool {
        (self.leader.as_ref()).is_some_and(|leader| leader.term.lease_id() == term)
    }

    fn leader_call_answered(&mut self, call: LeaderCall, answer: StoreAnswer, now: Now) {
        match call {
            LeaderCall::RecoverPage(asked) => self.recovery_page_answered(asked, answer, now),
            LeaderCall::CommitSegment(segment) => {
                self.segment_commit_answered(segment, answer, now)
            }
            LeaderCall::CommitCompletions(ids) => self.completions_answered(ids, answer, now),
            LeaderCall::RereadJob(id) => self.job_reread(id, answer),
            LeaderCall::BumpEpoch(epoch) => self.epoch_bump_answered(epoch, answer, now),
            LeaderCall::VerifyEpochBump(epoch) => {
                self.epoch_bump_verification_answered(epoch, answer, now)
            }
            LeaderCall::StoreCatalog => {}
            LeaderCall::CloseVersionGate => self.version_gate_answered(answer, now),
            LeaderCall::CommitCascade(jobs) => self.cascade_commit_answered(jobs, answer, now),
        }
    }

    /// A transaction was rejected as too large: the store's limits are lower than was known.
    fn lower_store_limits(&mut self) {
        self.limits.halve();
        log::warn!(
            "transaction rejected, limits are halved limits={:?}",
            self.limits
        );
        if let Some(leader) = self.leader.as_mut() {
            leader.store_limits = self.limits;
        }
    }
}
