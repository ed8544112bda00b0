//! The jobs that a leader works on: all that are neither done nor cancelled, and those of which something may still be
//! on a machine.

use super::job::Job;
use rudderreel_wire::ids::JobId;
use std::collections::btree_map::{Iter, Values, ValuesMut};
use std::collections::{BTreeMap, BTreeSet};
#[cfg(test)]
use std::ops::Index;

/// The jobs, by id.
#[derive(Default)]
pub struct JobTable {
    by_id: BTreeMap<JobId, Job>,
    /// Jobs whose cancellation with a dependency is being committed.
    pub(super) cascading: BTreeSet<JobId>,
}

impl JobTable {
    /// A job.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// A job, to be changed.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Adds a job, or replaces it.
    pub fn insert(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
    }

    /// Removes a job of which nothing is left.
    pub fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
    }

    /// Whether a job is there.
    pub fn contains(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are none.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All jobs with their ids, in the order of these.
    pub fn iter(&self) -> Iter<'_, JobId, Job> {
        self.by_id.iter()
    }

    /// All jobs, in the order of their ids.
    pub fn values(&self) -> Values<'_, JobId, Job> {
        self.by_id.values()
    }

    /// All jobs, to be changed, in the order of their ids.
    pub fn values_mut(&mut self) -> ValuesMut<'_, JobId, Job> {
        self.by_id.values_mut()
    }
}

/// For tests: it panics if there is no such job.
#[cfg(test)]
impl Index<&JobId> for JobTable {
    type Output = Job;

    fn index(&self, id: &JobId) -> &Job {
        &self.by_id[id]
    }
}
