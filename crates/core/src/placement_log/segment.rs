//! A segment that is being put together, within what a value of the store may hold.
//!
//! Sizes are estimated as the segment's JSON will have them: encoding it after each entry would cost by the
//! square of its length. The estimates are upper bounds, which the tests compare with the encoded size.

use crate::fleet::{Fleet, Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::jobs::job_table::JobTable;
use crate::store::limits::StoreLimits;
use crate::store::records::{SegmentId, SegmentMachine, SegmentRecord};
use crate::task_set::TaskSet;
use rudderreel_wire::ids::{JobId, TaskId};

/// A segment is filled up to this part of what a value may hold, since its size is estimated.
const FILL_FACTOR: f64 = 0.9;
/// A transaction holds 64 KiB; a segment leaves room for the rest of it.
const MAX_SEGMENT_BYTES: usize = 40_000;
/// Bytes of an empty segment.
const EMPTY_SEGMENT_BYTES: usize = 24;
/// Bytes of a machine without its names, with the punctuation around them.
const MACHINE_BYTES: usize = 62;
/// Bytes of the tasks of one attempt without the job's id: attempts have up to 14 digits for more than a million
/// epochs.
const ATTEMPT_BYTES: usize = 24;
/// Bytes of each task of an attempt: up to 6 digits.
const TASK_INDEX_BYTES: usize = 7;
/// Bytes of a job's progress without its id.
const JOB_PROGRESS_BYTES: usize = 24;
/// Bytes of each range of done tasks.
const RANGE_BYTES: usize = 16;

/// The tasks of a job that a segment records as done.
pub(super) struct JobProgress {
    pub(super) job: JobId,
    pub(super) done: TaskSet,
}

impl JobProgress {
    /// Whether a task is among those recorded as done.
    pub(super) fn includes(&self, task: &TaskId) -> bool {
        self.job == task.job && self.done.contains(task.index)
    }
}

/// A segment that is being put together.
pub(super) struct PendingSegment {
    id: SegmentId,
    record: SegmentRecord,
    progress: Vec<JobProgress>,
    /// Upper bound of the size of the record's JSON.
    estimated_bytes: usize,
    max_bytes: usize,
}

/// How many bytes a segment may be filled with.
fn max_segment_bytes(limits: &StoreLimits) -> usize {
    ((limits.value_bytes as f64 * FILL_FACTOR) as usize).min(MAX_SEGMENT_BYTES)
}

/// How many bytes of entries a segment may be filled with.
pub(super) fn max_entry_bytes(limits: &StoreLimits) -> usize {
    max_segment_bytes(limits).saturating_sub(EMPTY_SEGMENT_BYTES)
}

impl PendingSegment {
    /// An empty segment.
    pub(super) fn new(id: SegmentId, limits: &StoreLimits) -> Self {
        Self {
            id,
            record: SegmentRecord::default(),
            progress: Vec::new(),
            estimated_bytes: EMPTY_SEGMENT_BYTES,
            max_bytes: max_segment_bytes(limits),
        }
    }

    /// The id that the segment will have.
    pub(super) fn id(&self) -> SegmentId {
        self.id
    }

    /// Whether nothing is recorded in it.
    pub(super) fn is_empty(&self) -> bool {
        self.record.machines.is_empty() && self.record.done.is_empty()
    }

    /// The record to write, and the progress that it contains.
    pub(super) fn into_contents(self) -> (SegmentRecord, Vec<JobProgress>) {
        (self.record, self.progress)
    }

    /// Adds all machines and placements that are not recorded yet, as far as they fit; non-preemptible work first.
    pub(super) fn collect_placements(&mut self, fleet: &mut Fleet) {
        for machine in fleet.machines.values_mut() {
            self.collect_tasks(machine, true);
            self.mark_if_named(machine);
        }
        for machine in fleet.machines.values_mut() {
            self.collect_tasks(machine, false);
            if !machine.is_named_in_log() && self.has_room_for_machine(machine) {
                self.machine_line(machine);
            }
            self.mark_if_named(machine);
        }
    }

    fn mark_if_named(&self, machine: &mut Machine) {
        if self.ends_with(machine) {
            machine.pending_segment = self.id;
        }
    }

    /// Adds the tasks of a machine that wait to be recorded, as far as they fit.
    fn collect_tasks(&mut self, machine: &mut Machine, non_preemptible: bool) {
        for position in 0..machine.tasks.len() {
            let task = &machine.tasks[position];
            if !task.awaits_recording() || task.is_non_preemptible() != non_preemptible {
                continue;
            }
            if !self.has_room_for_task(machine, task) {
                return;
            }
            self.add_task(machine, task);
            machine.tasks[position].pending_segment = self.id;
        }
    }

    /// Adds the progress of jobs that is not recorded yet, as far as it fits.
    pub(super) fn collect_progress(&mut self, jobs: &mut JobTable) {
        for job in (jobs.values_mut()).filter(|job| job.has_unrecorded_progress) {
            if !job.is_active() || job.is_complete() {
                job.has_unrecorded_progress = false;
            } else if self.add_new_progress(job) {
                job.has_unrecorded_progress = !job.is_all_recorded();
            }
        }
    }

    /// Adds what has been done of a job since its progress was last recorded; returns whether it fitted.
    ///
    /// Of a job with a great many tasks some may have to wait for a later segment; until then agents go on
    /// reporting them as exited. If the limits have been lowered, what is recorded already may take more than a
    /// segment holds; then it stays where it is.
    fn add_new_progress(&mut self, job: &mut Job) -> bool {
        let id_bytes = job.spec.id.as_str().len();
        let bytes_left =
            (self.max_bytes).saturating_sub(self.estimated_bytes + JOB_PROGRESS_BYTES + id_bytes);
        let max_ranges = bytes_left / RANGE_BYTES;
        let min_ranges = job.done.within(0, &job.recorded_done).ranges().count();
        if max_ranges < min_ranges.max(1) {
            return false;
        }
        job.recorded_done = job.done.within(max_ranges, &job.recorded_done);
        self.add_progress(job);
        true
    }

    /// Adds the recorded progress of a job, whether it fits or not.
    pub(super) fn add_progress(&mut self, job: &Job) {
        let id = &job.spec.id;
        self.estimated_bytes += progress_bytes(job);
        if job.is_suspected() {
            let tries = job.failures.failed_attempts();
            self.record.suspected.push((id.clone(), tries));
        }
        let ranges = job.recorded_done.ranges().collect();
        self.record.done.push((id.clone(), ranges));
        self.progress.push(JobProgress {
            job: id.clone(),
            done: job.recorded_done.clone(),
        });
    }

    /// Adds a task on a machine, whether it fits or not.
    pub(super) fn add_task(&mut self, machine: &Machine, placed: &PlacedTask) {
        let (job, index) = (&placed.task.job, placed.task.index);
        let tasks = &mut self.machine_line(machine).tasks;
        match tasks.last_mut() {
            Some((last_job, attempt, indexes)) if last_job == job && *attempt == placed.attempt => {
                indexes.push(index);
            }
            _ => {
                tasks.push((job.clone(), placed.attempt, vec![index]));
                self.estimated_bytes += ATTEMPT_BYTES + job.as_str().len();
            }
        }
        self.estimated_bytes += TASK_INDEX_BYTES;
    }

    /// The line of a machine, which is added unless it is the last one.
    pub(super) fn machine_line(&mut self, machine: &Machine) -> &mut SegmentMachine {
        if !self.ends_with(machine) {
            self.estimated_bytes += machine_bytes(machine);
            self.record.machines.push(SegmentMachine {
                id: machine.id.clone(),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.is_spot,
                since: machine.known_since,
                tasks: Vec::new(),
            });
        }
        let last = self.record.machines.len() - 1;
        &mut self.record.machines[last]
    }

    /// Whether the last line is that of a machine.
    fn ends_with(&self, machine: &Machine) -> bool {
        (self.record.machines.last()).is_some_and(|line| line.id == machine.id)
    }

    /// Whether a machine without tasks fits. Something always fits into an empty segment: if the store rejects it,
    /// that shows that the limits are lower than was known.
    fn has_room_for_machine(&self, machine: &Machine) -> bool {
        self.is_empty() || self.estimated_bytes + machine_bytes(machine) <= self.max_bytes
    }

    /// Whether a task fits, with its machine's line if that has to be added.
    fn has_room_for_task(&self, machine: &Machine, task: &PlacedTask) -> bool {
        let line_bytes = if self.ends_with(machine) {
            0
        } else {
            machine_bytes(machine)
        };
        self.is_empty() || self.estimated_bytes + line_bytes + task_bytes(task) <= self.max_bytes
    }
}

/// Bytes of a task that shares nothing with others but its machine's line.
pub(super) fn task_bytes(placed: &PlacedTask) -> usize {
    ATTEMPT_BYTES + placed.task.job.as_str().len() + TASK_INDEX_BYTES
}

/// Bytes of the recorded progress of a job.
pub(super) fn progress_bytes(job: &Job) -> usize {
    let mentions = if job.is_suspected() { 2 } else { 1 };
    mentions * (JOB_PROGRESS_BYTES + job.spec.id.as_str().len())
        + RANGE_BYTES * job.recorded_done.ranges().count()
}

/// Bytes of a machine's line without its tasks.
pub(super) fn machine_bytes(machine: &Machine) -> usize {
    let names = [
        machine.id.as_str(),
        machine.machine_type.as_str(),
        machine.zone.as_str(),
    ];
    MACHINE_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}

#[cfg(test)]
impl PendingSegment {
    pub(super) fn record(&self) -> &SegmentRecord {
        &self.record
    }

    pub(super) fn estimated_bytes(&self) -> usize {
        self.estimated_bytes
    }
}
