//! A page of the placement log that is being put together, within what a value may hold: sizes are counted
//! as its JSON will have them.

use crate::fleet::machine::{Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::store::limits::StoreLimits;
use crate::store::records::{SegmentMachine, SegmentRecord};
use crate::task_set::TaskSet;
use rudderreel_wire::ids::JobId;

/// A page is filled up to this part of what a value may hold: sizes are counted, not measured.
const FILL: f64 = 0.9;
/// A transaction holds 64 KiB; a page leaves room for the rest of it.
const PAGE_BYTES: usize = 40_000;
/// What a machine's line takes without names, with the punctuation round it.
const LINE_BYTES: usize = 62;
/// What the tasks of one attempt take without the job's id, and each of them: attempts have up to
/// 14 digits for more than a million epochs, and tasks up to 6.
const GROUP_BYTES: usize = 24;
const INDEX_BYTES: usize = 7;
/// What a job's progress takes without its id, and each range of done tasks.
const JOB_BYTES: usize = 24;
const RANGE_BYTES: usize = 16;
/// What an empty page takes.
pub(crate) const EMPTY_BYTES: usize = 24;

/// A page that is being put together.
#[derive(Default)]
pub(crate) struct PendingSegment {
    pub(crate) record: SegmentRecord,
    pub(crate) done: Vec<(JobId, TaskSet)>,
    pub(super) bytes: usize,
}

/// How many bytes a page is filled with.
pub(crate) fn page_bytes(limits: &StoreLimits) -> usize {
    ((limits.value_bytes as f64 * FILL) as usize).min(PAGE_BYTES)
}

impl PendingSegment {
    pub(crate) fn new() -> Self {
        Self {
            bytes: EMPTY_BYTES,
            ..Self::default()
        }
    }

    pub(super) fn line(&mut self, machine: &Machine) -> &mut SegmentMachine {
        if !self.ends_with(machine) {
            self.bytes += line_bytes(machine);
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
    pub(super) fn ends_with(&self, machine: &Machine) -> bool {
        self.record.machines.last().map(|l| &l.id) == Some(&machine.id)
    }

    pub(super) fn add(&mut self, machine: &Machine, entry: &PlacedTask) {
        let (job, index) = (&entry.task.job, entry.task.index);
        let tasks = &mut self.line(machine).tasks;
        match tasks.last_mut() {
            Some((j, a, indexes)) if j == job && *a == entry.attempt => indexes.push(index),
            _ => {
                tasks.push((job.clone(), entry.attempt, vec![index]));
                self.bytes += GROUP_BYTES + job.as_str().len();
            }
        }
        self.bytes += INDEX_BYTES;
    }

    /// Adds a machine's line, in a page of so many bytes; returns whether there was room.
    pub(super) fn add_line_within(&mut self, machine: &Machine, most: usize) -> bool {
        let fits = self.is_empty() || self.bytes + line_bytes(machine) <= most;
        if fits {
            self.line(machine);
        }
        fits
    }

    /// Adds an entry, in a page of so many bytes; returns whether there was room.
    pub(super) fn add_within(
        &mut self,
        machine: &Machine,
        entry: &PlacedTask,
        most: usize,
    ) -> bool {
        let line = if self.ends_with(machine) {
            0
        } else {
            line_bytes(machine)
        };
        let fits = self.is_empty() || self.bytes + line + entry_bytes(entry) <= most;
        if fits {
            self.add(machine, entry);
        }
        fits
    }

    /// Adds what has been done of a job since, in a page of so many bytes; returns whether there was
    /// room. Of a job with a great many tasks some may have to wait for a later page: then workers
    /// go on reporting them as done. What is recorded already may take more than a page has, if the
    /// limits have been lowered since; then it stays where it is.
    pub(super) fn add_new_progress(&mut self, job: &mut Job, most: usize) -> bool {
        let left = most.saturating_sub(self.bytes + JOB_BYTES + job.spec.id.as_str().len());
        let room = left / RANGE_BYTES;
        let least = job.done.within(0, &job.recorded_done).ranges().count();
        if room < least.max(1) {
            return false;
        }
        job.recorded_done = job.done.within(room, &job.recorded_done);
        self.add_progress(job);
        true
    }

    /// Adds what is recorded of a job.
    pub(super) fn add_progress(&mut self, job: &Job) {
        let id = &job.spec.id;
        let ranges: Vec<(u32, u32)> = job.recorded_done.ranges().collect();
        self.bytes += progress_bytes(job);
        if job.is_suspected() {
            self.record
                .suspected
                .push((id.clone(), job.failures.tries()));
        }
        self.record.done.push((id.clone(), ranges));
        self.done.push((id.clone(), job.recorded_done.clone()));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.record.machines.is_empty() && self.record.done.is_empty()
    }
}

/// Bytes of an entry that shares nothing with others but its machine's line.
pub(crate) fn entry_bytes(entry: &PlacedTask) -> usize {
    GROUP_BYTES + entry.task.job.as_str().len() + INDEX_BYTES
}

/// Bytes of what is recorded of a job.
pub(crate) fn progress_bytes(job: &Job) -> usize {
    let names = if job.is_suspected() { 2 } else { 1 };
    names * (JOB_BYTES + job.spec.id.as_str().len())
        + RANGE_BYTES * job.recorded_done.ranges().count()
}

/// Bytes of a machine's line without its tasks.
pub(crate) fn line_bytes(machine: &Machine) -> usize {
    let names = [
        machine.id.as_str(),
        machine.machine_type.as_str(),
        machine.zone.as_str(),
    ];
    LINE_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}
