//! Reclaim for gangs of several tasks: simulated in one statement that is kept whole or discarded.
//!
//! A gang needs several machines at once, mostly in one zone. Tasks that run there on room borrowed by other teams
//! are stopped, in the order of the loss, until the gang fits. Victims that turn out not to be needed are spared, and
//! if the gang does not fit after all, nothing is stopped. A victim gang is stopped as a whole, wherever its tasks
//! are, and its tasks save what they can.
//!
//! Invariant: every victim's team stays at or above its fair share, and the gang's own team stays within its share,
//! so that neither can take the room back from the other.

mod victim_group;

use super::predicates::{fits, is_eligible};
use super::scenario::{Eviction, Scenario};
use super::scoring::{rank_machines, task_slots};
use super::victims::is_evictable;
use crate::fleet::StopReason;
use crate::fleet::{Machine, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::scheduling::statement::{Placement, Statement};
use crate::teams::team_tree::amounts;
use rudderreel_wire::ids::{Attempt, JobId, MachineId};
use rudderreel_wire::job::Kind;
use std::collections::{BTreeSet, HashMap};
use victim_group::VictimGroup;

/// Maximum number of waiting gangs considered in a cycle: each requires a search through all borrowed room.
const MAX_GANGS_CONSIDERED: usize = 2;

/// Reclaims borrowed room for gangs whose teams stay within their fair share with them.
pub fn reclaim_gangs(
    leader: &Leader,
    snapshot: &mut Snapshot,
    waiting: &[&Job],
    scenario: &mut Scenario,
) {
    if !snapshot.quota.is_any_over_share() {
        return;
    }
    let gangs: Vec<&Job> = (waiting.iter().copied())
        .filter(|job| job.spec.kind == Kind::Gang && job.spec.tasks > 1 && !job.is_suspected())
        .filter(|job| snapshot.placed_count(&job.spec.id) == 0)
        .filter(|job| stays_within_share(leader, snapshot, job))
        .take(MAX_GANGS_CONSIDERED)
        .collect();
    if gangs.is_empty() {
        return;
    }
    let positions: HashMap<MachineId, usize> = (snapshot.candidates.iter().enumerate())
        .map(|(candidate_index, candidate)| (candidate.id.clone(), candidate_index))
        .collect();
    for gang in gangs {
        let search = GangSearch {
            leader,
            positions: &positions,
            gang,
        };
        search.reclaim(snapshot, scenario);
    }
}

/// Returns whether a gang's team stays within its fair share with the gang, and the team and all nodes above it
/// within their limits.
fn stays_within_share(leader: &Leader, snapshot: &Snapshot, gang: &Job) -> bool {
    let need = gang.need.times(gang.spec.tasks);
    let Some(team) = leader.policy.teams.find(&gang.spec.team) else {
        return false;
    };
    let basis = snapshot.quota.reclaim_basis(gang);
    basis.stays_within_share(team, &need, leader.policy.reclaim_multiplier)
        && snapshot.within_limits(leader, gang, &amounts(&need))
}

/// A group whose eviction is simulated, and the number of tasks of the gang that gain room by it.
struct EvictedGroup {
    group: VictimGroup,
    gained: u32,
}

/// Groups whose eviction makes room for a gang in `zone`, or across all zones if `zone` is `None`.
struct ReclaimPlan {
    groups: Vec<VictimGroup>,
    zone: Option<usize>,
}

/// The search for room for one gang.
struct GangSearch<'a> {
    leader: &'a Leader,
    /// Indices of machines in [`Snapshot::candidates`].
    positions: &'a HashMap<MachineId, usize>,
    gang: &'a Job,
}

impl GangSearch<'_> {
    /// Reclaims room in the zone with the least loss, and places the gang there, unless it already fits somewhere.
    fn reclaim(&self, snapshot: &mut Snapshot, scenario: &mut Scenario) {
        let zones = snapshot.zone_choices(&self.gang.spec);
        if (zones.iter()).any(|zone| self.room_in(snapshot, *zone) >= self.gang.spec.tasks) {
            return;
        }
        let Some(plan) = self.cheapest_plan(snapshot, zones) else {
            return;
        };
        for group in &plan.groups {
            group.evict(self.leader, snapshot);
        }
        match self.place(snapshot, plan.zone) {
            Some(placements) => {
                let victims = plan.groups.iter().flat_map(|group| &group.tasks);
                scenario.evictions.extend(
                    victims.map(|victim| Eviction::new(victim, snapshot, StopReason::Reclaimed)),
                );
                scenario.placements.extend(placements);
            }
            None => plan.restore(self.leader, snapshot),
        }
    }

    /// Returns the plan with the least loss among the plans for each zone. The snapshot is left as it was.
    fn cheapest_plan(
        &self,
        snapshot: &mut Snapshot,
        zones: Vec<Option<usize>>,
    ) -> Option<ReclaimPlan> {
        let mut plans = Vec::new();
        for zone in zones {
            if let Some(groups) = self.make_room(snapshot, zone) {
                let plan = ReclaimPlan { groups, zone };
                plan.restore(self.leader, snapshot);
                plans.push(plan);
            }
        }
        plans.into_iter().min_by_key(ReclaimPlan::loss)
    }

    /// Returns the number of tasks of the gang that find room in a zone.
    fn room_in(&self, snapshot: &Snapshot, zone: Option<usize>) -> u32 {
        (rank_machines(self.leader, snapshot, self.gang, zone).iter())
            .map(|machine| machine.tasks)
            .fold(0, u32::saturating_add)
    }

    /// Returns the groups to be stopped for the gang to fit into a zone, with their eviction simulated in the
    /// snapshot. If there is not enough to stop, the snapshot is left as it was.
    fn make_room(&self, snapshot: &mut Snapshot, zone: Option<usize>) -> Option<Vec<VictimGroup>> {
        let tasks_needed = self.gang.spec.tasks;
        let mut room = self.room_in(snapshot, zone);
        let mut evicted: Vec<EvictedGroup> = Vec::new();
        for group in self.victim_groups(snapshot, zone) {
            if room >= tasks_needed {
                break;
            }
            if !group.is_borrowed(self.leader, snapshot, self.gang) {
                continue;
            }
            let gained = self.evict_if_useful(snapshot, zone, &group);
            if gained > 0 {
                room += gained;
                evicted.push(EvictedGroup { group, gained });
            }
        }
        if room < tasks_needed {
            for evicted in &evicted {
                evicted.group.restore(self.leader, snapshot);
            }
            return None;
        }
        Some(self.spare_unneeded(snapshot, evicted, room))
    }

    /// Simulates the eviction of a group, and reverts it if no task of the gang gains room by it. Returns the number
    /// of tasks that do.
    fn evict_if_useful(
        &self,
        snapshot: &mut Snapshot,
        zone: Option<usize>,
        group: &VictimGroup,
    ) -> u32 {
        let before = self.room_on_machines_of(snapshot, zone, group);
        group.evict(self.leader, snapshot);
        let after = self.room_on_machines_of(snapshot, zone, group);
        let gained = after.saturating_sub(before);
        if gained == 0 {
            group.restore(self.leader, snapshot);
        }
        gained
    }

    /// Spares groups that are no longer needed because of groups that were evicted after them.
    fn spare_unneeded(
        &self,
        snapshot: &mut Snapshot,
        evicted: Vec<EvictedGroup>,
        mut room: u32,
    ) -> Vec<VictimGroup> {
        let mut needed = Vec::new();
        for EvictedGroup { group, gained } in evicted {
            if room - gained >= self.gang.spec.tasks {
                group.restore(self.leader, snapshot);
                room -= gained;
            } else {
                needed.push(group);
            }
        }
        needed
    }

    /// Returns the number of tasks of the gang that find room on the machines of a group.
    fn room_on_machines_of(
        &self,
        snapshot: &Snapshot,
        zone: Option<usize>,
        group: &VictimGroup,
    ) -> u32 {
        let machines: BTreeSet<usize> = group
            .tasks
            .iter()
            .map(|victim| victim.candidate_index)
            .collect();
        (machines.into_iter())
            .map(|candidate_index| &snapshot.candidates[candidate_index])
            .filter(|candidate| zone.is_none_or(|zone| zone == candidate.zone_index))
            .filter(|candidate| fits(self.leader, snapshot, self.gang, candidate))
            .map(|candidate| candidate.unreserved().fit_count(&self.gang.need))
            .sum()
    }

    /// Returns the groups that could be stopped in a zone, in the order of the loss per CPU that is freed.
    fn victim_groups(&self, snapshot: &Snapshot, zone: Option<usize>) -> Vec<VictimGroup> {
        let mut gangs_seen: BTreeSet<(&JobId, Attempt)> = BTreeSet::new();
        let mut groups = Vec::new();
        for (candidate_index, machine) in self.machines_in(snapshot, zone) {
            for placed in &machine.tasks {
                let Some(owner) = self.leader.jobs.get(&placed.task.job) else {
                    continue;
                };
                if owner.spec.team == self.gang.spec.team
                    || !self.may_evict(snapshot, owner, placed)
                {
                    continue;
                }
                if owner.spec.kind != Kind::Gang || owner.spec.tasks == 1 {
                    let tasks = vec![Victim::new(candidate_index, placed)];
                    groups.push(VictimGroup::new(self.leader, snapshot, tasks));
                } else if gangs_seen.insert((&owner.spec.id, placed.attempt)) {
                    groups.extend(self.whole_gang(snapshot, owner, placed.attempt));
                }
            }
        }
        groups.sort_by_cached_key(VictimGroup::loss_per_cpu);
        groups
    }

    /// Returns the machines of a zone that could hold a task of the gang, with their indices in
    /// [`Snapshot::candidates`].
    fn machines_in<'s>(
        &'s self,
        snapshot: &'s Snapshot,
        zone: Option<usize>,
    ) -> impl Iterator<Item = (usize, &'s Machine)> {
        (snapshot.candidates.iter().enumerate())
            .filter(move |(_, candidate)| zone.is_none_or(|zone| zone == candidate.zone_index))
            .filter(|(_, candidate)| is_eligible(self.leader, snapshot, self.gang, candidate))
            .filter_map(|(candidate_index, candidate)| {
                Some((
                    candidate_index,
                    self.leader.fleet.machines.get(&candidate.id)?,
                ))
            })
            .filter(|(_, machine)| machine.capacity.holds(&self.gang.need))
    }

    fn may_evict(&self, snapshot: &Snapshot, owner: &Job, placed: &PlacedTask) -> bool {
        let min_runtime = self.leader.policy.reclaim_min_runtime;
        owner.is_active() && is_evictable(snapshot, placed, owner, min_runtime)
    }

    /// Returns a gang with all its tasks, if each of them is in exactly one place and may be stopped.
    fn whole_gang(
        &self,
        snapshot: &Snapshot,
        owner: &Job,
        attempt: Attempt,
    ) -> Option<VictimGroup> {
        let mut tasks = Vec::new();
        for (index, places) in &owner.placements {
            let [(machine, placed_attempt)] = places.as_slice() else {
                return None;
            };
            let candidate_index = *self.positions.get(machine)?;
            let task = owner.spec.id.task(*index);
            let on_machine = &self.leader.fleet.machines.get(machine)?.tasks;
            let placed = (on_machine.iter())
                .find(|placed| placed.attempt == *placed_attempt && placed.task == task)?;
            if *placed_attempt != attempt || !self.may_evict(snapshot, owner, placed) {
                return None;
            }
            tasks.push(Victim::new(candidate_index, placed));
        }
        let is_whole = tasks.len() as u32 == owner.spec.tasks;
        is_whole.then(|| VictimGroup::new(self.leader, snapshot, tasks))
    }

    /// Places the gang whole or not at all.
    fn place(&self, snapshot: &mut Snapshot, zone: Option<usize>) -> Option<Vec<Placement>> {
        let slots = task_slots(rank_machines(self.leader, snapshot, self.gang, zone));
        let mut statement = Statement::default();
        for (index, candidate_index) in (0..self.gang.spec.tasks).zip(slots) {
            statement.place(self.leader, snapshot, self.gang, index, candidate_index);
        }
        statement.commit_if_whole(self.leader, snapshot, self.gang, self.gang.spec.tasks)
    }
}

impl ReclaimPlan {
    fn loss(&self) -> u64 {
        self.groups.iter().map(|group| group.loss).sum()
    }

    fn restore(&self, leader: &Leader, snapshot: &mut Snapshot) {
        for group in &self.groups {
            group.restore(leader, snapshot);
        }
    }
}

#[cfg(test)]
mod tests;
