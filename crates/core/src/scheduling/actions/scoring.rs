//! Scores: which of the machines that pass the filters a task goes on.

use super::predicates::fits;
use crate::jobs::job::Job;
use crate::leader::Leader;
use crate::scheduling::snapshot::{CandidateMachine, Snapshot};
use rudderreel_wire::job::Kind;
use std::cmp::Ordering;

/// From so many tasks on a gang prefers on-demand machines: with one spot instance in ten reclaimed in the time that
/// a gang runs, hardly one of many tasks would end undisturbed, and one that is reclaimed stops them all.
const MIN_GANG_SIZE_FOR_ON_DEMAND: u32 = 4;

/// Which machines are considered for a task, by its image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImagePreference {
    /// All.
    Any,
    /// Only those that have the image cached, if the job's start can't wait for a fetch (see
    /// [`Leader::needs_cached_image`]): room may yet be made for it where its image is.
    CachedIfUrgent,
}

/// How good a machine is for a task; lower is better. The fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Score {
    /// Replicas of the same service on the machine; for a large gang, whether it is a spot instance.
    crowding: u32,
    /// How long the image takes to be there: 0 if it is cached, 1 if it is being fetched, and more for each image
    /// that shares the rate.
    fetch: u32,
    /// Whether the machine is of the kind that others need more: on-demand for work that tolerates spot instances.
    market_mismatch: bool,
    /// The part of the machine that remains free: full machines first, so that others empty out.
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

/// Whether a job is better off on on-demand machines even if it may use spot instances.
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

/// The best machine for one more task of a job, by its place among the candidates.
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
        .map(|(at, candidate)| (at, Score::of(job, image, replica_cap, candidate)))
        .min_by(|(_, one), (_, other)| one.compare(other))
        .map(|(at, _)| at)
}

/// A machine and how many tasks it takes.
pub(super) struct RankedMachine {
    /// Its place among the candidates.
    pub(super) at: usize,
    /// How many tasks have room there.
    pub(super) tasks: u32,
}

/// Machines for more tasks of a job, in a zone or in all, the best first. Tasks of an array, or of a gang in one
/// zone, are alike: they are decided as a class.
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
        .map(|(at, candidate)| {
            let tasks = candidate.free_for(job).fit_count(&job.need);
            let score = Score::of(job, image, replica_cap, candidate);
            (score, RankedMachine { at, tasks })
        })
        .collect();
    scored.sort_by(|(one, a), (other, b)| one.compare(other).then(a.at.cmp(&b.at)));
    scored.into_iter().map(|(_, machine)| machine).collect()
}

/// Each ranked machine as often as it takes a task.
pub(super) fn task_slots(ranked: Vec<RankedMachine>) -> impl Iterator<Item = usize> {
    (ranked.into_iter()).flat_map(|machine| std::iter::repeat_n(machine.at, machine.tasks as usize))
}
