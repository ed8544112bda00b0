//! What the leader derives from dependencies: which jobs are ready, and how urgent each is.
//!
//! A job is ready once all that it names is committed done. Users set priority and deadline on the
//! last job of a pipeline; what that job needs inherits both, less the time that the jobs after it
//! take. Only the changed edges are followed: a submission, a completion or a cancellation changes
//! what comes before it, and of that only what is not as urgent already.

use super::job::EffectiveUrgency;
use super::job_table::JobTable;
use crate::cache::dependencies::{DependencyGraph, Readiness};
use crate::units::{Now, Span, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl JobTable {
    /// Notes which dependencies of a job are not done. When the last one was done need not be
    /// recorded; then the job counts as ready since this leader knows it. Returns whether it has become ready.
    pub(crate) fn update_readiness(&mut self, id: &JobId, readiness: Readiness, now: Now) -> bool {
        let Some(job) = self.get_mut(id) else {
            return false;
        };
        let became_ready = readiness.unmet.is_empty() && job.ready_since.is_none();
        job.unmet_dependencies = readiness.unmet;
        if became_ready {
            let since = readiness.last_done.unwrap_or(now.wall);
            job.ready_since = Some(since.max(job.submitted));
            log::debug!("{id} is ready");
        }
        became_ready
    }

    /// Passes priorities and deadlines on to what comes before, beginning with some jobs.
    pub(crate) fn inherit_urgency(
        &mut self,
        graph: &DependencyGraph,
        catalog: &Catalog,
        start: BTreeSet<JobId>,
    ) {
        let mut open: Vec<JobId> = start.into_iter().collect();
        while let Some(id) = open.pop() {
            let Some(goal) = self.effective_urgency(graph, catalog, &id) else {
                continue;
            };
            let Some(job) = self.get_mut(&id) else {
                continue;
            };
            if job.urgency != goal {
                job.urgency = goal;
                open.extend(job.spec.dependencies.iter().cloned());
            }
        }
    }

    /// What is expected of a job for its own sake and for that of the jobs that need it.
    fn effective_urgency(
        &self,
        graph: &DependencyGraph,
        catalog: &Catalog,
        id: &JobId,
    ) -> Option<EffectiveUrgency> {
        let mut goal = self.get(id)?.own_urgency();
        let dependents = graph.dependents_of(id).filter_map(|d| self.get(d));
        for dependent in dependents.filter(|d| d.is_active()) {
            let after = dependent.expected_span(catalog);
            goal.priority = goal.priority.max(dependent.urgency.priority);
            goal.deadline = earlier(goal.deadline, before(dependent.urgency.deadline, after));
        }
        Some(goal)
    }
}

fn before(moment: Option<Wall>, span: Span) -> Option<Wall> {
    moment.map(|wall| Wall(wall.0.saturating_sub(span.0)))
}

fn earlier(a: Option<Wall>, b: Option<Wall>) -> Option<Wall> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests;
