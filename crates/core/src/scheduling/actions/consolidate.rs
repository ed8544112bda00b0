//! Consolidation: replicas are moved off a machine that holds few, if all of them have room elsewhere, so that it
//! empties and can be returned (article: "Consolidation: defragmenting without losing work").
//!
//! A replica can't run in two places, so a move costs a moment of its time. It goes only to a machine that has its
//! image, the new start is recorded before the old task is stopped, and only a few are moved in a cycle.

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

/// Replicas moved in a cycle.
const MAX_MOVES: usize = 2;
/// Machines considered in a cycle.
const MAX_MACHINES_CONSIDERED: usize = 8;
/// A replica is left alone for so long after its start.
const MIN_RUNTIME: Span = Span(45_000);

/// A replica whose move is simulated.
struct Move<'a> {
    victim: Victim,
    job: &'a Job,
    /// Its new placement; empty if there is none.
    statement: Statement,
}

/// Moves replicas off the machine that is easiest to empty. Returns that machine, which must get nothing new meanwhile.
pub fn consolidate(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
) -> Option<MachineId> {
    // Only a machine that holds nothing but replicas can be emptied by moving them.
    let mut order: Vec<usize> = (0..snapshot.candidates.len())
        .filter(|&at| {
            let candidate = &snapshot.candidates[at];
            candidate.replica_count > 0 && candidate.preemptible == Resources::default()
        })
        .collect();
    order.sort_by_key(|&at| {
        let candidate = &snapshot.candidates[at];
        (candidate.used().cpus, Reverse(candidate.capacity.cpus))
    });
    (order.into_iter())
        .take(MAX_MACHINES_CONSIDERED)
        .find_map(|at| empty_machine(leader, snapshot, scenario, at))
}

/// Simulates the move of every replica of a machine, and keeps the first few moves if all have room elsewhere.
fn empty_machine(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
    at: usize,
) -> Option<MachineId> {
    let id = snapshot.candidates[at].id.clone();
    let replicas = movable_replicas(leader, snapshot, at)?;
    let min_used = snapshot.candidates[at].used().cpus;
    let mut moves = Vec::new();
    for (placed, job) in replicas {
        let victim = Victim::new(at, placed);
        snapshot.evict(leader, &victim);
        let mut statement = Statement::default();
        if let Some(target) = move_target(leader, snapshot, job, at, min_used) {
            statement.place(leader, snapshot, job, placed.task.index, target);
        }
        moves.push(Move {
            victim,
            job,
            statement,
        });
    }
    let all_have_room = moves.iter().all(|planned| planned.statement.len() == 1);
    if !all_have_room || !snapshot.has_room_for_arrivals(leader, Some(at)) {
        undo(leader, snapshot, moves);
        return None;
    }
    for planned in moves.into_iter().take(MAX_MOVES) {
        let eviction = Eviction::new(&planned.victim, snapshot, StopReason::Moved);
        scenario.evictions.push(eviction);
        scenario.placements.extend(planned.statement.commit());
    }
    Some(id)
}

/// What is on a machine, if there is something and all of it are replicas that can be moved.
fn movable_replicas<'a>(
    leader: &'a Leader,
    snapshot: &Snapshot,
    at: usize,
) -> Option<Vec<(&'a PlacedTask, &'a Job)>> {
    let machine = leader.fleet.machines.get(&snapshot.candidates[at].id)?;
    let replicas: Option<Vec<(&PlacedTask, &Job)>> = (machine.tasks.iter())
        .filter(|placed| placed.occupies_capacity())
        .map(|placed| {
            let job = leader.jobs.get(&placed.task.job)?;
            is_movable(snapshot, placed, job).then_some((placed, job))
        })
        .collect();
    replicas.filter(|replicas| !replicas.is_empty())
}

/// Whether a task is a replica that has run for a while and is in one place only.
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

/// Where a replica could go: to a machine with its image and at least as much in use, where fewest replicas of its
/// service are, and then the fullest.
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
        .filter(|(at, candidate)| *at != from && candidate.has_image(image))
        .filter(|(_, candidate)| fits(leader, snapshot, job, candidate))
        .filter(|(_, candidate)| candidate.replica_count < replica_cap)
        .filter(|(_, candidate)| candidate.used().cpus >= min_used_cpus)
        .min_by_key(|(_, candidate)| (candidate.replicas_of(&job.spec.id), candidate.free.cpus))
        .map(|(at, _)| at)
}

/// Takes simulated moves back, the last one first.
fn undo(leader: &Leader, snapshot: &mut Snapshot, moves: Vec<Move>) {
    for planned in moves.into_iter().rev() {
        planned.statement.discard(leader, snapshot, planned.job);
        snapshot.restore(leader, &planned.victim);
    }
}
