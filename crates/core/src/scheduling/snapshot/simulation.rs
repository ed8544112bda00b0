//! Simulation of placements and evictions in a snapshot (article "KAI Scheduler Deep Dive", section
//! "Simulate first, commit later").
//!
//! Each change has an exact reverse, and nothing outside the snapshot is changed.

use super::{has_zone_rules, Snapshot};
use crate::fleet::PlacedTask;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::team_tree::amounts;
use crate::units::Resources;
use rudderreel_wire::ids::{Attempt, JobId, TaskId};
use rudderreel_wire::job::Kind;

/// A task that is to be evicted or is considered for eviction.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Index of its machine in [`Snapshot::candidates`].
    pub candidate_index: usize,
    /// Id of the task.
    pub task: TaskId,
    /// Attempt of the task.
    pub attempt: Attempt,
    /// Resources of the task.
    pub need: Resources,
}

impl Victim {
    /// Creates a victim from a task on a candidate machine.
    pub fn new(candidate_index: usize, placed: &PlacedTask) -> Self {
        Self {
            candidate_index,
            task: placed.task.clone(),
            attempt: placed.attempt,
            need: placed.need,
        }
    }
}

/// Whether a placement added an entry to the list of images that the machine fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::scheduling) enum FetchCounted {
    Yes,
    No,
}

/// Whether a task is added or removed.
#[derive(Clone, Copy)]
enum Change {
    Add,
    Remove,
}

impl Change {
    fn sign(self) -> i32 {
        match self {
            Self::Add => 1,
            Self::Remove => -1,
        }
    }
}

impl Snapshot {
    /// Simulates an eviction.
    pub fn evict(&mut self, leader: &Leader, victim: &Victim) {
        self.evicted.insert((victim.task.clone(), victim.attempt));
        self.adjust_victim(leader, victim, Change::Remove);
    }

    /// Reverts a simulated eviction.
    pub fn restore(&mut self, leader: &Leader, victim: &Victim) {
        self.evicted.remove(&(victim.task.clone(), victim.attempt));
        self.adjust_victim(leader, victim, Change::Add);
    }

    fn adjust_victim(&mut self, leader: &Leader, victim: &Victim, change: Change) {
        let Some(job) = leader.jobs.get(&victim.task.job) else {
            return;
        };
        self.adjust_task(leader, job, &victim.need, victim.candidate_index, change);
        let candidate = &mut self.candidates[victim.candidate_index];
        match change {
            Change::Remove => candidate.preemptible -= victim.need,
            Change::Add => candidate.preemptible += victim.need,
        }
    }

    /// Simulates the placement of a task on a machine.
    pub(in crate::scheduling) fn place(
        &mut self,
        leader: &Leader,
        job: &Job,
        candidate_index: usize,
    ) -> FetchCounted {
        self.adjust_task(leader, job, &job.need, candidate_index, Change::Add);
        *self.placed.entry(job.spec.id.clone()).or_default() += 1;
        match self.image(&job.spec.image) {
            Some(image) => {
                self.candidates[candidate_index].fetching_images.push(image);
                FetchCounted::Yes
            }
            None => FetchCounted::No,
        }
    }

    /// Reverts a simulated placement, which must be the last one on its machine.
    pub(in crate::scheduling) fn withdraw(
        &mut self,
        leader: &Leader,
        job: &Job,
        candidate_index: usize,
        fetch: FetchCounted,
    ) {
        self.adjust_task(leader, job, &job.need, candidate_index, Change::Remove);
        let placed = self.placed.entry(job.spec.id.clone()).or_default();
        *placed = placed.saturating_sub(1);
        if fetch == FetchCounted::Yes {
            self.candidates[candidate_index].fetching_images.pop();
        }
    }

    /// Adds or removes a task of a job on a machine: in its team's usage, the machine's free resources and replicas,
    /// and the job's tasks by zone.
    fn adjust_task(
        &mut self,
        leader: &Leader,
        job: &Job,
        need: &Resources,
        candidate_index: usize,
        change: Change,
    ) {
        let sign = change.sign();
        let charged = amounts(need).map(|amount| amount * f64::from(sign));
        self.quota.charge(leader, job, &charged);
        let candidate = &mut self.candidates[candidate_index];
        match change {
            Change::Add => candidate.free -= *need,
            Change::Remove => candidate.free += *need,
        }
        if job.spec.kind == Kind::Service {
            candidate.adjust_replicas(&job.spec.id, sign);
        }
        let zone = candidate.zone_index;
        if has_zone_rules(&job.spec) {
            self.adjust_zone_count(&job.spec.id, zone, sign);
        }
    }

    /// Changes the number of tasks of a job with zone rules in a zone by `change`.
    pub(super) fn adjust_zone_count(&mut self, job: &JobId, zone: usize, change: i32) {
        let zones = self.tasks_by_zone.entry(job.clone()).or_default();
        if zones.len() <= zone {
            zones.resize(zone + 1, 0);
        }
        zones[zone] = zones[zone].saturating_add_signed(change);
    }
}

#[cfg(test)]
mod tests;
