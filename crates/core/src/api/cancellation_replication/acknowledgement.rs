//! The decision about one request whose job is cancelled: its inputs and its result.

use crate::api::refusal::Refusal;
use crate::api::user_requests::PendingRequest;
use crate::cache::job_cache::JobCache;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::JobId;

/// The inputs of a decision about an acknowledgement, besides the state of the replicator.
pub struct AcknowledgementContext<'a> {
    /// This node's job cache.
    pub jobs: &'a JobCache,
    /// This node's state as the leader; none if it does not lead.
    pub leader: Option<&'a Leader>,
    /// The time of the decision.
    pub now: Now,
}

/// The result of the decision about a request.
#[derive(Debug)]
pub enum Acknowledgement {
    /// The request's user may be told that the job is cancelled.
    Respond(PendingRequest),
    /// The request is refused for this reason.
    Refuse(PendingRequest, Refusal),
}

/// Why no node starts tasks of a cancelled job any more, or keeps them running, after its user has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcknowledgementBasis {
    /// No task of the job is left on any machine.
    NoTaskLeft,
    /// All nodes know the cancellation.
    AllNodesKnow,
    /// A majority knows the cancellation, and so does the only node that may start tasks.
    LeaderKnows,
    /// A majority knows the cancellation, and no node may start tasks any more on a cache that lacks it.
    OlderCachesExpired,
}

impl AcknowledgementContext<'_> {
    /// Returns whether this node leads and surely no task of a job is left on any machine. Every start is recorded in
    /// the placement log that the leader has read back, and no other node may start tasks.
    pub(super) fn is_surely_without_tasks(&self, id: &JobId) -> bool {
        let is_without_tasks = |job: &Job| !job.is_active() && job.placements.is_empty();
        self.leader.is_some_and(|leader| {
            leader.recovery.is_complete()
                && leader.term.may_act(self.now.time)
                && leader.jobs.get(id).is_none_or(is_without_tasks)
        })
    }
}
