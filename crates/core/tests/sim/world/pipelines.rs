//! Jobs that depend on other jobs: the dependencies that users name, and the checks of the rules about them.

use super::agent::Task;
use super::*;

impl World {
    /// Draws the dependencies of a new job from the accepted jobs, in any state.
    pub(super) fn draw_dependencies(&mut self) -> Vec<JobId> {
        if !self.scenario.pipelines || !self.is_upgraded() || self.rng.random_bool(0.4) {
            return Vec::new();
        }
        let eligible = |t: &&ObservedJob| t.accepted && t.spec.kind != Kind::Service;
        let accepted: Vec<JobId> = (self.jobs.values().filter(eligible))
            .map(|t| t.spec.id.clone())
            .collect();
        if accepted.is_empty() {
            return accepted;
        }
        let count = self.rng.random_range(1..4);
        // Only recent jobs are drawn, so that long chains arise; some are named twice.
        let picks = (0..count).map(|_| {
            let from = accepted.len().saturating_sub(6);
            accepted[self.rng.random_range(from..accepted.len())].clone()
        });
        picks.collect()
    }

    /// Returns all jobs on which a job depends, directly or indirectly.
    pub fn ancestors(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![id.clone()];
        while let Some(id) = unvisited.pop() {
            for needed in &self.jobs[&id].spec.dependencies {
                if found.insert(needed.clone()) {
                    unvisited.push(needed.clone());
                }
            }
        }
        found
    }

    /// Returns whether all tasks of a job are done.
    fn is_done(&self, id: &JobId) -> bool {
        let done = self.results.get(id).map_or(0, BTreeSet::len);
        done as u32 == self.jobs[id].spec.tasks
    }

    /// Checks that no task starts before all jobs on which its job depends are done.
    pub(super) fn check_pipelines(&mut self) {
        let waiting = |t: &&ObservedJob| t.ready_at.is_none();
        let ready: Vec<JobId> = (self.jobs.values().filter(waiting))
            .filter(|t| t.spec.dependencies.iter().all(|d| self.is_done(d)))
            .map(|t| t.spec.id.clone())
            .collect();
        for id in ready {
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ready_at = Some(now.max(job.added_at));
            }
        }
        let early = |task: &&Task| self.jobs[&task.task.job].ready_at.is_none();
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        let early: Vec<String> = tasks.filter(early).map(|t| t.task.to_string()).collect();
        for task in early {
            self.report_violation("too_early", &task);
        }
    }

    /// Records the violation of a rule, or fails the test at once unless violations are collected.
    pub(super) fn report_violation(&mut self, rule: &'static str, what: &str) {
        assert!(self.collects_violations, "{rule}: {what} at {}", self.now);
        self.violations.insert(rule);
    }

    /// Checks that a job that is answered as cancelled was cancelled by its user, or depends on one that was.
    pub(super) fn check_cancelled(&self, id: &JobId) {
        let cancel_requested = |id: &JobId| self.jobs[id].cancel_requested;
        assert!(
            cancel_requested(id) || self.ancestors(id).iter().any(cancel_requested),
            "went_back: {id} is cancelled without a request"
        );
    }

    /// Returns when a user was first answered that a job, or one on which it depends, is cancelled.
    pub(super) fn cancelled_since(&self, id: &JobId) -> Option<u64> {
        let cancelled_at = |id: &JobId| self.jobs[id].cancelled_at;
        let with_ancestors = self.ancestors(id).into_iter().chain([id.clone()]);
        with_ancestors.filter_map(|id| cancelled_at(&id)).min()
    }

    /// Checks that a job is not answered as queued or running after the time within which a cancelled job's tasks
    /// must be gone, counted from the answer that a job on which it depends is cancelled.
    pub(super) fn check_not_orphaned(&mut self, id: &JobId) {
        for ancestor in self.ancestors(id) {
            let cancelled = self.jobs[&ancestor].cancelled_at;
            if let Some(at) = cancelled.filter(|at| self.now > at + self.scenario.cancel_ms()) {
                self.report_violation(
                    "orphaned",
                    &format!("{id}, {ancestor} was cancelled at {at}"),
                );
            }
        }
    }

    /// Checks the jobs' records at the end: each cancelled job was cancelled by its user or depends on a cancelled
    /// job, and each job that depends on a cancelled one is cancelled. Returns the number of jobs that were cancelled
    /// only because of a dependency.
    pub fn check_cancelled_together(&self) -> usize {
        let cancelled = |id: &JobId| {
            let key = format!("pub/job/{id}");
            self.store.text_field(&key, "state").as_deref() == Some("aborted")
        };
        let mut with_others = 0;
        for (id, job) in self.jobs.iter().filter(|(_, t)| t.accepted) {
            let depends_on_cancelled = self.ancestors(id).iter().any(cancelled);
            if depends_on_cancelled {
                assert!(
                    cancelled(id),
                    "{id} is not cancelled, but a job on which it depends is"
                );
                with_others += usize::from(!job.cancel_requested);
            } else if cancelled(id) {
                assert!(job.cancel_requested, "{id} is cancelled without a request");
            }
        }
        with_others
    }
}
