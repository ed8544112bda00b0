//! Construction of a segment within the size limit of a value in the store.
//!
//! The size of the segment's JSON is estimated, since encoding it after each added entry would take quadratic time.
//! The estimates are upper bounds; the tests compare them with the encoded size.

use crate::fleet::{Fleet, Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::jobs::job_table::JobTable;
use crate::store::limits::StoreLimits;
use crate::store::records::{SegmentId, SegmentMachine, SegmentRecord};
use crate::task_set::TaskSet;
use rudderreel_wire::ids::{JobId, TaskId};

/// Fraction of the size limit of a value up to which a segment is filled, since its size is estimated.
const FILL_FACTOR: f64 = 0.9;
/// Maximum size of a segment. A transaction holds 64 KiB; the segment leaves room for the rest of it.
const MAX_SEGMENT_BYTES: usize = 40_000;
/// Bytes of an empty segment.
const EMPTY_SEGMENT_BYTES: usize = 24;
/// Bytes of a machine's line without its tasks and without its names, but with the punctuation around the names.
const MACHINE_BYTES: usize = 62;
/// Bytes of an attempt's entry without the job's id and the task indexes. Attempt numbers have up to 14 digits for
/// more than a million epochs.
const ATTEMPT_BYTES: usize = 24;
/// Bytes of each task index of an attempt: up to 6 digits and a comma.
const TASK_INDEX_BYTES: usize = 7;
/// Bytes of a job's progress without the job's id and the ranges of done tasks.
const JOB_PROGRESS_BYTES: usize = 24;
/// Bytes of each range of done tasks.
const RANGE_BYTES: usize = 16;

/// Tasks of a job that a segment records as done.
pub(super) struct JobProgress {
    pub(super) job: JobId,
    pub(super) done: TaskSet,
}

impl JobProgress {
    /// Returns whether a task is among those recorded as done.
    pub(super) fn includes(&self, task: &TaskId) -> bool {
        self.job == task.job && self.done.contains(task.index)
    }
}

/// A segment under construction, whose commit has not been opened yet.
pub(super) struct PendingSegment {
    id: SegmentId,
    record: SegmentRecord,
    progress: Vec<JobProgress>,
    /// Upper bound of the size of the record's JSON.
    estimated_bytes: usize,
    max_bytes: usize,
}

/// Returns the number of bytes up to which a segment is filled.
fn max_segment_bytes(limits: &StoreLimits) -> usize {
    ((limits.max_value_bytes as f64 * FILL_FACTOR) as usize).min(MAX_SEGMENT_BYTES)
}

/// Returns the number of bytes that the entries of a segment may take together.
pub(super) fn max_entry_bytes(limits: &StoreLimits) -> usize {
    max_segment_bytes(limits).saturating_sub(EMPTY_SEGMENT_BYTES)
}

impl PendingSegment {
    /// Creates an empty segment.
    pub(super) fn new(id: SegmentId, limits: &StoreLimits) -> Self {
        Self {
            id,
            record: SegmentRecord::default(),
            progress: Vec::new(),
            estimated_bytes: EMPTY_SEGMENT_BYTES,
            max_bytes: max_segment_bytes(limits),
        }
    }

    /// Returns the id that the segment will have.
    pub(super) fn id(&self) -> SegmentId {
        self.id
    }

    /// Returns whether the segment records nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.record.machines.is_empty() && self.record.done.is_empty()
    }

    /// Returns the record to write, and the progress that it contains.
    pub(super) fn into_contents(self) -> (SegmentRecord, Vec<JobProgress>) {
        (self.record, self.progress)
    }

    /// Adds the unrecorded machines and placements, as far as they fit; non-preemptible tasks first.
    pub(super) fn collect_placements(&mut self, fleet: &mut Fleet) {
        for machine in fleet.machines.values_mut() {
            self.collect_tasks(machine, true);
            self.mark_if_last_line(machine);
        }
        for machine in fleet.machines.values_mut() {
            self.collect_tasks(machine, false);
            if !machine.is_named_in_log() && self.has_room_for_machine(machine) {
                self.machine_line(machine);
            }
            self.mark_if_last_line(machine);
        }
    }

    /// Marks a machine as named by this segment if the segment's last line is that of the machine.
    fn mark_if_last_line(&self, machine: &mut Machine) {
        if self.last_line_is_of(machine) {
            machine.pending_segment = self.id;
        }
    }

    /// Adds the unrecorded tasks of a machine, either the non-preemptible or the preemptible ones, as far as they fit.
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

    /// Adds the unrecorded progress of jobs, as far as it fits.
    pub(super) fn collect_progress(&mut self, jobs: &mut JobTable) {
        for job in (jobs.values_mut()).filter(|job| job.has_unrecorded_progress) {
            if !job.is_active() || job.is_complete() {
                job.has_unrecorded_progress = false;
            } else if self.add_new_progress(job) {
                job.has_unrecorded_progress = !job.is_progress_recorded();
            }
        }
    }

    /// Adds the progress of a job, with the tasks that were done since it was last recorded. Returns whether it fitted.
    ///
    /// If a job has very many tasks, some may have to wait for a later segment; until then agents keep reporting them
    /// as exited. If the limits have been lowered, the progress that is already recorded may take more than a segment
    /// holds; then it stays in the segment that records it.
    fn add_new_progress(&mut self, job: &mut Job) -> bool {
        let id_bytes = job.spec.id.as_str().len();
        let bytes_left =
            (self.max_bytes).saturating_sub(self.estimated_bytes + JOB_PROGRESS_BYTES + id_bytes);
        let max_ranges = bytes_left / RANGE_BYTES;
        let min_ranges = job
            .done
            .limited_to_ranges(0, &job.recorded_done)
            .ranges()
            .count();
        if max_ranges < min_ranges.max(1) {
            return false;
        }
        job.recorded_done = job.done.limited_to_ranges(max_ranges, &job.recorded_done);
        self.add_progress(job);
        true
    }

    /// Adds the recorded progress of a job, even if it does not fit.
    pub(super) fn add_progress(&mut self, job: &Job) {
        let id = &job.spec.id;
        self.estimated_bytes += progress_bytes(job);
        if job.is_suspected() {
            let failed_attempts = job.failures.failed_attempts();
            self.record.suspected.push((id.clone(), failed_attempts));
        }
        let ranges = job.recorded_done.ranges().collect();
        self.record.done.push((id.clone(), ranges));
        self.progress.push(JobProgress {
            job: id.clone(),
            done: job.recorded_done.clone(),
        });
    }

    /// Adds a task on a machine, even if it does not fit.
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

    /// Returns the line of a machine. Adds one unless the segment's last line is that of the machine.
    pub(super) fn machine_line(&mut self, machine: &Machine) -> &mut SegmentMachine {
        if !self.last_line_is_of(machine) {
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

    /// Returns whether the segment's last line is that of a machine.
    fn last_line_is_of(&self, machine: &Machine) -> bool {
        (self.record.machines.last()).is_some_and(|line| line.id == machine.id)
    }

    /// Returns whether a machine without tasks fits. The first entry of an empty segment always fits: if the store
    /// rejects it, that shows that the limits are lower than was known.
    fn has_room_for_machine(&self, machine: &Machine) -> bool {
        self.is_empty() || self.estimated_bytes + machine_bytes(machine) <= self.max_bytes
    }

    /// Returns whether a task fits, with its machine's line if that has to be added. The first entry of an empty
    /// segment always fits.
    fn has_room_for_task(&self, machine: &Machine, task: &PlacedTask) -> bool {
        let line_bytes = if self.last_line_is_of(machine) {
            0
        } else {
            machine_bytes(machine)
        };
        self.is_empty() || self.estimated_bytes + line_bytes + task_bytes(task) <= self.max_bytes
    }
}

/// Returns the bytes of a task that shares nothing with other tasks except its machine's line.
pub(super) fn task_bytes(placed: &PlacedTask) -> usize {
    ATTEMPT_BYTES + placed.task.job.as_str().len() + TASK_INDEX_BYTES
}

/// Returns the bytes of the recorded progress of a job.
pub(super) fn progress_bytes(job: &Job) -> usize {
    let mentions = if job.is_suspected() { 2 } else { 1 };
    mentions * (JOB_PROGRESS_BYTES + job.spec.id.as_str().len())
        + RANGE_BYTES * job.recorded_done.ranges().count()
}

/// Returns the bytes of a machine's line without its tasks.
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
