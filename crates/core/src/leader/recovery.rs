//! Recovery of the machines and their tasks from the segments of the placement log.
//!
//! A task that the log names may or may not be on its machine: the previous leader recorded the placement first and
//! sent the start afterwards. So each task counts as sent, and takes capacity, until a status report that acknowledges
//! this leader's epoch shows what became of it.

use super::Leader;
use crate::fleet::{Machine, MachineDescription, Phase, PlacedTask, StartSent};
use crate::store::records::{SegmentId, SegmentMachine, SegmentRecord};
use crate::units::Now;
use rudderreel_wire::ids::{Attempt, FencingToken, Incarnation, MachineId, TaskId};

/// Placeholder for the incarnation of an agent if it is not known. No status report has this incarnation.
const UNKNOWN_INCARNATION: Incarnation = Incarnation(u64::MAX);

impl Leader {
    /// Applies a segment that an earlier leader wrote.
    pub(crate) fn recover_segment(&mut self, segment: SegmentId, record: SegmentRecord, now: Now) {
        self.placement_log.register_segment(segment);
        self.recover_job_progress(segment, &record);
        for line in record.machines {
            self.recover_machine(segment, &line);
            for (job, attempt, indexes) in line.tasks {
                for index in indexes {
                    self.recover_task(segment, &line.id, job.task(index), attempt, now);
                }
            }
        }
    }

    /// Records which tasks are done and which jobs are suspected. Segments may be read in any order: only the newest
    /// segment that names a job determines whether the job is suspected.
    fn recover_job_progress(&mut self, segment: SegmentId, record: &SegmentRecord) {
        for (id, ranges) in &record.done {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if segment >= job.segment {
                let suspected = record.suspected.iter().find(|(of, _)| of == id);
                job.failures
                    .restore(suspected.map_or(0, |(_, failed_attempts)| *failed_attempts));
            }
            job.restore_progress(segment, ranges);
        }
    }

    fn recover_machine(&mut self, segment: SegmentId, line: &SegmentMachine) {
        let capacity = self.policy.capacity_of(&line.machine_type);
        let machine = (self.fleet.machines.entry(line.id.clone())).or_insert_with(|| {
            Machine::new(MachineDescription {
                id: line.id.clone(),
                machine_type: line.machine_type.clone(),
                zone: line.zone.clone(),
                is_spot: line.spot,
                capacity,
                known_since: line.since,
            })
        });
        machine.segment = machine.segment.max(segment);
    }

    /// Accounts for a task that may be on a machine. Its job may be unknown, because the job is done or its record
    /// can't be read; the task may be on the machine all the same, and is stopped as soon as a status report names it.
    fn recover_task(
        &mut self,
        segment: SegmentId,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
        now: Now,
    ) {
        let earlier_token = FencingToken(self.term.tokens().first.0.saturating_sub(1));
        let Some(found) = self.fleet.machines.get_mut(machine) else {
            return;
        };
        if found.task_mut(&task, attempt).is_some() {
            return;
        }
        let job = self.jobs.get_mut(&task.job);
        let spec = job.as_ref().map(|job| job.spec.clone());
        if let Some(job) = job {
            job.place(task.index, machine, attempt);
        }
        let mut placed = PlacedTask::planned(task, attempt, spec, now.time);
        placed.segment = segment;
        placed.phase = Phase::Sent;
        // The incarnation of the agent to which the start was sent is not known: only a status report that acknowledges
        // a token of this term shows that the task is gone.
        placed.start_sent = StartSent {
            token: earlier_token,
            incarnation: UNKNOWN_INCARNATION,
        };
        found.tasks.push(placed);
    }
}

#[cfg(test)]
mod tests;
