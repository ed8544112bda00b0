//! How urgent each job is, with what it inherits from the jobs that depend on it.
//!
//! Users set priority and deadline on the last job of a pipeline. What that job needs inherits both, less the time that
//! the jobs after it take. Only the changed edges are followed: a submission, a completion or a cancellation changes
//! what comes before it, and of that only what is not as urgent already.

use super::job::EffectiveUrgency;
use super::job_table::JobTable;
use crate::cache::dependencies::DependencyGraph;
use crate::units::{Span, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl JobTable {
    /// Propagates priorities and deadlines to the jobs that come before, beginning with some.
    pub(crate) fn inherit_urgency(
        &mut self,
        graph: &DependencyGraph,
        catalog: &Catalog,
        start: BTreeSet<JobId>,
    ) {
        let mut pending: Vec<JobId> = start.into_iter().collect();
        while let Some(id) = pending.pop() {
            let Some(urgency) = self.effective_urgency(graph, catalog, &id) else {
                continue;
            };
            let Some(job) = self.get_mut(&id) else {
                continue;
            };
            if job.urgency != urgency {
                job.urgency = urgency;
                pending.extend(job.spec.dependencies.iter().cloned());
            }
        }
    }

    /// The urgency of a job, for its own sake and for that of the active jobs that need it.
    fn effective_urgency(
        &self,
        graph: &DependencyGraph,
        catalog: &Catalog,
        id: &JobId,
    ) -> Option<EffectiveUrgency> {
        let mut urgency = self.get(id)?.own_urgency();
        let dependents = graph.dependents_of(id).filter_map(|d| self.get(d));
        for dependent in dependents.filter(|d| d.is_active()) {
            let after = dependent.expected_span(catalog);
            urgency.priority = urgency.priority.max(dependent.urgency.priority);
            let deadline = before(dependent.urgency.deadline, after);
            urgency.deadline = earliest(urgency.deadline, deadline);
        }
        Some(urgency)
    }
}

fn before(moment: Option<Wall>, span: Span) -> Option<Wall> {
    moment.map(|wall| Wall(wall.0.saturating_sub(span.0)))
}

fn earliest(a: Option<Wall>, b: Option<Wall>) -> Option<Wall> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests;
