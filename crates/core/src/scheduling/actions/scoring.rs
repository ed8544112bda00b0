//! Scoring: ranks the machines that pass the filters for a task.

use super::predicates::fits;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{CandidateMachine, Snapshot};
use rudderreel_wire::job::Kind;
use std::cmp::Ordering;

/// Number of tasks from which a gang prefers on-demand machines. With one spot instance in ten reclaimed in the time
/// that a gang runs, a gang of many tasks would rarely end undisturbed, and one reclaimed instance stops all of its
/// tasks.
const MIN_GANG_SIZE_FOR_ON_DEMAND: u32 = 4;

/// Which machines are considered for a task, depending on its image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImagePreference {
    /// All machines.
    Any,
    /// Only machines that have the image cached, if the job's start cannot wait for a fetch (see
    /// [`Leader::needs_cached_image`]): room may still be made for the job on a machine that has its image.
    CachedIfUrgent,
}

/// Score of a machine for a task; lower is better. The fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Score {
    /// For a service: its replicas on the machine, plus the number of all replicas there divided by the replica cap,
    /// rounded down. For a large gang: 1 if the machine is a spot instance.
    crowding: u32,
    /// Cost of getting the image: 0 if it is cached, 1 if it is being fetched, otherwise 2 and one more for each
    /// image that shares the fetch rate.
    fetch: u32,
    /// Whether the machine is an on-demand one, which other work needs more, while the job tolerates spot instances.
    market_mismatch: bool,
    /// Fraction of the machine's CPUs that remains free. Full machines come first, so that others become empty.
    free_fraction: f64,
}

impl Score {
    fn of(job: &Job, image: Option<u32>, replica_cap: u32, candidate: &CandidateMachine) -> Self {
        let crowding = match job.spec.kind {
            Kind::Service => {
                candidate.replicas_of(&job.spec.id) + candidate.replica_count / replica_cap
            }
            Kind::Array | Kind::Gang => u32::from(candidate.is_spot && prefers_on_demand(job)),
        };
        let remaining = (candidate.free - job.need).cpus as f64;
        Self {
            crowding,
            fetch: fetch_cost(image, candidate),
            market_mismatch: job.spec.spot != candidate.is_spot,
            free_fraction: remaining / candidate.capacity.cpus.max(1) as f64,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.partial_cmp(other).unwrap_or(Ordering::Equal)
    }
}

/// Returns whether a job is better placed on on-demand machines even if it may use spot instances.
fn prefers_on_demand(job: &Job) -> bool {
    job.spec.kind == Kind::Gang && job.spec.tasks >= MIN_GANG_SIZE_FOR_ON_DEMAND
}

fn fetch_cost(image: Option<u32>, candidate: &CandidateMachine) -> u32 {
    if candidate.has_image(image) {
        0
    } else if image.is_some_and(|image| candidate.fetching_images.contains(&image)) {
        1
    } else {
        2 + candidate.fetch_count()
    }
}

/// Returns the best machine for one more task of a job, as an index in [`Snapshot::candidates`].
pub(super) fn best_machine(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    preference: ImagePreference,
) -> Option<usize> {
    let needs_cached =
        preference == ImagePreference::CachedIfUrgent && leader.needs_cached_image(job);
    let image = snapshot.image(&job.spec.image);
    let replica_cap = snapshot.replica_cap();
    (snapshot.candidates.iter().enumerate())
        .filter(|(_, candidate)| !needs_cached || candidate.has_image(image))
        .filter(|(_, candidate)| fits(leader, snapshot, job, candidate))
        .map(|(candidate_index, candidate)| {
            (
                candidate_index,
                Score::of(job, image, replica_cap, candidate),
            )
        })
        .min_by(|(_, one), (_, other)| one.compare(other))
        .map(|(candidate_index, _)| candidate_index)
}

/// A machine and the number of tasks that it has room for.
pub(super) struct RankedMachine {
    /// Index of the machine in [`Snapshot::candidates`].
    pub(super) candidate_index: usize,
    /// Number of tasks that have room on the machine.
    pub(super) tasks: u32,
}

/// Returns machines for more tasks of a job, in one zone or in all, the best first. Tasks of an array, or of a gang
/// in one zone, are equivalent, so their machines are ranked once for all of them.
pub(super) fn rank_machines(
    leader: &Leader,
    snapshot: &Snapshot,
    job: &Job,
    zone: Option<usize>,
) -> Vec<RankedMachine> {
    let image = snapshot.image(&job.spec.image);
    let replica_cap = snapshot.replica_cap();
    let mut scored: Vec<(Score, RankedMachine)> = (snapshot.candidates.iter().enumerate())
        .filter(|(_, candidate)| zone.is_none_or(|zone| zone == candidate.zone_index))
        .filter(|(_, candidate)| fits(leader, snapshot, job, candidate))
        .map(|(candidate_index, candidate)| {
            let tasks = candidate
                .free_for(job, snapshot.now.time)
                .fit_count(&job.need);
            let score = Score::of(job, image, replica_cap, candidate);
            (
                score,
                RankedMachine {
                    candidate_index,
                    tasks,
                },
            )
        })
        .collect();
    scored.sort_by(|(one, a), (other, b)| {
        one.compare(other)
            .then(a.candidate_index.cmp(&b.candidate_index))
    });
    scored.into_iter().map(|(_, machine)| machine).collect()
}

/// Yields the index of each ranked machine once for each task that it has room for.
pub(super) fn task_slots(ranked: Vec<RankedMachine>) -> impl Iterator<Item = usize> {
    (ranked.into_iter())
        .flat_map(|machine| std::iter::repeat_n(machine.candidate_index, machine.tasks as usize))
}
