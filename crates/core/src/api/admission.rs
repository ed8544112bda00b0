//! Submissions: whether a job can ever run, and the commit that accepts it.
//!
//! Any node accepts a job, by creating its record on the condition that there is none yet. A job that
//! depends on others is accepted only if all of them were: acceptance is permanent, so that may be
//! checked before. The same commit confirms that none of what it depends on, directly or through
//! others, was cancelled meanwhile; a job that names a cancelled one is accepted as cancelled.

use crate::io::StoreCall;
use crate::store::records::{job_key, JobRecord};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::state::{Change, Condition, Transaction};
use std::collections::BTreeMap;

/// Why a job can never run. Its user is told so with 422 and does not try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NeverRuns {
    /// No such team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type suits one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachine,
    /// It needs more than its team may use.
    #[error("the job needs more than its team's limit")]
    OverLimit,
    /// It depends on itself.
    #[error("the job depends on itself")]
    DependsOnItself,
    /// It depends on a service, which is never done.
    #[error("the job depends on a service, which is never done")]
    DependsOnService,
    /// Its record would be larger than the state service takes.
    #[error("the submission is too large to be stored: fewer dependencies or machine types")]
    TooLarge,
}

/// A job that is being created.
#[derive(Clone, Debug)]
pub struct NewJob {
    pub(crate) record: JobRecord,
    /// Whether the commit confirms everything that the job depends on.
    pub(crate) confirmed: bool,
}

/// A commit of a job's record, on the condition of its version and of some other jobs'.
pub fn put_job(
    id: &JobId,
    version: Version,
    record: &JobRecord,
    others: &BTreeMap<JobId, Version>,
) -> StoreCall {
    let key = job_key(id);
    let mut conditions = vec![Condition {
        key: key.clone(),
        version,
    }];
    conditions.extend(others.iter().map(|(id, &version)| Condition {
        key: job_key(id),
        version,
    }));
    StoreCall::Commit(Transaction {
        conditions,
        changes: vec![Change::Put {
            key,
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: None,
        }],
    })
}
