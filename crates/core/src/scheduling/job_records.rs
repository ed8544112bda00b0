//! Applying a job's stored record, which the watch of the key-value store delivers, to the leader's job table.

use crate::jobs::job::{Job, JobStage};
use crate::leader::Leader;
use crate::store::records::JobRecord;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;

impl Leader {
    /// Applies a job's record.
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

    /// During failover state recovery the placement log may yet name tasks of a job that is done or cancelled: the
    /// job is kept for them.
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

    /// Notes that a job is done. It is kept while some of its tasks may still be on a machine, and during failover
    /// state recovery, when the placement log may yet name some.
    pub fn finish_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = JobStage::Finished;
            if job.placements.is_empty() && self.recovery.is_complete() {
                self.jobs.remove(id);
            }
        }
    }
}
