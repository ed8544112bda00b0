//! Groups of tasks that are stopped together to make room for a gang.

use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::actions::victims::eviction_loss;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::teams::team_tree::{add_amounts, NO_AMOUNTS};
use crate::units::Span;

/// Tasks that are stopped together: a single task, or a gang with all its tasks.
pub(super) struct VictimGroup {
    pub(super) tasks: Vec<Victim>,
    pub(super) loss: u64,
}

impl VictimGroup {
    /// Creates a group of tasks that are stopped together.
    pub(super) fn new(leader: &Leader, snapshot: &Snapshot, tasks: Vec<Victim>) -> Self {
        let loss = (tasks.iter())
            .map(|victim| loss_of(leader, snapshot, victim))
            .sum();
        Self { tasks, loss }
    }

    /// Returns whether the group's team stays at or above its fair share without it.
    pub(super) fn is_borrowed(&self, leader: &Leader, snapshot: &Snapshot, gang: &Job) -> bool {
        let basis = snapshot.quota.reclaim_basis(gang);
        let owner = (self.tasks.first()).and_then(|victim| leader.jobs.get(&victim.task.job));
        let Some(team) = owner.and_then(|job| leader.policy.teams.find(&job.spec.team)) else {
            return false;
        };
        let mut evicted = NO_AMOUNTS;
        for victim in &self.tasks {
            add_amounts(&mut evicted, &basis.counted(&victim.need));
        }
        basis.stays_at_share_without(team, &evicted)
    }

    /// Returns the loss for each CPU that is freed.
    pub(super) fn loss_per_cpu(&self) -> u64 {
        let cpus: i64 = self.tasks.iter().map(|victim| victim.need.cpus).sum();
        self.loss / cpus.max(1) as u64
    }

    /// Simulates the eviction of all its tasks.
    pub(super) fn evict(&self, leader: &Leader, snapshot: &mut Snapshot) {
        for victim in &self.tasks {
            snapshot.evict(leader, victim);
        }
    }

    /// Reverts the simulated eviction.
    pub(super) fn restore(&self, leader: &Leader, snapshot: &mut Snapshot) {
        for victim in &self.tasks {
            snapshot.restore(leader, victim);
        }
    }
}

/// Returns the loss if a task is stopped.
fn loss_of(leader: &Leader, snapshot: &Snapshot, victim: &Victim) -> u64 {
    let machine = &snapshot.candidates[victim.candidate_index].id;
    let ran = (leader.fleet.machines.get(machine))
        .and_then(|machine| {
            machine
                .tasks
                .iter()
                .find(|placed| placed.task == victim.task)
        })
        .and_then(|placed| placed.running_since)
        .map_or(Span(0), |since| snapshot.now.time - since);
    let job = leader.jobs.get(&victim.task.job);
    eviction_loss(job.map(|job| &*job.spec), ran, &victim.need)
}
