//! Compaction: segments without references are deleted, and those with the fewest live bytes are merged. The live
//! bytes of a segment are the size of the entries that still refer to it.

use super::segment::{machine_bytes, max_entry_bytes, progress_bytes, task_bytes, PendingSegment};
use super::{LogContext, PlacementLog, SegmentCommit};
use crate::fleet::{Fleet, Machine};
use crate::jobs::job_table::JobTable;
use crate::store::limits::StoreLimits;
use crate::store::records::SegmentId;
use crate::units::Time;
use std::collections::BTreeMap;

/// Number of live segments up to which none are merged, however few live bytes they have.
const MIN_SEGMENTS_TO_COMPACT: usize = 12;
/// Minimum number of segments to merge: merging fewer costs nearly as many writes as it saves.
const MIN_SEGMENTS_TO_MERGE: usize = 4;
/// Changes of a transaction that are reserved for the merged segment and one more.
const RESERVED_OPERATIONS: usize = 2;

impl PlacementLog {
    /// Opens a commit that merges segments, or one that only deletes dead segments, if either is worthwhile and the
    /// budget has the writes for it.
    pub(super) fn compact(
        &mut self,
        context: &mut LogContext<'_>,
        now: Time,
    ) -> Option<SegmentCommit> {
        let merged = self.select_for_compaction(context.fleet, context.jobs, context.limits);
        let writes = 1 + merged.len();
        if !merged.is_empty()
            && (self.write_budget).take_for_segments(writes, context.writes_per_s, now)
        {
            let segment = context.term.next_segment();
            let mut pending = PendingSegment::new(segment, context.limits);
            pending.collect_referring_to(&merged, context.fleet, context.jobs);
            return Some(self.open_commit(pending, merged, context.term));
        }
        self.delete_dead_segments(context, now)
    }

    /// Opens a commit that only deletes dead segments, if they would fill at least half a transaction and no other
    /// commit is open.
    fn delete_dead_segments(
        &mut self,
        context: &mut LogContext<'_>,
        now: Time,
    ) -> Option<SegmentCommit> {
        let max_deletes = context.limits.max_operations;
        if self.dead.len() < max_deletes / 2 || !self.uncommitted.is_empty() {
            return None;
        }
        let deletes = self.take_affordable_dead(max_deletes, context.writes_per_s, now);
        if deletes.is_empty() {
            return None;
        }
        let pending = PendingSegment::new(context.term.next_segment(), context.limits);
        Some(self.open_commit(pending, deletes, context.term))
    }

    /// Adds the segments that nothing refers to any more to the list of dead ones, and selects those to merge: the ones
    /// with the fewest live bytes, as many as fit into one segment and one transaction.
    pub(crate) fn select_for_compaction(
        &mut self,
        fleet: &Fleet,
        jobs: &JobTable,
        limits: &StoreLimits,
    ) -> Vec<SegmentId> {
        let mut by_live_bytes: Vec<(usize, SegmentId)> = Vec::new();
        let mut newly_dead = Vec::new();
        for (segment, live_bytes) in self.live_bytes(fleet, jobs) {
            if self.dead.contains(&segment) {
                continue;
            }
            if live_bytes == 0 {
                newly_dead.push(segment);
            } else {
                by_live_bytes.push((live_bytes, segment));
            }
        }
        self.dead.extend(newly_dead);
        if by_live_bytes.len() <= MIN_SEGMENTS_TO_COMPACT || !self.uncommitted.is_empty() {
            return Vec::new();
        }
        by_live_bytes.sort_unstable();
        let mut bytes_left = max_entry_bytes(limits);
        let selected: Vec<SegmentId> = (by_live_bytes.into_iter())
            .take(limits.max_operations.saturating_sub(RESERVED_OPERATIONS))
            .take_while(|(bytes, _)| {
                let fits = bytes_left >= *bytes;
                bytes_left = bytes_left.saturating_sub(*bytes);
                fits
            })
            .map(|(_, segment)| segment)
            .collect();
        if selected.len() < MIN_SEGMENTS_TO_MERGE {
            return Vec::new();
        }
        selected
    }

    /// Returns the live bytes of each segment: the size that the entries which still refer to it would have in a
    /// segment with nothing else.
    fn live_bytes(&self, fleet: &Fleet, jobs: &JobTable) -> BTreeMap<SegmentId, usize> {
        let mut live: BTreeMap<SegmentId, usize> =
            self.segments.iter().map(|segment| (*segment, 0)).collect();
        let mut add = |segment: SegmentId, bytes: usize| {
            if let Some(sum) = live.get_mut(&segment) {
                *sum += bytes;
            }
        };
        for machine in fleet.machines.values() {
            for task in machine.tasks.iter().filter(|t| t.occupies_capacity()) {
                add(task.segment, task_bytes(task));
            }
            for segment in segments_naming(machine) {
                add(segment, machine_bytes(machine));
            }
        }
        for job in jobs.values().filter(|job| job.is_active()) {
            add(job.segment, progress_bytes(job));
        }
        live
    }
}

/// Returns the segments that have a line of a machine: each segment that names one of its tasks has one.
fn segments_naming(machine: &Machine) -> Vec<SegmentId> {
    let tasks = machine.tasks.iter().filter(|t| t.occupies_capacity());
    let mut segments: Vec<SegmentId> = (tasks.map(|task| task.segment))
        .chain([machine.segment])
        .collect();
    segments.sort_unstable();
    segments.dedup();
    segments
}

impl PendingSegment {
    /// Adds everything that refers to some segments, even if it does not fit: the same commit deletes these segments.
    pub(super) fn collect_referring_to(
        &mut self,
        segments: &[SegmentId],
        fleet: &mut Fleet,
        jobs: &JobTable,
    ) {
        for machine in fleet.machines.values_mut() {
            for position in 0..machine.tasks.len() {
                let task = &machine.tasks[position];
                if task.occupies_capacity() && segments.contains(&task.segment) {
                    self.add_task(machine, task);
                    machine.tasks[position].pending_segment = self.id();
                }
            }
            if segments.contains(&machine.segment) {
                self.machine_line(machine);
                machine.pending_segment = self.id();
            }
        }
        for job in jobs.values() {
            if job.is_active() && segments.contains(&job.segment) {
                self.add_progress(job);
            }
        }
    }
}
