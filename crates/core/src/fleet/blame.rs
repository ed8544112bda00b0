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
        self.blamed.len() >= JOBS_TO_SUSPECT_MACHINE
    }

    /// A job failed on it; `sound` if nothing speaks against the job.
    pub fn record_failure(&mut self, job: &JobId, sound: bool, now: Time) {
        self.blamed.retain(|(_, at)| now - *at < EVIDENCE_TTL);
        if self.blamed.len() < MAX_EVIDENCE && !self.blamed.iter().any(|(j, _)| j == job) {
            self.blamed.push((job.clone(), now));
        }
        // A job that never succeeded, on a machine where others do, is the likelier to blame.
        if sound || !self.proven || self.is_suspected() {
            let times = (self.blamed.len() as u32)
                .saturating_sub(1)
                .min(MAX_DOUBLINGS);
            self.quarantine = now + Span(FIRST_QUARANTINE.0 << times);
        }
    }

    /// The machine is not to blame for a job's failures.
    pub fn absolve(&mut self, job: &JobId, now: Time) {
        let before = self.blamed.len();
        self.blamed.retain(|(j, _)| j != job);
        if self.blamed.len() < before && !self.is_suspected() {
            self.quarantine = self.quarantine.min(now);
        }
    }

    /// A task was completed on it.
    pub fn succeeded(&mut self, now: Time) {
        self.blamed.clear();
        self.proven = true;
        self.quarantine = self.quarantine.min(now);
    }
}
