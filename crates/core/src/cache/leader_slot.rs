//! The leader's slot as the cache knows it, and whether jobs depend on others (see `leadership::version_gate`).

use super::job_cache::JobCache;
use crate::leadership::election::LeaderSlot;
use crate::store::records::LeaderRecord;

impl JobCache {
    /// Whether jobs depend on others, now or earlier, as far as this node knows.
    pub fn dependencies_in_use(&self) -> bool {
        self.dependencies_seen || self.catalog_in_gated_key || self.superseded_leader().is_some()
    }

    /// The leader's key as it is known here.
    pub fn leader_slot(&self) -> LeaderSlot<'_> {
        match self.stored_leader() {
            None => LeaderSlot::Vacant {
                superseded: self.superseded_leader(),
            },
            Some(leader) if self.is_outdated(&leader.record) => LeaderSlot::Outdated(leader),
            Some(_) => LeaderSlot::Held(self.leader_key()),
        }
    }

    /// Whether a leader is of a version that must not lead any more.
    fn is_outdated(&self, record: &LeaderRecord) -> bool {
        !record.knows_dependencies() && self.dependencies_in_use()
    }
}
