//! Readiness of jobs: a job is ready once all jobs that it depends on are committed as done.

use super::job_table::JobTable;
use crate::cache::dependencies::Readiness;
use crate::cache::job_cache::JobCache;
use crate::units::Now;
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl JobTable {
    /// Updates readiness and urgency after some jobs' records have changed. Only affected jobs are visited: for
    /// readiness the changed jobs and those that depend on them, for urgency the changed jobs and the jobs that they
    /// depend on. Returns whether any job became ready.
    pub(crate) fn refresh_dependencies(
        &mut self,
        changed: &[JobId],
        cache: &JobCache,
        catalog: &Catalog,
        now: Now,
    ) -> bool {
        let mut any_became_ready = false;
        let mut inheriting = BTreeSet::new();
        for id in changed {
            for touched in cache.graph().dependents_of(id).chain([id]) {
                any_became_ready |= self.refresh_readiness(touched, cache, now);
            }
            if let Some(known) = cache.job(id) {
                inheriting.extend(known.dependencies().iter().cloned());
            }
            inheriting.insert(id.clone());
        }
        self.inherit_urgency(cache.graph(), catalog, inheriting);
        any_became_ready
    }

    /// Updates readiness and urgency of all jobs, after a failover.
    pub(crate) fn refresh_all_dependencies(
        &mut self,
        cache: &JobCache,
        catalog: &Catalog,
        now: Now,
    ) -> bool {
        let with_dependencies: Vec<JobId> = (self.values())
            .filter(|job| !job.spec.dependencies.is_empty())
            .map(|job| job.spec.id.clone())
            .collect();
        self.refresh_dependencies(&with_dependencies, cache, catalog, now)
    }

    fn refresh_readiness(&mut self, id: &JobId, cache: &JobCache, now: Now) -> bool {
        let Some(job) = self.get(id).filter(|job| !job.spec.dependencies.is_empty()) else {
            return false;
        };
        let readiness = cache.readiness(&job.spec.dependencies);
        self.update_readiness(id, readiness, now)
    }

    /// Updates which dependencies of a job are not done; returns whether the job has become ready. The completion time
    /// of the last dependency need not be recorded; if it is not, the job counts as ready since this leader learned of
    /// it.
    pub(crate) fn update_readiness(&mut self, id: &JobId, readiness: Readiness, now: Now) -> bool {
        let Some(job) = self.get_mut(id) else {
            return false;
        };
        let became_ready = readiness.unmet.is_empty() && job.ready_since.is_none();
        job.unmet_dependencies = readiness.unmet;
        if became_ready {
            let since = readiness.last_done.unwrap_or(now.wall);
            job.ready_since = Some(since.max(job.submitted));
            log::debug!("job ready job={id}");
        }
        became_ready
    }
}
