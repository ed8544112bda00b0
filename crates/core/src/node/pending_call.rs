//! The purpose of each open call to the store, by which its answer is routed to its handler.
//!
//! A call is queued with its [`PendingCall`]. Its answer is passed to the handler of that variant, together with the
//! data that the variant carries. Nothing else is kept about an open call.

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

/// The purpose of a call to the store.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// A step of the election, or the renewal of the leader's lease.
    Election(ElectionCall),
    /// List the watched keys into the cache. Carries the listing so far, or `None` for the first page.
    CacheSync(Option<Listing>),
    /// Read the changes since the cache was last confirmed.
    ConfirmCache,
    /// A step of a user's request.
    User(UserCall),
    /// A call of a leader. The lease identifies the leader's term: answers to calls of an earlier term are dropped.
    Leader(LeaseId, LeaderCall),
    /// Replace the operators' settings for an administrator's request.
    ReplaceAdminSettings(ReqId, Box<AdminSettings>),
    /// Write this node's cancellation watermark.
    WriteWatermark,
}

/// The purpose of a leader's call to the store.
#[derive(Clone, Debug)]
pub(crate) enum LeaderCall {
    /// Read a page of the state during the failover recovery.
    RecoverPage(RecoveryPage),
    /// Write a segment of the placement log.
    CommitSegment(SegmentId),
    /// Record that jobs are done.
    CommitCompletions(Vec<JobId>),
    /// Read a job's key after a commit that failed or has an unknown outcome.
    RereadJob(JobId),
    /// Bump the epoch to this one.
    BumpEpoch(Epoch),
    /// Check whether the epoch was bumped to this one.
    VerifyEpochBump(Epoch),
    /// Store the machine types for the other nodes.
    StoreCatalog,
    /// A step of closing the version gate; the term holds which one.
    CloseVersionGate,
    /// Record cascade cancellations.
    CommitCascade(Vec<(JobId, JobRecord)>),
}

impl Node {
    /// Queues a call of the leader; does nothing if this node does not lead.
    pub(crate) fn call_store_as_leader(&mut self, call: StoreCall, purpose: LeaderCall) {
        let Some(leader) = &self.leader else {
            return;
        };
        let purpose = PendingCall::Leader(leader.term.lease_id(), purpose);
        self.store_calls
            .enqueue(CallPriority::Leader, call, purpose);
    }

    /// Passes the store's answer to the handler of the call.
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
            return log::debug!("store answer dropped reason=call_not_open");
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

    /// Returns whether this node leads in the term that a lease identifies.
    fn is_leading_in(&self, term: LeaseId) -> bool {
        (self.leader.as_ref()).is_some_and(|leader| leader.term.lease_id() == term)
    }

    fn leader_call_answered(&mut self, call: LeaderCall, answer: StoreAnswer, now: Now) {
        match call {
            LeaderCall::RecoverPage(requested) => {
                self.recovery_page_answered(requested, answer, now)
            }
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

    /// Halves the limits of the store after a transaction was rejected as too large, which shows that the store's
    /// limits are lower than was known.
    fn lower_store_limits(&mut self) {
        self.store_limits.halve();
        log::warn!(
            "transaction rejected, store limits halved limits={:?}",
            self.store_limits
        );
        if let Some(leader) = self.leader.as_mut() {
            leader.store_limits = self.store_limits;
        }
    }
}
