//! Dependencies between jobs, as this node's cache of jobs knows them.
//!
//! Done and cancelled are final and exclude one another. So a job whose dependency is cancelled can
//! never become ready: it is cancelled from the moment of that one commit on, at whatever depth, and
//! needs no transaction of its own for that. Writing its record only makes this visible: the leader
//! does so for all, and a node that is asked about such a job before it answers. A cache that is out
//! of date knows less of what is done or cancelled, and only waits.

use crate::cache::job_cache::JobCache;
use crate::units::Wall;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::{JobSpec, JobState};
use std::collections::{BTreeMap, BTreeSet};

/// Which unfinished jobs need which others.
#[derive(Default)]
pub struct DependencyGraph {
    /// By dependency: the unfinished jobs that name it.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs that name a cancelled one. Their own records are yet to be written.
    condemned: BTreeSet<JobId>,
}

/// What is known of everything that a job needs, directly or through others.
#[derive(Debug, Default, PartialEq)]
pub struct Ancestry {
    /// A cancelled job among them: then the job is cancelled, too, and the rest was not looked at.
    pub cancelled: Option<JobId>,
    /// Those that are not known to be done, with their versions; 0 for one that is not known.
    pub unfinished: BTreeMap<JobId, Version>,
}

/// Which direct dependencies of a job are not done, and since when the others all are.
#[derive(Debug, Default, PartialEq)]
pub struct Readiness {
    /// Dependencies that are not done.
    pub unmet: BTreeSet<JobId>,
    /// When the last one that is done was completed, if that is recorded.
    pub last_done: Option<Wall>,
}

impl DependencyGraph {
    /// Unfinished jobs that name one as their dependency.
    pub fn dependents_of(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Unfinished jobs that name a cancelled one.
    pub fn condemned(&self) -> impl Iterator<Item = &JobId> {
        self.condemned.iter()
    }

    fn add(&mut self, id: &JobId, dependency: &JobId) {
        let dependents = self.dependents.entry(dependency.clone()).or_default();
        dependents.insert(id.clone());
    }

    fn remove(&mut self, id: &JobId, dependency: &JobId) {
        if let Some(dependents) = self.dependents.get_mut(dependency) {
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
            }
        }
    }
}

impl JobCache {
    /// Keeps the graph after a job's record has changed. `before` is the submission as it was known.
    pub(crate) fn update_graph(&mut self, id: &JobId, before: Option<JobSpec>) {
        let Some(known) = self.jobs.get(id) else {
            return;
        };
        let graph = &mut self.graph;
        if known.record.is_final() {
            graph.condemned.remove(id);
            for dependency in before.iter().flat_map(|spec| &spec.dependencies) {
                graph.remove(id, dependency);
            }
            if known.record.state == JobState::Cancelled {
                let dependents: Vec<JobId> = graph.dependents_of(id).cloned().collect();
                graph.condemned.extend(dependents);
            }
            return;
        }
        let cancelled = |dependency: &JobId| {
            let known = self.jobs.get(dependency);
            known.is_some_and(|k| k.record.state == JobState::Cancelled)
        };
        for dependency in known.dependencies() {
            graph.add(id, dependency);
            if cancelled(dependency) {
                graph.condemned.insert(id.clone());
            }
        }
    }

    /// Looks at everything that some jobs need, directly or through others, the jobs included.
    pub fn ancestry(&self, dependencies: &[JobId]) -> Ancestry {
        let mut found = Ancestry::default();
        let mut open: Vec<&JobId> = dependencies.iter().collect();
        while let Some(id) = open.pop() {
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
                    open.extend(known.dependencies());
                }
            }
        }
        found
    }

    /// The same for all that one job needs.
    pub fn ancestry_of(&self, id: &JobId) -> Ancestry {
        let known = self.jobs.get(id).filter(|k| !k.record.is_final());
        known.map_or_else(Ancestry::default, |k| self.ancestry(k.dependencies()))
    }

    /// Which of some dependencies are committed done. Completed tasks don't count before that.
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
