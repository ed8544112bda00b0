//! Consolidation: replicas are moved off a machine that holds few, if all of them have a home
//! elsewhere, so that it empties and can be returned.
//!
//! A replica can't run in two places, so a move costs a moment of its time. It goes only to a
//! machine that has its image, the new start is recorded before the old task is stopped, and only
//! a few are moved in a cycle.

use super::evict::{Eviction, Scenario};
use super::fit;
use crate::fleet::machine::{Phase, PlacedTask};
use crate::leader::Leader;
use crate::scheduling::snapshot::Snapshot;
use crate::scheduling::statement::Statement;
use crate::units::{Resources, Span};
use rudderreel_wire::ids::MachineId;
use rudderreel_wire::job::Kind;
use rudderreel_wire::worker::TaskState;

/// Replicas moved in a cycle.
const MOVES: usize = 2;
/// Machines that are looked at in a cycle.
const TRIES: usize = 8;
/// A replica is left alone for so long after its start.
const SETTLE: Span = Span(45_000);

/// Moves replicas off the machine that is easiest to empty. Returns that machine, which gets
/// nothing new meanwhile.
pub fn consolidate(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
) -> Option<MachineId> {
    // Only a machine that holds nothing but replicas can be emptied by moving them.
    let mut order: Vec<usize> = (0..snapshot.candidates.len())
        .filter(|&i| {
            let spot = &snapshot.candidates[i];
            spot.replicas > 0 && spot.is_preemptible == Resources::default()
        })
        .collect();
    order.sort_by_key(|&i| {
        let spot = &snapshot.candidates[i];
        (
            (spot.room - spot.free).cpus,
            std::cmp::Reverse(spot.room.cpus),
        )
    });
    order
        .into_iter()
        .take(TRIES)
        .find_map(|at| empty_out(leader, snapshot, scenario, at))
}

fn movable(leader: &Leader, snapshot: &Snapshot, entry: &PlacedTask) -> bool {
    let job = leader.jobs.get(&entry.task.job);
    let alone = |j: &crate::jobs::job::Job| {
        j.placements
            .get(&entry.task.index)
            .is_some_and(|p| p.len() == 1)
    };
    job.is_some_and(|j| j.spec.kind == Kind::Service && j.is_active() && alone(j))
        && entry.phase == Phase::On(TaskState::Running)
        && entry.stop.is_none()
        && (entry.running_since).is_some_and(|t| snapshot.now.time - t >= SETTLE)
}

fn empty_out(
    leader: &Leader,
    snapshot: &mut Snapshot,
    scenario: &mut Scenario,
    at: usize,
) -> Option<MachineId> {
    let id = snapshot.candidates[at].id.clone();
    let machine = leader.fleet.machines.get(&id)?;
    let here: Vec<&PlacedTask> = machine
        .tasks
        .iter()
        .filter(|e| e.occupies_capacity())
        .collect();
    if here.is_empty() || !here.iter().all(|e| movable(leader, snapshot, e)) {
        return None;
    }
    let used = snapshot.candidates[at].room - snapshot.candidates[at].free;
    // Simulated whole: every replica needs a home, or none is moved.
    let mut plan = Vec::new();
    for entry in here {
        let job = leader.jobs.get(&entry.task.job)?;
        snapshot.evict(leader, at, &entry.task, entry.attempt, &entry.need);
        let image = snapshot.image(&job.spec.image);
        let cap = snapshot.replica_cap();
        let home = (0..snapshot.candidates.len())
            .filter(|&i| {
                i != at && image.is_some_and(|no| snapshot.candidates[i].images.contains(&no))
            })
            .filter(|&i| fit::fits(leader, snapshot, job, &snapshot.candidates[i]))
            .filter(|&i| snapshot.candidates[i].replicas < cap)
            .filter(|&i| {
                (snapshot.candidates[i].room - snapshot.candidates[i].free).cpus >= used.cpus
            })
            .min_by_key(|&i| {
                let spot = &snapshot.candidates[i];
                (spot.replicas_of(&job.spec.id), spot.free.cpus)
            });
        let mut statement = Statement::default();
        if let Some(home) = home {
            statement.place(leader, snapshot, job, entry.task.index, home);
        }
        plan.push((entry, job, statement));
    }
    let whole =
        plan.iter().all(|(_, _, s)| s.len() == 1) && snapshot.keeps_reserve(leader, Some(at));
    if !whole {
        for (entry, job, statement) in plan.into_iter().rev() {
            statement.discard(leader, snapshot, job);
            snapshot.restore(leader, at, &entry.task, entry.attempt, &entry.need);
        }
        return None;
    }
    for (entry, _, statement) in plan.into_iter().take(MOVES) {
        scenario.evictions.push(Eviction {
            task: entry.task.clone(),
            attempt: entry.attempt,
            machine: id.clone(),
            why: "moved",
        });
        scenario.placements.extend(statement.commit());
    }
    Some(id)
}
