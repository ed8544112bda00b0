//! Failures as evidence against a machine (see `agents::fault_attribution`): which jobs failed on it, whether that
//! makes it suspect, and how long it is quarantined.

use super::machine::Machine;
use crate::jobs::failures::{EVIDENCE_TTL, MAX_DOUBLINGS, MAX_EVIDENCE};
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;

/// A job that failed on a machine.
#[derive(Clone, Debug)]
pub struct JobFailure {
    /// The job.
    pub job: JobId,
    /// When it failed there first.
    pub at: Time,
}

/// A machine is suspected after failures of so many jobs that are not.
pub const JOBS_TO_SUSPECT_MACHINE: usize = 2;
/// The first quarantine of a machine; it doubles with each further job.
const FIRST_QUARANTINE: Span = Span(4_000);

impl Machine {
    /// Whether so many jobs have failed on it that it is probably faulty.
    pub fn is_suspected(&self) -> bool {
        self.failed_jobs.len() >= JOBS_TO_SUSPECT_MACHINE
    }

    /// Records that a job failed on it. `job_is_proven`: some task of the job has completed or run for long.
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
        // A job that never succeeded, on a machine where others do, is the likelier to blame.
        if job_is_proven || !self.has_completed_task || self.is_suspected() {
            let doublings = (self.failed_jobs.len() as u32)
                .saturating_sub(1)
                .min(MAX_DOUBLINGS);
            self.quarantined_until = now + Span(FIRST_QUARANTINE.0 << doublings);
        }
    }

    /// Drops a job's failures: the machine is not to blame for them.
    pub fn clear_blame(&mut self, job: &JobId, now: Time) {
        let before = self.failed_jobs.len();
        self.failed_jobs.retain(|failure| failure.job != *job);
        if self.failed_jobs.len() < before && !self.is_suspected() {
            self.quarantined_until = self.quarantined_until.min(now);
        }
    }

    /// Records that a task was completed on it, which clears it.
    pub fn task_succeeded(&mut self, now: Time) {
        self.failed_jobs.clear();
        self.has_completed_task = true;
        self.quarantined_until = self.quarantined_until.min(now);
    }
}
