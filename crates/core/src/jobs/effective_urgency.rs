//! What the leader derives from dependencies: which jobs are ready, and how urgent each is.
//!
//! A job is ready once all that it names is committed done. Users set priority and deadline on the
//! last job of a pipeline; what that job needs inherits both, less the time that the jobs after it
//! take. Only the changed edges are followed: a submission, a completion or a cancellation changes
//! what comes before it, and of that only what is not as urgent already.

use crate::cache::dependencies::{DependencyGraph, Readiness};
use crate::jobs::job::Goal;
use crate::leader::Leader;
use crate::units::{Now, Span, Wall};
use rudderreel_wire::ids::JobId;
use std::collections::BTreeSet;

impl Leader {
    /// Notes which dependencies of a job are not done. When the last one was done need not be
    /// recorded; then the job counts as ready since this leader knows it.
    pub(crate) fn note_readiness(&mut self, id: &JobId, readiness: Readiness, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let ready = readiness.unmet.is_empty();
        job.unmet = readiness.unmet;
        if ready && job.ready_since.is_none() {
            let since = readiness.last_done.unwrap_or(now.wall);
            job.ready_since = Some(since.max(job.submitted));
            log::debug!("{id} is ready");
            self.request_cycle(now.time);
        }
    }

    /// Passes priorities and deadlines on to what comes before, beginning with some jobs.
    pub(crate) fn inherit_goals(&mut self, graph: &DependencyGraph, start: BTreeSet<JobId>) {
        let mut open: Vec<JobId> = start.into_iter().collect();
        while let Some(id) = open.pop() {
            let Some(goal) = self.goal_of(graph, &id) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.goal != goal {
                job.goal = goal;
                open.extend(job.spec.dependencies.iter().cloned());
            }
        }
    }

    /// What is expected of a job for its own sake and for that of the jobs that need it.
    fn goal_of(&self, graph: &DependencyGraph, id: &JobId) -> Option<Goal> {
        let mut goal = self.jobs.get(id)?.own_goal();
        let dependents = graph.dependents_of(id).filter_map(|d| self.jobs.get(d));
        for dependent in dependents.filter(|d| d.is_active()) {
            let after = dependent.expected_span(&self.policy.catalog);
            goal.priority = goal.priority.max(dependent.goal.priority);
            goal.finish_by = earlier(goal.finish_by, before(dependent.goal.finish_by, after));
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
