//! Updates the leader's jobs when the dependencies between them, or their records, have changed.

use crate::node::Node;
use crate::units::Now;
use rudderreel_wire::ids::JobId;

impl Node {
    /// Updates the leader's jobs after the records of the `changed` jobs have changed.
    pub(crate) fn refresh_dependencies(&mut self, changed: &[JobId], now: Now) {
        if let Some(leader) = self.leader.as_mut() {
            let catalog = &leader.policy.catalog;
            if (leader.jobs).refresh_dependencies(changed, &self.job_cache, catalog, now) {
                leader.request_cycle(now.time);
            }
        }
    }

    /// Updates all jobs after the recovery of the state: all of them are new to this leader.
    pub(crate) fn refresh_all_dependencies(&mut self, now: Now) {
        if let Some(leader) = self.leader.as_mut() {
            let catalog = &leader.policy.catalog;
            if (leader.jobs).refresh_all_dependencies(&self.job_cache, catalog, now) {
                leader.request_cycle(now.time);
            }
        }
    }
}
