//! Cascade cancellations: jobs that are cancelled because one of their dependencies is cancelled.
//!
//! Such jobs, at any depth, are cancelled from the commit of the one original cancellation on (see
//! `cache::dependencies`); their own records only make that visible to all. The writes may be repeated and may happen
//! in any order, since each is conditional on the version of the job's record. A new leader finds the remaining jobs in
//! its cache. Each record that is written reveals the next jobs along the pipeline.

use super::job_table::JobTable;
use crate::cache::job_cache::JobCache;
use crate::io::Value;
use crate::leadership::term::Term;
use crate::store::limits::StoreLimits;
use crate::store::records::{job_key, JobRecord};
use crate::store::transactions::{condition, put};
use crate::units::Now;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::Transaction;

/// Maximum number of jobs handled in one pass; the next pass handles the rest.
const MAX_JOBS_PER_PASS: usize = 64;

/// A job that is to be recorded as cancelled.
pub(crate) struct CascadeCancellation {
    id: JobId,
    /// Version of the record that is replaced.
    version: Version,
    /// The cancelled record to be written.
    record: JobRecord,
}

impl JobTable {
    /// Returns the next jobs to be recorded as cancelled, without those whose records are already being written: at
    /// most [`MAX_JOBS_PER_PASS`], sorted by record version, the oldest first.
    pub(crate) fn due_cascade_cancellations(
        &self,
        cache: &JobCache,
        limits: &StoreLimits,
        now: Now,
    ) -> Vec<CascadeCancellation> {
        let mut due: Vec<CascadeCancellation> = (cache.graph().awaiting_cascade())
            .filter(|id| !self.cascading.contains(*id))
            .take(MAX_JOBS_PER_PASS)
            .filter_map(|id| {
                let known = cache.job(id)?;
                let dependency = (known.dependencies().iter()).find(|id| cache.is_cancelled(id))?;
                Some(CascadeCancellation {
                    id: id.clone(),
                    version: known.version,
                    record: known.record.cancelled(now.wall, Some(dependency), limits),
                })
            })
            .collect();
        due.sort_by_key(|cancellation| cancellation.version);
        due
    }

    /// Marks the jobs as being written; returns the transaction and the records that it writes.
    pub(crate) fn begin_cascade_commit(
        &mut self,
        cancellations: Vec<CascadeCancellation>,
        term: &Term,
    ) -> (Transaction<Value>, Vec<(JobId, JobRecord)>) {
        let mut conditions = vec![term.key_condition()];
        let mut changes = Vec::new();
        let mut records = Vec::new();
        for cancellation in cancellations {
            let key = job_key(&cancellation.id);
            self.cascading.insert(cancellation.id.clone());
            conditions.push(condition(key.clone(), cancellation.version));
            changes.push(put(key, &cancellation.record));
            records.push((cancellation.id, cancellation.record));
        }
        let transaction = Transaction {
            conditions,
            changes,
        };
        (transaction, records)
    }

    /// Records that a commit of cascade cancellations has ended. Jobs whose records it did not write are due again.
    pub(crate) fn cascade_commit_ended<'a>(&mut self, ids: impl Iterator<Item = &'a JobId>) {
        for id in ids {
            self.cascading.remove(id);
        }
    }
}
