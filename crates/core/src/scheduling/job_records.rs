//! Applies stored job records, which the watch of the store delivers, to the leader's job table.

use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::store::records::JobRecord;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;

impl Leader {
    /// Applies the stored record of a job.
    pub fn update_job(&mut self, id: &JobId, version: Version, record: &JobRecord) {
        match record.state {
            JobState::Done => {
                self.restore_ended_job(id, version, record, JobStage::Finished);
                self.finish_job(id);
            }
            JobState::Cancelled => {
                let cancelled_at = record.cancelled.unwrap_or(record.submitted);
                let stage = JobStage::Cancelled(cancelled_at);
                self.restore_ended_job(id, version, record, stage);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version;
                    job.stage = stage;
                }
            }
            JobState::Queued | JobState::Running => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.version = version.max(job.version);
                } else if let Some(spec) = &record.spec {
                    let job = Job::new(spec.clone(), version, record.submitted);
                    self.jobs.insert(id.clone(), job);
                }
            }
        }
    }

    /// Restores a job that is done or cancelled during failover state recovery, because the placement log may still
    /// name tasks of it.
    fn restore_ended_job(
        &mut self,
        id: &JobId,
        version: Version,
        record: &JobRecord,
        stage: JobStage,
    ) {
        if self.recovery.is_complete() || self.jobs.contains(id) {
            return;
        }
        if let Some(spec) = &record.spec {
            let mut job = Job::new(spec.clone(), version, record.submitted);
            job.stage = stage;
            self.jobs.insert(id.clone(), job);
        }
    }

    /// Records that a job is done. The job is kept while some of its tasks may still be on a machine, and during
    /// failover state recovery, while the placement log may still name some.
    pub fn finish_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = JobStage::Finished;
            if job.placements.is_empty() && self.recovery.is_complete() {
                self.jobs.remove(id);
            }
        }
    }
}
