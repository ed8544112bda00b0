//! Effective urgency: the priority and deadline of a job, including what it inherits from the jobs that depend on it.
//!
//! Users set priority and deadline on the last job of a pipeline. The direct and indirect dependencies of that job
//! inherit both, with the deadline reduced by the expected time of the jobs that come after them. Updates are
//! incremental: a submission, a completion or a cancellation can change only the dependencies of that job, and the
//! update stops at jobs whose urgency does not change.

use super::job::EffectiveUrgency;
use super::job_table::JobTable;
use crate::cache::dependencies::DependencyGraph;
use crate::units::{Span, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl JobTable {
    /// Recomputes the urgency of the jobs in `start` and propagates changes to their dependencies.
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

    /// Computes the urgency of a job from its own and that of the active jobs that depend on it.
    fn effective_urgency(
        &self,
        graph: &DependencyGraph,
        catalog: &Catalog,
        id: &JobId,
    ) -> Option<EffectiveUrgency> {
        let mut urgency = self.get(id)?.own_urgency();
        let dependents = graph.dependents_of(id).filter_map(|d| self.get(d));
        for dependent in dependents.filter(|d| d.is_active()) {
            let span = dependent.expected_span(catalog);
            urgency.priority = urgency.priority.max(dependent.urgency.priority);
            let deadline = earlier_by(dependent.urgency.deadline, span);
            urgency.deadline = earliest(urgency.deadline, deadline);
        }
        Some(urgency)
    }
}

fn earlier_by(deadline: Option<Wall>, span: Span) -> Option<Wall> {
    deadline.map(|wall| Wall(wall.0.saturating_sub(span.0)))
}

fn earliest(a: Option<Wall>, b: Option<Wall>) -> Option<Wall> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests;
