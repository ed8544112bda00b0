//! The table of jobs that a leader works on: all that are neither done nor cancelled, and those whose tasks may still
//! be on a machine.

use super::job::Job;
use rudderreel_wire::ids::JobId;
use std::collections::btree_map::{Iter, Values, ValuesMut};
use std::collections::{BTreeMap, BTreeSet};
#[cfg(test)]
use std::ops::Index;

/// The leader's jobs, by id.
#[derive(Default)]
pub struct JobTable {
    by_id: BTreeMap<JobId, Job>,
    /// Jobs whose cascade cancellation is being committed.
    pub(super) cascading: BTreeSet<JobId>,
}

impl JobTable {
    /// Returns the job with this id.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// Returns the job with this id for modification.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Adds a job, or replaces the one with the same id.
    pub fn insert(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
    }

    /// Removes a job that is done or cancelled and has no placements left.
    pub fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
    }

    /// Returns whether the table contains a job.
    pub fn contains(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the table is empty.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Iterates over all jobs with their ids, in the order of the ids.
    pub fn iter(&self) -> Iter<'_, JobId, Job> {
        self.by_id.iter()
    }

    /// Iterates over all jobs in the order of their ids.
    pub fn values(&self) -> Values<'_, JobId, Job> {
        self.by_id.values()
    }

    /// Iterates over all jobs for modification, in the order of their ids.
    pub fn values_mut(&mut self) -> ValuesMut<'_, JobId, Job> {
        self.by_id.values_mut()
    }
}

/// Indexing for tests; panics if there is no such job.
#[cfg(test)]
impl Index<&JobId> for JobTable {
    type Output = Job;

    fn index(&self, id: &JobId) -> &Job {
        &self.by_id[id]
    }
}
