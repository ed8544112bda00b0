//! Failures as evidence against a machine (see `agents::fault_attribution`): which jobs failed on it, whether it is
//! suspected to be faulty, and how long it is quarantined.

use super::machine::Machine;
use crate::jobs::failures::{EVIDENCE_TTL, MAX_DOUBLINGS, MAX_EVIDENCE};
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;

/// The failure of a job on a machine.
#[derive(Clone, Debug)]
pub struct JobFailure {
    /// Job that failed.
    pub job: JobId,
    /// Time of the job's first failure on the machine.
    pub at: Time,
}

/// Number of failed jobs, not suspected themselves, after which a machine is suspected.
pub const JOBS_TO_SUSPECT_MACHINE: usize = 2;
/// Duration of a machine's first quarantine. It doubles with each further job that fails on the machine.
const FIRST_QUARANTINE: Span = Span(4_000);

impl Machine {
    /// Returns whether so many jobs have failed on the machine that it is probably faulty.
    pub fn is_suspected(&self) -> bool {
        self.failed_jobs.len() >= JOBS_TO_SUSPECT_MACHINE
    }

    /// Records that a job failed on the machine, and quarantines the machine unless the job is more likely at fault.
    ///
    /// `job_is_proven`: whether some task of the job has completed or run for long.
    pub fn record_failure(&mut self, job: &JobId, job_is_proven: bool, now: Time) {
        self.failed_jobs
            .retain(|failure| now - failure.at < EVIDENCE_TTL);
        let is_known = self.failed_jobs.iter().any(|failure| failure.job == *job);
        if self.failed_jobs.len() < MAX_EVIDENCE && !is_known {
            self.failed_jobs.push(JobFailure {
                job: job.clone(),
                at: now,
            });
        }
        // A job that never succeeded is more likely at fault than a machine on which tasks of others succeed.
        if job_is_proven || !self.has_completed_task || self.is_suspected() {
            let doublings = (self.failed_jobs.len() as u32)
                .saturating_sub(1)
                .min(MAX_DOUBLINGS);
            self.quarantined_until = now + Span(FIRST_QUARANTINE.0 << doublings);
        }
    }

    /// Removes a job's failures from the evidence: the machine is not at fault for them.
    pub fn clear_blame(&mut self, job: &JobId, now: Time) {
        let before = self.failed_jobs.len();
        self.failed_jobs.retain(|failure| failure.job != *job);
        if self.failed_jobs.len() < before && !self.is_suspected() {
            self.quarantined_until = self.quarantined_until.min(now);
        }
    }

    /// Records that a task was completed on the machine, which clears the machine of all suspicion.
    pub fn task_succeeded(&mut self, now: Time) {
        self.failed_jobs.clear();
        self.has_completed_task = true;
        self.quarantined_until = self.quarantined_until.min(now);
    }
}
