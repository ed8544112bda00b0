//! Simulating placements and evictions in a snapshot (article: "Simulate first, commit later").
//!
//! Each change has an exact reverse, and nothing outside the snapshot is touched.

use super::{has_zone_rules, Snapshot};
use crate::fleet::PlacedTask;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::teams::team_tree::amounts;
use crate::units::Resources;
use rudderreel_wire::ids::{Attempt, JobId, TaskId};
use rudderreel_wire::job::Kind;

/// A task that is evicted, or may be.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Its machine, by its place among the candidates.
    pub at: usize,
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// What it takes.
    pub need: Resources,
}

impl Victim {
    /// A task on a machine.
    pub fn new(at: usize, placed: &PlacedTask) -> Self {
        Self {
            at,
            task: placed.task.clone(),
            attempt: placed.attempt,
            need: placed.need,
        }
    }
}

/// Whether the machine's list of fetches was extended for a placement.
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
        self.shift_victim(leader, victim, Change::Remove);
    }

    /// Takes a simulated eviction back.
    pub fn restore(&mut self, leader: &Leader, victim: &Victim) {
        self.evicted.remove(&(victim.task.clone(), victim.attempt));
        self.shift_victim(leader, victim, Change::Add);
    }

    fn shift_victim(&mut self, leader: &Leader, victim: &Victim, change: Change) {
        let Some(job) = leader.jobs.get(&victim.task.job) else {
            return;
        };
        self.shift_task(leader, job, &victim.need, victim.at, change);
        let candidate = &mut self.candidates[victim.at];
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
        at: usize,
    ) -> FetchCounted {
        self.shift_task(leader, job, &job.need, at, Change::Add);
        *self.placed.entry(job.spec.id.clone()).or_default() += 1;
        match self.image(&job.spec.image) {
            Some(image) => {
                self.candidates[at].fetching_images.push(image);
                FetchCounted::Yes
            }
            None => FetchCounted::No,
        }
    }

    /// Takes a simulated placement back, the last one on its machine.
    pub(in crate::scheduling) fn withdraw(
        &mut self,
        leader: &Leader,
        job: &Job,
        at: usize,
        fetch: FetchCounted,
    ) {
        self.shift_task(leader, job, &job.need, at, Change::Remove);
        let placed = self.placed.entry(job.spec.id.clone()).or_default();
        *placed = placed.saturating_sub(1);
        if fetch == FetchCounted::Yes {
            self.candidates[at].fetching_images.pop();
        }
    }

    /// Counts a task of a job on a machine more or less: for its team, the machine's room, its replicas and zone.
    fn shift_task(
        &mut self,
        leader: &Leader,
        job: &Job,
        need: &Resources,
        at: usize,
        change: Change,
    ) {
        let sign = change.sign();
        let charged = amounts(need).map(|amount| amount * f64::from(sign));
        self.quota.charge(leader, job, &charged);
        let candidate = &mut self.candidates[at];
        match change {
            Change::Add => candidate.free -= *need,
            Change::Remove => candidate.free += *need,
        }
        if job.spec.kind == Kind::Service {
            candidate.shift_replicas(&job.spec.id, sign);
        }
        let zone = candidate.zone_index;
        if has_zone_rules(&job.spec) {
            self.shift_zone_count(&job.spec.id, zone, sign);
        }
    }

    /// Counts tasks of a job with rules for zones in a zone more or less.
    pub(super) fn shift_zone_count(&mut self, job: &JobId, zone: usize, change: i32) {
        let zones = self.tasks_by_zone.entry(job.clone()).or_default();
        if zones.len() <= zone {
            zones.resize(zone + 1, 0);
        }
        zones[zone] = zones[zone].saturating_add_signed(change);
    }
}

#[cfg(test)]
mod tests;
