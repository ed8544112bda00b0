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

mod draft;

use self::draft::{
    entry_bytes, line_bytes, page_bytes, progress_bytes, PendingSegment, EMPTY_BYTES,
};
use crate::fleet::machine::{Machine, Phase, PlacedTask};
use crate::io::{StoreAnswer, StoreCall};
use crate::leader::Leader;
use crate::leadership::recovery::LeaderCall;
use crate::node::Node;
use crate::store::records::{segment_key, SegmentId, SegmentRecord};
use crate::store::transactions::{condition, put};
use crate::task_set::TaskSet;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{JobId, MachineId, Version};
use rudderreel_wire::state::{Change, Transaction};
use rudderreel_wire::worker::Cause;
use std::collections::{BTreeMap, BTreeSet};

/// Commits of pages that may be open at once.
const OPEN: usize = 3;
/// How often progress is recorded, and pages are tidied up.
const TIDY: Span = Span(1_000);
/// A commit that was refused is repeated after so long.
const AGAIN: Span = Span(200);
/// Pages that are left alone however little is on them.
const FEW_PAGES: usize = 12;

/// The pages.
pub struct PlacementLog {
    /// Whether something may wait to be recorded, so that the fleet is looked through only then.
    pub may_have_unrecorded: bool,
    /// Pages that exist.
    pages: BTreeSet<SegmentId>,
    /// Pages whose commits are open.
    open: BTreeMap<SegmentId, UncommittedSegment>,
    /// Pages that nothing holds on any more.
    dead: Vec<SegmentId>,
    next_tidy: Time,
    /// Changes that may be made now, and when that was counted.
    budget: (f64, Time),
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
struct UncommittedSegment {
    record: SegmentRecord,
    deletes: Vec<SegmentId>,
    done: Vec<(JobId, TaskSet)>,
    /// When it must be sent again.
    again: Option<Time>,
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
    pub fn learn(&mut self, page: SegmentId) {
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
    pub(crate) fn take(&mut self, changes: f64, rate: f64, now: Time) -> bool {
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
    pub(crate) fn take_cancellations(&mut self, wanted: usize, rate: f64, now: Time) -> usize {
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
    entry.holds_room()
}

/// Whether an entry waits to be recorded.
fn is_new(entry: &PlacedTask) -> bool {
    holds(entry) && !entry.is_recorded() && entry.writing == SegmentId::NONE
}

/// Adds the entries of a machine that wait to be recorded, as far as there is room.
fn draft_entries(
    draft: &mut PendingSegment,
    machine: &mut Machine,
    page: SegmentId,
    urgent: bool,
    most: usize,
) {
    for at in 0..machine.entries.len() {
        let entry = &machine.entries[at];
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
        machine.entries[at].writing = page;
    }
}

impl Leader {
    /// Puts what is not recorded yet on a page, what can't wait first.
    fn draft(&mut self, page: SegmentId, progress: bool) -> PendingSegment {
        let mut draft = PendingSegment::new();
        let most = page_bytes(&self.store_limits);
        for urgent in [true, false] {
            for machine in self.fleet.machines.values_mut() {
                draft_entries(&mut draft, machine, page, urgent, most);
                let unnamed = machine.page == SegmentId::NONE && machine.writing == SegmentId::NONE;
                if unnamed && !urgent {
                    draft.add_line_within(machine, most);
                }
                if draft.ends_with(machine) {
                    machine.writing = page;
                }
            }
        }
        if progress {
            for job in self.jobs.values_mut().filter(|j| j.progress_dirty) {
                if job.is_active() && !job.is_complete() {
                    if !draft.add_new_progress(job, most) {
                        continue;
                    }
                    job.progress_dirty = !job.is_all_recorded();
                } else {
                    job.progress_dirty = false;
                }
            }
        }
        draft
    }

    /// How many bytes what still holds on each page takes, counted as on a page of its own.
    fn weigh_pages(&self) -> BTreeMap<SegmentId, usize> {
        let mut weight: BTreeMap<SegmentId, usize> =
            self.placement_log.pages.iter().map(|p| (*p, 0)).collect();
        let mut add = |page: SegmentId, bytes: usize| {
            if let Some(sum) = weight.get_mut(&page) {
                *sum += bytes;
            }
        };
        for machine in self.fleet.machines.values() {
            let held = machine.entries.iter().filter(|e| holds(e));
            for entry in held.clone() {
                add(entry.page, entry_bytes(entry));
            }
            // Its line stands on every page that names one of its tasks.
            let mut lines: Vec<SegmentId> = held.map(|e| e.page).chain([machine.page]).collect();
            lines.sort_unstable();
            lines.dedup();
            for page in lines {
                add(page, line_bytes(machine));
            }
        }
        for job in self.jobs.values().filter(|j| j.is_active()) {
            add(job.page, progress_bytes(job));
        }
        weight
    }

    /// Finds pages that nothing holds on any more, and picks those to be written together.
    pub(crate) fn tidy_up(&mut self) -> Vec<SegmentId> {
        let weight = self.weigh_pages();
        let busy = |p: &SegmentId| self.placement_log.dead.contains(p);
        let dead: Vec<SegmentId> = (weight.iter())
            .filter(|(p, w)| **w == 0 && !busy(p))
            .map(|(p, _)| *p)
            .collect();
        let mut light: Vec<(usize, SegmentId)> = (weight.iter())
            .filter(|(p, w)| **w > 0 && !busy(p))
            .map(|(p, w)| (*w, *p))
            .collect();
        self.placement_log.dead.extend(dead);
        if light.len() <= FEW_PAGES || !self.placement_log.open.is_empty() {
            return Vec::new();
        }
        light.sort_unstable();
        let mut room = page_bytes(&self.store_limits).saturating_sub(EMPTY_BYTES);
        let few: Vec<SegmentId> = (light.iter())
            .take(self.store_limits.operations.saturating_sub(2))
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
    fn rewrite(&mut self, page: SegmentId, old: &[SegmentId]) -> PendingSegment {
        let mut draft = PendingSegment::new();
        for machine in self.fleet.machines.values_mut() {
            let mut taken = Vec::new();
            for entry in machine.entries.iter_mut().filter(|e| holds(e)) {
                if old.contains(&entry.page) {
                    entry.writing = page;
                    taken.push(entry.clone());
                }
            }
            for entry in &taken {
                draft.add(machine, entry);
            }
            if old.contains(&machine.page) {
                draft.line(machine);
                machine.writing = page;
            }
        }
        for job in self.jobs.values_mut() {
            if job.is_active() && old.contains(&job.page) {
                draft.add_progress(job);
            }
        }
        draft
    }

    /// A page was not written and never will be: what is on it waits to be recorded again.
    fn take_apart(&mut self, page: SegmentId) {
        let Some(open) = self.placement_log.open.remove(&page) else {
            return;
        };
        self.placement_log.may_have_unrecorded = true;
        for machine in self.fleet.machines.values_mut() {
            if machine.writing == page {
                machine.writing = SegmentId::NONE;
            }
            for entry in machine.entries.iter_mut().filter(|e| e.writing == page) {
                entry.writing = SegmentId::NONE;
            }
        }
        for (id, _) in open.done {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.progress_dirty = true;
            }
        }
        let pages = &self.placement_log.pages;
        self.placement_log.dead.retain(|p| pages.contains(p));
    }

    fn page_written(&mut self, page: SegmentId, open: UncommittedSegment) -> Vec<MachineId> {
        for old in &open.deletes {
            self.placement_log.pages.remove(old);
        }
        self.placement_log
            .dead
            .retain(|p| !open.deletes.contains(p));
        let mut started = Vec::new();
        if open.record == SegmentRecord::default() {
            return started;
        }
        self.placement_log.pages.insert(page);
        for machine in self.fleet.machines.values_mut() {
            if machine.writing == page {
                (machine.page, machine.writing) = (page, SegmentId::NONE);
            }
            let mut new = false;
            for entry in machine.entries.iter_mut().filter(|e| e.writing == page) {
                new |= !entry.is_recorded();
                (entry.page, entry.writing) = (page, SegmentId::NONE);
            }
            if new {
                started.push(machine.id.clone());
            }
            for entry in machine.entries.iter_mut().filter(|e| !e.settled) {
                // Only now may the worker forget it.
                let done = |d: &&(JobId, TaskSet)| d.0 == entry.task.job;
                if entry.phase == Phase::Exited(Cause::Done) {
                    entry.settled = (open.done.iter().find(done))
                        .is_some_and(|(_, set)| set.contains(entry.task.index));
                }
            }
        }
        for (id, _) in open.done {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.page = job.page.max(page);
            }
        }
        started
    }
}

impl Node {
    /// Commits what has changed in the placement log.
    pub(crate) fn flush_placement_log(&mut self, now: Now) {
        self.repeat_pages(now.time);
        let rate = self.limits.placement_writes();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let tidy = now.time >= leader.placement_log.next_tidy;
        if tidy {
            leader.placement_log.next_tidy = now.time + TIDY;
        }
        if tidy {
            self.tidy_placement_log(rate, now);
        }
        let mut progress = tidy;
        while let Some(leader) = self.leader.as_mut() {
            let nothing = !leader.placement_log.may_have_unrecorded && !progress;
            if nothing
                || leader.placement_log.open.len() >= OPEN
                || !leader.placement_log.take(1.0, rate, now.time)
            {
                break;
            }
            let page = leader.term.next_segment();
            let draft = leader.draft(page, progress);
            progress = false;
            if draft.is_empty() {
                leader.placement_log.may_have_unrecorded = false;
                leader.placement_log.budget.0 += 1.0;
                break;
            }
            let most = leader.store_limits.operations.saturating_sub(1).min(4);
            let dead: Vec<SegmentId> = leader
                .placement_log
                .dead
                .iter()
                .take(most)
                .copied()
                .collect();
            let affordable = leader.placement_log.take(dead.len() as f64, rate, now.time);
            let deletes = if affordable { dead } else { Vec::new() };
            leader.placement_log.dead.retain(|p| !deletes.contains(p));
            self.open_page(page, draft, deletes);
        }
    }

    fn tidy_placement_log(&mut self, rate: f64, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let old = leader.tidy_up();
        let cost = 1.0 + old.len() as f64;
        if !old.is_empty() && leader.placement_log.take(cost, rate, now.time) {
            let page = leader.term.next_segment();
            let draft = leader.rewrite(page, &old);
            self.open_page(page, draft, old);
        } else if leader.placement_log.dead.len() >= leader.store_limits.operations / 2
            && leader.placement_log.open.is_empty()
        {
            let dead: Vec<SegmentId> = leader
                .placement_log
                .dead
                .iter()
                .take(leader.store_limits.operations)
                .copied()
                .collect();
            if leader.placement_log.take(dead.len() as f64, rate, now.time) {
                leader.placement_log.dead.retain(|p| !dead.contains(p));
                let page = leader.term.next_segment();
                self.open_page(page, PendingSegment::new(), dead);
            }
        }
    }

    fn open_page(&mut self, page: SegmentId, draft: PendingSegment, deletes: Vec<SegmentId>) {
        if let Some(leader) = self.leader.as_mut() {
            let open = UncommittedSegment {
                record: draft.record,
                done: draft.done,
                deletes,
                again: None,
            };
            leader.placement_log.open.insert(page, open);
            self.send_page(page);
        }
    }

    fn send_page(&mut self, page: SegmentId) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let leadership_condition = leader.term.key_condition();
        let Some(open) = leader.placement_log.open.get_mut(&page) else {
            return;
        };
        open.again = None;
        let mut conditions = vec![leadership_condition];
        let mut changes: Vec<_> = (open.deletes.iter())
            .map(|p| Change::Delete {
                key: segment_key(*p),
            })
            .collect();
        if open.record != SegmentRecord::default() {
            conditions.push(condition(segment_key(page), Version(0)));
            changes.push(put(segment_key(page), &open.record));
        }
        let call = StoreCall::Commit(Transaction {
            conditions,
            changes,
        });
        self.call_store_as_leader(call, LeaderCall::Page(page));
    }

    fn repeat_pages(&mut self, now: Time) {
        let Some(leader) = &self.leader else {
            return;
        };
        let again: Vec<SegmentId> = (leader.placement_log.open.iter())
            .filter(|(_, open)| open.again.is_some_and(|at| now >= at))
            .map(|(page, _)| *page)
            .collect();
        for page in again {
            self.send_page(page);
        }
    }

    /// The answer to a page's commit.
    pub(crate) fn page_answered(&mut self, page: SegmentId, answer: StoreAnswer, now: Now) {
        let written = match &answer {
            StoreAnswer::Committed(_) => true,
            // The page exists, so an earlier try was carried out.
            StoreAnswer::Conflict(keys) => keys.iter().any(|k| *k == segment_key(page)),
            _ => false,
        };
        if !written && self.step_down_if_superseded(&answer) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if matches!(answer, StoreAnswer::Rejected) {
            // It would be rejected again as it is: what is on it goes on smaller ones.
            return leader.take_apart(page);
        }
        if !written {
            if let Some(open) = leader.placement_log.open.get_mut(&page) {
                open.again = Some(now.time + AGAIN);
            }
            return;
        }
        let Some(open) = leader.placement_log.open.remove(&page) else {
            return;
        };
        let started = leader.page_written(page, open);
        self.push_starts(&started, now);
        self.step_down_if_superseded(&answer);
    }
}

#[cfg(test)]
mod tests;
