//! The scheduling cycle: makes one consistent set of decisions on a snapshot (article "KAI Scheduler Deep
//! Dive", section "The scheduling cycle: snapshot, session, actions, plugins").
//!
//! Steps: withdraw stalled placements, take the snapshot, allocate, reclaim and preempt, consolidate, apply, plan
//! capacity.
//!
//! The order of the actions differs from the article's in two points:
//!
//! * Allocation is split. Non-preemptible work runs only within quota, which is handed out first, so it is allocated,
//!   and may reclaim or preempt, before preemptible work is allocated. Preemptible arrays and services reclaim only
//!   after that allocation. When they were considered earlier, they reclaimed nothing while a little room was still
//!   free. That room was then reserved or given to other jobs, and what other teams had borrowed was not taken back.
//! * Consolidation comes last, and only if the cycle stops no work.

use super::actions::{self, ImagePreference, Scenario};
use super::snapshot::Snapshot;
use super::statement::Placement;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::units::{Now, Span};
use rudderreel_wire::ids::{JobId, MachineId};
use rudderreel_wire::job::Kind;

/// Number of cycle periods for which a machine that is being emptied receives no new placements.
const CORDON_PERIODS: u64 = 3;

/// Decisions of the actions of one cycle.
struct Decisions {
    /// Placements on free room, in the order in which they were decided.
    allocated: Vec<Placement>,
    /// Evictions, and the placements on the room that they free.
    scenario: Scenario,
    /// Results of the search for room, of the jobs whose result differs from that of the cycle before.
    room_searches: Vec<RoomSearch>,
}

/// The result of a job's search for room.
struct RoomSearch {
    job: JobId,
    /// Whether no room was found although the limits of the job's team allow another task.
    found_none: bool,
}

impl Leader {
    /// Runs one scheduling cycle and applies its decisions.
    pub fn run_cycle(&mut self, now: Now) {
        self.withdraw_stalled_placements(now.time);
        let mut snapshot = Snapshot::take(self, now);
        let mut decisions = self.run_actions(&mut snapshot, now);
        self.consolidate_if_due(&mut snapshot, &mut decisions.scenario, now);
        self.schedule.gang_reservations = snapshot.take_gang_reservations();
        self.apply(decisions, now);
        let expected_by_gangs = self.plan_capacity(&snapshot, now);
        self.retain_awaited_machines(&snapshot, &expected_by_gangs);
    }

    /// Allocates, reclaims and preempts in the snapshot.
    fn run_actions(&self, snapshot: &mut Snapshot, now: Now) -> Decisions {
        let waiting = self.waiting_jobs(now);
        let (late_reclaimers, early_reclaimers): (Vec<&Job>, Vec<&Job>) =
            (waiting.iter()).partition(|job| job.is_preemptible() && job.spec.kind != Kind::Gang);
        let mut scenario = Scenario::default();

        let mut allocated = actions::allocate_non_preemptible(
            self,
            snapshot,
            &waiting,
            ImagePreference::CachedIfUrgent,
        );
        actions::reclaim(self, snapshot, &early_reclaimers, &mut scenario);
        actions::preempt(self, snapshot, &early_reclaimers, &mut scenario);
        allocated.extend(actions::allocate_non_preemptible(
            self,
            snapshot,
            &waiting,
            ImagePreference::Any,
        ));
        allocated.extend(actions::allocate_preemptible(self, snapshot, &waiting));
        // Only now is it known which arrays find no room: free room may have been reserved, or given to other jobs.
        // Gangs of one task were tried above, because room for larger gangs is reserved while preemptible work is
        // allocated.
        actions::reclaim(self, snapshot, &late_reclaimers, &mut scenario);
        actions::preempt(self, snapshot, &late_reclaimers, &mut scenario);
        actions::reclaim_gangs(self, snapshot, &waiting, &mut scenario);
        Decisions {
            allocated,
            scenario,
            room_searches: self.room_searches(snapshot, &waiting),
        }
    }

    /// Returns the results of the search for room that differ from those of the cycle before.
    fn room_searches(&self, snapshot: &Snapshot, waiting: &[&Job]) -> Vec<RoomSearch> {
        let search_of = |job: &&Job| {
            let found_none =
                snapshot.placed_count(&job.spec.id) == 0 && snapshot.allows_one_more(self, job);
            (found_none != job.is_without_room()).then(|| RoomSearch {
                job: job.spec.id.clone(),
                found_none,
            })
        };
        waiting.iter().filter_map(search_of).collect()
    }

    /// Moves replicas to empty a machine, unless this cycle already stops work or the next consolidation is not due
    /// yet. The machine is cordoned meanwhile.
    fn consolidate_if_due(&mut self, snapshot: &mut Snapshot, scenario: &mut Scenario, now: Now) {
        if !scenario.evictions.is_empty() || now.time < self.schedule.next_consolidation {
            return;
        }
        let emptied = actions::consolidate(self, snapshot, scenario);
        self.schedule.next_consolidation = now.time + self.policy.cycle_period;
        if let Some(machine) = emptied.and_then(|id| self.fleet.machines.get_mut(&id)) {
            machine.cordoned_until = now.time + Span(CORDON_PERIODS * self.policy.cycle_period.0);
        }
    }

    /// Applies the decisions to the leader's state.
    fn apply(&mut self, decisions: Decisions, now: Now) {
        for search in decisions.room_searches {
            if let Some(job) = self.jobs.get_mut(&search.job) {
                job.uses_any_room |= !search.found_none && job.takes_any_room(now.time);
                job.record_room_search(search.found_none, now.time);
            }
        }
        let mut placements = decisions.allocated;
        placements.extend(decisions.scenario.placements);
        self.apply_placements(placements, now.time);
        self.apply_evictions(decisions.scenario.evictions, now.time);
    }

    /// Resets the idle time of machines that are kept for a gang until other machines become free or have booted, so
    /// that they are not returned as idle before the gang can start on all of them.
    fn retain_awaited_machines(&mut self, snapshot: &Snapshot, expected_by_gangs: &[usize]) {
        let reserved = (snapshot.candidates.iter())
            .filter(|candidate| candidate.gang_reservation.is_some())
            .map(|candidate| &candidate.id);
        let expected = (expected_by_gangs.iter())
            .map(|&candidate_index| &snapshot.candidates[candidate_index].id);
        let awaited: Vec<MachineId> = reserved.chain(expected).cloned().collect();
        for id in awaited {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = None;
            }
        }
    }
}

#[cfg(test)]
mod tests;
