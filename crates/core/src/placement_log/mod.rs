//! The leader's write-ahead log of placements: which tasks may be on which machine, and which tasks are done.
//!
//! **State.** The log owns the ids of the segments that exist in the store, the segments whose commits have not been
//! answered yet, the segments that nothing refers to any more (dead segments), and the budget of writes to the store.
//! The placements themselves belong to the fleet and the progress of jobs to the job table. Both hold the id of the
//! segment that records them; from these ids the log derives what it has yet to record and what refers to a segment.
//!
//! **Segments.** The store's rate limit counts changes, whatever their size. So everything that was decided at one
//! time is written to one new segment, for all machines and jobs together. A segment is written once and never
//! changed. It is deleted when nothing refers to it any more. Segments with few references are merged into a new one
//! by the same transaction that deletes them. The recorded state is the union of all segments. A segment that names a
//! task which is long gone does no harm, since a later leader finds out that the task is gone.
//!
//! **Invariants.**
//! - A start is sent only for a task whose segment is committed (`PlacedTask::is_recorded`).
//! - A commit of unknown outcome is retried with the same segment and the same contents. It requires that the segment's
//!   key does not exist yet, so it is carried out at most once; a conflict on that key alone shows that an earlier try
//!   was carried out.
//! - A segment that the store rejects as too large is never sent again: what it names is recorded again on
//!   smaller ones.
//! - A segment is deleted only by a commit after which everything that it still records is recorded elsewhere.
//!
//! **Interface.** [`PlacementLog::due_commits`] returns the commits to send now, [`PlacementLog::commit_answered`]
//! applies an answer. The log makes no calls: the node sends the transactions and passes the answers to the log.

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

/// Interval at which the progress of jobs is recorded and segments are compacted.
const COMPACTION_INTERVAL: Span = Span(1_000);
/// Maximum number of commits of segments that are open at once.
const MAX_OPEN_COMMITS: usize = 3;
/// Maximum number of dead segments that are deleted by the commit of a new segment.
const MAX_DELETES_WITH_SEGMENT: usize = 4;

/// The placement log of a leader.
pub struct PlacementLog {
    /// Whether a placement or a machine may be unrecorded. The fleet is searched only if so.
    may_have_unrecorded: bool,
    /// Segments that exist in the store.
    segments: BTreeSet<SegmentId>,
    /// Segments whose commits have not been answered yet.
    uncommitted: BTreeMap<SegmentId, UncommittedSegment>,
    /// Segments that nothing refers to any more. A segment that an open commit deletes may be listed again; deleting
    /// it twice does no harm.
    dead: Vec<SegmentId>,
    next_compaction_at: Time,
    write_budget: WriteBudget,
}

/// The parts of a leader that the log records or that its commits depend on.
pub(crate) struct LogContext<'a> {
    /// Assigns the ids of new segments. Each commit is conditional on the version of the term's leader key.
    pub(crate) term: &'a mut Term,
    /// Machines and the tasks placed on them.
    pub(crate) fleet: &'a mut Fleet,
    /// Jobs and their progress.
    pub(crate) jobs: &'a mut JobTable,
    /// Limits on the sizes of values and transactions.
    pub(crate) limits: &'a StoreLimits,
    /// Puts and deletes per second that the log and the cascade cancellations may make together.
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
    /// Registers a segment that a new leader has read from the store.
    pub fn register_segment(&mut self, segment: SegmentId) {
        self.segments.insert(segment);
    }

    /// Records that a placement or a machine was added that no segment names yet.
    pub fn mark_unrecorded(&mut self) {
        self.may_have_unrecorded = true;
    }

    /// Returns the number of segments in the store.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether a segment is listed as dead: nothing refers to it any more.
    #[cfg(test)]
    pub fn is_dead(&self, segment: SegmentId) -> bool {
        self.dead.contains(&segment)
    }

    /// Takes at most `wanted` writes for the records of cascade cancellations from the budget that they share with
    /// segments. Returns the number taken.
    pub(crate) fn take_cancellation_writes(
        &mut self,
        wanted: usize,
        writes_per_s: f64,
        now: Time,
    ) -> usize {
        let has_open_segments = !self.uncommitted.is_empty();
        self.write_budget
            .take_for_cancellations(wanted, has_open_segments, writes_per_s, now)
    }

    /// Returns the commits that are due: retries first, then a compaction, then those of unrecorded changes.
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

    /// Opens the commit of a new segment with the unrecorded changes. The caller has already taken its write from the
    /// budget; if there is nothing to record, the write is given back.
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
        let max_deletes =
            (context.limits.max_operations.saturating_sub(1)).min(MAX_DELETES_WITH_SEGMENT);
        let deletes = self.take_affordable_dead(max_deletes, context.writes_per_s, now);
        Some(self.open_commit(pending, deletes, context.term))
    }

    /// Removes at most `max_deletes` segments from the list of dead ones, for the caller to delete, and takes their
    /// writes from the budget. Returns none if the budget does not grant the writes for all of them.
    fn take_affordable_dead(
        &mut self,
        max_deletes: usize,
        writes_per_s: f64,
        now: Time,
    ) -> Vec<SegmentId> {
        let count = self.dead.len().min(max_deletes);
        if !(self.write_budget).take_for_segments(count, writes_per_s, now) {
            return Vec::new();
        }
        self.dead.drain(..count).collect()
    }
}

#[cfg(test)]
mod tests;
