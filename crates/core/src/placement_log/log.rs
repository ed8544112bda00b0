//! The leader's placement log: which tasks may be where, and which are done, in pages.
//!
//! A change counts against the state service's limit whatever its size, so what was decided at one
//! time goes on one new page, for all machines and jobs together. A page is written once. It is
//! deleted when nothing on it holds any more; pages on which little is left are written together
//! into a new one in the same commit that deletes them. What holds is the sum of all pages: one that
//! names a task which has long gone does no harm, since a later leader finds out that it is gone.
//!
//! A commit of unknown outcome is repeated with the same page. Its key must not exist yet, so it is
//! carried out once at most; a conflict on that key alone shows that it was.

pub(crate) mod draft;

use self::draft::{
    entry_bytes, line_bytes, page_bytes, progress_bytes, PendingSegment, EMPTY_BYTES,
};
use crate::fleet::machine::{Machine, Phase, PlacedTask};
use crate::fleet::Fleet;
use crate::jobs::job_table::JobTable;
use crate::store::limits::StoreLimits;
use crate::store::records::{SegmentId, SegmentRecord};
use crate::task_set::TaskSet;
use crate::units::Time;
use rudderreel_wire::ids::{JobId, MachineId};
use rudderreel_wire::worker::Cause;
use std::collections::{BTreeMap, BTreeSet};

/// Pages that are left alone however little is on them.
const FEW_PAGES: usize = 12;

/// The pages.
pub struct PlacementLog {
    /// Whether something may wait to be recorded, so that the fleet is looked through only then.
    pub may_have_unrecorded: bool,
    /// Pages that exist.
    pages: BTreeSet<SegmentId>,
    /// Pages whose commits are open.
    pub(crate) open: BTreeMap<SegmentId, UncommittedSegment>,
    /// Pages that nothing holds on any more.
    pub(crate) dead: Vec<SegmentId>,
    pub(crate) next_tidy: Time,
    /// Changes that may be made now, and when that was counted.
    pub(crate) budget: (f64, Time),
    /// Who may make the next change when both wait.
    turn: Turn,
    /// Whether records of cancelled dependents wait for their turn.
    cancellations_wait: bool,
}

/// Pages and the records of cancelled dependents share the leader's writes. Whichever always went first
/// could keep the other waiting for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Turn {
    #[default]
    Pages,
    Cancellations,
}

/// A page whose commit is open.
pub(crate) struct UncommittedSegment {
    pub(crate) record: SegmentRecord,
    pub(crate) deletes: Vec<SegmentId>,
    pub(crate) done: Vec<(JobId, TaskSet)>,
    /// When it must be sent again.
    pub(crate) again: Option<Time>,
}

impl Default for PlacementLog {
    fn default() -> Self {
        Self {
            may_have_unrecorded: true,
            pages: BTreeSet::new(),
            open: BTreeMap::new(),
            dead: Vec::new(),
            next_tidy: Time(0),
            budget: (0.0, Time(0)),
            turn: Turn::default(),
            cancellations_wait: false,
        }
    }
}

impl PlacementLog {
    /// A page that was read back.
    pub fn register_segment(&mut self, page: SegmentId) {
        self.pages.insert(page);
    }

    /// Pages that exist, for people.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Whether nothing on a page holds any more.
    #[cfg(test)]
    pub fn is_dead(&self, page: SegmentId) -> bool {
        self.dead.contains(&page)
    }

    /// Adds what has come since to the budget.
    fn fill(&mut self, rate: f64, now: Time) {
        let (left, at) = self.budget;
        self.budget = ((left + (now - at).as_secs() * rate).min(rate), now);
    }

    /// Takes so many changes for pages from the budget, if it has them and it is their turn.
    pub(crate) fn take_writes(&mut self, changes: f64, rate: f64, now: Time) -> bool {
        self.fill(rate, now);
        let theirs = self.cancellations_wait && self.turn == Turn::Cancellations;
        let taken = !theirs && self.budget.0 >= changes.min(rate);
        if taken {
            self.budget.0 -= changes;
            self.turn = Turn::Cancellations;
        }
        taken
    }

    /// Takes changes for records of cancelled dependents, as many as the budget has; returns how many.
    /// They wait for no more than one, or pages would take it each time.
    pub(crate) fn take_cancellation_writes(
        &mut self,
        wanted: usize,
        rate: f64,
        now: Time,
    ) -> usize {
        self.fill(rate, now);
        self.cancellations_wait = wanted > 0;
        let theirs = self.turn == Turn::Cancellations || self.open.is_empty();
        let taken = if theirs {
            wanted.min(self.budget.0.max(0.0) as usize)
        } else {
            0
        };
        if taken > 0 {
            self.budget.0 -= taken as f64;
            self.turn = Turn::Pages;
        }
        taken
    }
}

fn holds(entry: &PlacedTask) -> bool {
    entry.occupies_capacity()
}

/// Whether an entry waits to be recorded.
fn is_new(entry: &PlacedTask) -> bool {
    holds(entry) && !entry.is_recorded() && entry.pending_segment == SegmentId::NONE
}

/// Adds the entries of a machine that wait to be recorded, as far as there is room.
fn draft_entries(
    draft: &mut PendingSegment,
    machine: &mut Machine,
    page: SegmentId,
    urgent: bool,
    most: usize,
) {
    for at in 0..machine.tasks.len() {
        let entry = &machine.tasks[at];
        let firm = entry
            .spec
            .as_ref()
            .is_some_and(|s| crate::jobs::job::is_non_preemptible(s));
        if !is_new(entry) || firm != urgent {
            continue;
        }
        if !draft.add_within(machine, entry, most) {
            return;
        }
        machine.tasks[at].pending_segment = page;
    }
}

impl PlacementLog {
    /// Puts what is not recorded yet on a page, what can't wait first.
    pub(crate) fn draft(
        fleet: &mut Fleet,
        jobs: &mut JobTable,
        limits: &StoreLimits,
        page: SegmentId,
        progress: bool,
    ) -> PendingSegment {
        let mut draft = PendingSegment::new();
        let most = page_bytes(limits);
        for urgent in [true, false] {
            for machine in fleet.machines.values_mut() {
                draft_entries(&mut draft, machine, page, urgent, most);
                let unnamed = machine.segment == SegmentId::NONE
                    && machine.pending_segment == SegmentId::NONE;
                if unnamed && !urgent {
                    draft.add_line_within(machine, most);
                }
                if draft.ends_with(machine) {
                    machine.pending_segment = page;
                }
            }
        }
        if progress {
            for job in jobs.values_mut().filter(|j| j.has_unrecorded_progress) {
                if job.is_active() && !job.is_complete() {
                    if !draft.add_new_progress(job, most) {
                        continue;
                    }
                    job.has_unrecorded_progress = !job.is_all_recorded();
                } else {
                    job.has_unrecorded_progress = false;
                }
            }
        }
        draft
    }

    /// How many bytes what still holds on each page takes, counted as on a page of its own.
    fn weigh_pages(&self, fleet: &Fleet, jobs: &JobTable) -> BTreeMap<SegmentId, usize> {
        let mut weight: BTreeMap<SegmentId, usize> = self.pages.iter().map(|p| (*p, 0)).collect();
        let mut add = |page: SegmentId, bytes: usize| {
            if let Some(sum) = weight.get_mut(&page) {
                *sum += bytes;
            }
        };
        for machine in fleet.machines.values() {
            let held = machine.tasks.iter().filter(|e| holds(e));
            for entry in held.clone() {
                add(entry.segment, entry_bytes(entry));
            }
            // Its line stands on every page that names one of its tasks.
            let mut lines: Vec<SegmentId> =
                held.map(|e| e.segment).chain([machine.segment]).collect();
            lines.sort_unstable();
            lines.dedup();
            for page in lines {
                add(page, line_bytes(machine));
            }
        }
        for job in jobs.values().filter(|j| j.is_active()) {
            add(job.segment, progress_bytes(job));
        }
        weight
    }

    /// Finds pages that nothing holds on any more, and picks those to be written together.
    pub(crate) fn compact(
        &mut self,
        fleet: &Fleet,
        jobs: &JobTable,
        limits: &StoreLimits,
    ) -> Vec<SegmentId> {
        let weight = self.weigh_pages(fleet, jobs);
        let busy = |p: &SegmentId| self.dead.contains(p);
        let dead: Vec<SegmentId> = (weight.iter())
            .filter(|(p, w)| **w == 0 && !busy(p))
            .map(|(p, _)| *p)
            .collect();
        let mut light: Vec<(usize, SegmentId)> = (weight.iter())
            .filter(|(p, w)| **w > 0 && !busy(p))
            .map(|(p, w)| (*w, *p))
            .collect();
        self.dead.extend(dead);
        if light.len() <= FEW_PAGES || !self.open.is_empty() {
            return Vec::new();
        }
        light.sort_unstable();
        let mut room = page_bytes(limits).saturating_sub(EMPTY_BYTES);
        let few: Vec<SegmentId> = (light.iter())
            .take(limits.operations.saturating_sub(2))
            .take_while(|(w, _)| {
                let fits = room >= *w;
                room = room.saturating_sub(*w);
                fits
            })
            .map(|(_, p)| *p)
            .collect();
        if few.len() < 4 {
            return Vec::new();
        }
        few
    }

    /// Writes what still holds on some pages on a new one, whole: the old ones are deleted.
    pub(crate) fn rewrite(
        fleet: &mut Fleet,
        jobs: &mut JobTable,
        page: SegmentId,
        old: &[SegmentId],
    ) -> PendingSegment {
        let mut draft = PendingSegment::new();
        for machine in fleet.machines.values_mut() {
            let mut taken = Vec::new();
            for entry in machine.tasks.iter_mut().filter(|e| holds(e)) {
                if old.contains(&entry.segment) {
                    entry.pending_segment = page;
                    taken.push(entry.clone());
                }
            }
            for entry in &taken {
                draft.add(machine, entry);
            }
            if old.contains(&machine.segment) {
                draft.line(machine);
                machine.pending_segment = page;
            }
        }
        for job in jobs.values_mut() {
            if job.is_active() && old.contains(&job.segment) {
                draft.add_progress(job);
            }
        }
        draft
    }

    /// A page was not written and never will be: what is on it waits to be recorded again.
    pub(crate) fn reopen_rejected_segment(
        &mut self,
        fleet: &mut Fleet,
        jobs: &mut JobTable,
        page: SegmentId,
    ) {
        let Some(open) = self.open.remove(&page) else {
            return;
        };
        self.may_have_unrecorded = true;
        for machine in fleet.machines.values_mut() {
            if machine.pending_segment == page {
                machine.pending_segment = SegmentId::NONE;
            }
            for entry in machine
                .tasks
                .iter_mut()
                .filter(|e| e.pending_segment == page)
            {
                entry.pending_segment = SegmentId::NONE;
            }
        }
        for (id, _) in open.done {
            if let Some(job) = jobs.get_mut(&id) {
                job.has_unrecorded_progress = true;
            }
        }
        let pages = &self.pages;
        self.dead.retain(|p| pages.contains(p));
    }

    pub(crate) fn segment_committed(
        &mut self,
        fleet: &mut Fleet,
        jobs: &mut JobTable,
        page: SegmentId,
        open: UncommittedSegment,
    ) -> Vec<MachineId> {
        for old in &open.deletes {
            self.pages.remove(old);
        }
        self.dead.retain(|p| !open.deletes.contains(p));
        let mut started = Vec::new();
        if open.record == SegmentRecord::default() {
            return started;
        }
        self.pages.insert(page);
        for machine in fleet.machines.values_mut() {
            if machine.pending_segment == page {
                (machine.segment, machine.pending_segment) = (page, SegmentId::NONE);
            }
            let mut new = false;
            for entry in machine
                .tasks
                .iter_mut()
                .filter(|e| e.pending_segment == page)
            {
                new |= !entry.is_recorded();
                (entry.segment, entry.pending_segment) = (page, SegmentId::NONE);
            }
            if new {
                started.push(machine.id.clone());
            }
            for entry in machine.tasks.iter_mut().filter(|e| !e.outcome_recorded) {
                // Only now may the worker forget it.
                let done = |d: &&(JobId, TaskSet)| d.0 == entry.task.job;
                if entry.phase == Phase::Exited(Cause::Done) {
                    entry.outcome_recorded = (open.done.iter().find(done))
                        .is_some_and(|(_, set)| set.contains(entry.task.index));
                }
            }
        }
        for (id, _) in open.done {
            if let Some(job) = jobs.get_mut(&id) {
                job.segment = job.segment.max(page);
            }
        }
        started
    }
}

#[cfg(test)]
mod tests;
