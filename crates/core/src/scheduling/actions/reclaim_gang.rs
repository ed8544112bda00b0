//! Reclaim for gangs of several tasks: in one statement, simulated whole and kept whole.
//!
//! A gang needs several machines at once, in one zone mostly. What other teams borrowed there is stopped, in the order
//! of what is lost by it, until the gang fits; victims that turn out not to be needed are spared; and if the gang does
//! not fit after all, nothing is stopped. Gangs are victims as a whole, wherever their tasks are, and save what they
//! have.
//!
//! Invariant: every victim's team stays at or above its fair share, and the gang's own within its share, so that
//! neither can take the room back from the other.

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

/// So many waiting gangs are considered in a cycle: each means a search through all that is borrowed.
const MAX_GANGS_CONSIDERED: usize = 2;

/// Reclaims borrowed room for gangs of teams that stay within their fair share with them.
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
        .map(|(at, candidate)| (candidate.id.clone(), at))
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

/// Whether a gang's team stays within its fair share, and all nodes above it within their limits, with it.
fn stays_within_share(leader: &Leader, snapshot: &Snapshot, gang: &Job) -> bool {
    let need = gang.need.times(gang.spec.tasks);
    let Some(team) = leader.policy.teams.find(&gang.spec.team) else {
        return false;
    };
    let basis = snapshot.quota.reclaim_basis(gang);
    basis.stays_within_share(team, &need, leader.policy.reclaim_multiplier)
        && snapshot.within_limits(leader, gang, &amounts(&need))
}

/// A group that is stopped in the simulation, and how many tasks of the gang find room by that.
struct StoppedGroup {
    group: VictimGroup,
    gained: u32,
}

/// Groups whose stop makes room for a gang in a zone, or in several if none is given.
struct ReclaimPlan {
    groups: Vec<VictimGroup>,
    zone: Option<usize>,
}

/// The search for room for one gang.
struct GangSearch<'a> {
    leader: &'a Leader,
    /// Places of machines among the candidates.
    positions: &'a HashMap<MachineId, usize>,
    gang: &'a Job,
}

impl GangSearch<'_> {
    /// Reclaims room where that loses the least, and places the gang there, unless it fits as it is.
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

    /// Of the plans for each zone the one that loses the least; the snapshot is left as it was.
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

    /// How many tasks of the gang find room in a zone.
    fn room_in(&self, snapshot: &Snapshot, zone: Option<usize>) -> u32 {
        (rank_machines(self.leader, snapshot, self.gang, zone).iter())
            .map(|machine| machine.tasks)
            .fold(0, u32::saturating_add)
    }

    /// What must be stopped for the gang to fit into a zone; it is simulated in the snapshot, which is left as it was
    /// if there is not enough.
    fn make_room(&self, snapshot: &mut Snapshot, zone: Option<usize>) -> Option<Vec<VictimGroup>> {
        let want = self.gang.spec.tasks;
        let mut room = self.room_in(snapshot, zone);
        let mut stopped: Vec<StoppedGroup> = Vec::new();
        for group in self.victim_groups(snapshot, zone) {
            if room >= want {
                break;
            }
            if !group.is_borrowed(self.leader, snapshot, self.gang) {
                continue;
            }
            let gained = self.evict_if_useful(snapshot, zone, &group);
            if gained > 0 {
                room += gained;
                stopped.push(StoppedGroup { group, gained });
            }
        }
        if room < want {
            for stopped in &stopped {
                stopped.group.restore(self.leader, snapshot);
            }
            return None;
        }
        Some(self.spare_unneeded(snapshot, stopped, room))
    }

    /// Simulates the stop of a group, and takes it back if no task of the gang gains room by it. Returns how many do.
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

    /// Spares groups that are not needed any more after later ones were stopped, too.
    fn spare_unneeded(
        &self,
        snapshot: &mut Snapshot,
        stopped: Vec<StoppedGroup>,
        mut room: u32,
    ) -> Vec<VictimGroup> {
        let mut needed = Vec::new();
        for StoppedGroup { group, gained } in stopped {
            if room - gained >= self.gang.spec.tasks {
                group.restore(self.leader, snapshot);
                room -= gained;
            } else {
                needed.push(group);
            }
        }
        needed
    }

    /// How many tasks of the gang find room on the machines of a group.
    fn room_on_machines_of(
        &self,
        snapshot: &Snapshot,
        zone: Option<usize>,
        group: &VictimGroup,
    ) -> u32 {
        let machines: BTreeSet<usize> = group.tasks.iter().map(|victim| victim.at).collect();
        (machines.into_iter())
            .map(|at| &snapshot.candidates[at])
            .filter(|candidate| zone.is_none_or(|zone| zone == candidate.zone_index))
            .filter(|candidate| fits(self.leader, snapshot, self.gang, candidate))
            .map(|candidate| candidate.unreserved().fit_count(&self.gang.need))
            .sum()
    }

    /// What could be stopped in a zone, in the order of what is lost for the room that comes free.
    fn victim_groups(&self, snapshot: &Snapshot, zone: Option<usize>) -> Vec<VictimGroup> {
        let mut gangs_seen: BTreeSet<(&JobId, Attempt)> = BTreeSet::new();
        let mut groups = Vec::new();
        for (at, machine) in self.machines_in(snapshot, zone) {
            for placed in &machine.tasks {
                let Some(owner) = self.leader.jobs.get(&placed.task.job) else {
                    continue;
                };
                if owner.spec.team == self.gang.spec.team || !self.may_stop(snapshot, owner, placed)
                {
                    continue;
                }
                if owner.spec.kind != Kind::Gang || owner.spec.tasks == 1 {
                    let tasks = vec![Victim::new(at, placed)];
                    groups.push(VictimGroup::new(self.leader, snapshot, tasks));
                } else if gangs_seen.insert((&owner.spec.id, placed.attempt)) {
                    groups.extend(self.whole_gang(snapshot, owner, placed.attempt));
                }
            }
        }
        groups.sort_by_cached_key(VictimGroup::loss_per_cpu);
        groups
    }

    /// Machines of a zone that could hold a task of the gang, with their places among the candidates.
    fn machines_in<'s>(
        &'s self,
        snapshot: &'s Snapshot,
        zone: Option<usize>,
    ) -> impl Iterator<Item = (usize, &'s Machine)> {
        (snapshot.candidates.iter().enumerate())
            .filter(move |(_, candidate)| zone.is_none_or(|zone| zone == candidate.zone_index))
            .filter(|(_, candidate)| is_eligible(self.leader, snapshot, self.gang, candidate))
            .filter_map(|(at, candidate)| {
                Some((at, self.leader.fleet.machines.get(&candidate.id)?))
            })
            .filter(|(_, machine)| machine.capacity.holds(&self.gang.need))
    }

    fn may_stop(&self, snapshot: &Snapshot, owner: &Job, placed: &PlacedTask) -> bool {
        let min_runtime = self.leader.policy.reclaim_min_runtime;
        owner.is_active() && is_evictable(snapshot, placed, owner, min_runtime)
    }

    /// A gang with all its tasks, if all of them are there and may be stopped.
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
            let at = *self.positions.get(machine)?;
            let task = owner.spec.id.task(*index);
            let on_machine = &self.leader.fleet.machines.get(machine)?.tasks;
            let placed = (on_machine.iter())
                .find(|placed| placed.attempt == *placed_attempt && placed.task == task)?;
            if *placed_attempt != attempt || !self.may_stop(snapshot, owner, placed) {
                return None;
            }
            tasks.push(Victim::new(at, placed));
        }
        let is_whole = tasks.len() as u32 == owner.spec.tasks;
        is_whole.then(|| VictimGroup::new(self.leader, snapshot, tasks))
    }

    /// Places the gang whole.
    fn place(&self, snapshot: &mut Snapshot, zone: Option<usize>) -> Option<Vec<Placement>> {
        let slots = task_slots(rank_machines(self.leader, snapshot, self.gang, zone));
        let mut statement = Statement::default();
        for (index, at) in (0..self.gang.spec.tasks).zip(slots) {
            statement.place(self.leader, snapshot, self.gang, index, at);
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
