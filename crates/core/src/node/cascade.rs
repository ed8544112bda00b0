//! Commits cascade cancellations: jobs that are cancelled because a job that they depend on is (see `jobs::cascade`).

use crate::io::{StoreAnswer, StoreCall};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::{job_key, JobRecord};
use crate::units::Now;
use rudderreel_wire::ids::{JobId, Version};

impl Node {
    /// Writes the cascade cancellations that are due, within the leader's share of the store's writes.
    pub(crate) fn flush_cascade_cancellations(&mut self, now: Now) {
        let Some(leader) = &self.leader else {
            return;
        };
        let mut due =
            (leader.jobs).due_cascade_cancellations(&self.job_cache, &self.store_limits, now);
        while let Some(leader) = self.leader.as_mut() {
            let wanted = due.len().min(leader.store_limits.max_operations);
            let writes_per_s = leader.store_limits.placement_writes_per_s();
            let taken =
                (leader.placement_log).take_cancellation_writes(wanted, writes_per_s, now.time);
            if taken == 0 {
                return;
            }
            let later = due.split_off(taken);
            let current = std::mem::replace(&mut due, later);
            let (commit, records) = leader.jobs.begin_cascade_commit(current, &leader.term);
            let purpose = LeaderCall::CommitCascade(records);
            self.call_store_as_leader(StoreCall::Commit(commit), purpose);
        }
    }

    /// Handles the answer to a commit of cascade cancellations.
    pub(crate) fn cascade_commit_answered(
        &mut self,
        jobs: Vec<(JobId, JobRecord)>,
        answer: StoreAnswer,
        now: Now,
    ) {
        if self.step_down_if_superseded(&answer) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        (leader.jobs).cascade_commit_ended(jobs.iter().map(|(id, _)| id));
        match answer {
            StoreAnswer::Committed(version) => self.cascade_committed(jobs, version, now),
            // The commit was not carried out: the jobs are due again.
            StoreAnswer::Refused | StoreAnswer::Rejected => {}
            StoreAnswer::Conflict(keys) => self.reread_jobs(
                (jobs.into_iter().map(|(id, _)| id)).filter(|id| keys.contains(&job_key(id))),
            ),
            _ => self.reread_jobs(jobs.into_iter().map(|(id, _)| id)),
        }
    }

    fn cascade_committed(&mut self, jobs: Vec<(JobId, JobRecord)>, version: Version, now: Now) {
        for (id, record) in jobs {
            log::info!(
                "job cancelled with a dependency job={id} dependency={:?}",
                record.cancelled_by
            );
            self.job_cache.update_job(id, version, record);
        }
        if let Some(leader) = self.leader.as_mut() {
            leader.request_cycle(now.time);
        }
    }
}
