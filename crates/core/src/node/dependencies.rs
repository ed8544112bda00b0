//! Takes in that dependencies between jobs have changed.

use crate::node::Node;
use crate::units::Now;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl Node {
    /// Takes in that some jobs' records have changed.
    pub(crate) fn refresh_dependencies(&mut self, changed: &[JobId], now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let graph = self.job_cache.graph();
        let mut inheriting = BTreeSet::new();
        for id in changed {
            let touched = graph.dependents_of(id).chain([id]);
            for id in touched {
                let Some(job) = leader.jobs.get(id) else {
                    continue;
                };
                if !job.spec.dependencies.is_empty() {
                    let readiness = self.job_cache.readiness(&job.spec.dependencies);
                    if leader.jobs.update_readiness(id, readiness, now) {
                        leader.request_cycle(now.time);
                    }
                }
            }
            if let Some(known) = self.job_cache.job(id) {
                inheriting.extend(known.dependencies().iter().cloned());
            }
            inheriting.insert(id.clone());
        }
        (leader.jobs).inherit_urgency(graph, &leader.policy.catalog, inheriting);
    }

    /// The same for all jobs, after a take-over.
    pub(crate) fn refresh_all_dependencies(&mut self, now: Now) {
        let Some(leader) = &self.leader else {
            return;
        };
        let dependents = leader
            .jobs
            .values()
            .filter(|j| !j.spec.dependencies.is_empty());
        let all: Vec<JobId> = dependents.map(|j| j.spec.id.clone()).collect();
        self.refresh_dependencies(&all, now);
    }
}
