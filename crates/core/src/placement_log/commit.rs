//! The commit of a segment: its transaction, and the effect of the store's answer on the tasks, machines and jobs that
//! the segment names.

use super::segment::{JobProgress, PendingSegment};
use super::PlacementLog;
use crate::fleet::Fleet;
use crate::io::{StoreAnswer, Value};
use crate::jobs::job_table::JobTable;
use crate::leadership::term::Term;
use crate::store::records::{segment_key, SegmentId, SegmentRecord};
use crate::store::transactions::{condition, delete, put};
use crate::units::{Span, Time};
use rudderreel_wire::ids::{MachineId, TaskId, Version};
use rudderreel_wire::state::{Change, Transaction};

/// Delay before a commit is retried that was not carried out, or is not known to have been.
const SEGMENT_RETRY_INTERVAL: Span = Span(200);

/// A transaction of the log, identified by its segment.
pub(crate) struct SegmentCommit {
    /// The segment that the transaction writes. If the transaction only deletes segments, this id is used for no
    /// segment.
    pub(crate) segment: SegmentId,
    /// The transaction to commit.
    pub(crate) transaction: Transaction<Value>,
}

/// Result of the answer to a segment's commit.
pub(crate) enum CommitResult {
    /// The segment is committed. The machines listed have tasks that it records for the first time, so that these may
    /// be started from now on.
    Committed(Vec<MachineId>),
    /// The store will never accept the segment. What it names is recorded again on smaller segments.
    Rejected,
    /// The commit was not carried out, or is not known to have been: it is retried.
    WillRetry,
    /// The segment has no open commit.
    NotOpen,
}

/// A segment whose commit has not been answered yet.
pub(super) struct UncommittedSegment {
    record: SegmentRecord,
    progress: Vec<JobProgress>,
    /// Segments that the same transaction deletes.
    deletes: Vec<SegmentId>,
    /// When the commit has to be sent again; `None` while its answer is awaited.
    pub(super) retry_at: Option<Time>,
}

impl UncommittedSegment {
    /// Returns whether the commit deletes segments without writing one.
    fn is_deletion_only(&self) -> bool {
        self.record == SegmentRecord::default()
    }

    /// Builds the transaction. It is conditional on the leader key, and on the segment's key not existing yet.
    pub(super) fn transaction(&self, segment: SegmentId, term: &Term) -> Transaction<Value> {
        let mut conditions = vec![term.key_condition()];
        let mut changes: Vec<Change<Value>> = (self.deletes.iter())
            .map(|deleted| delete(segment_key(*deleted)))
            .collect();
        if !self.is_deletion_only() {
            conditions.push(condition(segment_key(segment), Version(0)));
            changes.push(put(segment_key(segment), &self.record));
        }
        Transaction {
            conditions,
            changes,
        }
    }
}

impl PlacementLog {
    /// Opens the commit of a segment. The segment is kept until the commit is answered.
    pub(super) fn open_commit(
        &mut self,
        pending: PendingSegment,
        deletes: Vec<SegmentId>,
        term: &Term,
    ) -> SegmentCommit {
        let segment = pending.id();
        let (record, progress) = pending.into_contents();
        let uncommitted = UncommittedSegment {
            record,
            progress,
            deletes,
            retry_at: None,
        };
        let transaction = uncommitted.transaction(segment, term);
        self.uncommitted.insert(segment, uncommitted);
        SegmentCommit {
            segment,
            transaction,
        }
    }

    /// Applies the answer to a segment's commit.
    pub(crate) fn commit_answered(
        &mut self,
        segment: SegmentId,
        answer: &StoreAnswer,
        fleet: &mut Fleet,
        jobs: &mut JobTable,
        now: Time,
    ) -> CommitResult {
        if matches!(answer, StoreAnswer::Rejected) {
            self.segment_rejected(segment, fleet, jobs);
            return CommitResult::Rejected;
        }
        if !is_carried_out(segment, answer) {
            if let Some(uncommitted) = self.uncommitted.get_mut(&segment) {
                uncommitted.retry_at = Some(now + SEGMENT_RETRY_INTERVAL);
            }
            return CommitResult::WillRetry;
        }
        match self.uncommitted.remove(&segment) {
            Some(committed) => {
                CommitResult::Committed(self.segment_committed(segment, committed, fleet, jobs))
            }
            None => CommitResult::NotOpen,
        }
    }

    /// Handles the rejection of a segment, which was not written and never will be: what it names is marked as
    /// unrecorded again.
    fn segment_rejected(&mut self, segment: SegmentId, fleet: &mut Fleet, jobs: &mut JobTable) {
        let Some(rejected) = self.uncommitted.remove(&segment) else {
            return;
        };
        self.may_have_unrecorded = true;
        for machine in fleet.machines.values_mut() {
            machine.segment_rejected(segment);
        }
        for progress in rejected.progress {
            if let Some(job) = jobs.get_mut(&progress.job) {
                job.has_unrecorded_progress = true;
            }
        }
        let segments = &self.segments;
        self.dead.retain(|dead| segments.contains(dead));
    }

    /// Handles the commit of a segment. Returns the machines with tasks that it records for the first time.
    fn segment_committed(
        &mut self,
        segment: SegmentId,
        committed: UncommittedSegment,
        fleet: &mut Fleet,
        jobs: &mut JobTable,
    ) -> Vec<MachineId> {
        for deleted in &committed.deletes {
            self.segments.remove(deleted);
        }
        (self.dead).retain(|dead| !committed.deletes.contains(dead));
        let mut startable = Vec::new();
        if committed.is_deletion_only() {
            return startable;
        }
        self.segments.insert(segment);
        for machine in fleet.machines.values_mut() {
            if machine.segment_committed(segment) {
                startable.push(machine.id.clone());
            }
            let is_recorded = |task: &TaskId| committed.progress.iter().any(|p| p.includes(task));
            machine.mark_recorded_outcomes(is_recorded);
        }
        for progress in committed.progress {
            if let Some(job) = jobs.get_mut(&progress.job) {
                job.segment = job.segment.max(segment);
            }
        }
        startable
    }
}

/// Returns whether an answer shows that a segment's commit was carried out, by this commit or an earlier one of the
/// same segment.
pub(crate) fn is_carried_out(segment: SegmentId, answer: &StoreAnswer) -> bool {
    match answer {
        StoreAnswer::Committed(_) => true,
        StoreAnswer::Conflict(keys) => keys.contains(&segment_key(segment)),
        _ => false,
    }
}
