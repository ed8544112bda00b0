//! What teams use, added up once for many starts.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::Resources;
use std::cell::OnceCell;

/// What teams use, added up when it is first asked for. It holds as long as no task is placed and none is gone:
/// then the limits of many starts are checked against one sum, and the cost of a start does not grow with the
/// number of jobs.
#[derive(Default)]
pub(crate) struct TeamUsage {
    by_team_node: OnceCell<Vec<Resources>>,
}

impl TeamUsage {
    /// By node of the team tree: everything of it and of those below it that may exist.
    pub(crate) fn by_team_node(&self, leader: &Leader) -> &[Resources] {
        self.by_team_node.get_or_init(|| {
            let teams = &leader.policy.teams;
            let mut sums = vec![Resources::default(); teams.nodes.len()];
            for job in (leader.jobs.values()).filter(|job| !job.placements.is_empty()) {
                let used = job.need.times(job.placement_count());
                let leaf = teams.find(&job.spec.team);
                for node in leaf.into_iter().flat_map(|leaf| teams.path_to_root(leaf)) {
                    sums[node] += used;
                }
            }
            sums
        })
    }
}

impl Leader {
    /// The same for one node of the tree, looked up on every machine: the slow plain way, which tests compare with.
    pub(super) fn usage_on_machines(&self, node: usize) -> Resources {
        let mut sum = Resources::default();
        for task in (self.fleet.machines.values()).flat_map(|machine| &machine.tasks) {
            let job = self.jobs.get(&task.task.job);
            if task.occupies_capacity() && job.is_some_and(|job| self.is_below(job, node)) {
                sum += task.need;
            }
        }
        sum
    }

    fn is_below(&self, job: &Job, node: usize) -> bool {
        (self.policy.teams.find(&job.spec.team)).is_some_and(|leaf| {
            self.policy
                .teams
                .path_to_root(leaf)
                .any(|above| above == node)
        })
    }
}
