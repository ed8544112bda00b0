//! Whose fault is an error: the machine's, or the job's?
//!
//! A task's error speaks against its machine and against its job. A job that has failed on several
//! machines and never got anywhere was probably submitted with a mistake; a machine on which several
//! jobs that nothing else speaks against have failed is probably faulty. Only the suspected side pays:
//! a machine is not blamed for what a suspected job does there, and a suspected job is tried with one
//! task (a gang with all) after growing pauses, holds no room and rents none. It is never given up,
//! for faulty machines may have deceived us: its first success clears it.

use crate::fleet::machine::{Machine, Phase};
use crate::jobs::job::{Job, Stage};
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;

/// A job is suspected after failures on so many machines that nothing else speaks against, or on
/// one more of any.
const MACHINES: usize = 2;
/// A machine is suspected after failures of so many jobs that are not.
const JOBS: usize = 2;
/// Evidence is kept for so long, and so much of it.
const KEPT: Span = Span(180_000);
const MOST: usize = 8;
/// A job is not tried again on a machine where it failed for so long.
const AVOID: Span = Span(20_000);
/// What has run for so long is not broken.
const PROVEN: Span = Span(30_000);
/// Tasks of a suspected job that are tried at a time.
const TRIAL: u32 = 1;
/// Pauses before another try: for a job that is not suspected, and the first for one that is. They
/// double with each try that fails, so many times at most.
const PAUSE: Span = Span(300);
const TRIAL_PAUSE: Span = Span(2_000);
const DOUBLED: u32 = 5;
/// The first quarantine of a machine; it doubles with each further job, so many times at most.
const QUARANTINE: Span = Span(4_000);

/// What a job's failures show.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    /// Where it failed, and when last.
    on: Vec<(MachineId, Time)>,
    /// Tries that failed since the last success.
    tries: u32,
    /// The last of them.
    last: Option<Attempt>,
    /// Whether anything of it was ever completed, or ran for long.
    pub proven: bool,
    /// Whether it is suspected of a mistake.
    pub suspected: bool,
}

impl Failures {
    /// Tries that failed since the last success.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Whether it failed on a machine just now.
    pub fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        (self.on.iter()).any(|(m, at)| m == machine && now - *at < AVOID)
    }

    /// Whether it failed anywhere just now, so that its tasks are not like others of their shape.
    pub fn is_picky(&self, now: Time) -> bool {
        self.on.iter().any(|(_, at)| now - *at < AVOID)
    }

    /// A job that an earlier leader suspected after so many tries.
    pub fn recall(&mut self, tries: u32) {
        self.suspected = tries > 0;
        self.tries = tries;
    }

    fn note(&mut self, machine: &MachineId, attempt: Attempt, now: Time) -> bool {
        self.on.retain(|(m, at)| m != machine && now - *at < KEPT);
        if self.on.len() >= MOST {
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
    pub(crate) fn on_trial(&self, free: u32, open: u32) -> u32 {
        if self.is_suspected() && self.spec.kind != Kind::Gang {
            free.min(TRIAL.saturating_sub(open))
        } else {
            free
        }
    }
}

impl Machine {
    /// Whether several jobs that are not suspected have failed on it.
    pub fn is_suspected(&self) -> bool {
        self.blamed.len() >= JOBS
    }

    fn note_failure(&mut self, job: &JobId, sound: bool, now: Time) {
        self.blamed.retain(|(_, at)| now - *at < KEPT);
        if self.blamed.len() < MOST && !self.blamed.iter().any(|(j, _)| j == job) {
            self.blamed.push((job.clone(), now));
        }
        // A job that never succeeded, on a machine where others do, is the likelier to blame.
        if sound || !self.proven || self.is_suspected() {
            let times = (self.blamed.len() as u32).saturating_sub(1).min(DOUBLED);
            self.quarantine = now + Span(QUARANTINE.0 << times);
        }
    }

    fn absolve(&mut self, job: &JobId, now: Time) {
        let before = self.blamed.len();
        self.blamed.retain(|(j, _)| j != job);
        if self.blamed.len() < before && !self.is_suspected() {
            self.quarantine = self.quarantine.min(now);
        }
    }

    /// A task was completed on it.
    pub(crate) fn succeeded(&mut self, now: Time) {
        self.blamed.clear();
        self.proven = true;
        self.quarantine = self.quarantine.min(now);
    }
}

impl Leader {
    /// A task failed on a machine.
    pub(crate) fn failed(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        ran: Option<Span>,
        now: Now,
    ) {
        let lasted = ran.is_some_and(|r| r >= PROVEN) || self.runs_elsewhere(task, now.time);
        let (machines, Some(job)) = (&self.fleet.machines, self.jobs.get_mut(&task.job)) else {
            return;
        };
        job.failures.proven |= lasted;
        let was = job.is_suspected();
        let new = job.failures.note(machine, attempt, now.time);
        let others = |id: &MachineId| {
            machines.get(id).map_or(0, |m| {
                m.blamed.iter().filter(|(j, _)| *j != task.job).count()
            })
        };
        let on = &job.failures.on;
        let clean = on.iter().filter(|(m, _)| others(m) < JOBS).count();
        let many = clean >= MACHINES || on.len() > MACHINES;
        job.failures.suspected |= many && !job.failures.proven;
        let suspected = job.is_suspected();
        if new {
            let times = job.failures.tries.min(DOUBLED + 1).saturating_sub(1);
            let pause = if suspected {
                Span(TRIAL_PAUSE.0 << times)
            } else {
                PAUSE
            };
            job.not_before = now.time + pause;
        } else if suspected && !was {
            job.not_before = job.not_before.max(now.time + TRIAL_PAUSE);
        }
        if !suspected {
            let sound = job.failures.proven;
            if let Some(m) = self.fleet.machines.get_mut(machine) {
                m.note_failure(&task.job, sound, now.time);
            }
        } else if !was {
            self.suspect(&task.job, now.time);
        }
    }

    /// Whether another task of the job has been running for long.
    fn runs_elsewhere(&self, task: &TaskId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        job.spec.kind == Kind::Service
            && (job.places.values().flatten()).any(|(id, attempt)| {
                let machine = self.fleet.machines.get(id);
                machine.is_some_and(|m| {
                    (m.entries.iter())
                        .filter(|e| e.attempt == *attempt && e.task.job == task.job)
                        .any(|e| e.running.is_some_and(|t| now - t >= PROVEN))
                })
            })
    }

    /// A job has become suspected: no machine is blamed for it, and what of it has not been sent
    /// yet is taken back.
    fn suspect(&mut self, id: &JobId, now: Time) {
        log::info!("{id} fails wherever it is tried; it may have been submitted with a mistake");
        self.metrics.count("suspected jobs");
        let mut planned = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            machine.absolve(id, now);
            let waits = |e: &&crate::fleet::machine::PlacedTask| {
                e.task.job == *id && e.phase == Phase::Planned && !e.is_recorded()
            };
            planned.extend(
                (machine.entries.iter().filter(waits)).map(|e| (machine.id.clone(), e.attempt)),
            );
        }
        for (machine, attempt) in planned {
            self.stop_on(&machine, id, attempt, 0.0, "its job is suspected", now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            // So that the next leader knows.
            job.progress_dirty = true;
        }
    }

    /// A task was completed on a machine: neither is to blame for what failed before.
    pub(crate) fn succeeded(&mut self, machine: &MachineId, job: &JobId, now: Time) {
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.succeeded(now);
        }
        if let Some(job) = self.jobs.get_mut(job).filter(|j| j.stage == Stage::Active) {
            job.failures = Failures {
                proven: true,
                ..Failures::default()
            };
            job.not_before = job.not_before.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
