//! Whose fault is an error: the machine's, or the job's?
//!
//! A task's error speaks against its machine and against its job. A job that has failed on several
//! machines and never got anywhere was probably submitted with a mistake; a machine on which several
//! jobs that nothing else speaks against have failed is probably faulty. Only the suspected side pays:
//! a machine is not blamed for what a suspected job does there, and a suspected job is tried with one
//! task (a gang with all) after growing pauses, holds no room and rents none. It is never given up,
//! for faulty machines may have deceived us: its first success clears it.

use crate::fleet::blame::JOBS_TO_SUSPECT_MACHINE;
use crate::fleet::machine::Phase;
use crate::jobs::failures::{Failures, MAX_DOUBLINGS};
use crate::jobs::job::JobStage;
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;

/// A job is suspected after failures on so many machines that nothing else speaks against, or on
/// one more of any.
const MACHINES_TO_SUSPECT_JOB: usize = 2;
/// What has run for so long is not broken.
const PROVEN_AFTER: Span = Span(30_000);
/// Pauses before another try: for a job that is not suspected, and the first for one that is. They
/// double with each try that fails, so many times at most.
const RETRY_PAUSE: Span = Span(300);
const SUSPECTED_RETRY_PAUSE: Span = Span(2_000);

impl Leader {
    /// A task failed on a machine.
    pub(crate) fn task_failed(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        ran: Option<Span>,
        now: Now,
    ) {
        let lasted = ran.is_some_and(|r| r >= PROVEN_AFTER) || self.runs_elsewhere(task, now.time);
        let (machines, Some(job)) = (&self.fleet.machines, self.jobs.get_mut(&task.job)) else {
            return;
        };
        job.failures.proven |= lasted;
        let was = job.is_suspected();
        let new = job.failures.record(machine, attempt, now.time);
        let others = |id: &MachineId| {
            machines.get(id).map_or(0, |m| {
                m.failed_jobs.iter().filter(|(j, _)| *j != task.job).count()
            })
        };
        let on = &job.failures.on;
        let clean = on
            .iter()
            .filter(|(m, _)| others(m) < JOBS_TO_SUSPECT_MACHINE)
            .count();
        let many = clean >= MACHINES_TO_SUSPECT_JOB || on.len() > MACHINES_TO_SUSPECT_JOB;
        job.failures.suspected |= many && !job.failures.proven;
        let suspected = job.is_suspected();
        if new {
            let times = job.failures.tries.min(MAX_DOUBLINGS + 1).saturating_sub(1);
            let pause = if suspected {
                Span(SUSPECTED_RETRY_PAUSE.0 << times)
            } else {
                RETRY_PAUSE
            };
            job.retry_at = now.time + pause;
        } else if suspected && !was {
            job.retry_at = job.retry_at.max(now.time + SUSPECTED_RETRY_PAUSE);
        }
        if !suspected {
            let sound = job.failures.proven;
            if let Some(m) = self.fleet.machines.get_mut(machine) {
                m.record_failure(&task.job, sound, now.time);
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
            && (job.placements.values().flatten()).any(|(id, attempt)| {
                let machine = self.fleet.machines.get(id);
                machine.is_some_and(|m| {
                    (m.tasks.iter())
                        .filter(|e| e.attempt == *attempt && e.task.job == task.job)
                        .any(|e| e.running_since.is_some_and(|t| now - t >= PROVEN_AFTER))
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
            machine.clear_blame(id, now);
            let waits = |e: &&crate::fleet::machine::PlacedTask| {
                e.task.job == *id && e.phase == Phase::Planned && !e.is_recorded()
            };
            planned.extend(
                (machine.tasks.iter().filter(waits)).map(|e| (machine.id.clone(), e.attempt)),
            );
        }
        for (machine, attempt) in planned {
            self.stop_attempt_on(&machine, id, attempt, 0.0, "its job is suspected", now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            // So that the next leader knows.
            job.has_unrecorded_progress = true;
        }
    }

    /// A task was completed on a machine: neither is to blame for what failed before.
    pub(crate) fn task_succeeded(&mut self, machine: &MachineId, job: &JobId, now: Time) {
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.task_succeeded(now);
        }
        if let Some(job) = self
            .jobs
            .get_mut(job)
            .filter(|j| j.stage == JobStage::Active)
        {
            job.failures = Failures::cleared();
            job.retry_at = job.retry_at.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
