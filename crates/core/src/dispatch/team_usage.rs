//! Resources in use by teams, summed once for the limit checks of many starts.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::Resources;
use std::cell::OnceCell;

/// Resources in use by each team, summed on first access. The sums are valid only as long as no task is placed and none
/// is removed. While they are, the limits of many starts are checked against the same sums, so the cost of a start does
/// not grow with the number of jobs.
#[derive(Default)]
pub(crate) struct TeamUsage {
    by_team_node: OnceCell<Vec<Resources>>,
}

impl TeamUsage {
    /// Returns the resources in use by each node of the team tree and the nodes below it. Everything that may exist
    /// counts.
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
    /// Returns the resources in use by one node of the team tree, summed over the tasks on all machines. This is
    /// slow; the sums of [`TeamUsage`] are compared with it.
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

    /// Returns whether a job's team is a node of the team tree or below it.
    fn is_below(&self, job: &Job, node: usize) -> bool {
        (self.policy.teams.find(&job.spec.team)).is_some_and(|leaf| {
            self.policy
                .teams
                .path_to_root(leaf)
                .any(|above| above == node)
        })
    }
}
