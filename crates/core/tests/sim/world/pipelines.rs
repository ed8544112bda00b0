//! Jobs that depend on others: what users submit, and the two rules about them.

use super::agent::Task;
use super::*;

impl World {
    /// Accepted jobs that a new one may depend on, in any state.
    pub(super) fn some_dependencies(&mut self) -> Vec<JobId> {
        if !self.scenario.pipelines || !self.is_upgraded() || self.rng.random_bool(0.4) {
            return Vec::new();
        }
        let may = |t: &&ObservedJob| t.accepted && t.spec.kind != Kind::Service;
        let accepted: Vec<JobId> = (self.jobs.values().filter(may))
            .map(|t| t.spec.id.clone())
            .collect();
        if accepted.is_empty() {
            return accepted;
        }
        let count = self.rng.random_range(1..4);
        // Mostly one of the last, so that long chains come about; some are named twice.
        let picks = (0..count).map(|_| {
            let from = accepted.len().saturating_sub(6);
            accepted[self.rng.random_range(from..accepted.len())].clone()
        });
        picks.collect()
    }

    /// Everything that a job needs, directly or through others.
    pub fn ancestors(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut open = vec![id.clone()];
        while let Some(id) = open.pop() {
            for needed in &self.jobs[&id].spec.dependencies {
                if found.insert(needed.clone()) {
                    open.push(needed.clone());
                }
            }
        }
        found
    }

    /// Whether all tasks of a job are done.
    fn is_done(&self, id: &JobId) -> bool {
        let done = self.results.get(id).map_or(0, BTreeSet::len);
        done as u32 == self.jobs[id].spec.tasks
    }

    /// No task starts before all that its job needs is done.
    pub(super) fn check_pipelines(&mut self) {
        let waiting = |t: &&ObservedJob| t.ready_at.is_none();
        let ready: Vec<JobId> = (self.jobs.values().filter(waiting))
            .filter(|t| t.spec.dependencies.iter().all(|d| self.is_done(d)))
            .map(|t| t.spec.id.clone())
            .collect();
        for id in ready {
            let now = self.now;
            if let Some(told) = self.jobs.get_mut(&id) {
                told.ready_at = Some(now.max(told.asked_at));
            }
        }
        let early = |task: &&Task| self.jobs[&task.task.job].ready_at.is_none();
        let tasks = self.agents.values().flat_map(|w| w.tasks.values());
        let early: Vec<String> = tasks.filter(early).map(|t| t.task.to_string()).collect();
        for task in early {
            self.breaks("too_early", &task);
        }
    }

    /// A rule is broken: that fails the test, now or when it looks at what was collected.
    pub(super) fn breaks(&mut self, rule: &'static str, what: &str) {
        assert!(self.collects_violations, "{rule}: {what} at {}", self.now);
        self.violations.insert(rule);
    }

    /// A job that is told to be cancelled was cancelled by its user, or needs one that was.
    pub(super) fn check_cancelled(&self, id: &JobId) {
        let cancel_requested = |id: &JobId| self.jobs[id].cancel_requested;
        assert!(
            cancel_requested(id) || self.ancestors(id).iter().any(cancel_requested),
            "went_back: nobody cancelled {id}"
        );
    }

    /// When a job's user was told that it, or a job that it needs, is cancelled.
    pub(super) fn cancelled_since(&self, id: &JobId) -> Option<u64> {
        let told = |id: &JobId| self.jobs[id].cancelled_at;
        let with_ancestors = self.ancestors(id).into_iter().chain([id.clone()]);
        with_ancestors.filter_map(|id| told(&id)).min()
    }

    /// A job is not called queued or running long after its user was told that one before it is
    /// cancelled.
    pub(super) fn check_not_orphaned(&mut self, id: &JobId) {
        for ancestor in self.ancestors(id) {
            let cancelled = self.jobs[&ancestor].cancelled_at;
            if let Some(at) = cancelled.filter(|at| self.now > at + self.scenario.cancel_ms()) {
                self.breaks(
                    "orphaned",
                    &format!("{id}, {ancestor} was cancelled at {at}"),
                );
            }
        }
    }

    /// Of those cancelled at the end, by their records, each was cancelled by its user or needs one that
    /// is; and what needs a cancelled one is cancelled.
    pub fn check_cancelled_together(&self) -> usize {
        let cancelled = |id: &JobId| {
            let key = format!("pub/job/{id}");
            self.store.text(&key, "state").as_deref() == Some("aborted")
        };
        let mut with_others = 0;
        for (id, told) in self.jobs.iter().filter(|(_, t)| t.accepted) {
            let by_another = self.ancestors(id).iter().any(cancelled);
            if by_another {
                assert!(cancelled(id), "{id} goes on after what it needs");
                with_others += usize::from(!told.cancel_requested);
            } else if cancelled(id) {
                assert!(told.cancel_requested, "nobody cancelled {id}");
            }
        }
        with_others
    }
}
