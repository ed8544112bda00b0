//! What a job's failures show of the job (see `agents::fault_attribution`).

use super::job::Job;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, MachineId};
use rudderreel_wire::job::Kind;

/// Evidence of failures is kept for so long.
pub const EVIDENCE_TTL: Span = Span(180_000);
/// Machines that are remembered of a job, and jobs of a machine, at most.
pub const MAX_EVIDENCE: usize = 8;
/// A job is not tried again on a machine where it failed for so long.
const AVOID_AFTER_FAILURE: Span = Span(20_000);
/// Tasks of a suspected job that are tried at a time.
const TASKS_ON_TRIAL: u32 = 1;
/// Pauses and quarantines double with each further failure, so many times at most.
pub const MAX_DOUBLINGS: u32 = 5;

/// What a job's failures show.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// Where it failed, and when last.
    pub on: Vec<(MachineId, Time)>,
    /// Tries that failed since the last success.
    pub tries: u32,
    /// The last of them.
    last: Option<Attempt>,
    /// Whether anything of it was ever completed, or ran for long.
    pub proven: bool,
    /// Whether it is suspected of a mistake.
    pub suspected: bool,
}

impl Failures {
    /// Those of a job that has just succeeded.
    pub fn cleared() -> Self {
        Self {
            proven: true,
            ..Self::default()
        }
    }

    /// Tries that failed since the last success.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Whether it failed on a machine just now.
    pub fn avoids_machine(&self, machine: &MachineId, now: Time) -> bool {
        (self.on.iter()).any(|(m, at)| m == machine && now - *at < AVOID_AFTER_FAILURE)
    }

    /// Whether it failed anywhere just now, so that its tasks are not like others of their shape.
    pub fn avoids_any_machine(&self, now: Time) -> bool {
        self.on
            .iter()
            .any(|(_, at)| now - *at < AVOID_AFTER_FAILURE)
    }

    /// A job that an earlier leader suspected after so many tries.
    pub fn restore(&mut self, tries: u32) {
        self.suspected = tries > 0;
        self.tries = tries;
    }

    /// Records a failure. Returns whether it is the first of its attempt.
    pub fn record(&mut self, machine: &MachineId, attempt: Attempt, now: Time) -> bool {
        self.on
            .retain(|(m, at)| m != machine && now - *at < EVIDENCE_TTL);
        if self.on.len() >= MAX_EVIDENCE {
            self.on.remove(0);
        }
        self.on.push((machine.clone(), now));
        let new = self.last != Some(attempt);
        self.last = Some(attempt);
        self.tries += u32::from(new);
        new
    }
}

impl Job {
    /// Whether it was probably submitted with a mistake.
    pub fn is_suspected(&self) -> bool {
        self.failures.suspected
    }

    /// How many more of so many free tasks may be tried now.
    pub fn on_trial(&self, free: u32, open: u32) -> u32 {
        if self.is_suspected() && self.spec.kind != Kind::Gang {
            free.min(TASKS_ON_TRIAL.saturating_sub(open))
        } else {
            free
        }
    }
}
