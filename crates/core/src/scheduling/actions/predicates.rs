//! Filters: decide which machines a task may be placed on.

use crate::jobs::job::Job;
use crate::jobs::node_affinity::satisfies_node_affinity;
use crate::leader::Leader;
use crate::scheduling::snapshot::{has_zone_rules, CandidateMachine, Snapshot};
use crate::units::Time;
use rudderreel_wire::job::{JobSpec, Kind};
use std::collections::BTreeMap;

/// Factor by which a task is expected to exceed its owner's estimate: estimates are often too short.
const ESTIMATE_FACTOR: f64 = 1.4;
/// Time in seconds that a start takes in addition, mostly to fetch the image.
const START_DELAY_S: f64 = 8.0;

/// The reason why a task of a job must not be placed on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Exclusion {
    /// The job excludes the machine's type, zone or market.
    NodeAffinity,
    /// The machine is reserved for another gang.
    ReservedForGang,
    /// Tasks of the job have failed on the machine.
    Failures,
    /// The machine's GPUs are for other work.
    Gpus,
    /// The other tasks of the job exclude the machine's zone.
    ZoneRules,
    /// The machine lacks free resources, apart from those that are reserved for urgent arrivals.
    Resources,
}

/// Returns whether one more task of the job fits on a machine: the machine has room and is eligible.
pub fn fits(leader: &Leader, snapshot: &Snapshot, job: &Job, candidate: &CandidateMachine) -> bool {
    candidate.free_for(job, snapshot.now.time).holds(&job.need)
        && is_eligible(leader, snapshot, job, candidate)
}

/// Returns whether one more task of the job may be placed on a machine if there is room.
pub(super) fn is_eligible(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    candidate: &CandidateMachine,
) -> bool {
    check_eligibility(leader, snapshot, job, candidate).is_ok()
}

/// Checks whether one more task of the job may be placed on a machine if there is room. Returns the first reason
/// against it.
fn check_eligibility(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    candidate: &CandidateMachine,
) -> Result<(), Exclusion> {
    let is_allowed = satisfies_node_affinity(
        &job.spec,
        &candidate.machine_type,
        &candidate.zone,
        candidate.is_spot,
    );
    if !is_allowed {
        Err(Exclusion::NodeAffinity)
    } else if is_reserved_for_other_gang(job, candidate) {
        Err(Exclusion::ReservedForGang)
    } else if (job.failures).avoids_machine(&candidate.id, snapshot.now.time) {
        Err(Exclusion::Failures)
    } else if wastes_gpus(leader, job, candidate, snapshot.now.time) {
        Err(Exclusion::Gpus)
    } else if !satisfies_zone_rules(snapshot, &job.spec, candidate.zone_index) {
        Err(Exclusion::ZoneRules)
    } else {
        Ok(())
    }
}

/// Logs why a job that found no room may not use the machines of the snapshot: the number of machines by the reason
/// against each.
pub(super) fn log_exclusions(leader: &Leader, snapshot: &Snapshot, job: &Job) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let mut machines: BTreeMap<Exclusion, usize> = BTreeMap::new();
    for candidate in &snapshot.candidates {
        let checked = check_eligibility(leader, snapshot, job, candidate);
        let exclusion = checked.err().unwrap_or(Exclusion::Resources);
        *machines.entry(exclusion).or_default() += 1;
    }
    log::debug!(
        "no room job={} machines={} excluded={machines:?}",
        job.spec.id,
        snapshot.candidates.len()
    );
}

/// Returns whether a machine is reserved for another gang and therefore closed to the job. Non-preemptible work takes
/// precedence over the reservation, and work that will have ended by the time the gang has enough room is admitted.
fn is_reserved_for_other_gang(job: &Job, candidate: &CandidateMachine) -> bool {
    let Some(reservation) = &candidate.gang_reservation else {
        return false;
    };
    let ends_in_s = job.spec.estimate_s * ESTIMATE_FACTOR + START_DELAY_S;
    job.is_preemptible() && reservation.gang != job.spec.id && ends_in_s > reservation.ready_in_s
}

/// Anti-affinity to GPUs: returns whether a job must stay off a machine because of its GPUs. Work without GPUs stays
/// off machines with free GPUs if it could ever run elsewhere. Replicas stay off all machines with GPUs, because they
/// would occupy them long after the work on the GPUs is done. Neither waits for ever for another machine.
fn wastes_gpus(leader: &Leader, job: &Job, candidate: &CandidateMachine, now: Time) -> bool {
    let outlasts_gpu_work = job.spec.kind == Kind::Service && candidate.capacity.gpus > 0;
    (candidate.free.gpus > 0 || outlasts_gpu_work)
        && !job.takes_any_room(now)
        && should_avoid_gpus(leader, job)
}

/// Returns whether a job needs no GPUs and could run on some machine type without them.
pub fn should_avoid_gpus(leader: &Leader, job: &Job) -> bool {
    job.need.gpus == 0 && leader.policy.fits_without_gpus(&job.spec, &job.need)
}

/// Affinity between the tasks of a job: returns whether one more task may be in a zone, given the zones where the
/// others may be.
fn satisfies_zone_rules(snapshot: &Snapshot, spec: &JobSpec, zone: usize) -> bool {
    if !has_zone_rules(spec) {
        return true;
    }
    let tasks_by_zone = snapshot.tasks_by_zone(&spec.id);
    let tasks_here = tasks_by_zone.get(zone).copied().unwrap_or(0);
    let has_tasks_elsewhere =
        (tasks_by_zone.iter().enumerate()).any(|(other, tasks)| other != zone && *tasks > 0);
    tasks_here < spec.zone_cap() && !(spec.one_zone && has_tasks_elsewhere)
}

#[cfg(test)]
mod tests;
