//! Consolidation: moves the replicas off a machine that holds few, if all of them have room elsewhere, so that the
//! machine becomes empty and can be returned (article "KAI Scheduler Deep Dive", section "Consolidation: defragmenting
//! without losing work").
//!
//! A replica cannot run in two places, so a move interrupts it for a moment. It is moved only to a machine that has
//! its image, the new start is recorded before the old task is stopped, and only a few replicas are moved in a cycle.

use super::predicates::fits;
use super::scenario::{Eviction, Scenario};
use crate::fleet::StopReason;
use crate::fleet::{Phase, PlacedTask};
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{Snapshot, Victim};
use crate::scheduling::statement::Statement;
use crate::units::{Resources, Span};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::job::Kind;
use rudderreel_wire::worker::TaskState;
use std::cmp::Reverse;

/// Maximum number of replicas moved in a cycle.
const MAX_MOVES: usize = 2;
/// Maximum number of machines considered in a cycle.
const MAX_MACHINES_CONSIDERED: usize = 8;
/// Time after its start during which a replica is not moved.
const MIN_RUNTIME: Span = Span(45_000);

/// A replica whose move is simulated.
struct SimulatedMove<'a> {
    victim: Victim,
    job: &'a Job,
    /// New placement of the replica; empty if there is none.
    statement: Statement,
}

/// Moves replicas off the machine that is easiest to empty. Returns that machine, which must receive no new
/// placements meanwhile.
pub fn consolidate(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
) -> Option<MachineId> {
    // Only a machine that holds nothing but replicas can be emptied by moving them.
    let mut order: Vec<usize> = (0..snapshot.candidates.len())
        .filter(|&candidate_index| {
            let candidate = &snapshot.candidates[candidate_index];
            candidate.replica_count > 0 && candidate.preemptible == Resources::default()
        })
        .collect();
    order.sort_by_key(|&candidate_index| {
        let candidate = &snapshot.candidates[candidate_index];
        (candidate.used().cpus, Reverse(candidate.capacity.cpus))
    });
    (order.into_iter())
        .take(MAX_MACHINES_CONSIDERED)
        .find_map(|candidate_index| empty_machine(leader, snapshot, scenario, candidate_index))
}

/// Simulates the move of every replica of a machine. If all of them have room elsewhere, and room for urgent arrivals
/// remains without the machine, keeps the first [`MAX_MOVES`] moves and returns the machine; otherwise reverts all
/// moves.
fn empty_machine(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
    candidate_index: usize,
) -> Option<MachineId> {
    let id = snapshot.candidates[candidate_index].id.clone();
    let replicas = movable_replicas(leader, snapshot, candidate_index)?;
    let min_used = snapshot.candidates[candidate_index].used().cpus;
    let mut moves = Vec::new();
    for (placed, job) in replicas {
        let victim = Victim::new(candidate_index, placed);
        snapshot.evict(leader, &victim);
        let mut statement = Statement::default();
        if let Some(target) = move_target(leader, snapshot, job, candidate_index, min_used) {
            statement.place(leader, snapshot, job, placed.task.index, target);
        }
        moves.push(SimulatedMove {
            victim,
            job,
            statement,
        });
    }
    let all_have_room = moves.iter().all(|simulated| simulated.statement.len() == 1);
    if !all_have_room || !snapshot.has_room_for_arrivals(leader, Some(candidate_index)) {
        revert_moves(leader, snapshot, moves);
        return None;
    }
    for simulated in moves.into_iter().take(MAX_MOVES) {
        let eviction = Eviction::new(&simulated.victim, snapshot, StopReason::Moved);
        scenario.evictions.push(eviction);
        scenario.placements.extend(simulated.statement.commit());
    }
    Some(id)
}

/// Returns the tasks on a machine, if there are any and all of them are replicas that can be moved.
fn movable_replicas<'a>(
    leader: &'a Leader,
    snapshot: &Snapshot,
    candidate_index: usize,
) -> Option<Vec<(&'a PlacedTask, &'a Job)>> {
    let machine = leader
        .fleet
        .machines
        .get(&snapshot.candidates[candidate_index].id)?;
    let replicas: Option<Vec<(&PlacedTask, &Job)>> = (machine.tasks.iter())
        .filter(|placed| placed.occupies_capacity())
        .map(|placed| {
            let job = leader.jobs.get(&placed.task.job)?;
            is_movable(snapshot, placed, job).then_some((placed, job))
        })
        .collect();
    replicas.filter(|replicas| !replicas.is_empty())
}

/// Returns whether a task is a replica that has run for at least [`MIN_RUNTIME`], is not being stopped and is in one
/// place only.
fn is_movable(snapshot: &Snapshot, placed: &PlacedTask, job: &Job) -> bool {
    let has_settled =
        (placed.running_since).is_some_and(|since| snapshot.now.time - since >= MIN_RUNTIME);
    job.spec.kind == Kind::Service
        && job.is_active()
        && (job.placements.get(&placed.task.index)).is_some_and(|places| places.len() == 1)
        && placed.phase == Phase::On(TaskState::Running)
        && placed.stop.is_none()
        && has_settled
}

/// Returns the machine that a replica could move to: one that has room, its image, fewer replicas than the cap, and
/// at least as many CPUs in use as the machine that is emptied. The one with the fewest replicas of its service is
/// chosen, then the fullest.
fn move_target(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    from: usize,
    min_used_cpus: i64,
) -> Option<usize> {
    let image = snapshot.image(&job.spec.image);
    let replica_cap = snapshot.replica_cap();
    (snapshot.candidates.iter().enumerate())
        .filter(|(candidate_index, candidate)| {
            *candidate_index != from && candidate.has_image(image)
        })
        .filter(|(_, candidate)| fits(leader, snapshot, job, candidate))
        .filter(|(_, candidate)| candidate.replica_count < replica_cap)
        .filter(|(_, candidate)| candidate.used().cpus >= min_used_cpus)
        .min_by_key(|(_, candidate)| (candidate.replicas_of(&job.spec.id), candidate.free.cpus))
        .map(|(candidate_index, _)| candidate_index)
}

/// Reverts simulated moves, the last one first.
fn revert_moves(leader: &Leader, snapshot: &mut Snapshot, moves: Vec<SimulatedMove>) {
    for simulated in moves.into_iter().rev() {
        simulated.statement.discard(leader, snapshot, simulated.job);
        snapshot.restore(leader, &simulated.victim);
    }
}
