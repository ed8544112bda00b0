//! Failures as evidence against a job (see `agents::fault_attribution`): on which machines it failed, how often it
//! was tried in vain, and whether it is suspected of a mistake.

use super::job::Job;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, MachineId};
use rudderreel_wire::job::Kind;

/// Evidence of failures is kept for so long.
pub const EVIDENCE_TTL: Span = Span(180_000);
/// Machines that are remembered of a job, and jobs of a machine, at most.
pub const MAX_EVIDENCE: usize = 8;
/// Pauses and quarantines double with each further failure, so many times at most.
pub const MAX_DOUBLINGS: u32 = 5;
/// A job is not tried again on a machine where it failed for so long.
const AVOID_AFTER_FAILURE: Span = Span(20_000);
/// Tasks of a suspected job that are tried at a time.
const TASKS_ON_TRIAL: u32 = 1;
/// The pause before another try of a job that is not suspected.
const RETRY_PAUSE: Span = Span(300);
/// The first pause of a suspected job. It doubles with each try that fails.
const SUSPECTED_RETRY_PAUSE: Span = Span(2_000);

/// A machine that a job failed on.
#[derive(Clone, Debug)]
struct MachineFailure {
    machine: MachineId,
    /// When it failed there last.
    at: Time,
}

/// What a job's failures show of the job.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// The latest last; each machine once.
    on: Vec<MachineFailure>,
    /// Attempts that failed since the last success.
    failed_attempts: u32,
    last_attempt: Option<Attempt>,
    proven: bool,
    suspected: bool,
}

impl Failures {
    /// Those of a job that has just succeeded.
    pub fn cleared() -> Self {
        Self {
            proven: true,
            ..Self::default()
        }
    }

    /// Attempts that failed since the last success.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Whether anything of the job was ever completed, or ran for long: then it has no mistake.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Notes that something of the job was completed, or ran for long.
    pub fn mark_proven(&mut self) {
        self.proven = true;
    }

    /// Whether the job is suspected of a mistake.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Suspects the job of a mistake.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Machines that it failed on lately.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.on.iter().map(|failure| &failure.machine)
    }

    /// Whether it failed on a machine just now.
    pub fn avoids_machine(&self, machine: &MachineId, now: Time) -> bool {
        (self.on.iter()).any(|f| f.machine == *machine && now - f.at < AVOID_AFTER_FAILURE)
    }

    /// Whether it failed anywhere just now, so that its tasks are not like others of their shape.
    pub fn avoids_any_machine(&self, now: Time) -> bool {
        (self.on.iter()).any(|failure| now - failure.at < AVOID_AFTER_FAILURE)
    }

    /// Restores what an earlier leader recorded: it suspected the job if any tries are recorded.
    pub fn restore(&mut self, failed_attempts: u32) {
        self.suspected = failed_attempts > 0;
        self.failed_attempts = failed_attempts;
    }

    /// Records a failure. Returns whether it is the first of its attempt.
    pub fn record(&mut self, machine: &MachineId, attempt: Attempt, now: Time) -> bool {
        self.on
            .retain(|failure| failure.machine != *machine && now - failure.at < EVIDENCE_TTL);
        if self.on.len() >= MAX_EVIDENCE {
            self.on.remove(0);
        }
        self.on.push(MachineFailure {
            machine: machine.clone(),
            at: now,
        });
        let is_first_of_attempt = self.last_attempt != Some(attempt);
        self.last_attempt = Some(attempt);
        self.failed_attempts += u32::from(is_first_of_attempt);
        is_first_of_attempt
    }

    /// The pause before the job is tried again.
    pub fn retry_pause(&self) -> Span {
        if !self.suspected {
            return RETRY_PAUSE;
        }
        let doublings = self.failed_attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        Span(SUSPECTED_RETRY_PAUSE.0 << doublings)
    }
}

impl Job {
    /// Whether it was probably submitted with a mistake.
    pub fn is_suspected(&self) -> bool {
        self.failures.is_suspected()
    }

    /// A failure of it was recorded, which was the first of its attempt: it is tried again after a pause.
    pub fn pause_after_failure(&mut self, now: Time) {
        self.retry_at = now + self.failures.retry_pause();
    }

    /// It has become suspected by a further failure of an attempt that was counted already.
    pub fn pause_as_suspected(&mut self, now: Time) {
        self.retry_at = self.retry_at.max(now + SUSPECTED_RETRY_PAUSE);
    }

    /// How many of its `free` tasks may be started now, while `placed` may be somewhere. Of a suspected job one is
    /// tried at a time; a gang can only be tried as a whole.
    pub fn startable_of(&self, free: u32, placed: u32) -> u32 {
        if self.is_suspected() && self.spec.kind != Kind::Gang {
            free.min(TASKS_ON_TRIAL.saturating_sub(placed))
        } else {
            free
        }
    }
}
