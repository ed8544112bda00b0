//! Compaction: segments that nothing refers to are deleted, and those that little refers to are merged.

use super::segment::{machine_bytes, max_entry_bytes, progress_bytes, task_bytes, PendingSegment};
use super::{LogContext, PlacementLog, SegmentCommit};
use crate::fleet::{Fleet, Machine};
use crate::jobs::job_table::JobTable;
use crate::store::limits::StoreLimits;
use crate::store::records::SegmentId;
use crate::units::Time;
use std::collections::BTreeMap;

/// So many segments are left alone, however little refers to them.
const MIN_SEGMENTS_TO_COMPACT: usize = 12;
/// Fewer are not merged: it would cost nearly as many writes as it saves.
const MIN_SEGMENTS_TO_MERGE: usize = 4;
/// Changes of a transaction that are left for the merged segment and one more.
const RESERVED_OPERATIONS: usize = 2;

impl PlacementLog {
    /// Opens the commit that merges segments or deletes many dead ones, if either is worth while.
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

    /// Opens a commit that only deletes dead segments, once there are many.
    fn delete_dead_segments(
        &mut self,
        context: &mut LogContext<'_>,
        now: Time,
    ) -> Option<SegmentCommit> {
        let most = context.limits.operations;
        if self.dead.len() < most / 2 || !self.uncommitted.is_empty() {
            return None;
        }
        let deletes = self.take_affordable_dead(most, context.writes_per_s, now);
        if deletes.is_empty() {
            return None;
        }
        let pending = PendingSegment::new(context.term.next_segment(), context.limits);
        Some(self.open_commit(pending, deletes, context.term))
    }

    /// Lists the segments that nothing refers to any more as dead, and selects those to merge: the ones that the
    /// least refers to, as many as fit into one segment and one transaction.
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
            .take(limits.operations.saturating_sub(RESERVED_OPERATIONS))
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

    /// How many bytes what still refers to each segment would take, if nothing else were in the segment.
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

/// The segments with a line of a machine: each that names one of its tasks has one.
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
    /// Adds all that refers to some segments, whether it fits or not: they are deleted with the same commit.
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
