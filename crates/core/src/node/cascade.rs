//! The leader writes that jobs are cancelled with what they depend on.
//!
//! They are cancelled from the commit of the one cancellation on (see `dependencies`); their records
//! make that visible to all. The writes may be repeated and come in any order, since each depends on
//! the version of the job's record. A leader that takes over finds what is left in its cache. Each
//! record that is written shows the next jobs along the pipeline.

use crate::io::{StoreAnswer, StoreCall};
use crate::node::pending_call::LeaderCall;
use crate::node::Node;
use crate::store::records::{job_key, JobRecord};
use crate::store::transactions::{condition, put};
use crate::units::Now;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;
use rudderreel_wire::state::Transaction;

/// Jobs looked at in one go: the rest follow with the next.
const MOST: usize = 64;

/// A job whose record is to be written.
struct CascadeCancellation {
    id: JobId,
    version: Version,
    record: JobRecord,
}

impl Node {
    /// Writes records that are due, the oldest jobs first, within the leader's part of the writes.
    pub(crate) fn flush_cancellations(&mut self, now: Now) {
        let mut due = self.due_cascade_cancellations(now);
        while let Some(leader) = self.leader.as_mut() {
            let wanted = due.len().min(leader.store_limits.operations);
            let rate = leader.store_limits.placement_writes();
            let taken = (leader.placement_log).take_cancellation_writes(wanted, rate, now.time);
            if taken == 0 {
                return;
            }
            let rest = due.split_off(taken);
            self.write_cancelled(std::mem::replace(&mut due, rest));
        }
    }

    /// Writes the records of some jobs in one transaction.
    fn write_cancelled(&mut self, jobs: Vec<CascadeCancellation>) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let mut conditions = vec![leader.term.key_condition()];
        let mut changes = Vec::new();
        for job in &jobs {
            leader.jobs.cascading.insert(job.id.clone());
            conditions.push(condition(job_key(&job.id), job.version));
            changes.push(put(job_key(&job.id), &job.record));
        }
        let call = StoreCall::Commit(Transaction {
            conditions,
            changes,
        });
        let records = jobs.into_iter().map(|job| (job.id, job.record)).collect();
        self.call_store_as_leader(call, LeaderCall::CommitCascade(records));
    }

    fn due_cascade_cancellations(&self, now: Now) -> Vec<CascadeCancellation> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let cancelled = |id: &&JobId| {
            let known = self.job_cache.job(id);
            known.is_some_and(|k| k.record.state == JobState::Cancelled)
        };
        let mut due: Vec<CascadeCancellation> = (self.job_cache.graph().awaiting_cascade())
            .filter(|id| !leader.jobs.cascading.contains(id))
            .take(MOST)
            .filter_map(|id| {
                let known = self.job_cache.job(id)?;
                let by = known.dependencies().iter().find(cancelled)?;
                Some(CascadeCancellation {
                    id: id.clone(),
                    version: known.version,
                    record: known.record.cancelled(now.wall, Some(by), &self.limits),
                })
            })
            .collect();
        due.sort_by_key(|job| job.version);
        due
    }

    /// The answer to such a commit.
    pub(crate) fn cascaded(
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
        for (id, _) in &jobs {
            leader.jobs.cascading.remove(id);
        }
        match answer {
            StoreAnswer::Committed(version) => {
                for (id, record) in jobs {
                    log::info!("{id} is cancelled with {:?}", record.cancelled_by);
                    self.job_cache.update_job(id, version, record);
                }
                if let Some(leader) = self.leader.as_mut() {
                    leader.request_cycle(now.time);
                }
            }
            // Not carried out: it is tried again.
            StoreAnswer::Refused | StoreAnswer::Rejected => {}
            StoreAnswer::Conflict(keys) => self.read_jobs(
                (jobs.into_iter().map(|(id, _)| id)).filter(|id| keys.contains(&job_key(id))),
            ),
            _ => self.read_jobs(jobs.into_iter().map(|(id, _)| id)),
        }
    }

    /// Reads what jobs' keys hold after a commit that failed.
    fn read_jobs(&mut self, ids: impl Iterator<Item = JobId>) {
        for id in ids {
            let call = StoreCall::Get(job_key(&id));
            self.call_store_as_leader(call, LeaderCall::RereadJob(id));
        }
    }
}
