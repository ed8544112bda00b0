//! Failures as evidence against a job (see `agents::fault_attribution`): on which machines it failed, how many attempts
//! have failed since its last success, and whether it is suspected.
//!
//! A job is *suspected* if it was probably submitted with a mistake, so that it fails on any machine.

use super::job::Job;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, MachineId};
use rudderreel_wire::job::Kind;

/// Time for which evidence of failures is kept.
pub const EVIDENCE_TTL: Span = Span(180_000);
/// Maximum number of failed machines kept per job, and of failed jobs kept per machine.
pub const MAX_EVIDENCE: usize = 8;
/// Maximum number of times that a retry pause or a quarantine is doubled; each further failure doubles it.
pub const MAX_DOUBLINGS: u32 = 5;
/// Time after a failure during which the job is not tried again on the same machine.
const AVOID_AFTER_FAILURE: Span = Span(20_000);
/// Maximum number of tasks of a suspected job that are tried at the same time.
const MAX_SUSPECTED_TASKS: u32 = 1;
/// Pause before a job that is not suspected is tried again.
const RETRY_PAUSE: Span = Span(300);
/// First pause of a suspected job. It doubles with each further failed attempt.
const SUSPECTED_RETRY_PAUSE: Span = Span(2_000);

/// A machine on which a job failed.
#[derive(Clone, Debug)]
struct MachineFailure {
    machine: MachineId,
    /// Time of the latest failure there.
    at: Time,
}

/// Evidence that a job's failures give about the job.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// Each failed machine once, the latest failure last.
    machine_failures: Vec<MachineFailure>,
    /// Number of attempts that failed since the last success.
    failed_attempts: u32,
    /// Attempt of the latest recorded failure.
    last_attempt: Option<Attempt>,
    /// Whether any task of the job was ever completed or ran for long.
    proven: bool,
    suspected: bool,
}

impl Failures {
    /// Creates the evidence of a job that has just succeeded.
    pub fn cleared() -> Self {
        Self {
            proven: true,
            ..Self::default()
        }
    }

    /// Returns the number of attempts that failed since the last success.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Returns whether any task of the job was ever completed or ran for long. That proves that the job has no
    /// mistake.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Records that a task of the job was completed or ran for long.
    pub fn mark_proven(&mut self) {
        self.proven = true;
    }

    /// Returns whether the job is suspected, that is, was probably submitted with a mistake.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Marks the job as suspected.
    pub fn mark_suspected(&mut self) {
        self.suspected = true;
    }

    /// Iterates over the machines that are kept as evidence of failures.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machine_failures.iter().map(|failure| &failure.machine)
    }

    /// Returns whether the job failed on a machine so recently that it must not be tried there.
    pub fn avoids_machine(&self, machine: &MachineId, now: Time) -> bool {
        (self.machine_failures.iter())
            .any(|f| f.machine == *machine && now - f.at < AVOID_AFTER_FAILURE)
    }

    /// Returns whether the job avoids any machine after a recent failure, so that its tasks are not equivalent to tasks
    /// of other jobs with the same needs.
    pub fn avoids_any_machine(&self, now: Time) -> bool {
        (self.machine_failures.iter()).any(|failure| now - failure.at < AVOID_AFTER_FAILURE)
    }

    /// Restores what an earlier leader recorded: that leader suspected the job if any failed attempts are recorded.
    pub fn restore(&mut self, failed_attempts: u32) {
        self.suspected = failed_attempts > 0;
        self.failed_attempts = failed_attempts;
    }

    /// Records a failure. Returns whether it is the first failure of its attempt.
    pub fn record(&mut self, machine: &MachineId, attempt: Attempt, now: Time) -> bool {
        self.machine_failures
            .retain(|failure| failure.machine != *machine && now - failure.at < EVIDENCE_TTL);
        if self.machine_failures.len() >= MAX_EVIDENCE {
            self.machine_failures.remove(0);
        }
        self.machine_failures.push(MachineFailure {
            machine: machine.clone(),
            at: now,
        });
        let is_first_of_attempt = self.last_attempt != Some(attempt);
        self.last_attempt = Some(attempt);
        self.failed_attempts += u32::from(is_first_of_attempt);
        is_first_of_attempt
    }

    /// Returns the pause before the job is tried again.
    pub fn retry_pause(&self) -> Span {
        if !self.suspected {
            return RETRY_PAUSE;
        }
        let doublings = self.failed_attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        Span(SUSPECTED_RETRY_PAUSE.0 << doublings)
    }
}

impl Job {
    /// Returns whether the job is suspected (see [`Failures::is_suspected`]).
    pub fn is_suspected(&self) -> bool {
        self.failures.is_suspected()
    }

    /// Delays the next start after a recorded failure that was the first of its attempt.
    pub fn pause_after_failure(&mut self, now: Time) {
        self.retry_at = now + self.failures.retry_pause();
    }

    /// Delays the next start after a further failure of an attempt that is already counted has made the job suspected.
    pub fn pause_as_suspected(&mut self, now: Time) {
        self.retry_at = self.retry_at.max(now + SUSPECTED_RETRY_PAUSE);
    }

    /// Returns how many of the job's `unplaced` tasks may be started now, while `placed` tasks may be on machines. One
    /// task of a suspected job is tried at a time; a gang can only be tried as a whole.
    pub fn startable_of(&self, unplaced: u32, placed: u32) -> u32 {
        if self.is_suspected() && self.spec.kind != Kind::Gang {
            unplaced.min(MAX_SUSPECTED_TASKS.saturating_sub(placed))
        } else {
            unplaced
        }
    }
}
