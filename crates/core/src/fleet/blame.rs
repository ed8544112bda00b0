//! What failures on a machine show of the machine (see `agents::fault_attribution`).

use super::machine::Machine;
use crate::jobs::failures::{EVIDENCE_TTL, MAX_DOUBLINGS, MAX_EVIDENCE};
use crate::units::{Span, Time};
use rudderreel_wire::ids::JobId;

/// A machine is suspected after failures of so many jobs that are not.
pub const JOBS_TO_SUSPECT_MACHINE: usize = 2;
/// The first quarantine of a machine; it doubles with each further job.
const FIRST_QUARANTINE: Span = Span(4_000);

impl Machine {
    /// Whether several jobs that are not suspected have failed on it.
    pub fn is_suspected(&self) -> bool {
        self.failed_jobs.len() >= JOBS_TO_SUSPECT_MACHINE
    }

    /// A job failed on it; `sound` if nothing speaks against the job.
    pub fn record_failure(&mut self, job: &JobId, sound: bool, now: Time) {
        self.failed_jobs.retain(|(_, at)| now - *at < EVIDENCE_TTL);
        if self.failed_jobs.len() < MAX_EVIDENCE && !self.failed_jobs.iter().any(|(j, _)| j == job)
        {
            self.failed_jobs.push((job.clone(), now));
        }
        // A job that never succeeded, on a machine where others do, is the likelier to blame.
        if sound || !self.has_completed_task || self.is_suspected() {
            let times = (self.failed_jobs.len() as u32)
                .saturating_sub(1)
                .min(MAX_DOUBLINGS);
            self.quarantined_until = now + Span(FIRST_QUARANTINE.0 << times);
        }
    }

    /// The machine is not to blame for a job's failures.
    pub fn clear_blame(&mut self, job: &JobId, now: Time) {
        let before = self.failed_jobs.len();
        self.failed_jobs.retain(|(j, _)| j != job);
        if self.failed_jobs.len() < before && !self.is_suspected() {
            self.quarantined_until = self.quarantined_until.min(now);
        }
    }

    /// A task was completed on it.
    pub fn task_succeeded(&mut self, now: Time) {
        self.failed_jobs.clear();
        self.has_completed_task = true;
        self.quarantined_until = self.quarantined_until.min(now);
    }
}
