//! Applies the decisions of a cycle to the leader's state: placements, stops, and the withdrawal of placements that
//! cannot start.
//!
//! A placement is recorded on its machine, in [`Phase::Planned`], and on its job. The start is sent once the
//! placement log has recorded the placement and the room is surely free.

use super::actions::Eviction;
use super::statement::Placement;
use crate::fleet::{Phase, PlacedTask, Stop, StopReason};
use crate::leader::Leader;
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Attempt, JobId, MachineId};
use std::collections::BTreeMap;

/// Time after which a placement whose start has not been sent is withdrawn.
const STALLED_AFTER: Span = Span(10_000);

impl Leader {
    /// Withdraws placements whose starts have not been sent for too long, because their room has not been freed.
    pub(crate) fn withdraw_stalled_placements(&mut self, now: Time) {
        let stalled: Vec<(MachineId, JobId, Attempt)> = (self.fleet.machines.values())
            .flat_map(|machine| machine.tasks.iter().map(move |task| (machine, task)))
            .filter(|(_, task)| {
                task.phase == Phase::Planned && now > task.placed_at + STALLED_AFTER
            })
            .map(|(machine, task)| (machine.id.clone(), task.task.job.clone(), task.attempt))
            .collect();
        for (machine, job, attempt) in stalled {
            let stop = Stop::without_grace(StopReason::Stalled, now);
            self.stop_attempt_on(&machine, &job, attempt, stop);
        }
    }

    /// Records placements on their machines and jobs. Tasks of a job that are placed in the same cycle share an
    /// attempt number: the tasks of a gang find one another by it, and equal numbers take less space in the records.
    pub(crate) fn apply_placements(&mut self, placements: Vec<Placement>, now: Time) {
        let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        if !placements.is_empty() {
            self.placement_log.mark_unrecorded();
        }
        for placement in placements {
            let id = placement.task.job.clone();
            let Some(spec) = self.jobs.get(&id).map(|job| job.spec.clone()) else {
                continue;
            };
            let attempt = *(attempts.entry(id.clone())).or_insert_with(|| self.term.next_attempt());
            if let Some(job) = self.jobs.get_mut(&id) {
                job.place(placement.task.index, &placement.machine, attempt);
            }
            if let Some(machine) = self.fleet.machines.get_mut(&placement.machine) {
                log::debug!(
                    "task placed task={} attempt={attempt} machine={}",
                    placement.task,
                    machine.id
                );
                let task = PlacedTask::planned(placement.task, attempt, Some(spec), now);
                machine.tasks.push(task);
                machine.idle_since = None;
            }
        }
    }

    /// Marks evicted tasks to be stopped, each with the time that its job needs to save a checkpoint.
    pub(super) fn apply_evictions(&mut self, evictions: Vec<Eviction>, now: Time) {
        for eviction in evictions {
            log::debug!(
                "task evicted task={} attempt={} machine={} reason={}",
                eviction.task,
                eviction.attempt,
                eviction.machine,
                eviction.reason
            );
            let grace_s = (self.jobs.get(&eviction.task.job)).map_or(0.0, |job| job.spec.save_s);
            let task = (self.fleet.machines.get_mut(&eviction.machine))
                .and_then(|machine| machine.task_mut(&eviction.task, eviction.attempt));
            if let Some(task) = task {
                task.stop = Some(Stop::with_grace(eviction.reason, grace_s, now));
            }
        }
    }

    /// Returns the number of running tasks of each job, for display.
    pub fn running_tasks_by_job(&self) -> BTreeMap<JobId, u32> {
        let mut counts = BTreeMap::new();
        for task in self.fleet.machines.values().flat_map(|m| &m.tasks) {
            if task.is_running() {
                *counts.entry(task.task.job.clone()).or_insert(0) += 1;
            }
        }
        counts
    }
}
