//! Dependencies between jobs, as this node's cache knows them.
//!
//! Done and cancelled are final states and exclude one another. So a job whose dependency is cancelled can never become
//! ready: it is cancelled from the moment of that one commit on, at whatever depth, and needs no transaction of its own
//! for that. Writing its own record (the cascade) only makes this visible. The leader does so for all such jobs, and a
//! node that is asked about one does so before it answers. A cache that is out of date knows of fewer done or cancelled
//! jobs, and only waits longer.

use super::job_cache::{JobCache, KnownJob};
use crate::units::Wall;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// Dependencies of unfinished jobs on others.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// The unfinished jobs that name a dependency, by dependency.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs that name a cancelled one. The cascade has yet to write their records.
    awaiting_cascade: BTreeSet<JobId>,
}

/// State of everything that a job needs, directly or through others, as far as it is known.
#[derive(Debug, Default, PartialEq)]
pub struct Ancestry {
    /// A cancelled job among those needed, if there is one. Then the job is cancelled, too, and the rest was not
    /// searched.
    pub cancelled: Option<JobId>,
    /// Jobs that are needed and not known to be done, with their versions; version 0 for a job that is not known.
    pub unfinished: BTreeMap<JobId, Version>,
}

/// The direct dependencies of a job that are not done, and the time since which all others are.
#[derive(Debug, Default, PartialEq)]
pub struct Readiness {
    /// Dependencies that are not known to be done.
    pub unmet: BTreeSet<JobId>,
    /// Completion time of the dependency that was completed last, if that is recorded.
    pub last_done: Option<Wall>,
}

impl DependencyGraph {
    /// Returns the unfinished jobs that name a job as their dependency.
    pub fn dependents_of(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Returns the unfinished jobs that name a cancelled one.
    pub fn awaiting_cascade(&self) -> impl Iterator<Item = &JobId> {
        self.awaiting_cascade.iter()
    }

    /// Adds an unfinished job with its dependencies, of which some may be cancelled.
    fn add_unfinished(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        is_cancelled: impl Fn(&JobId) -> bool,
    ) {
        for dependency in dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.clone());
            if is_cancelled(dependency) {
                self.awaiting_cascade.insert(id.clone());
            }
        }
    }

    /// Removes a job that is done or cancelled, with the dependencies that it named.
    fn remove_finished(&mut self, id: &JobId, dependencies: &[JobId]) {
        self.awaiting_cascade.remove(id);
        for dependency in dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
    }

    /// Marks the unfinished jobs that name a cancelled job as awaiting the cascade.
    fn cancel_dependents_of(&mut self, id: &JobId) {
        let dependents = self.dependents.get(id).into_iter().flatten();
        self.awaiting_cascade.extend(dependents.cloned());
    }
}

impl JobCache {
    /// Updates the graph after a job's record has changed. `previous` is the record that was known before.
    pub(super) fn update_graph(&mut self, id: &JobId, previous: Option<&KnownJob>) {
        let Some(known) = self.jobs.get(id) else {
            return;
        };
        if known.record.is_final() {
            let dependencies = previous.map_or(&[][..], KnownJob::dependencies);
            self.graph.remove_finished(id, dependencies);
            if known.record.state == JobState::Cancelled {
                self.graph.cancel_dependents_of(id);
            }
            return;
        }
        let jobs = &self.jobs;
        let is_cancelled = |id: &JobId| {
            let known = jobs.get(id);
            known.is_some_and(|known| known.record.state == JobState::Cancelled)
        };
        self.graph
            .add_unfinished(id, known.dependencies(), is_cancelled);
    }

    /// Searches some jobs and everything that they need, directly or through others.
    pub fn ancestry(&self, dependencies: &[JobId]) -> Ancestry {
        let mut found = Ancestry::default();
        let mut to_visit: Vec<&JobId> = dependencies.iter().collect();
        while let Some(id) = to_visit.pop() {
            if found.unfinished.contains_key(id) {
                continue;
            }
            let Some(known) = self.jobs.get(id) else {
                found.unfinished.insert(id.clone(), Version(0));
                continue;
            };
            match known.record.state {
                JobState::Done => {}
                JobState::Cancelled => {
                    found.cancelled = Some(id.clone());
                    return found;
                }
                JobState::Queued | JobState::Running => {
                    found.unfinished.insert(id.clone(), known.version);
                    to_visit.extend(known.dependencies());
                }
            }
        }
        found
    }

    /// Searches everything that an unfinished job needs, without the job itself.
    pub fn ancestry_of(&self, id: &JobId) -> Ancestry {
        let known = self.jobs.get(id).filter(|k| !k.record.is_final());
        known.map_or_else(Ancestry::default, |k| self.ancestry(k.dependencies()))
    }

    /// Returns which of some dependencies are not done. Only a job whose record is committed as done counts as done;
    /// completed tasks don't count before that.
    pub fn readiness(&self, dependencies: &[JobId]) -> Readiness {
        let mut readiness = Readiness::default();
        for id in dependencies {
            let done = (self.jobs.get(id)).filter(|k| k.record.state == JobState::Done);
            match done {
                Some(known) => readiness.last_done = readiness.last_done.max(known.record.finished),
                None => drop(readiness.unmet.insert(id.clone())),
            }
        }
        readiness
    }
}

#[cfg(test)]
mod tests;
