//! Commits the completion of jobs.
//!
//! Each job's record is replaced on the condition that it still has the version that the leader knows, so a
//! cancellation that was committed first wins. After a commit of unknown outcome the jobs' keys are read.

use crate::fleet::Phase;
use crate::io::{StoreAnswer, StoreCall, Value};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::limits::StoreLimits;
use crate::store::records::{job_key, JobRecord};
use crate::store::transactions::{condition, put};
use crate::units::Now;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Transaction;
use rudderreel_wire::worker::Cause;
use std::collections::BTreeSet;

/// Maximum number of jobs whose completion one commit records.
const MAX_JOBS_PER_COMMIT: usize = 16;

impl Node {
    /// Commits the completion of jobs whose tasks have all been reported as done.
    pub(super) fn flush_completions(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for (ids, commit) in leader.begin_completion_commits(now) {
            let purpose = LeaderCall::CommitCompletions(ids);
            self.call_store_as_leader(StoreCall::Commit(commit), purpose);
        }
    }

    /// Handles the answer to a commit that records the completion of jobs.
    pub(super) fn completions_answered(&mut self, ids: Vec<JobId>, answer: StoreAnswer, now: Now) {
        if self.step_down_if_superseded(&answer) {
            return;
        }
        match answer {
            StoreAnswer::Committed(version) => self.completions_committed(&ids, version, now),
            StoreAnswer::Refused | StoreAnswer::Rejected => self.retry_completions(&ids),
            StoreAnswer::Conflict(keys) if !keys.is_empty() => {
                // The conditions of the other jobs did not fail: they are tried again without the conflicting ones.
                let (conflicting, others): (Vec<_>, Vec<_>) =
                    ids.into_iter().partition(|id| keys.contains(&job_key(id)));
                self.retry_completions(&others);
                self.reread_jobs(conflicting);
            }
            _ => self.reread_jobs(ids),
        }
    }

    fn completions_committed(&mut self, ids: &[JobId], version: Version, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.mark_outcomes_recorded(ids);
        for id in ids {
            if let Some(record) = leader.complete_job(id, now) {
                self.job_cache.update_job(id.clone(), version, record);
            }
        }
        leader.request_cycle(now.time);
    }

    fn retry_completions(&mut self, ids: &[JobId]) {
        if let Some(leader) = self.leader.as_mut() {
            leader.retry_completions(ids);
        }
    }

    /// Reads the records of jobs whose commit failed or has an unknown outcome.
    pub(super) fn reread_jobs(&mut self, ids: impl IntoIterator<Item = JobId>) {
        for id in ids {
            let call = StoreCall::Get(job_key(&id));
            self.call_store_as_leader(call, LeaderCall::RereadJob(id));
        }
    }

    /// Handles a job's record as read after a commit that failed or has an unknown outcome.
    pub(super) fn job_reread(&mut self, id: JobId, answer: StoreAnswer) {
        if let StoreAnswer::Found(item) = answer {
            if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                self.job_cache.update_job(id.clone(), item.version, record);
                self.update_job_from_cache(&id);
            }
        }
        // If the record was not read, the commit is tried again with the known version. If the first try was carried
        // out, the second fails because of that version, and the key is read again. (Repeating the read at once would
        // fill an outage with calls.)
        self.retry_completions(&[id]);
    }

    /// Passes a job to the leader as the cache knows it.
    fn update_job_from_cache(&mut self, id: &JobId) {
        if let (Some(leader), Some(known)) = (self.leader.as_mut(), self.job_cache.job(id)) {
            leader.update_job(id, known.version, &known.record);
        }
    }
}

impl Leader {
    /// Begins the commits that record the completion of jobs whose tasks are all done; returns each commit with its
    /// jobs. Many small jobs end at about the same time, so one commit holds several.
    fn begin_completion_commits(&mut self, now: Now) -> Vec<(Vec<JobId>, Transaction<Value>)> {
        let leadership = self.term.key_condition();
        let limits = &self.store_limits;
        let mut due: Vec<&mut Job> = (self.jobs.values_mut())
            .filter(|job| !job.completion_in_flight && job.is_active() && job.is_complete())
            .collect();
        let mut commits = Vec::new();
        for jobs in due.chunks_mut(limits.max_operations.min(MAX_JOBS_PER_COMMIT)) {
            let mut conditions = vec![leadership.clone()];
            let mut changes = Vec::new();
            for job in jobs.iter_mut() {
                job.completion_in_flight = true;
                let key = job_key(&job.spec.id);
                conditions.push(condition(key.clone(), job.version));
                changes.push(put(key, &completed_record(job, limits, now)));
            }
            let ids = jobs.iter().map(|job| job.spec.id.clone()).collect();
            commits.push((
                ids,
                Transaction {
                    conditions,
                    changes,
                },
            ));
        }
        commits
    }

    /// Marks the placed tasks of some jobs that succeeded: their outcome is recorded in the store.
    fn mark_outcomes_recorded(&mut self, ids: &[JobId]) {
        let ids: BTreeSet<&JobId> = ids.iter().collect();
        let machines = self.fleet.machines.values_mut();
        for placed in machines.flat_map(|machine| &mut machine.tasks) {
            let succeeded = placed.phase == Phase::Exited(Cause::Done);
            placed.outcome_recorded |= succeeded && ids.contains(&placed.task.job);
        }
    }

    /// Finishes a job whose completion was committed; returns its record, or `None` if the job is not known any more.
    fn complete_job(&mut self, id: &JobId, now: Now) -> Option<JobRecord> {
        let job = self.jobs.get_mut(id)?;
        log::info!("job done job={id}");
        job.completion_in_flight = false;
        let record = completed_record(job, &self.store_limits, now);
        self.finish_job(id);
        Some(record)
    }

    /// Makes the completion of jobs due again after it was not committed.
    fn retry_completions(&mut self, ids: &[JobId]) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id) {
                job.completion_in_flight = false;
            }
        }
    }
}

/// Returns the record of a job whose tasks are all done. While some of its tasks may still be on machines, the record
/// keeps the submission, so that a later leader knows whose capacity they use.
pub(crate) fn completed_record(job: &Job, limits: &StoreLimits, now: Now) -> JobRecord {
    let record = JobRecord::done(job.spec.tasks, job.submitted, now.wall);
    if job.placements.is_empty() {
        record
    } else {
        record.with_submission(&job.spec, limits)
    }
}

#[cfg(test)]
mod tests;
