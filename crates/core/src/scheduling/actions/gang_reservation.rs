//! Reservation of room for gangs that have waited too long.
//!
//! A gang of many tasks in one zone would wait forever while smaller work takes each machine that becomes free. So
//! machines of one zone are reserved for it early enough: those that will be free soonest. Work that would not have
//! ended by the time that enough machines are free is not placed on them, and then the gang is placed whole.

use super::predicates::is_eligible;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{CandidateMachine, Snapshot};
use rudderreel_wire::job::Kind;

/// Maximum number of gangs that room is reserved for at the same time: more would keep too much room from small jobs.
const MAX_RESERVATIONS: usize = 4;
/// Waiting time in seconds after which [`MAX_RESERVATIONS`] does not apply to a gang, because more gangs may wait in a
/// large fleet.
const EXEMPT_AFTER_S: f64 = 120.0;
/// Maximum number of waiting gangs considered in a cycle.
const MAX_GANGS_CONSIDERED: usize = 24;
/// Waiting time in seconds within which a gang should begin. Users count a job that does not begin within four
/// minutes as not served. Room is reserved early enough for a gang to begin well before that, and not sooner: until
/// then smaller work goes first.
const TARGET_WAIT_S: f64 = 90.0;
/// Factor applied to the time until machines become free, because tasks run longer than their owners estimate.
const ESTIMATE_FACTOR: f64 = 1.5;
/// Time in seconds that boots and fetches may add.
const START_MARGIN_S: f64 = 30.0;

/// Machines that could hold a gang.
struct GangRoom {
    /// Indices of the machines in [`Snapshot::candidates`].
    machines: Vec<usize>,
    /// Expected time in seconds until they have room for the whole gang.
    ready_in_s: f64,
}

/// Reserves machines for gangs that would not begin in time otherwise, the longest waiting gang first.
pub(super) fn reserve_for_gangs(leader: &Leader, snapshot: &mut Snapshot, waiting: &[&Job]) {
    snapshot.clear_gang_reservations();
    let mut gangs: Vec<&Job> = (waiting.iter().copied())
        .filter(|job| may_reserve(snapshot, job))
        .collect();
    gangs.sort_by_key(|gang| gang.waiting_since());
    for gang in gangs.into_iter().take(MAX_GANGS_CONSIDERED) {
        let waited_s = gang.waiting_since().until(snapshot.now.wall).as_secs();
        let is_exempt = waited_s >= EXEMPT_AFTER_S;
        if snapshot.gang_reservation_count() >= MAX_RESERVATIONS && !is_exempt {
            // The remaining gangs have waited for less time.
            return;
        }
        let Some(room) = soonest_room(leader, snapshot, gang) else {
            continue;
        };
        let begins_after_s = waited_s + room.ready_in_s * ESTIMATE_FACTOR + START_MARGIN_S;
        if begins_after_s >= TARGET_WAIT_S {
            snapshot.reserve_for_gang(&gang.spec.id, &room.machines, room.ready_in_s);
        }
    }
}

/// Returns whether room may be reserved for a job: it must be a gang of several tasks that has not begun and is not
/// suspected to fail wherever it is tried.
fn may_reserve(snapshot: &Snapshot, job: &Job) -> bool {
    job.spec.kind == Kind::Gang
        && job.spec.tasks > 1
        && !job.has_started
        && !job.is_suspected()
        && snapshot.placed_count(&job.spec.id) == 0
}

/// Returns the machines that could hold a gang soonest, all of one zone if the gang must be in one.
fn soonest_room(leader: &Leader, snapshot: &Snapshot, gang: &Job) -> Option<GangRoom> {
    (snapshot.zone_choices(&gang.spec).into_iter())
        .filter_map(|zone| soonest_room_in(leader, snapshot, gang, zone))
        .min_by(|one, other| one.ready_in_s.total_cmp(&other.ready_in_s))
}

/// Returns the machines of a zone that could hold a gang soonest; none if there are too few.
fn soonest_room_in(
    leader: &Leader,
    snapshot: &Snapshot,
    gang: &Job,
    zone: Option<usize>,
) -> Option<GangRoom> {
    let mut by_readiness: Vec<(usize, FutureRoom)> = (snapshot.candidates.iter().enumerate())
        .filter(|(_, candidate)| zone.is_none_or(|zone| zone == candidate.zone_index))
        .filter(|(_, candidate)| candidate.gang_reservation.is_none())
        .filter(|(_, candidate)| is_eligible(leader, snapshot, gang, candidate))
        .map(|(candidate_index, candidate)| (candidate_index, FutureRoom::of(gang, candidate)))
        .filter(|(_, room)| room.tasks > 0)
        .collect();
    by_readiness.sort_by(|(candidate_index, room), (other_index, other)| {
        let by_time = room.ready_in_s.total_cmp(&other.ready_in_s);
        by_time.then(candidate_index.cmp(other_index))
    });
    let mut left = gang.spec.tasks;
    let mut machines = Vec::new();
    for (candidate_index, room) in by_readiness {
        machines.push(candidate_index);
        left = left.saturating_sub(room.tasks);
        if left == 0 {
            return Some(GangRoom {
                machines,
                ready_in_s: room.ready_in_s,
            });
        }
    }
    None
}

/// The room that a machine will have for tasks of a gang.
struct FutureRoom {
    ready_in_s: f64,
    tasks: u32,
}

impl FutureRoom {
    /// Returns the room that the machine has now, or, if it has none, the room once its tasks that end by themselves
    /// have ended.
    fn of(gang: &Job, candidate: &CandidateMachine) -> Self {
        let free = candidate.unreserved();
        match free.fit_count(&gang.need) {
            0 => Self {
                ready_in_s: candidate.finite_tasks_end_in_s,
                tasks: (free + candidate.finite_tasks_need).fit_count(&gang.need),
            },
            tasks => Self {
                ready_in_s: 0.0,
                tasks,
            },
        }
    }
}

#[cfg(test)]
mod tests;
