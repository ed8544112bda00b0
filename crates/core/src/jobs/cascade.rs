//! Cascade cancellations: jobs that are cancelled because a job that they depend on is.
//!
//! They are cancelled from the commit of that one cancellation on (see `cache::dependencies`); their records make that
//! visible to all. The writes may be repeated and come in any order, since each depends on the version of the job's
//! record. A new leader finds what is left in its cache. Each record that is written shows the next jobs along the
//! pipeline.

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

/// Jobs that are looked at in one go: the rest follows with the next.
const MAX_JOBS_PER_PASS: usize = 64;

/// A job whose record is to be written.
pub(crate) struct CascadeCancellation {
    id: JobId,
    /// The version of the record that is replaced.
    version: Version,
    record: JobRecord,
}

impl JobTable {
    /// Jobs whose records are to be written and are not being written, the oldest first.
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

    /// Begins to write the records of some jobs: the transaction, and the records that it writes.
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

    /// A commit of cascade cancellations has ended. What it did not write is due again.
    pub(crate) fn cascade_commit_ended<'a>(&mut self, ids: impl Iterator<Item = &'a JobId>) {
        for id in ids {
            self.cascading.remove(id);
        }
    }
}
