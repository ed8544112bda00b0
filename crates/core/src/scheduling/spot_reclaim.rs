//! Drains spot machines that the cloud has announced it will reclaim.

use crate::fleet::{PlacedTask, Stop, StopReason};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId};

/// Margin in seconds by which saving begins earlier than it must: the notice period may be half as long as announced.
const SAVE_MARGIN_S: f64 = 3.0;

/// A task that is stopped before its machine is reclaimed.
struct DrainedTask {
    machine: MachineId,
    job: JobId,
    attempt: Attempt,
    grace_s: f64,
}

impl Leader {
    /// Stops tasks on spot machines that will be reclaimed. Tasks that can save a checkpoint are stopped early enough
    /// to save it. Tasks that cannot save, and will not finish before the reclaim, are stopped at once, so that they
    /// start again elsewhere.
    pub fn drain_reclaimed_machines(&mut self, now: Time) {
        let mut drained = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(reclaim_at) = machine.reclaim_at else {
                continue;
            };
            for task in machine.tasks.iter().filter(|task| task.stop.is_none()) {
                let Some(job) = self.jobs.get(&task.task.job) else {
                    continue;
                };
                if task.occupies_capacity() && must_stop(job, task, reclaim_at, now) {
                    drained.push(DrainedTask {
                        machine: machine.id.clone(),
                        job: task.task.job.clone(),
                        attempt: task.attempt,
                        grace_s: if can_save(job) { job.spec.save_s } else { 0.0 },
                    });
                }
            }
        }
        for task in drained {
            let stop = Stop::with_grace(StopReason::MachineReclaimed, task.grace_s, now);
            self.stop_attempt_on(&task.machine, &task.job, task.attempt, stop);
        }
    }
}

fn can_save(job: &Job) -> bool {
    job.spec.checkpoint_s > 0.0
}

/// Returns whether a task must be stopped now because its machine will be reclaimed at `reclaim_at`.
fn must_stop(job: &Job, task: &PlacedTask, reclaim_at: Time, now: Time) -> bool {
    let left = reclaim_at - now;
    if can_save(job) {
        return left <= Span::secs(job.spec.save_s + SAVE_MARGIN_S);
    }
    let Some(since) = task.running_since else {
        return true;
    };
    let remaining_s = job.spec.estimate_s - (now - since).as_secs();
    Span::secs(remaining_s.max(0.0)) >= left
}

#[cfg(test)]
mod tests;
