//! Consequences for a job when a task exits, is lost with its machine, or is found where it was not placed.
//!
//! **Invariants.** A task of a job may be placed again only once its attempt is surely gone (`Job::unplace`).
//! The outcome of a completed task counts as recorded, so that the agent may forget it, only after the placement
//! log has committed it; other outcomes need no record. A gang that lost a task continues only as a whole, with a
//! new attempt.

use crate::fleet::{Phase, PlacedTask, Stop, StopReason, TaskExit};
use crate::leader::Leader;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId, TaskId};
use rudderreel_wire::job::Kind;
use rudderreel_wire::worker::{Cause, TaskState, TaskStatus};

/// Time for which a machine whose agent had no room for a task gets no starts.
const NO_ROOM_QUARANTINE: Span = Span(1_000);
/// Pause before a job is tried again whose task exited for an unknown cause.
const UNKNOWN_EXIT_RETRY_PAUSE: Span = Span(2_000);
/// Counter of tasks that completed without having been stopped.
const DONE_COUNTER: &str = "done";
/// Counter of tasks that exited for any other cause without having been stopped.
const FAILED_COUNTER: &str = "failed";
/// Counter of attempts that were on their machine again after their exit was known.
const REAPPEARED_COUNTER: &str = "reappeared";

impl Leader {
    /// Handles the exit of a task's attempt.
    pub(crate) fn task_exited(&mut self, machine: &MachineId, exit: &TaskExit, now: Now) {
        log::debug!(
            "task exited job={} task={} attempt={} machine={machine} cause={:?}",
            exit.task.job,
            exit.task,
            exit.attempt,
            exit.cause
        );
        self.count_exit(machine, exit, now);
        self.request_cycle(now.time);
        if exit.cause == Cause::NoRoom {
            self.quarantine_full_machine(machine, now.time);
        }
        if exit.cause != Cause::Done {
            self.mark_outcome_recorded(machine, exit);
        }
        let Some(job) = self.jobs.get_mut(&exit.task.job) else {
            // No job is left that would record the outcome.
            return self.mark_outcome_recorded(machine, exit);
        };
        job.unplace(exit.task.index, machine, exit.attempt);
        match exit.cause {
            Cause::Done => self.task_completed(machine, exit, now.time),
            Cause::Error => {
                self.task_failed(machine, exit, now);
                self.stop_broken_gang(&exit.task, exit.attempt, now.time);
            }
            Cause::Unknown => job.retry_at = now.time + UNKNOWN_EXIT_RETRY_PAUSE,
            _ => self.stop_broken_gang(&exit.task, exit.attempt, now.time),
        }
    }

    fn count_exit(&mut self, machine: &MachineId, exit: &TaskExit, now: Now) {
        let stop = (self.fleet.machines.get_mut(machine))
            .and_then(|machine| machine.task_mut(&exit.task, exit.attempt))
            .and_then(|task| task.stop);
        match stop {
            Some(stop) => {
                (self.metrics).record_stop(now.wall, &exit.task, machine, stop.reason.as_str());
            }
            None if exit.cause == Cause::Done => self.metrics.count(DONE_COUNTER),
            None => self.metrics.count(FAILED_COUNTER),
        }
    }

    /// Quarantines a machine whose agent had no room for a task: something is on the machine that this leader does not
    /// know of yet.
    fn quarantine_full_machine(&mut self, machine: &MachineId, now: Time) {
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            machine.quarantined_until = machine.quarantined_until.max(now + NO_ROOM_QUARANTINE);
        }
    }

    fn mark_outcome_recorded(&mut self, machine: &MachineId, exit: &TaskExit) {
        let machine = self.fleet.machines.get_mut(machine);
        if let Some(task) = machine.and_then(|m| m.task_mut(&exit.task, exit.attempt)) {
            task.outcome_recorded = true;
        }
    }

    fn task_completed(&mut self, machine: &MachineId, exit: &TaskExit, now: Time) {
        let Some(job) = self.jobs.get_mut(&exit.task.job) else {
            return;
        };
        job.task_completed(exit.task.index, exit.ran);
        if !job.is_active() {
            // The job's end is committed already.
            self.mark_outcome_recorded(machine, exit);
        }
        self.clear_suspicions(machine, &exit.task.job, now);
    }

    /// Handles the loss of a task that is gone with its machine, or without a reported exit.
    pub(crate) fn task_lost(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        now: Now,
    ) {
        let reason = StopReason::LostWithMachine.as_str();
        self.metrics.record_stop(now.wall, task, machine, reason);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unplace(task.index, machine, attempt);
        }
        self.stop_broken_gang(task, attempt, now.time);
        self.request_cycle(now.time);
    }

    /// Stops the remaining tasks of a gang that lost a task.
    fn stop_broken_gang(&mut self, task: &TaskId, attempt: Attempt, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.spec.kind != Kind::Gang || job.is_complete() {
            return;
        }
        let stop = Stop::with_grace(StopReason::GangBroken, job.spec.save_s, now);
        let machines: Vec<MachineId> = (job.placements.values().flatten())
            .filter(|(_, placed)| *placed == attempt)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in machines {
            self.stop_attempt_on(&machine, &task.job, attempt, stop);
        }
    }

    /// Stops all tasks of a job's attempt on a machine. Those for which no start was sent are dropped at once.
    pub(crate) fn stop_attempt_on(
        &mut self,
        machine: &MachineId,
        job: &JobId,
        attempt: Attempt,
        stop: Stop,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(machine) else {
            return;
        };
        let mut dropped = Vec::new();
        machine.tasks.retain_mut(|placed| {
            if placed.task.job != *job || placed.attempt != attempt || placed.has_exited() {
                return true;
            }
            if placed.phase == Phase::Planned {
                dropped.push(placed.task.index);
                return false;
            }
            placed.request_stop(stop);
            true
        });
        if let Some(job) = self.jobs.get_mut(job) {
            for index in dropped {
                job.unplace(index, &machine.id, attempt);
            }
        }
    }

    /// Handles an attempt that is on its machine again although its exit was known. It counts as placed there, so that
    /// its task is not started elsewhere, and its team's use includes it, until the stop has ended it.
    pub(super) fn task_reappeared(&mut self, machine: &MachineId, status: &TaskStatus) {
        self.metrics.count(REAPPEARED_COUNTER);
        log::warn!(
            "exited task reappeared job={} task={} attempt={} machine={machine} state={:?}",
            status.task.job,
            status.task,
            status.attempt,
            status.state
        );
        let tokens = self.term.tokens();
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            let start = machine.present_start(tokens);
            if let Some(placed) = machine.task_mut(&status.task, status.attempt) {
                placed.count_as_sent_directly(start);
            }
        }
        if let Some(job) = self.jobs.get_mut(&status.task.job) {
            job.place(status.task.index, machine, status.attempt);
        }
        self.placement_log.mark_unrecorded();
    }

    /// Adopts a task that an agent reports and the leader did not place there: a late start, or one whose record was
    /// dropped. The task occupies capacity until it is stopped.
    pub(super) fn adopt_unknown_task(&mut self, machine: &MachineId, status: TaskStatus, now: Now) {
        let spec = (self.jobs.get(&status.task.job)).map(|job| job.spec.clone());
        let mut placed = PlacedTask::planned(status.task.clone(), status.attempt, spec, now.time);
        let tokens = self.term.tokens();
        if let Some(machine) = self.fleet.machines.get(machine) {
            placed.count_as_sent_directly(machine.present_start(tokens));
        }
        let exit = (status.state == TaskState::Exited).then(|| TaskExit {
            task: status.task.clone(),
            attempt: status.attempt,
            cause: status.cause.unwrap_or(Cause::Error),
            ran: None,
        });
        if let Some(exit) = &exit {
            placed.phase = Phase::Exited(exit.cause);
        } else {
            log::warn!(
                "unknown task found job={} task={} attempt={} machine={machine}",
                status.task.job,
                status.task,
                status.attempt
            );
            placed.phase = Phase::On(status.state);
            placed.stop = Some(Stop::without_grace(StopReason::NotInPlacementLog, now.time));
            if let Some(job) = self.jobs.get_mut(&status.task.job) {
                job.place(status.task.index, machine, status.attempt);
            }
        }
        self.placement_log.mark_unrecorded();
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            machine.tasks.push(placed);
        }
        if let Some(exit) = exit {
            self.task_exited(machine, &exit, now);
        }
    }
}

#[cfg(test)]
mod tests;
