//! Attributes the failures of tasks to machines or to jobs.
//!
//! A task's error is evidence against its machine and against its job. A job that has failed on several machines, and
//! of which no task has ever completed or run for long, was probably submitted with a mistake; a machine on which
//! several jobs have failed that are not suspected themselves is probably faulty. Only the suspected side is
//! restricted: a machine is not blamed for the failures of a suspected job; a suspected job is tried with one task (a
//! gang with all) after growing pauses, has no capacity reserved for it and causes no scale-out. It is never given up,
//! since faulty machines may have misled the leader: its first success clears it.

use crate::fleet::blame::JOBS_TO_SUSPECT_MACHINE;
use crate::fleet::{Fleet, Phase, Stop, StopReason, TaskExit};
use crate::jobs::failures::Failures;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;

/// A job is suspected after failures on this number of machines that are not suspected because of other jobs, or on one
/// more of any machines.
const MACHINES_TO_SUSPECT_JOB: usize = 2;
/// Run time of a task that proves that its job has no mistake.
const PROVEN_RUN_TIME: Span = Span(30_000);
/// Counter of jobs that have become suspected.
const SUSPECTED_JOBS_COUNTER: &str = "suspected jobs";

impl Leader {
    /// Records the failure of a task on a machine as evidence against its job and, unless the job is suspected, against
    /// the machine.
    pub(super) fn task_failed(&mut self, machine: &MachineId, exit: &TaskExit, now: Now) {
        let job_id = &exit.task.job;
        let ran_long = exit.ran.is_some_and(|ran| ran >= PROVEN_RUN_TIME)
            || self.replica_runs_long(&exit.task, now.time);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if ran_long {
            job.failures.mark_proven();
        }
        let was_suspected = job.is_suspected();
        let is_first_of_attempt = job.failures.record(machine, exit.attempt, now.time);
        if !job.failures.is_proven() && has_failed_on_enough_machines(job, &self.fleet) {
            job.failures.mark_suspected();
        }
        let became_suspected = job.is_suspected() && !was_suspected;
        if is_first_of_attempt {
            job.pause_after_failure(now.time);
        } else if became_suspected {
            job.pause_as_suspected(now.time);
        }
        if !job.is_suspected() {
            let job_is_proven = job.failures.is_proven();
            if let Some(machine) = self.fleet.machines.get_mut(machine) {
                machine.record_failure(job_id, job_is_proven, now.time);
            }
        } else if became_suspected {
            self.job_became_suspected(job_id, now.time);
        }
    }

    /// Returns whether some replica of a task's service has been running for long.
    fn replica_runs_long(&self, task: &TaskId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let runs_long = |machine: &MachineId, attempt: Attempt| {
            (self.fleet.machines.get(machine)).is_some_and(|machine| {
                (machine.tasks.iter())
                    .filter(|placed| placed.attempt == attempt && placed.task.job == task.job)
                    .filter_map(|placed| placed.running_since)
                    .any(|since| now - since >= PROVEN_RUN_TIME)
            })
        };
        job.spec.kind == Kind::Service
            && (job.placements.values().flatten())
                .any(|(machine, attempt)| runs_long(machine, *attempt))
    }

    /// Handles that a job has become suspected: no machine is blamed for its failures, and those of its planned tasks
    /// that have not been recorded yet are withdrawn.
    fn job_became_suspected(&mut self, id: &JobId, now: Time) {
        log::info!("job suspected: it fails wherever it is tried job={id}");
        self.metrics.count(SUSPECTED_JOBS_COUNTER);
        let mut planned: Vec<(MachineId, Attempt)> = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            machine.clear_blame(id, now);
            let tasks = (machine.tasks.iter()).filter(|placed| {
                placed.task.job == *id && placed.phase == Phase::Planned && !placed.is_recorded()
            });
            planned.extend(tasks.map(|placed| (machine.id.clone(), placed.attempt)));
        }
        let stop = Stop::without_grace(StopReason::JobSuspected, now);
        for (machine, attempt) in planned {
            self.stop_attempt_on(&machine, id, attempt, stop);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            // The suspicion is recorded for the next leader.
            job.has_unrecorded_progress = true;
        }
    }

    /// Records that a task was completed on a machine: neither its job nor the machine is to blame for earlier
    /// failures.
    pub(super) fn clear_suspicions(&mut self, machine: &MachineId, job: &JobId, now: Time) {
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            machine.task_succeeded(now);
        }
        if let Some(job) = self.jobs.get_mut(job).filter(|job| job.is_active()) {
            job.failures = Failures::cleared();
            job.retry_at = job.retry_at.min(now);
        }
    }
}

/// Returns whether a job has failed on enough machines to be suspected. A machine on which several other jobs failed
/// counts for less.
fn has_failed_on_enough_machines(job: &Job, fleet: &Fleet) -> bool {
    let failed_others = |id: &MachineId| {
        fleet.machines.get(id).map_or(0, |machine| {
            (machine.failed_jobs.iter())
                .filter(|failure| failure.job != job.spec.id)
                .count()
        })
    };
    let machines = job.failures.machines().count();
    let sound_machines = (job.failures.machines())
        .filter(|id| failed_others(id) < JOBS_TO_SUSPECT_MACHINE)
        .count();
    sound_machines >= MACHINES_TO_SUSPECT_JOB || machines > MACHINES_TO_SUSPECT_JOB
}

#[cfg(test)]
mod tests;
