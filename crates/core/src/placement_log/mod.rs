//! The leader's write-ahead log of placements: which tasks may be on which machine, and which tasks are done.
//!
//! **What it owns.** The ids of the segments that exist in the store, the segments whose commits have not been
//! answered yet, the segments that nothing refers to any more, and the budget of the store's writes.
//! The placements themselves belong to the fleet, the progress to the job table: both name the segment that
//! records them, which is how the log finds out what it has still to record and what a segment is still good for.
//!
//! **Segments.** The store's rate limit counts changes, whatever their size, so all that was decided at one time
//! goes on one new segment, for all machines and jobs together. A segment is written once and never changed. It
//! is deleted when nothing refers to it any more; segments that little refers to are merged into a new one, in
//! the same transaction that deletes them. What is recorded is the union of all segments: one that names a task
//! which has long gone does no harm, since a later leader finds out that the task is gone.
//!
//! **Invariants.**
//! - A start is sent only for a task whose segment is committed (`PlacedTask::is_recorded`).
//! - A commit of unknown outcome is retried with the same segment and the same contents. Its key must not exist
//!   yet, so it is carried out at most once; a conflict on that key alone shows that an earlier try was.
//! - A segment that the store rejects as too large is never sent again: what it names is recorded again on
//!   smaller ones.
//! - A segment is deleted only by a commit after which everything that it still records is recorded elsewhere.
//!
//! **In and out.** [`PlacementLog::due_commits`] decides what to commit now, [`PlacementLog::commit_answered`]
//! what an answer means. The log calls nobody: the node sends the transactions and hands the answers back.

mod commit;
mod compaction;
mod segment;
mod write_budget;

pub(crate) use self::commit::{is_carried_out, CommitResult, SegmentCommit};

use self::commit::UncommittedSegment;
use self::segment::PendingSegment;
use self::write_budget::WriteBudget;
use crate::fleet::Fleet;
use crate::jobs::job_table::JobTable;
use crate::leadership::term::Term;
use crate::store::limits::StoreLimits;
use crate::store::records::SegmentId;
use crate::units::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How often the progress of jobs is recorded, and segments are compacted.
const COMPACTION_INTERVAL: Span = Span(1_000);
/// Commits of segments that may be open at once.
const MAX_OPEN_COMMITS: usize = 3;
/// Dead segments that are deleted along with a new segment.
const MAX_DELETES_WITH_SEGMENT: usize = 4;

/// The placement log of a leader.
pub struct PlacementLog {
    /// Whether some placement may wait to be recorded, so that the fleet is searched only then.
    may_have_unrecorded: bool,
    /// Segments that exist in the store.
    segments: BTreeSet<SegmentId>,
    /// Segments whose commits have not been answered yet.
    uncommitted: BTreeMap<SegmentId, UncommittedSegment>,
    /// Segments that nothing refers to any more. One that an open commit deletes may be found again; to delete it
    /// twice does no harm.
    dead: Vec<SegmentId>,
    next_compaction_at: Time,
    write_budget: WriteBudget,
}

/// The parts of a leader that the log records, and that its commits depend on.
pub(crate) struct LogContext<'a> {
    /// Numbers new segments; each commit is conditional on its leader key.
    pub(crate) term: &'a mut Term,
    /// The placements.
    pub(crate) fleet: &'a mut Fleet,
    /// The progress of jobs.
    pub(crate) jobs: &'a mut JobTable,
    /// The sizes of values and transactions.
    pub(crate) limits: &'a StoreLimits,
    /// Puts and deletes a second that the log and the cascade cancellations may make together.
    pub(crate) writes_per_s: f64,
}

impl Default for PlacementLog {
    fn default() -> Self {
        Self {
            may_have_unrecorded: true,
            segments: BTreeSet::new(),
            uncommitted: BTreeMap::new(),
            dead: Vec::new(),
            next_compaction_at: Time(0),
            write_budget: WriteBudget::default(),
        }
    }
}

impl PlacementLog {
    /// Registers a segment that a new leader has read back.
    pub fn register_segment(&mut self, segment: SegmentId) {
        self.segments.insert(segment);
    }

    /// Notes that a placement or a machine was added that no segment names yet.
    pub fn mark_unrecorded(&mut self) {
        self.may_have_unrecorded = true;
    }

    /// How many segments exist.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Whether nothing refers to a segment any more.
    #[cfg(test)]
    pub fn is_dead(&self, segment: SegmentId) -> bool {
        self.dead.contains(&segment)
    }

    /// Takes writes for records of cascade cancellations from the budget that both share; returns how many.
    pub(crate) fn take_cancellation_writes(
        &mut self,
        wanted: usize,
        writes_per_s: f64,
        now: Time,
    ) -> usize {
        let segments_in_flight = !self.uncommitted.is_empty();
        self.write_budget
            .take_for_cancellations(wanted, segments_in_flight, writes_per_s, now)
    }

    /// The commits that are due: retries first, then a compaction, then what is not recorded yet.
    pub(crate) fn due_commits(
        &mut self,
        mut context: LogContext<'_>,
        now: Time,
    ) -> Vec<SegmentCommit> {
        let mut commits = self.due_retries(context.term, now);
        let compaction_due = now >= self.next_compaction_at;
        if compaction_due {
            self.next_compaction_at = now + COMPACTION_INTERVAL;
            commits.extend(self.compact(&mut context, now));
        }
        let mut with_progress = compaction_due;
        while (self.may_have_unrecorded || with_progress)
            && self.uncommitted.len() < MAX_OPEN_COMMITS
            && (self.write_budget).take_for_segments(1, context.writes_per_s, now)
        {
            let Some(commit) = self.record_changes(&mut context, with_progress, now) else {
                break;
            };
            commits.push(commit);
            with_progress = false;
        }
        commits
    }

    fn due_retries(&mut self, term: &Term, now: Time) -> Vec<SegmentCommit> {
        let mut commits = Vec::new();
        for (segment, uncommitted) in &mut self.uncommitted {
            if uncommitted.retry_at.is_some_and(|at| now >= at) {
                uncommitted.retry_at = None;
                commits.push(SegmentCommit {
                    segment: *segment,
                    transaction: uncommitted.transaction(*segment, term),
                });
            }
        }
        commits
    }

    /// Opens the commit of a new segment with what is not recorded yet, for a write that was taken from the
    /// budget already. If there is nothing to record the write goes back.
    fn record_changes(
        &mut self,
        context: &mut LogContext<'_>,
        with_progress: bool,
        now: Time,
    ) -> Option<SegmentCommit> {
        let segment = context.term.next_segment();
        let mut pending = PendingSegment::new(segment, context.limits);
        pending.collect_placements(context.fleet);
        if with_progress {
            pending.collect_progress(context.jobs);
        }
        if pending.is_empty() {
            self.may_have_unrecorded = false;
            self.write_budget.give_back(1);
            return None;
        }
        let most = (context.limits.operations.saturating_sub(1)).min(MAX_DELETES_WITH_SEGMENT);
        let deletes = self.take_affordable_dead(most, context.writes_per_s, now);
        Some(self.open_commit(pending, deletes, context.term))
    }

    /// Takes dead segments off the list to delete them, if the budget has the writes for that.
    fn take_affordable_dead(
        &mut self,
        most: usize,
        writes_per_s: f64,
        now: Time,
    ) -> Vec<SegmentId> {
        let count = self.dead.len().min(most);
        if !(self.write_budget).take_for_segments(count, writes_per_s, now) {
            return Vec::new();
        }
        self.dead.drain(..count).collect()
    }
}

#[cfg(test)]
mod tests;
