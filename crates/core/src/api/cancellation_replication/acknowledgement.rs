//! The decision about one request: what it depends on, and what becomes of the request.

use crate::api::refusal::Refusal;
use crate::api::user_requests::PendingRequest;
use crate::cache::job_cache::JobCache;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::{JobId, NodeName};

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

impl AcknowledgementContext<'_> {
    /// Whether this node leads and surely no task of a job is left on any machine. Every start stands in the
    /// placement log that it has read back, and nobody else may start tasks.
    pub(super) fn is_surely_without_tasks(&self, id: &JobId) -> bool {
        let is_without_tasks = |job: &Job| !job.is_active() && job.placements.is_empty();
        self.leader.is_some_and(|leader| {
            leader.recovery.is_complete()
                && leader.term.may_act(self.now.time)
                && leader.jobs.get(id).is_none_or(is_without_tasks)
        })
    }
}
