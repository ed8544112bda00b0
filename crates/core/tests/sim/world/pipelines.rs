//! Jobs that depend on others: what users submit, and the two rules about them.

use super::*;

impl World {
    /// Accepted jobs that a new one may depend on, in any state.
    pub(super) fn some_dependencies(&mut self) -> Vec<JobId> {
        if !self.plan.pipelines || self.rng.random_bool(0.4) {
            return Vec::new();
        }
        let may = |t: &&Told| t.accepted && t.spec.kind != Kind::Service;
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
        let waiting = |t: &&Told| t.ready_at.is_none();
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
        for task in self.workers.values().flat_map(|w| w.tasks.values()) {
            let ready = self.jobs[&task.task.job].ready_at.is_some();
            assert!(ready, "too_early: {} at {}", task.task, self.now);
        }
    }

    /// A job that is told to be cancelled was cancelled by its user, or needs one that was.
    pub(super) fn check_cancelled(&self, id: &JobId) {
        let asked = |id: &JobId| self.jobs[id].withdrawn;
        assert!(
            asked(id) || self.ancestors(id).iter().any(asked),
            "went_back: nobody cancelled {id}"
        );
    }

    /// A job is not called queued or running long after its user was told that one before it is
    /// cancelled.
    pub(super) fn check_not_orphaned(&self, id: &JobId) {
        for ancestor in self.ancestors(id) {
            if let Some(at) = self.jobs[&ancestor].cancelled_at {
                assert!(
                    self.now <= at + CANCEL_MS,
                    "orphaned: {id} at {}, {ancestor} was cancelled at {at}",
                    self.now
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
                with_others += usize::from(!told.withdrawn);
            } else if cancelled(id) {
                assert!(told.withdrawn, "nobody cancelled {id}");
            }
        }
        with_others
    }
}
